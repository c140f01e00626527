"""Tests of the counts of each workspace that are logged once a second."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.forwarding._workspace_log import WorkspaceLog
from crowwinch.forwarding.tests.support import RouterTest, respond_ok
from crowwinch.sharing import WorkspaceShares, WorkspaceUse

_LOGGER = "crowwinch.forwarding._workspace_log"


class WorkspaceLogTest(unittest.TestCase):
    """Guards against requests that no line tells of under load."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.shares = WorkspaceShares(self.clock, 2.0)
        self.log = WorkspaceLog(self.shares)

    def _write(self):
        with self.assertLogs(_LOGGER) as logs:
            self.log.write()
        (record,) = logs.records
        return record

    def test_counts_since_the_last_line(self):
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 5, 100)])
        self.clock.move_to(101.0)
        for units in (10, 40, 20, 30):
            self.log.record_request("a", units)
        self.log.record_first_event("a", 40, is_late=False)
        self.log.record_first_event("a", 10, is_late=True)
        for code in ("served", "served", "workspace_limit"):
            self.log.record_end("a", code)
        record = self._write()
        counts = record.workspaces["a"]
        self.assertEqual(
            (counts["asked"], counts["begun"], counts["late"]), (100, 50, 1)
        )
        self.assertEqual(counts["codes"], {"served": 2, "workspace_limit": 1})
        self.assertEqual(counts["largest"], [40, 30, 20])
        self.assertEqual(record.oldest_report_s, 1.0)
        with self.assertNoLogs(_LOGGER):
            self.log.write()

    def test_requests_of_refused_callers_are_told_apart(self):
        """Guards against counts that hide why a workspace gets little.

        Callers who return after a refusal are refused again, which looks like
        a workspace that is not let in.
        """
        self.log.record_request("a", 30)
        self.log.record_request("a", 10, is_late=True)
        counts = self._write().workspaces["a"]
        self.assertEqual((counts["asked"], counts["returned"]), (40, 10))

    def test_level_of_what_is_served(self):
        """Guards against lines that show the configured level only."""
        self.shares.record_demand("a", 400)
        self.shares.record_usage("a", 100)
        self.shares.refresh()
        self.log.record_request("a", 400)
        record = self._write()
        self.assertEqual((record.share_level, record.even_use), (None, 100))
        self.assertEqual(record.workspaces["a"]["fleet_asked"], 400)

    def test_line_has_few_workspaces(self):
        """Guards against lines that grow with the number of workspaces."""
        for number in range(100):
            self.log.record_request(f"w-{number}", number)
        record = self._write()
        self.assertEqual(
            set(record.workspaces), {f"w-{n}" for n in range(92, 100)}
        )
        self.assertEqual(record.left_out, 92)


class ForwarderTest(RouterTest):
    """Guards against requests that are not counted."""

    async def test_served_and_refused_requests(self):
        router = await self.router(respond_ok, timeout_s=0.5)
        tokens = "X-Crowwinch-Token-Count: 300,20\r\n"
        self.assertEqual((await router.call(extra=tokens)).status, 200)
        await self.targets[0].stop()
        router.target_set.update([], router.routing)
        reply = await router.call(attempt_id="attempt-2", extra=tokens)
        self.assertEqual(reply.status, 503)
        with self.assertLogs(_LOGGER) as logs:
            router.forwarder.log_workspaces()
        ((_, counts),) = logs.records[0].workspaces.items()
        self.assertEqual(
            counts["codes"], {"served": 1, "deadline_unreachable": 1}
        )
        self.assertEqual(counts["begun"] * 2, counts["asked"])


if __name__ == "__main__":
    unittest.main()

"""Tests of what the directory tells the limit on cold targets."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from crowwinch.directory import Changes, Item, Listing
from crowwinch.gateway._application import GatewayApplication

_SETTINGS = """
NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "hall-a"
PortRange = [7400, 7415]
Seeds = ["127.0.0.1:8785"]
[Listen]
Frontend = "127.0.0.1:8783"
Readiness = "127.0.0.1:8780"
Control = "127.0.0.1:8785"
[Limits]
MemoryMb = 300
MaxFds = 4100
Cores = 2
[Bounds]
DrainMs = 2000
GraceS = 8
ReuseAfterS = 2
RetryBudgetRatio = 0.2
BudgetWindowS = 10
[Platform]
Address = "127.0.0.1:8781"
form = "read"
"""
_LOGGER = "crowwinch.gateway"


def _configuration(**cold):
    services = [{"Name": "llm", **cold}, {"Name": "desk"}]
    return {"Version": 1, "Services": services}


def _entry(service, beat, cold_ms, start=5):
    return {
        "Service": service,
        "Address": "10.0.0.1:80",
        "State": "ready",
        "Sequence": beat,
        "born": start,
        "ColdRemainingMs": cold_ms,
    }


class ColdEntriesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries of cold targets that limit nothing."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "boot.toml"
        path.write_text(_SETTINGS)
        self.path = str(path)
        self.application = GatewayApplication(self.path)
        self.cold = self.application._sharing.cold
        self.revision = 1

    def _list(self, configuration, **entries):
        values = {"op/config": configuration} | {
            f"servers/{name}": entry for name, entry in entries.items()
        }
        self.application._state.apply_listing(
            Listing(self.revision, self._items(values))
        )

    def _change(self, **entries):
        self.revision += 1
        values = {f"servers/{name}": entry for name, entry in entries.items()}
        self.application._state.apply_changes(
            Changes(self.revision, self._items(values))
        )

    def _items(self, values):
        return tuple(
            Item(key, self.revision, json.dumps(value).encode())
            for key, value in values.items()
        )

    def _left_s(self):
        (start,) = self.cold.cold_targets()
        return start.left_s

    async def test_entry_of_a_cold_target(self):
        with self.assertLogs(_LOGGER, "INFO") as logs:
            self._list(
                _configuration(ColdStartS=3.0, ColdPerS=12.0),
                a=_entry("llm", 1, 2_900),
                b=_entry("llm", 1, 0),
                c=_entry("desk", 1, 2_900),
            )
            # Another target changes, so that all entries are read again.
            await asyncio.sleep(0.01)
            left_s = self._left_s()
            self._change(b=_entry("llm", 2, 0))
            self.assertLessEqual(self._left_s(), left_s)
            self._change(a=_entry("llm", 2, 2_900))
            self.assertGreater(self._left_s(), left_s)
        self.assertEqual(self.cold.count, 1)
        self.assertTrue(self.cold.is_active)
        (record,) = [r for r in logs.records if r.msg == "target is cold"]
        self.assertEqual(
            (record.target, record.started_ms, record.seconds, record.cause),
            ("a", 5, 2.9, "entry"),
        )
        metrics = self.application._metrics.render()
        self.assertRegex(metrics, r"cold_targets\S* 1")
        self._change(a=_entry("llm", 3, 0))
        self.assertEqual(self.cold.count, 0)

    async def test_services_without_cold_starts(self):
        """Guards against new behaviour where nothing calls for it."""
        self._list(_configuration(), a=_entry("llm", 1, 2_900))
        self.assertEqual(self.cold.count, 0)
        self.assertFalse(self.cold.is_active)

    async def test_targets_are_paced_only_on_request(self):
        """Guards against reports between routers that nobody asked for."""
        for is_paced in (False, True):
            with self.subTest(is_paced):
                self.application = GatewayApplication(
                    self.path, is_paced=is_paced
                )
                self._list(
                    _configuration(ColdStartS=3.0, ColdPerS=12.0),
                    a=_entry("llm", 1, 0),
                )
                pace = self.application._sharing.pace
                pace.record_connection_failure("a")
                pace.record_first_event("a", 0.0)
                self.assertEqual(pace.paced_targets, int(is_paced))
                self.assertEqual(len(pace.reports()), int(is_paced))

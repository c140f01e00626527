"""Crowds that one router cannot serve, with real processes."""

import concurrent.futures
import time
import unittest
from collections import Counter

from tests.crowd import ProcessorQuota, run_crowd
from tests.platform_fleet import PlatformFleet, wait_for

# The smallest machine of the operators' platform has this share of a core; the
# crowd is about three times what a router serves with it.
_SHARE = 0.5
_PER_S = 700.0
# Period of that share as the platform grants it, and on a busy machine.
_PERIOD_S = 0.1
_LONG_PERIOD_S = 0.6
_CROWD_S = 12
# The full queue of new connections, 1,024, is reached within this time.
_FILLING_S = 5
# A ready router takes a new connection within this time, the shortest for which
# the operators' platform counts it.
_CONTACT_S = 3
# A router that refuses connections says so before the balancer asks twice more.
_SEEN_S = 2.0
# Longest time from the last refusal of a first overload to readiness.
_RETURN_S = 6.0


class CrowdTest(unittest.TestCase):
    """Guards against a ready router that takes no new connection."""

    def setUp(self):
        self.fleet = PlatformFleet(1)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def _play(self, period_s: float, seconds: int = _CROWD_S) -> None:
        """Sends a crowd and asks the router meanwhile whether it is ready."""
        host, port = self.fleet.caller_address(0)
        self.asked: list[tuple[float, bool]] = []
        with (
            ProcessorQuota(self.fleet.routers[0], _SHARE, period_s) as quota,
            concurrent.futures.ThreadPoolExecutor(1) as pool,
        ):
            visits = pool.submit(
                run_crowd, host, port, "/look/a", _PER_S, seconds
            )
            while not visits.done():
                self.asked.append((time.monotonic(), self.fleet.is_ready(0)))
                time.sleep(0.2)
        self.visits = visits.result()
        self.was_given = quota.was_given
        self.begin = min(visit.start for visit in self.visits)

    def test_callers_who_come_are_answered_while_others_left(self):
        """Guards against time spent on connections whose callers left."""
        self._play(_PERIOD_S)
        for first in range(_FILLING_S, _CROWD_S - _CONTACT_S + 1):
            statuses = Counter(
                visit.status
                for visit in self.visits
                if first <= visit.start - self.begin < first + _CONTACT_S
            )
            with self.subTest(first=first, statuses=dict(statuses)):
                self.assertGreater(statuses[200], 0)
        if self.was_given:
            late = [
                visit
                for visit in self.visits
                if visit.start - self.begin >= _FILLING_S and visit.is_held
            ]
            self.assertEqual(late, [])
        self._assert_not_ready(self.begin + _SEEN_S)
        wait_for(lambda: self.fleet.is_ready(0), "not ready again", _RETURN_S)

    def test_a_router_that_runs_in_long_turns_is_not_ready(self):
        """Guards against refusals that start anew with each turn.

        On a busy machine a process waits for its turn for 0.3 s and more.
        """
        self._play(_LONG_PERIOD_S, _FILLING_S + _CONTACT_S)
        first_refusal = min(
            visit.start + visit.seconds
            for visit in self.visits
            if visit.status == 503
        )
        self._assert_not_ready(first_refusal + _SEEN_S)

    def _assert_not_ready(self, since: float) -> None:
        ready = [at - since for at, is_ready in self.asked if is_ready]
        self.assertLess(max(ready), 0.0)


if __name__ == "__main__":
    unittest.main()

"""Overload of a router."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.forwarding._overload import OverloadDetector

_LOGGER = "crowwinch.forwarding._overload"


class OverloadDetectorTest(unittest.TestCase):
    """Guards against a router that says ready while it refuses connections."""

    def setUp(self):
        self.clock = ManualClock(start=100.0)
        self.overload = OverloadDetector(self.clock, lambda: 0.0)

    def _move(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def _refuse(self, seconds, pause=0.05):
        """Refuses a connection now and then for a time."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.overload.note_refusal()
            self._move(pause)

    def _hold(self):
        """Returns how long the router stays overloaded without refusals."""
        start = self.clock.monotonic()
        while self.overload.is_overloaded:
            self._move(0.1)
        return self.clock.monotonic() - start

    def test_a_late_turn_is_no_overload(self):
        """Guards against a router that leaves the rotation for a long turn."""
        for _ in range(50):
            self.overload.note_refusal()
        self.assertFalse(self.overload.is_overloaded)
        self._refuse(5.0, pause=0.4)
        self.assertFalse(self.overload.is_overloaded)

    def test_lasting_refusals_are_overload(self):
        with self.assertLogs(_LOGGER, "WARNING") as logs:
            self._refuse(1.0)
        self.assertTrue(self.overload.is_overloaded)
        self.assertEqual(len(logs.records), 1)

    def test_the_router_is_back_after_a_while(self):
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(1.0)
        self.assertLess(self._hold(), 4.2)

    def test_refusals_during_the_hold_extend_it(self):
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(10.0)
        self.assertTrue(self.overload.is_overloaded)
        self.assertGreater(self._hold(), 3.8)

    def test_the_next_hold_is_longer_unless_it_is_late(self):
        """Guards against a router that overloads itself every few seconds."""
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(1.0)
            first = self._hold()
            self._refuse(1.0)
            second = self._hold()
            self._move(60.0)
            self._refuse(1.0)
            third = self._hold()
        self.assertGreater(second, 1.5 * first)
        self.assertAlmostEqual(third, first, delta=0.3)

    def test_callers_return_when_the_balancer_has_noticed(self):
        """Guards against callers that return to the same router at once."""
        self.assertLess(self.overload.retry_after_s(), 0.1)
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(0.55)
        self.assertGreater(self.overload.retry_after_s(), 1.5)
        self._move(2.5)
        self.assertLess(self.overload.retry_after_s(), 0.1)


if __name__ == "__main__":
    unittest.main()

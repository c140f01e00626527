"""Tests of overload detection."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.forwarding._overload import OverloadDetector

_LOGGER = "crowwinch.forwarding._overload"


class OverloadDetectorTest(unittest.TestCase):
    """Guards against reporting ready while refusing connections."""

    def setUp(self):
        self.clock = ManualClock(start=100.0)
        self.lag_s = 0.0
        self.overload = OverloadDetector(
            self.clock, lambda: 0.0, lambda: self.lag_s
        )

    def _advance(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def _refuse(self, duration_s, interval_s=0.05):
        """Records one refusal per interval for the given duration."""
        end = self.clock.monotonic() + duration_s
        while self.clock.monotonic() < end:
            self.overload.note_refusal()
            self._advance(interval_s)

    def _measure_hold(self):
        """Returns how long the router stays overloaded without refusals."""
        start = self.clock.monotonic()
        while self.overload.is_overloaded:
            self._advance(0.1)
        return self.clock.monotonic() - start

    def test_brief_or_sparse_refusals_are_not_overload(self):
        """Guards against reporting overload after one long iteration."""
        for _ in range(50):
            self.overload.note_refusal()
        self.assertFalse(self.overload.is_overloaded)
        self._refuse(5.0, interval_s=0.4)
        self.assertFalse(self.overload.is_overloaded)

    def test_continuous_refusals_are_overload(self):
        with self.assertLogs(_LOGGER, "WARNING") as logs:
            self._refuse(1.0)
        self.assertTrue(self.overload.is_overloaded)
        self.assertEqual(len(logs.records), 1)

    def test_time_without_the_process_running_is_no_gap(self):
        """Guards against a ready router that runs in long turns.

        A process that ran for 0.3 s of each 0.6 s refused most of a crowd and
        never reported overload.
        """
        with self.assertLogs(_LOGGER, "WARNING"):
            for _ in range(3):
                self._refuse(0.2)
                self._advance(0.3)
                self.lag_s = 0.3
        self.assertTrue(self.overload.is_overloaded)

    def test_a_turn_without_refusals_at_its_end_is_no_gap(self):
        """Guards against a ready router that catches up in each turn.

        A process that ran for 0.3 s of each 0.6 s refused a crowd only in the
        first half of each turn, with gaps of 0.49 to 0.64 s between refusals.
        """
        with self.assertLogs(_LOGGER, "WARNING"):
            for _ in range(3):
                self.lag_s = 0.26
                self._refuse(0.1)
                self._advance(0.5)
        self.assertTrue(self.overload.is_overloaded)

    def test_refusals_before_and_after_a_freeze_are_not_overload(self):
        """Guards against a router that stays away after it was frozen."""
        self._refuse(0.05)
        self._advance(3.0)
        self.lag_s = 3.0
        self._refuse(0.05)
        self.assertFalse(self.overload.is_overloaded)

    def test_two_slow_iterations_apart_are_not_overload(self):
        for _ in range(5):
            self.lag_s = 0.3
            self._refuse(0.05)
            self._advance(1.0)
        self.assertFalse(self.overload.is_overloaded)

    def test_overload_ends_after_the_hold(self):
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(1.0)
        self.assertLess(self._measure_hold(), 4.2)

    def test_refusals_during_the_hold_extend_it(self):
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(10.0)
        self.assertTrue(self.overload.is_overloaded)
        self.assertGreater(self._measure_hold(), 3.8)

    def test_a_hold_soon_after_another_is_longer(self):
        """Guards against a router that is overloaded every few seconds."""
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(1.0)
            first = self._measure_hold()
            self._refuse(1.0)
            second = self._measure_hold()
            self._advance(60.0)
            self._refuse(1.0)
            third = self._measure_hold()
        self.assertGreater(second, 1.5 * first)
        self.assertAlmostEqual(third, first, delta=0.3)

    def test_retry_delay_covers_the_reaction_of_the_balancer(self):
        """Guards against immediate retries at the same router."""
        self.assertLess(self.overload.retry_after_s(), 0.1)
        with self.assertLogs(_LOGGER, "WARNING"):
            self._refuse(0.55)
        self.assertGreater(self.overload.retry_after_s(), 1.5)
        self._advance(2.5)
        self.assertLess(self.overload.retry_after_s(), 0.1)


if __name__ == "__main__":
    unittest.main()

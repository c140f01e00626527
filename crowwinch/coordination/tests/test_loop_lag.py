"""Lateness of an event loop."""

import asyncio
import unittest

from crowwinch.coordination import LoopLag, ManualClock, TimerService


class LoopLagTest(unittest.TestCase):
    """Guards against a process that does not know that it is late."""

    def setUp(self):
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.lag = LoopLag(self.timers)
        asyncio.run(self.lag.start())

    def _run(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.timers.run_due()

    def test_calls_in_time_show_none(self):
        for _ in range(5):
            self._run(0.05)
        self.assertAlmostEqual(self.lag.seconds, 0.0)

    def test_a_late_call_shows_and_fades(self):
        self._run(1.05)
        self.assertAlmostEqual(self.lag.seconds, 1.0)
        for _ in range(10):
            self._run(0.05)
        self.assertLess(self.lag.seconds, 0.4)
        self.assertGreater(self.lag.seconds, 0.1)

    def test_what_waited_may_be_read_long_after_the_loop_caught_up(self):
        """Guards against requests that waited 15 s and were decided as new."""
        self._run(0.05)
        self.assertFalse(self.lag.was_late)
        self._run(0.15)
        for _ in range(300):
            self.assertTrue(self.lag.was_late)
            self._run(0.05)
        for _ in range(200):
            self._run(0.05)
        self.assertFalse(self.lag.was_late)

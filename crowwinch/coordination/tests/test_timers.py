"""Tests of the timer service."""

import unittest

from crowwinch.coordination import ManualClock, TimerService


class TimerServiceTest(unittest.TestCase):
    """Guards against lost, doubled and early calls."""

    def setUp(self):
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.calls = []

    def test_calls_run_when_due_in_order(self):
        self.timers.call_later(2, lambda: self.calls.append("b"))
        self.timers.call_later(1, lambda: self.calls.append("a"))
        self.timers.run_due()
        self.assertEqual(self.calls, [])
        self.clock.move_to(2)
        self.timers.run_due()
        self.assertEqual(self.calls, ["a", "b"])

    def test_cancelled_call_does_not_run(self):
        self.timers.call_later(1, lambda: self.calls.append("a")).cancel()
        self.clock.move_to(2)
        self.assertEqual(self.timers.run_due(), 0)

    def test_missed_periods_run_once(self):
        self.timers.call_every(1, lambda: self.calls.append("a"))
        self.clock.move_to(10)
        self.timers.run_due()
        self.assertEqual(self.calls, ["a"])
        self.assertEqual(self.timers.next_due(), 11)

    def test_failing_subscriber_does_not_stop_others(self):
        self.timers.call_later(1, lambda: 1 / 0)
        self.timers.call_later(1, lambda: self.calls.append("a"))
        self.clock.move_to(1)
        with self.assertLogs(level="ERROR"):
            self.timers.run_due()
        self.assertEqual(self.calls, ["a"])

    def test_calls_due_at_once_run_in_one_turn_but_not_for_ever(self):
        def again():
            # Time passes between a subscription and the next look at it.
            self.clock.move_to(self.clock.monotonic() + 0.001)
            self.calls.append("a")
            self.timers.call_later(0, again)
            self.clock.move_to(self.clock.monotonic() + 0.001)

        self.timers.call_later(0, again)
        self.assertEqual(self.timers.run_due(), 3)

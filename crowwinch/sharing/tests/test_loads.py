"""Tests of the load of targets and of the speed of engines."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import EngineSpeeds, TargetLoads


class ReadingTest(unittest.TestCase):
    """Guards against forecasts that count prompts which are read already.

    Prompts counted as unread until their first event; forecasts were 0.08 s too
    long in the median and requests were refused while engines had time.
    """

    def setUp(self):
        self.clock = ManualClock()
        self.loads = TargetLoads(self.clock)

    def test_prompt_that_is_being_read_counts_partly(self):
        self.loads.reserve(
            "e", 0.4, 0.9, reading_from_s=0.2, reading_until_s=0.8
        )
        for now, expected in ((0.0, 0.4), (0.2, 0.4), (0.5, 0.2), (0.8, 0.0)):
            with self.subTest(now=now):
                self.clock.move_to(now)
                self.assertAlmostEqual(self.loads.reading_s("e"), expected)
                (use,) = self.loads.own_use()
                self.assertAlmostEqual(use.reading_s, expected)

    def test_only_the_oldest_prompt_counts_partly(self):
        """Guards against a hidden queue when reading takes longer."""
        first = self.loads.reserve("e", 0.1, 0.2, 0.0, 0.1)
        self.loads.reserve("e", 0.3, 0.5, 0.1, 0.4)
        self.clock.move_to(0.4)
        self.assertAlmostEqual(self.loads.reading_s("e"), 0.3)
        first.record_first_event()
        self.assertAlmostEqual(self.loads.reading_s("e"), 0.0)

    def test_prompt_without_forecast_counts_until_its_first_event(self):
        reservation = self.loads.reserve("e", 0.4)
        self.clock.move_to(9.0)
        self.assertAlmostEqual(self.loads.reading_s("e"), 0.4)
        reservation.record_first_event()
        self.assertEqual(self.loads.reading_s("e"), 0.0)


class DelayTest(unittest.TestCase):
    """Guards against a delay that only grows with the noise of forecasts."""

    def test_early_and_late_events_cancel_out(self):
        loads = TargetLoads(ManualClock())
        for _ in range(20):
            loads.record_first_event("e", 0.1)
            loads.record_first_event("e", -0.1)
        self.assertLess(loads.delay_s("e"), 0.04)

    def test_delay_is_never_negative(self):
        loads = TargetLoads(ManualClock())
        loads.record_first_event("e", -5.0)
        self.assertEqual(loads.delay_s("e"), 0.0)


class OverheadTest(unittest.TestCase):
    """Guards against a fixed time to the first event after the prompt."""

    def test_overhead_converges_to_observed_times(self):
        speeds = EngineSpeeds()
        for _ in range(200):
            speeds.record_first_event("llm", 0.01, 0.032)
        self.assertAlmostEqual(speeds.overhead_s("llm"), 0.02, delta=0.002)
        self.assertEqual(speeds.overhead_s("other"), 0.06)

    def test_overhead_is_bounded(self):
        speeds = EngineSpeeds()
        for _ in range(500):
            speeds.record_first_event("llm", 0.01, 30.0)
        self.assertLessEqual(speeds.overhead_s("llm"), 0.5)


if __name__ == "__main__":
    unittest.main()

"""Tests of the retry budget and of target health."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    SlidingWindowRetryBudget,
    TargetHealth,
)


class SlidingWindowRetryBudgetTest(unittest.TestCase):
    """Guards against retries that amplify an overload."""

    def test_retries_stay_below_ratio(self):
        clock = ManualClock()
        budget = SlidingWindowRetryBudget(clock, ratio=0.2, window_s=10.0)
        for _ in range(500):
            budget.record_request("desk")
        spent = sum(budget.try_spend("desk") for _ in range(500))
        self.assertLessEqual(spent, 0.2 * 500)
        self.assertGreater(spent, 0.1 * 500)

    def test_budget_is_separate_for_each_service(self):
        clock = ManualClock()
        budget = SlidingWindowRetryBudget(clock, ratio=0.2, window_s=10.0)
        for _ in range(500):
            budget.record_request("desk")
        self.assertLess(sum(budget.try_spend("engine") for _ in range(99)), 5)

    def test_requests_outside_window_are_not_counted(self):
        clock = ManualClock()
        budget = SlidingWindowRetryBudget(clock, ratio=0.2, window_s=10.0)
        for _ in range(500):
            budget.record_request("desk")
        clock.move_to(10.1)
        self.assertLess(sum(budget.try_spend("desk") for _ in range(99)), 5)


class TargetHealthTest(unittest.TestCase):
    """Guards against use of failing targets and permanent exclusion."""

    def test_backoff_increases_up_to_limit(self):
        clock = ManualClock()
        health = TargetHealth(clock)
        backoffs = []
        for _ in range(5):
            health.record_connection_failure("t")
            started = clock.monotonic()
            while health.is_blocked("t"):
                clock.move_to(clock.monotonic() + 0.05)
            backoffs.append(round(clock.monotonic() - started, 1))
        self.assertEqual(backoffs, sorted(backoffs))
        self.assertLessEqual(backoffs[-1], 4.1)

    def test_single_failure_is_below_threshold(self):
        health = TargetHealth(ManualClock())
        for _ in range(9):
            health.record_response("t", is_good=True)
        health.record_response("t", is_good=False)
        self.assertEqual(health.failing_share("t"), 0.0)

    def test_consecutive_failures_are_reported_and_decay(self):
        clock = ManualClock()
        health = TargetHealth(clock)
        for _ in range(3):
            health.record_response("t", is_good=False)
        self.assertGreater(health.failing_share("t"), 0.4)
        clock.move_to(3.5)
        self.assertEqual(health.failing_share("t"), 0.0)

    def test_pause_outlasts_removal_but_not_a_restart(self):
        clock = ManualClock()
        health = TargetHealth(clock)
        health.hold("t", 1, 5.0)
        health.hold("t", 1, 2.0)
        health.remove_target("t")
        self.assertEqual(health.hold_left_s("t", 1), 5.0)
        self.assertEqual(health.hold_left_s("t", 2), 0.0)
        clock.move_to(5.0)
        self.assertEqual(health.hold_left_s("t", 1), 0.0)

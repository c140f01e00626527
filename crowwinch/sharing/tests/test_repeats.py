"""Limits of repeats."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import CrashCounts, RepeatBudget, TargetHealth


class RepeatBudgetTest(unittest.TestCase):
    """Guards against repeats that multiply an overload."""

    def test_repeats_stay_below_the_ratio(self):
        clock = ManualClock()
        budget = RepeatBudget(clock, ratio=0.2, window_s=10.0)
        for _ in range(500):
            budget.note_request("desk")
        taken = sum(budget.take("desk") for _ in range(500))
        self.assertLessEqual(taken, 0.2 * 500)
        self.assertGreater(taken, 0.1 * 500)

    def test_requests_of_other_services_give_no_budget(self):
        clock = ManualClock()
        budget = RepeatBudget(clock, ratio=0.2, window_s=10.0)
        for _ in range(500):
            budget.note_request("desk")
        self.assertLess(sum(budget.take("engine") for _ in range(99)), 5)

    def test_old_requests_give_no_budget(self):
        clock = ManualClock()
        budget = RepeatBudget(clock, ratio=0.2, window_s=10.0)
        for _ in range(500):
            budget.note_request("desk")
        clock.move_to(10.1)
        self.assertLess(sum(budget.take("desk") for _ in range(99)), 5)


class CrashCountsTest(unittest.TestCase):
    """Guards against a request that crashes one target after another."""

    def setUp(self):
        self.clock = ManualClock()
        self.counts = CrashCounts(self.clock)

    def test_refused_at_the_third_crash_over_all_routers(self):
        self.counts.note_crash("digest")
        self.counts.note_peer("peer", [("digest", 1)])
        self.assertFalse(self.counts.is_refused("digest"))
        self.counts.note_peer("peer", [("digest", 2)])
        self.assertTrue(self.counts.is_refused("digest"))
        self.assertFalse(self.counts.is_refused("other"))

    def test_repeated_and_older_reports_change_nothing(self):
        self.counts.note_crash("digest")
        for count in (1, 1, 0, 1):
            self.counts.note_peer("peer", [("digest", count)])
        self.assertFalse(self.counts.is_refused("digest"))

    def test_counts_expire(self):
        for _ in range(3):
            self.counts.note_crash("digest")
        self.assertTrue(self.counts.is_refused("digest"))
        self.clock.move_to(121.0)
        self.assertFalse(self.counts.is_refused("digest"))
        self.assertTrue(self.counts.is_empty)


class TargetHealthTest(unittest.TestCase):
    """Guards against a target that is used while it fails, or never again."""

    def test_unreachable_targets_are_tried_again_later_each_time(self):
        clock = ManualClock()
        health = TargetHealth(clock)
        pauses = []
        for _ in range(5):
            health.note_unreachable("t")
            started = clock.monotonic()
            while health.is_blocked("t"):
                clock.move_to(clock.monotonic() + 0.05)
            pauses.append(round(clock.monotonic() - started, 1))
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], 4.1)

    def test_one_failure_among_many_answers_is_usual(self):
        health = TargetHealth(ManualClock())
        for _ in range(9):
            health.note_answer("t", is_good=True)
        health.note_answer("t", is_good=False)
        self.assertEqual(health.failing_share("t"), 0.0)

    def test_failures_in_a_row_are_noticed_and_fade(self):
        clock = ManualClock()
        health = TargetHealth(clock)
        for _ in range(3):
            health.note_answer("t", is_good=False)
        self.assertGreater(health.failing_share("t"), 0.4)
        clock.move_to(3.5)
        self.assertEqual(health.failing_share("t"), 0.0)

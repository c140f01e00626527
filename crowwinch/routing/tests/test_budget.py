"""Tests of the retry budgets and retry delays."""

import random
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.routing import TokenBucketRetryBudget
from crowwinch.routing._budget import retry_delay


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load."""

    def setUp(self):
        self.clock = ManualClock()
        self.budget = TokenBucketRetryBudget(
            self.clock, burst=10, refill_per_s=0.5
        )

    def _spend_all(self, workspace, target):
        count = 0
        while count < 100 and self.budget.try_spend(workspace, target):
            count += 1
        return count

    def test_both_budgets_limit(self):
        self.assertEqual(self._spend_all(1, 1), 10)
        # A refused retry spends nothing of the other budget.
        self.assertEqual(self._spend_all(2, 1), 0)
        self.assertEqual(self._spend_all(1, 2), 0)
        self.assertEqual(self._spend_all(2, 2), 10)

    def test_budget_refills_over_time(self):
        self._spend_all(1, 1)
        self.clock.move_to(6)
        self.assertEqual(self._spend_all(1, 1), 3)

    def test_longest_delay_doubles_up_to_a_limit(self):
        for failures, longest in ((1, 0.04), (2, 0.08), (3, 0.16), (99, 1.0)):
            with self.subTest(failures=failures):
                rng = random.Random(failures)
                delays = [retry_delay(failures, rng) for _ in range(500)]
                self.assertLessEqual(max(delays), longest)
                self.assertGreater(max(delays), 0.9 * longest)
                self.assertLess(min(delays), 0.1 * longest)

"""Tests of cost estimates and target limits."""

import itertools
import random
import unittest

from crowwinch.scheduling import (
    CostEstimator,
    TargetLimit,
    TargetReport,
)


class CostEstimatorTest(unittest.TestCase):
    """Guards against estimates from inaccurate hints or outdated costs."""

    def test_estimates(self):
        cases = (
            ("no cost seen", [], 70, 70),
            ("no hint and no cost seen", [], 0, 1),
            ("average below the hint", [(100, 20)] * 5, 100, 20),
            ("hint caps the average", [(100, 80)] * 5, 30, 30),
            ("hints that are too low do not cap", [(10, 80)] * 5, 10, 80),
            ("no hint", [(0, 40)] * 5, 0, 40),
            ("follows a change", [(0, 10)] * 20 + [(0, 90)] * 30, 0, 90),
        )
        for name, seen, hint, expected in cases:
            with self.subTest(name):
                estimator = CostEstimator()
                for each, cost in seen:
                    estimator.observe(1, 1, each, cost)
                self.assertEqual(estimator.estimate(1, 1, hint), expected)

    def test_unknown_workspace_gets_the_mean_of_the_group(self):
        estimator = CostEstimator()
        estimator.observe(1, 1, 0, 50)
        self.assertEqual(estimator.estimate(2, 1, 500), 50)
        self.assertEqual(estimator.estimate(2, 2, 500), 500)


class TargetLimitTest(unittest.TestCase):
    """Guards against limits that overload a target or leave slots idle."""

    def test_limit_follows_reports(self):
        cases = (
            ("queued requests lower it", 10, 1, 0.1, 9),
            ("full and fast raises it", 10, 0, 0.1, 11),
            ("full and slow keeps it", 10, 0, 0.6, 10),
            ("not full keeps it", 9, 0, 0.1, 10),
        )
        for name, running, waiting, first_token, expected in cases:
            with self.subTest(name):
                limit = TargetLimit(10, 12)
                report = TargetReport(
                    1, 1, running, waiting, time_to_first_token_s=first_token
                )
                limit.report(report, 1.0)
                self.assertEqual(limit.limit, expected)

    def test_limit_stays_between_one_and_the_maximum(self):
        limit = TargetLimit(10, 12)
        for waiting, expected in ((0, 12), (1, 1)):
            for step in range(50):
                report = TargetReport(1, 1, limit.limit, waiting)
                limit.report(report, float(step))
            self.assertEqual(limit.limit, expected)

    def test_allowed_slots_are_proportional_to_registered_routers(self):
        cases = ((4, 4, 10), (2, 4, 5), (1, 4, 3), (0, 4, 0), (5, 4, 10))
        for registered, listed, expected in cases:
            with self.subTest(registered=registered):
                allowed = TargetLimit(10).allowed(registered, listed)
                self.assertEqual(allowed, expected)

    def test_allowed_slots_rise_from_the_share_every_other_report(self):
        # Starting from zero left slots idle for seconds after a takeover.
        limit = TargetLimit(10)
        self.assertEqual(limit.allowed(1, 2), 5)
        for allowed in (6, 6, 7, 7, 8, 8, 9, 9, 10, 10):
            limit.report(TargetReport(1, 1, 0, 0), 1.0)
            self.assertEqual(limit.allowed(1, 2), allowed)

    def test_partition_exceeds_the_limit_by_at_most_the_margin(self):
        # Up to 12 requests ran on 8 slots when both schedulers counted the gap
        # between two requests on a slot as a free slot, and when a new
        # scheduler used its share at once while another one used the whole
        # target. Section 4.2 allows an excess of two slots; rounding adds less
        # than one for each side.
        for router_counts, seed in itertools.product(
            ((3, 1), (2, 2)), range(20)
        ):
            with self.subTest(router_counts=router_counts, seed=seed):
                peak, utilisation = self._simulate_partition(
                    router_counts, random.Random(seed)
                )
                self.assertLessEqual(peak, 8 + 2 + 1)
                self.assertGreater(utilisation, 0.8)

    def _simulate_partition(self, router_counts, generator):
        """Simulates two schedulers, the first of which has used all slots.

        Returns:
            The maximum number of concurrent requests at the target, and its
            mean utilisation after the first 10 s as a fraction of its slots.
        """
        # End times of each side's requests at the target. A request holds its
        # slot beyond its end, for the gap until the next request arrives.
        ends = ([], [])
        limits = (TargetLimit(8), TargetLimit(8, awaits_report=True))
        peak, total = 0, 0
        for step in range(0, 4000):
            now = step * 0.01
            running = sum(each > now for side in ends for each in side)
            peak, total = max(peak, running), total + running * (step >= 1000)
            for index, (limit, side) in enumerate(
                zip(limits, ends, strict=True)
            ):
                if step % 100 == 50 * index and (index == 0 or step > 100):
                    limit.report(TargetReport(1, 1, running, 0), now)
                for end in [each for each in side if each + 0.1 <= now]:
                    side.remove(end)
                    limit.end(now)
                # The partition starts at 0 s; each side detects the loss of the
                # other after 1 s.
                share = (
                    (4, 4)
                    if index == 0 and step < 100
                    else (router_counts[index], 4)
                )
                if index == 1 and step < 100:
                    continue
                while limit.own < limit.allowed(*share):
                    limit.begin(now)
                    side.append(now + 0.02 + generator.uniform(0.1, 1.5))
        return peak, total / 3000 / 8

    def test_abandoned_grants_count_as_load_of_others(self):
        limit = TargetLimit(10)
        for _ in range(4):
            limit.begin(0.0)
        for step in range(20):
            limit.report(TargetReport(1, 1, 4, 0), 1.0 + step)
        self.assertEqual(limit.allowed(1, 10), 10)
        for _ in range(4):
            limit.abandon(22.0)
        self.assertEqual(limit.allowed(1, 10), 6)

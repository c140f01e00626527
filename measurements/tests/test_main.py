"""Tests of the printed figures."""

import dataclasses
import json
import logging
import unittest
from unittest import mock

from measurements import main
from measurements._arrivals import arrivals
from measurements._scenarios import scenarios


def _short():
    scenario = scenarios()[0]
    return dataclasses.replace(
        scenario, burst_start=1.0, burst_end=6.0, end=20.0
    )


class MeasureTest(unittest.TestCase):
    """Guards against figures that cannot be reproduced."""

    def test_same_seed_prints_the_same_lines(self):
        first = [json.dumps(line) for line in main.measure(_short(), 1)]
        second = [json.dumps(line) for line in main.measure(_short(), 1)]
        self.assertEqual(first, second)

    def test_every_policy_is_printed_with_all_fields(self):
        required = {
            "scenario",
            "routers",
            "seed",
            "policy",
            "fairness_gap",
            "gap_bound",
            "utilisation",
            "control_bytes_per_router_s",
            "control_bytes_largest_router_s",
            "starved_workspaces",
            "lost",
            "doubled",
        }
        lines = main.measure(_short(), 1)
        figures = [line for line in lines if "summary" not in line]
        self.assertEqual(
            {line["policy"] for line in figures},
            {"crowwinch", "oracle", "local_fair", "fifo"},
        )
        for line in figures:
            self.assertLessEqual(required, set(line))

    def test_seeds_give_different_arrivals(self):
        scenario = _short()
        self.assertNotEqual(arrivals(scenario, 1), arrivals(scenario, 2))


class ExitCodeTest(unittest.TestCase):
    """Guards against a defect that the timer service logs and hides."""

    def _run(self, fails):
        def measure(scenario, seed):
            if fails:
                logging.getLogger("crowwinch.coordination").error("failed")
            return []

        with mock.patch.object(main, "measure", measure):
            return main.main(["--scenario", "flood", "--seed", "1"])

    def test_logged_error_fails_the_run(self):
        self.assertEqual(self._run(fails=False), 0)
        self.assertEqual(self._run(fails=True), 1)


class ScenarioTest(unittest.TestCase):
    """Guards against scenarios without the load that they are named for."""

    def test_flood_sends_a_thousand_times_its_share(self):
        scenario = next(each for each in scenarios() if each.flood)
        pool = scenario.pools[0]
        share = pool.requests_per_second / sum(scenario.weights.values())
        requests = arrivals(scenario, 1)
        start = scenario.burst_start + 5.0
        burst = [
            request
            for request in requests
            if start <= request.time < start + 3.0
            and scenario.snapshot().workspaces[request.workspace].name
            == scenario.flood
        ]
        self.assertAlmostEqual(
            len(burst) / 3.0, 1000 * share, delta=100 * share
        )

    def test_bound_follows_the_formula(self):
        """Spells out section 5 for S=80, R=50, C=2000, weights 1 and 1."""
        by_name = {each.name: each for each in scenarios()}
        concurrency = 80 * 2000 * 2 * 2 + 2000
        stale = 80 * 50 * 2
        cases = (
            ("trentside_burst", concurrency + stale * 0.2005),
            ("partition", 2 * concurrency + stale * 12.2005),
            ("scheduler_lost", concurrency + stale * 1.2005),
        )
        for name, expected in cases:
            with self.subTest(name):
                scenario = by_name[name]
                self.assertAlmostEqual(
                    scenario.gap_bound(scenario.pools[0]), expected
                )

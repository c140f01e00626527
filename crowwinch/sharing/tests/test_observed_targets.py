"""Tests of decisions that many waiting requests have in common."""

import random
import unittest
from unittest import mock

from crowwinch.sharing import Candidate, TargetView, Ticket, Work
from crowwinch.sharing._claim import Claim
from crowwinch.sharing._headroom import has_room, use_limit
from crowwinch.sharing.tests.support import SLOTS, Simulation

_ENGINE = TargetView("e0", 0, "llm", False, SLOTS, is_engine=True)


def _candidate(rng: random.Random) -> Candidate:
    forecast_s = rng.uniform(0.0, 2.0)
    return Candidate(
        target=_ENGINE,
        unread_tokens=100,
        reading_s=0.1,
        waiting_s=rng.choice((0.0, rng.uniform(0.0, 1.0))),
        reading_from_s=0.0,
        reading_until_s=0.1,
        queue_s=rng.uniform(0.0, forecast_s),
        forecast_s=forecast_s,
        expected_s=forecast_s,
        use=rng.uniform(0.0, 1.1),
        recompute_tokens=rng.choice((0, 100)),
        is_home=False,
        loss=0.0,
    )


class UseLimitTest(unittest.TestCase):
    """Guards against requests that wait although an engine has room."""

    def test_no_engine_from_the_limit_on_has_room(self):
        rng = random.Random(1)
        admitted = 0
        for _ in range(20_000):
            claim = Claim(
                share_use=rng.choice((0.0, 1.0, rng.uniform(0.5, 4.0))),
                relative_use=rng.uniform(0.0, 3.0),
                latency_s=rng.uniform(0.1, 2.0),
                waited_s=rng.choice((0.0, rng.uniform(0.0, 2.0))),
                prior_wait_s=rng.choice((0.0, rng.uniform(0.0, 2.0))),
                is_contended=rng.random() < 0.5,
                lead=rng.choice((0.0, rng.uniform(0.5, 2.0))),
            )
            candidate = _candidate(rng)
            if has_room(candidate, claim):
                admitted += 1
                with self.subTest(claim=claim, candidate=candidate):
                    self.assertLess(candidate.use, use_limit(claim))
        self.assertGreater(admitted, 1_000)


class FullTargetsTest(unittest.TestCase):
    """Guards against work for each pair of waiting request and target.

    Load: 160 requests of 20 workspaces wait for 45 engines without a free slot.
    With a forecast for each pair, a decision on them took 22 ms.
    """

    def test_full_engines_get_no_forecast(self):
        simulation = Simulation(45, 1e6)
        reservations = [
            simulation.loads.reserve(view.identifier, 0.0)
            for view in simulation.views
            for _ in range(SLOTS)
        ]
        for number in range(160):
            simulation.admission.submit(
                Ticket(
                    Work(
                        "llm",
                        f"w{number % 20}",
                        prompt_tokens=100,
                        target_latency_s=1.0,
                    ),
                    0.0,
                    15.0,
                    lambda _: None,
                )
            )
        placer = simulation.admission._placer
        with mock.patch.object(placer, "ranked", wraps=placer.ranked) as ranked:
            simulation.admission.poll()
            self.assertEqual(ranked.call_count, 0)
            self.assertEqual(simulation.admission.waiting, 160)
            reservations[0].finish()
            simulation.admission.poll()
        self.assertGreater(ranked.call_count, 0)
        self.assertLess(simulation.admission.waiting, 160)


if __name__ == "__main__":
    unittest.main()

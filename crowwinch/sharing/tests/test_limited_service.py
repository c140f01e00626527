"""Tests of a service whose targets all have rate limits."""

import random
import unittest

from crowwinch.sharing import PromptPart, Verdict, Work
from crowwinch.sharing.tests.support import Simulation

_UNLIMITED = 1e9
_ENGINES = 3
_LIMIT_PER_S = 4.0
_ASKED_PER_S = 60.0
_SECONDS = 12.0
_LATENCY_S = 0.6
# A router starts with part of a request for each target.
_EXTRA_REQUESTS = 3 * _ENGINES


class _LimitedSimulation(Simulation):
    """Engines that all name a rate limit from the start."""

    def __init__(self):
        super().__init__(_ENGINES, _UNLIMITED)
        self.waits_s = []
        for view in self.views:
            self.rate_limits.observe(
                view.identifier, view.life, _LIMIT_PER_S, 0.0
            )

    def _tick(self):
        self.rate_limits.refresh()
        super()._tick()

    def _apply(self, job, decision, returns):
        if decision.verdict is Verdict.SEND:
            self.rate_limits.take(decision.target, decision.target_life)
        else:
            self.waits_s.append(self.clock.monotonic() - job.arrived)
        super()._apply(job, decision, returns)


def _play(seed, weights):
    rng = random.Random(seed)
    load, time = [], 0.0
    while time < _SECONDS:
        (workspace,) = rng.choices(list(weights), list(weights.values()))
        work = Work(
            "llm",
            workspace,
            parts=(PromptPart("shared", 200), PromptPart(str(time), 600)),
            prompt_tokens=800,
            output_tokens=100,
            target_latency_s=_LATENCY_S,
        )
        load.append((time, work))
        time += rng.expovariate(_ASKED_PER_S)
    simulation = _LimitedSimulation()
    return simulation, simulation.run(load, _SECONDS)


class LimitedServiceTest(unittest.TestCase):
    """Guards against callers that wait for what the limits never allow."""

    def test_limits_are_used_and_the_rest_is_refused_at_once(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                simulation, jobs = _play(seed, {"a": 1.0, "b": 1.0, "c": 1.0})
                sent = sum(job.reservation is not None for job in jobs)
                possible = _ENGINES * _LIMIT_PER_S * _SECONDS
                self.assertLessEqual(sent, possible + _EXTRA_REQUESTS)
                self.assertGreater(sent, 0.8 * possible)
                waits_s = sorted(simulation.waits_s)
                self.assertLess(waits_s[len(waits_s) // 2], _LATENCY_S / 8)

    def test_small_workspace_gets_its_part(self):
        """Guards against limits that the largest workspace uses up."""
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                _, jobs = _play(seed, {"large": 20.0, "small": 1.0})
                small = [
                    job.reservation is not None
                    for job in jobs
                    if job.work.workspace == "small"
                ]
                self.assertGreater(sum(small), 0.8 * len(small))

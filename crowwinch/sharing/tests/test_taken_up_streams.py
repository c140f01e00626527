"""Tests of streams that callers take up while more is asked than served."""

import random
import unittest

from crowwinch.sharing import PromptPart, Ticket, Work
from crowwinch.sharing.tests.support import Simulation
from standins.engine_model import Job

_UNLIMITED = 1e9
_ENGINES = 2
_SECONDS = 12.0
_NEW_PER_S = 120.0
_TAKEN_UP = 60
_TAKEN_UP_AT_S = 4.0


def _work(name):
    return Work(
        "llm",
        "w",
        parts=(PromptPart("shared", 200), PromptPart(name, 1_800)),
        prompt_tokens=2_000,
        output_tokens=200,
        target_latency_s=0.6,
    )


class _CrowdSimulation(Simulation):
    """Submits the take-ups of a crowd like the forwarder does."""

    def take_up(self, work):
        now = self.clock.monotonic()
        job = Job(work, now, now + 8.0)
        self.shares.record_demand("w", work.cost)
        self.admission.submit(
            Ticket(
                work,
                now,
                job.deadline,
                lambda decision: self._apply(job, decision, 0),
                is_taken_up=True,
            )
        )
        return job


def _play(capacity, seed):
    """Returns the fractions of new and of taken-up streams that were sent."""
    rng = random.Random(seed)
    simulation = _CrowdSimulation(_ENGINES, capacity)
    taken_up = []
    for number in range(_TAKEN_UP):
        simulation.events.at(
            _TAKEN_UP_AT_S + rng.random(),
            lambda number=number: taken_up.append(
                simulation.take_up(_work(f"old-{number}"))
            ),
        )
    load, time = [], 0.0
    while time < _SECONDS:
        load.append((time, _work(f"new-{len(load)}")))
        time += rng.expovariate(_NEW_PER_S)
    new = simulation.run(load, _SECONDS)
    sent = [
        [job.reservation is not None for job in jobs]
        for jobs in (new, taken_up)
    ]
    return [sum(each) / len(each) for each in sent]


class TakenUpStreamsTest(unittest.TestCase):
    """Guards against callers of broken streams who fare worse than new ones.

    Treated as requests whose callers had waited since the start of the stream,
    none of 60 was sent, of new ones 0.35 to 0.46.
    """

    def test_share_that_goes_on_is_no_less_than_of_new_streams(self):
        for capacity in (_UNLIMITED, 60_000.0):
            for seed in (1, 2, 3):
                with self.subTest(capacity=capacity, seed=seed):
                    new, taken_up = _play(capacity, seed)
                    self.assertLess(new, 0.9)
                    self.assertGreaterEqual(taken_up, new)

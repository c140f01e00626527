"""Tests of admission for a service with cold targets."""

import dataclasses
import random
import unittest

from crowwinch.sharing import Ticket, Verdict, Work
from crowwinch.sharing.tests.support import SLOTS, Simulation

_PER_S = 12.0
_LATENCY_S = 0.8
_SECONDS = 12.0
_UNLIMITED = 1e9


class _ColdSimulation(Simulation):
    """Engines of which the first ones are cold for the whole time."""

    def __init__(self, engines, cold, is_settled=True):
        super().__init__(engines, _UNLIMITED)
        self.views = [
            dataclasses.replace(view, cold_start_s=3.0, cold_per_s=_PER_S)
            for view in self.views
        ]
        self.cold.set_fleet("r", (), is_settled)
        for view in self.views[:cold]:
            self.cold.observe_entry(view.identifier, view.life, 1, 30.0)
        self.refusals = []

    def _tick(self):
        self.cold.refresh()
        super()._tick()

    def _apply(self, job, decision, returns):
        if decision.verdict is Verdict.SEND:
            self.cold.take(decision.target, decision.target_life)
        else:
            waited_s = self.clock.monotonic() - job.arrived
            self.refusals.append((waited_s, decision.retry_after_s))
        super()._apply(job, decision, returns)

    def submit(self, deadline_s=15.0):
        """Submits a request and returns the list that gets its decision."""
        now = self.clock.monotonic()
        decisions = []
        self.admission.submit(
            Ticket(_work(0), now, now + deadline_s, decisions.append)
        )
        return decisions


def _work(number):
    return Work(
        "llm",
        f"w{number % 4}",
        prompt_tokens=100,
        output_tokens=30,
        target_latency_s=_LATENCY_S,
    )


def _play(simulation, per_s):
    rng = random.Random(1)
    load, time, number = [], 0.0, 0
    while time < _SECONDS:
        load.append((time, _work(number)))
        time += rng.expovariate(per_s)
        number += 1
    jobs = simulation.run(load, _SECONDS)
    return sum(job.reservation is not None for job in jobs), len(jobs)


class ColdServiceTest(unittest.TestCase):
    """Guards against callers that wait for what cold targets never take."""

    def test_rate_of_cold_targets_is_used_and_the_rest_is_refused(self):
        simulation = _ColdSimulation(2, cold=2)
        sent, _ = _play(simulation, 150.0)
        possible = 2 * _PER_S * _SECONDS
        self.assertLessEqual(sent, possible + 2)
        self.assertGreater(sent, 0.8 * possible)
        waits_s = sorted(waited_s for waited_s, _ in simulation.refusals)
        self.assertLess(waits_s[len(waits_s) // 2], _LATENCY_S / 4)

    def test_warm_targets_serve_what_cold_ones_do_not(self):
        """Guards against a forecast that lets callers wait for the cold one."""
        for is_settled in (True, False):
            with self.subTest(is_settled=is_settled):
                simulation = _ColdSimulation(2, 1, is_settled)
                sent, asked = _play(simulation, 40.0)
                self.assertEqual(sent, asked)

    def test_requests_that_no_target_may_take_are_refused_at_once(self):
        """Guards against a retry that comes before any target may be used."""
        simulation = _ColdSimulation(2, 2, is_settled=False)
        simulation.clock.move_to(27.0)
        for deadline_s in (1.0, 15.0):
            with self.subTest(deadline_s=deadline_s):
                (decision,) = simulation.submit(deadline_s)
                self.assertIs(decision.verdict, Verdict.REFUSE_OVERLOAD)
                self.assertGreaterEqual(decision.retry_after_s, 3.0)
                self.assertLess(decision.retry_after_s, 6.0)

    def test_request_waits_for_the_next_grant(self):
        """Guards against refusals of what is sent within its latency."""
        simulation = _ColdSimulation(1, 1)
        decisions = simulation.submit()
        self.assertEqual(decisions, [])
        simulation.clock.move_to(0.2)
        simulation.admission.poll()
        self.assertEqual([each.verdict for each in decisions], [Verdict.SEND])

    def test_closed_target_does_not_shorten_the_wait_for_slots(self):
        """Guards against a free slot that counts although it is not usable."""
        simulation = _ColdSimulation(2, 1, is_settled=False)
        for _ in range(SLOTS):
            simulation.loads.reserve("e1", 0.0)
        decisions = simulation.submit()
        simulation.clock.move_to(0.9)
        simulation.admission.poll()
        self.assertEqual(decisions, [])

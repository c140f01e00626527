"""Tests of a workspace that asks for more than all targets serve.

It is within its share, since the configured capacity is too high.
"""

import random
import unittest

from crowwinch.sharing import PromptPart, Ticket, Verdict, Work
from crowwinch.sharing.tests.support import SLOTS, Simulation

_UNLIMITED = 1e9
_SECONDS = 20.0
# Target latency, shared and own prompt tokens, output tokens and weight of the
# kinds of requests, as on the operators' large deployment.
_KINDS = {
    "plan": (0.8, 5382, 6610, 385, 0.25),
    "ask": (0.6, 198, 628, 294, 0.30),
    "tag": (1.2, 568, 1800, 21, 0.45),
}
_WORKSPACES = {"large": 0.62, "a": 0.2, "b": 0.1, "c": 0.04, "d": 0.04}
_PREFIXES_PER_KIND = 3


def _choose(rng, weights):
    return rng.choices(list(weights), list(weights.values()))[0]


def _arrivals(per_s, seed):
    rng = random.Random(seed)
    kinds = {name: values[-1] for name, values in _KINDS.items()}
    load = []
    time = rng.expovariate(per_s)
    while time < _SECONDS:
        kind, workspace = _choose(rng, kinds), _choose(rng, _WORKSPACES)
        latency_s, shared, own, output, _ = _KINDS[kind]
        prefix = f"{workspace}-{kind}-{rng.randrange(_PREFIXES_PER_KIND)}"
        work = Work(
            "llm",
            workspace,
            parts=(
                PromptPart(prefix, shared),
                PromptPart(f"own-{len(load)}", own),
            ),
            prompt_tokens=shared + own,
            output_tokens=output,
            target_latency_s=latency_s,
        )
        load.append((time, work))
        time += rng.expovariate(per_s)
    return load


def _parts_in_time(jobs):
    """Returns the part of the large workspace's requests in time, by kind."""
    parts = {}
    for kind, (latency_s, *_) in _KINDS.items():
        in_time = [
            job.is_in_time
            for job in jobs
            if job.work.workspace == "large"
            and job.work.target_latency_s == latency_s
        ]
        parts[kind] = sum(in_time) / len(in_time)
    return parts


class KindsOfRequestsTest(unittest.TestCase):
    """Guards against requests that take all slots since they may wait longest.

    In order of arrival, 3 of 523 `plan` and 3 of 710 `ask` were in time, but
    559 of 1,022 `tag`.
    """

    def test_no_kind_gets_less_than_a_third_of_another(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                jobs = Simulation(2, _UNLIMITED, returns=1).run(
                    _arrivals(90.0, seed), _SECONDS
                )
                parts = _parts_in_time(jobs)
                self.assertGreater(
                    min(parts.values()), max(parts.values()) / 3, parts
                )

    def test_small_workspaces_are_served_first(self):
        """Guards against an order that ignores the workspace."""
        jobs = Simulation(2, _UNLIMITED, returns=1).run(
            _arrivals(60.0, 1), _SECONDS
        )
        small = [
            job.is_in_time for job in jobs if job.work.workspace in ("c", "d")
        ]
        self.assertGreater(sum(small), 0.9 * len(small))


class OrderTest(unittest.TestCase):
    """Guards against a turn that comes too late for an urgent request."""

    def setUp(self):
        self.simulation = Simulation(1, _UNLIMITED)
        self._use("w", 1_000)
        self.slots = [
            self.simulation.loads.reserve("e0", 0.0) for _ in range(SLOTS)
        ]
        self.decisions = []

    def _submit(
        self,
        name,
        latency_s,
        prior_wait_s=0.0,
        prompt_tokens=100,
        workspace="w",
    ):
        now = self.simulation.clock.monotonic()
        work = Work(
            "llm",
            workspace,
            prompt_tokens=prompt_tokens,
            target_latency_s=latency_s,
        )
        self.simulation.admission.submit(
            Ticket(
                work,
                now,
                now + 15.0,
                lambda decision: self.decisions.append(
                    (name, decision.verdict)
                ),
                prior_wait_s=prior_wait_s,
            )
        )

    def _use(self, workspace, units):
        self.simulation.shares.record_usage(workspace, units)
        self.simulation.shares.refresh()

    def _move_to(self, now):
        self.simulation.clock.move_to(now)
        self.simulation.admission.poll()

    def test_the_request_that_must_start_first_goes_first(self):
        self._submit("patient", 1.2)
        self._move_to(0.05)
        self._submit("urgent", 0.4)
        self.slots.pop().finish()
        self.simulation.admission.poll()
        self.assertEqual(self.decisions[0], ("urgent", Verdict.SEND))

    def test_a_late_caller_goes_after_one_in_time(self):
        """Guards against a late answer of a small workspace that costs another.

        By the time at which it had to start, the late caller would be first.
        """
        self._use("larger", 9_000)
        self._submit("late", 0.8, prior_wait_s=2.0)
        self._submit("in time", 0.8)
        self.slots.pop().finish()
        self.simulation.admission.poll()
        self.assertEqual(self.decisions[0], ("in time", Verdict.SEND))

    def test_a_late_caller_takes_no_slot_before_one_that_waits(self):
        """Guards against a late arrival that is sent before the next poll."""
        self._use("other", 1_000)
        self._submit("in time", 0.8)
        for slot in self.slots[: SLOTS // 2]:
            slot.finish()
        self._submit("late", 0.8, prior_wait_s=2.0, workspace="other")
        self.simulation.admission.poll()
        self.assertEqual(
            self.decisions,
            [("in time", Verdict.SEND), ("late", Verdict.SEND)],
        )

    def test_what_can_only_be_late_is_refused_at_once(self):
        """Guards against callers held although new requests take each slot."""
        self._submit("first", 0.8)
        for step in range(1, 20):
            self._move_to(0.1 * step)
            self._submit("new", 0.8)
        self.decisions.clear()
        self._submit("late", 0.8, prior_wait_s=2.0)
        self._move_to(1.91)
        self.assertIn(("late", Verdict.REFUSE_OVERLOAD), self.decisions)

    def test_a_prompt_that_is_never_in_time_gets_a_slot_nobody_waits_for(self):
        """Guards against refusals of the longest prompts at half of the load.

        At 0.8 s, reading 60,000 tokens is late at an idle engine too.
        """
        for slot in self.slots[: SLOTS // 2]:
            slot.finish()
        self._submit("long", 0.8, prompt_tokens=60_000)
        self.assertEqual(self.decisions, [("long", Verdict.SEND)])

    def test_a_late_caller_waits_where_the_queue_is_not_standing(self):
        """Guards against refusals of what a free slot would serve soon."""
        self._submit("late", 0.8, prior_wait_s=2.0)
        self._move_to(0.3)
        self.assertEqual(self.decisions, [])
        for slot in self.slots:
            slot.finish()
        self.simulation.admission.poll()
        self.assertEqual(self.decisions, [("late", Verdict.SEND)])


if __name__ == "__main__":
    unittest.main()

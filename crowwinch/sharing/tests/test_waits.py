"""Tests of how long requests wait for a target."""

import unittest

from crowwinch.sharing import Ticket, Verdict, Work
from crowwinch.sharing.tests.support import SLOTS, Simulation


class BurstTest(unittest.TestCase):
    """Guards against refusals in a burst that waiting would serve.

    With the wait limit of sustained overload, 24 requests to 8 slots were
    partly refused although the last of them would have been sent 0.2 s later.
    """

    def _work(self, number):
        return Work(
            "llm",
            f"w{number % 4}",
            prompt_tokens=100,
            output_tokens=30,
            target_latency_s=0.8,
        )

    def test_all_requests_of_a_burst_are_served(self):
        load = [(1.0, self._work(number)) for number in range(4 * SLOTS)]
        jobs = Simulation(1, 1e9).run(load, 5.0)
        self.assertEqual([job.refused for job in jobs], [None] * len(load))
        self.assertGreater(
            max(job.first_event - job.arrived for job in jobs), 0.6
        )

    def _waits_until_refused(self, simulation):
        """Submits a request each 0.1 s and returns arrivals and waits."""
        waits = []

        def submit(number, arrived):
            simulation.admission.submit(
                Ticket(
                    self._work(number),
                    arrived,
                    arrived + 15.0,
                    lambda decision: waits.append(
                        (arrived, simulation.clock.monotonic() - arrived)
                    ),
                )
            )

        for step in range(250):
            now = step * 0.02
            simulation.clock.move_to(now)
            simulation.admission.poll()
            if step % 5 == 0:
                submit(step, now)
        return waits

    def test_waits_for_slots_that_stay_taken_get_short(self):
        """Guards against long waits under sustained overload of the slots."""
        simulation = Simulation(1, 1e9)
        for _ in range(SLOTS):
            simulation.loads.reserve("e0", 0.0)
        waits = self._waits_until_refused(simulation)
        self.assertGreater(max(wait for _, wait in waits), 1.1)
        later = [wait for arrived, wait in waits if arrived > 1.3]
        self.assertGreater(len(later), 10)
        self.assertLess(max(later), 0.7)

    def test_late_callers_get_short_waits_for_slots(self):
        """Guards against holding callers whose answers are late anyway."""
        simulation = Simulation(1, 1e9)
        for _ in range(SLOTS):
            simulation.loads.reserve("e0", 0.0)
        decisions = []
        simulation.admission.submit(
            Ticket(self._work(0), 0.0, 5.0, decisions.append, prior_wait_s=0.9)
        )
        simulation.clock.move_to(0.7)
        simulation.admission.poll()
        self.assertEqual(
            [decision.verdict for decision in decisions],
            [Verdict.REFUSE_OVERLOAD],
        )

    def test_prompts_that_wait_to_be_read_get_short_waits(self):
        """Guards against a queue of prompts that is taken for a burst.

        Each of several routers sees few requests, so its queue is often empty,
        and every prompt that waited long was answered late.
        """
        simulation = Simulation(1, 1e9)
        simulation.loads.reserve("e0", 30.0)
        waits = self._waits_until_refused(simulation)
        self.assertGreater(len(waits), 10)
        self.assertLess(max(wait for _, wait in waits), 0.7)

    def test_waits_over_the_share_are_short(self):
        """Guards against callers held in a queue that is not theirs.

        Their share comes back in seconds at the earliest.
        """
        simulation = Simulation(1, 10_000.0)
        simulation.shares.record_demand("w0", 1e6)
        simulation.shares.record_usage("w0", 44_000)
        simulation.shares.refresh()
        for _ in range(SLOTS):
            simulation.loads.reserve("e0", 0.0)
        decisions = []
        simulation.admission.submit(
            Ticket(self._work(0), 0.0, 15.0, decisions.append)
        )
        self.assertEqual(decisions, [])
        simulation.clock.move_to(0.11)
        simulation.admission.poll()
        self.assertEqual(
            [decision.verdict for decision in decisions],
            [Verdict.REFUSE_OVER_SHARE],
        )

    def test_withdrawn_requests_do_not_make_a_queue_standing(self):
        """Guards against a queue that callers emptied by leaving."""
        simulation = Simulation(1, 1e9)
        for _ in range(SLOTS):
            simulation.loads.reserve("e0", 1.0)
        decisions = []
        for arrived in (0.0, 10.0):
            simulation.clock.move_to(arrived)
            ticket = Ticket(
                self._work(0), arrived, arrived + 15.0, decisions.append
            )
            simulation.admission.submit(ticket)
            simulation.clock.move_to(arrived + 0.9)
            simulation.admission.poll()
            self.assertEqual(decisions, [])
            simulation.admission.withdraw(ticket)

    def test_each_of_several_bursts_is_a_new_one(self):
        """Guards against a queue that counts as standing after it emptied."""
        load = [
            (start, self._work(number))
            for start in (1.0, 4.0, 7.0)
            for number in range(4 * SLOTS)
        ]
        jobs = Simulation(1, 1e9).run(load, 12.0)
        self.assertEqual(sum(job.refused is not None for job in jobs), 0)


if __name__ == "__main__":
    unittest.main()

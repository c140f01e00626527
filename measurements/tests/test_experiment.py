"""Ways of sharing engines under played loads."""

import unittest

from measurements._sharing_policies import POLICIES
from measurements._sharing_world import outcome
from measurements.experiment import make_load, play

_ROUTERS = 8
_SECONDS = 6.0
_SEED = 1


class SharingTest(unittest.TestCase):
    """Guards against a way of sharing that serves less than the others.

    Eight routers, each with a part of the requests; the bound is one queue
    that sees everything, the baseline has no queue.
    """

    def _in_time(self, policy, times=2.0, fault="none"):
        load = make_load(_ROUTERS, times, _SEED, _SECONDS, fault)
        return play(policy, load, _SEED).in_time

    def test_local_decisions_serve_as_much_as_one_queue(self):
        for times in (1.0, 2.0):
            with self.subTest(times):
                local = self._in_time("local", times)
                self.assertGreater(
                    local, 0.95 * self._in_time("one queue", times)
                )

    def test_faults_of_a_fifth_of_the_routers_cost_little(self):
        calm = self._in_time("local")
        for fault in ("frozen", "cut", "lagging"):
            with self.subTest(fault):
                faulty = self._in_time("local", fault=fault)
                self.assertGreater(faulty, 0.9 * calm)
                self.assertGreater(
                    faulty, self._in_time("scheduler", fault=fault)
                )

    def test_twice_the_traffic_serves_no_less(self):
        """Of a load that is long against the first reading of all prefixes."""
        for seed in (1, 2):
            served = []
            for times in (1.0, 2.0):
                load = make_load(_ROUTERS, times, seed, 2 * _SECONDS)
                asked = sum(work.cost for _, work in load.arrivals)
                served.append(asked * play("local", load, seed).in_time)
            with self.subTest(seed):
                self.assertGreaterEqual(served[1], served[0])

    def test_every_request_has_an_end(self):
        load = make_load(_ROUTERS, 2.0, _SEED, 3.0, "frozen")
        for name, policy in POLICIES.items():
            with self.subTest(name):
                world = policy(load, _SEED)
                world.play()
                result = outcome(world)
                self.assertEqual(len(world.jobs), len(load.arrivals))
                self.assertAlmostEqual(result.served + result.refused, 1.0)

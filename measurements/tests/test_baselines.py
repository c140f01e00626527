"""Tests that each baseline behaves as defined."""

import unittest

from crowwinch.coordination import identifier
from measurements._arrivals import Request
from measurements._baselines import Fifo, LocalFair, Oracle
from measurements._scenarios import Fault, Pool, Scenario
from measurements._world import World

LARGE, SMALL = identifier("large"), identifier("small")
GROUP = identifier("engines")


def _scenario(targets=1, slots=2, routers=2, faults=()):
    pool = Pool("engines", "engine", targets, slots, 10.0, 10, 0.1, 100, 1.0)
    weights = {"large": 1.0, "small": 1.0}
    return Scenario(
        "test", routers, (pool,), weights, weights, tuple(faults), end=100.0
    )


def _request(number, workspace, router=0, time=0.0, cost=10):
    return Request(number, time, router, workspace, GROUP, cost, cost, True)


def _run(policy, requests, **sizes):
    world = World(_scenario(**sizes), requests, policy)
    starts = []
    record = world.service_started

    def started(request, rate):
        starts.append((round(world.now, 2), request.number))
        record(request, rate)

    world.service_started = started
    world.run()
    return world, starts


class OracleTest(unittest.TestCase):
    """Guards against an oracle that is unfair or leaves slots idle."""

    def test_small_workspace_is_served_in_turn_across_routers(self):
        requests = [_request(n, LARGE) for n in range(1, 9)]
        requests.append(_request(9, SMALL, router=1, time=0.5))
        requests.append(_request(10, SMALL, router=1, time=0.5))
        world, starts = _run(Oracle(), requests)
        self.assertEqual(
            sorted(starts[:6]),
            [(0.0, 1), (0.0, 2), (1.0, 3), (1.0, 9), (2.0, 4), (2.0, 10)],
        )
        self.assertEqual(world.utilisation.utilisation, 1.0)

    def test_real_cost_counts_after_the_end_only(self):
        """A cost of 45 with an estimate of 10 costs four turns of 10."""
        requests = [
            Request(1, 0.0, 0, LARGE, GROUP, 45, 10, True),
            *(_request(n, LARGE) for n in (2, 3)),
            *(_request(n, SMALL) for n in (4, 5, 6, 7)),
        ]
        _, starts = _run(Oracle(), requests, slots=1)
        self.assertEqual(
            [number for _, number in starts], [1, 4, 5, 6, 7, 2, 3]
        )

    def test_weights_divide_service(self):
        scenario = _scenario(slots=1)
        scenario.weights["large"] = 3.0
        requests = [_request(n, LARGE) for n in range(1, 13)]
        requests += [_request(n, SMALL) for n in range(13, 25)]
        world = World(scenario, requests, Oracle())
        order = []
        world.service_started = lambda request, rate: order.append(
            request.workspace
        )
        world.service_ended = lambda request, rate: None
        world.run()
        self.assertEqual(order[:12].count(LARGE), 9)


class LocalFairTest(unittest.TestCase):
    """Guards against a baseline that shares slots between routers."""

    def test_slots_of_other_routers_stay_idle(self):
        requests = [_request(n, LARGE) for n in (1, 2, 3)]
        world, starts = _run(LocalFair(), requests)
        self.assertEqual([number for _, number in starts], [1, 2, 3])
        self.assertEqual([time for time, _ in starts], [0.0, 1.0, 2.0])
        self.assertAlmostEqual(world.utilisation.utilisation, 0.5, places=2)

    def test_each_router_is_fair(self):
        requests = [
            Request(1, 0.0, 0, LARGE, GROUP, 15, 10, True),
            *(_request(n, LARGE) for n in (2, 3)),
            _request(4, SMALL),
        ]
        _, starts = _run(LocalFair(), requests)
        self.assertEqual([number for _, number in starts], [1, 4, 2, 3])


class FifoTest(unittest.TestCase):
    """Guards against a baseline that coordinates."""

    def test_targets_serve_in_order_of_arrival(self):
        requests = [_request(n, LARGE) for n in range(1, 7)]
        requests.append(_request(7, SMALL, time=0.1))
        _, starts = _run(Fifo(), requests)
        self.assertEqual([number for _, number in starts], list(range(1, 8)))

    def test_work_waits_at_one_target_while_another_is_idle(self):
        requests = [
            _request(1, LARGE, cost=100),
            _request(2, LARGE, cost=10),
            _request(3, LARGE, cost=100),
        ]
        world, starts = _run(Fifo(), requests, targets=2, slots=1)
        self.assertEqual(starts[-1], (10.0, 3))
        self.assertLess(world.utilisation.utilisation, 0.6)


class FaultTest(unittest.TestCase):
    """Guards against requests that the harness itself loses or doubles."""

    def test_callers_repeat_after_faults(self):
        faults = {
            "router": Fault("router", 0.5, 3.0, 0),
            "target": Fault("target", 0.5, 3.0, 0),
        }
        for policy in (Oracle, LocalFair, Fifo):
            for kind, fault in faults.items():
                with self.subTest(policy=policy.name, fault=kind):
                    requests = [_request(n, LARGE) for n in range(1, 9)]
                    world, _ = _run(
                        policy(), requests, targets=2, faults=[fault]
                    )
                    self.assertEqual((world.lost, world.doubled), (0, 0))
                    self.assertEqual(sum(world.answers.values()), 8)

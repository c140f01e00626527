"""Tests of the fake network and of the life of a router."""

import dataclasses
import unittest

import msgspec

from crowwinch.generated.peer_messages import Grants
from measurements._arrivals import arrivals
from measurements._fleet import Crowwinch
from measurements._scenarios import LATENCY, Fault, scenarios
from measurements._world import World

_MESSAGE = Grants(1, [], [], [])


def _fleet():
    scenario = dataclasses.replace(scenarios()[0], burst_start=0.0)
    world = World(scenario, [], Crowwinch())
    world.policy.start(world)
    return world, world.policy


def _run_until(world, time):
    while (due := world.timers.next_due()) is not None and due <= time:
        world.clock.move_to(due)
        world.timers.run_due()
    world.clock.move_to(time)


class NetworkTest(unittest.TestCase):
    """Guards against miscounted bytes and messages that cross a fault."""

    def setUp(self):
        self.world, self.fleet = _fleet()
        self.received = []
        for index in range(8):
            router = self.fleet._routers[f"router-{index}"]
            router.receive = lambda sender, message: self.received.append(
                (round(self.world.now, 4), sender, message)
            )

    def _send(self):
        self.fleet.send("router-0", "router-7", _MESSAGE)

    def _expected(self, time):
        return (round(time, 4), "router-0", _MESSAGE)

    def test_bytes_count_once_at_each_end(self):
        before = self.fleet.control_bytes
        self._send()
        after = self.fleet.control_bytes
        grown = [new - old for old, new in zip(before, after, strict=True)]
        # Life, frame and envelope; CURVE, ZMTP and TCP/IP headers.
        size = len(msgspec.msgpack.encode(_MESSAGE)) + 6 + 9 + 2 + 33 + 2 + 40
        self.assertEqual(grown, [size, 0, 0, 0, 0, 0, 0, size])
        # Message and, as it comes late, the acknowledgement before it.
        _run_until(self.world, 5.0)
        self.fleet.send("router-7", "router-0", _MESSAGE)
        grown = [
            new - old
            for old, new in zip(after, self.fleet.control_bytes, strict=True)
        ]
        self.assertGreaterEqual(grown[0], size + 9 + 33 + 2 + 40)

    def test_message_arrives_after_the_latency(self):
        self._send()
        _run_until(self.world, LATENCY)
        self.assertIn(self._expected(LATENCY), self.received)

    def test_partition_holds_messages_until_it_heals(self):
        fault = Fault("partition", 0.0, 1.0)
        self.fleet.on_fault(fault, True)
        self._send()
        _run_until(self.world, 0.5)
        messages = [message for _, _, message in self.received]
        self.assertNotIn(_MESSAGE, messages)
        self.fleet.on_fault(fault, False)
        self.assertIn(self._expected(0.5), self.received)

    def test_next_life_gets_no_message_of_the_one_before(self):
        fault = Fault("router", 0.0, 1.0, 7)
        self._send()
        self.fleet.on_fault(fault, True)
        self.fleet.on_fault(fault, False)
        _run_until(self.world, 1.0)
        self.assertNotIn(self._expected(LATENCY), self.received)


class FaultTest(unittest.TestCase):
    """Guards against requests that a fault loses or doubles."""

    def test_each_fault_loses_and_doubles_nothing(self):
        for scenario in scenarios():
            if not scenario.faults:
                continue
            with self.subTest(scenario.name):
                world = World(scenario, arrivals(scenario, 1), Crowwinch())
                with self.assertLogs("crowwinch", "INFO"):
                    world.run()
                self.assertEqual((world.lost, world.doubled), (0, 0))

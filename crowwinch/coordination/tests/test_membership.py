"""Tests of the membership on a fake network."""

import dataclasses
import random
import unittest

import msgspec

from crowwinch.coordination import (
    Ack,
    ManualClock,
    Membership,
    MemberState,
    MemberUpdate,
    Ping,
    TimerService,
    incarnation_of,
)

_HEADER_BYTES = 83


class Node:
    """A member with its own clock and timers, so that it can be frozen."""

    def __init__(self, network, name, life):
        self.name, self.network, self.life = name, network, life
        self.clock = ManualClock(network.now)
        self.timers = TimerService(self.clock)
        self.inbox, self.frozen, self.sent_bytes = [], False, 0
        self.changes = []
        self.view = Membership(
            name, life, self.timers, self._send, random.Random(f"{name}{life}")
        )
        self.view.subscribe(self.changes.append)
        self.view.set_listed(network.names)
        self.view.start()

    def _send(self, to, message):
        body = msgspec.msgpack.encode(dataclasses.astuple(message))
        self.sent_bytes += _HEADER_BYTES + len(body)
        self.network.carry(self.name, to, message)

    def receive(self, sender, message):
        if isinstance(message, Ping):
            self.view.handle_ping(sender, message)
        elif isinstance(message, Ack):
            self.view.handle_ack(sender, message)
        else:
            self.view.handle_ping_request(sender, message)

    def advance(self, now):
        if self.frozen:
            return
        self.clock.move_to(now)
        # Timers go first, as in a process that wakes up.
        self.timers.run_due()
        inbox, self.inbox = self.inbox, []
        for sender, message in inbox:
            self.receive(sender, message)

    def state(self, member):
        return self.view.members()[member].state


class Network:
    """Carries messages within one step of 50 ms."""

    def __init__(self, count, step=0.05, life=1000):
        self.now, self.step = 100.0, step
        self.names = [f"router-{index}" for index in range(count)]
        self.cut = set()
        self.nodes = {}
        for name in self.names:
            self.nodes[name] = Node(self, name, life)

    def carry(self, sender, to, message):
        node = self.nodes.get(to)
        if node is not None and (sender, to) not in self.cut:
            node.inbox.append((sender, message))

    def run(self, seconds):
        for _ in range(round(seconds / self.step)):
            self.now += self.step
            for node in list(self.nodes.values()):
                node.advance(self.now)

    def partition(self, left):
        for a in self.names:
            for b in self.names:
                if (a in left) != (b in left):
                    self.cut.add((a, b))

    def states(self, member):
        return {
            node.state(member)
            for name, node in self.nodes.items()
            if name != member
        }


_ALIVE, _DEAD = {MemberState.ALIVE}, {MemberState.DEAD}


class MembershipTest(unittest.TestCase):
    """Guards against views that are wrong for longer than stated."""

    def setUp(self):
        self.network = Network(8)
        self.network.run(5)
        self.nodes = self.network.nodes

    def assert_all_alive(self):
        for node in self.nodes.values():
            self.assertEqual(list(node.view.alive()), self.network.names)

    def test_healthy_fleet_stays_alive(self):
        self.network.run(120)
        self.assert_all_alive()
        for node in self.nodes.values():
            for change in node.changes:
                self.assertEqual(change.state, MemberState.ALIVE)

    def test_killed_member_is_dead_in_time(self):
        # Of 3 members: 2 periods to the probe, 0.9 s to its end, 2 s of
        # suspicion. Of 8: 7 periods instead of 2.
        for count, bound in ((3, 6), (8, 10)):
            for seed in range(10):
                # The order of probes follows from name and life.
                network = Network(count, life=1000 + seed)
                network.run(3 + seed * 0.13)
                del network.nodes["router-1"]
                network.run(bound)
                with self.subTest(count=count, seed=seed):
                    self.assertEqual(network.states("router-1"), _DEAD)

    def test_frozen_member_is_dead_and_returns_on_waking(self):
        frozen = self.nodes["router-3"]
        frozen.frozen = True
        self.network.run(30)
        self.assertEqual(self.network.states("router-3"), _DEAD)
        frozen.frozen = False
        frozen.changes.clear()
        self.network.run(4)
        self.assert_all_alive()
        # A pause says nothing of the others.
        self.assertEqual(frozen.changes, [])

    def test_one_way_cut_kills_nobody(self):
        self.network.cut.add(("router-1", "router-2"))
        self.network.run(60)
        for name in self.network.names:
            self.assertEqual(self.network.states(name), _ALIVE)

    def test_partition_separates_and_heals(self):
        left = set(self.network.names[:3])
        self.network.partition(left)
        self.network.run(12)
        for name, node in self.nodes.items():
            side = [
                n for n in self.network.names if (n in left) == (name in left)
            ]
            self.assertEqual(list(node.view.alive()), side)
        self.network.cut.clear()
        self.network.run(5)
        self.assert_all_alive()

    def test_restart_is_a_new_life(self):
        self.nodes["router-3"] = Node(self.network, "router-3", 2000)
        self.network.run(4)
        for name, node in self.nodes.items():
            if name != "router-3":
                self.assertEqual(node.view.life("router-3"), 2000)
        self.assert_all_alive()

    def test_restart_with_an_earlier_clock_is_seen(self):
        self.nodes["router-3"] = Node(self.network, "router-3", 500)
        self.network.run(4)
        lives = {node.view.life("router-3") for node in self.nodes.values()}
        self.assertEqual(lives, {1001})

    def test_new_life_learns_of_the_dead(self):
        del self.nodes["router-4"]
        self.network.run(60)
        self.nodes["router-3"] = Node(self.network, "router-3", 2000)
        self.network.run(1.5)
        self.assertEqual(
            self.nodes["router-3"].state("router-4"), MemberState.DEAD
        )

    def test_member_outside_the_list_is_refused_until_listed(self):
        self.network.names = [*self.network.names, "router-8"]
        late = Node(self.network, "router-8", 1000)
        self.nodes["router-8"] = late
        self.network.run(3)
        first = self.nodes["router-0"].view
        self.assertNotIn("router-8", first.members())
        self.assertGreater(sum(n.view.refused for n in self.nodes.values()), 0)
        for node in self.nodes.values():
            node.view.set_listed(self.network.names)
        self.network.run(6)
        self.assert_all_alive()

    def test_member_removed_from_the_list_is_forgotten(self):
        names = self.network.names[:7]
        view = self.nodes["router-0"].view
        view.set_listed(names)
        self.network.run(3)
        self.assertNotIn("router-7", view.members())
        self.assertIsNone(self.nodes["router-0"].changes[-1].state)

    def test_member_listed_again_is_probed_once_a_cycle(self):
        node = self.nodes["router-0"]
        for _ in range(3):
            node.view.set_listed(self.network.names[:7])
            node.view.set_listed(self.network.names)
        self.network.run(5)
        self.assertEqual(self.network.states("router-7"), _ALIVE)
        del self.nodes["router-7"]
        self.network.run(10)
        self.assertEqual(self.network.states("router-7"), _DEAD)

    def test_incarnation_that_cannot_be_refuted_is_ignored(self):
        view = self.nodes["router-0"].view
        before = view.incarnation
        for incarnation in (-1, 2**62, 2**64 - 1):
            update = MemberUpdate("router-0", incarnation, MemberState.SUSPECT)
            view.handle_ping(
                "router-1", Ping(1, incarnation_of(1000), (update,))
            )
        self.assertEqual(view.incarnation, before)

    def test_left_member_is_not_suspected(self):
        self.nodes["router-3"].view.leave()
        self.network.run(4)
        del self.nodes["router-3"]
        self.network.run(20)
        self.assertEqual(self.network.states("router-3"), {MemberState.LEFT})

    def test_marked_member_refutes(self):
        view = self.nodes["router-0"].view
        view.mark_suspect("router-3")
        self.assertNotIn("router-3", view.alive())
        self.network.run(2)
        self.assert_all_alive()
        self.assertEqual(view.life("router-3"), 1000)


class MembershipLoadTest(unittest.TestCase):
    """Guards against probe traffic that grows with the fleet."""

    def test_bytes_per_member_are_constant(self):
        rates = {}
        for count in (8, 64, 340):
            network = Network(count, step=0.1)
            network.run(8)
            for node in network.nodes.values():
                node.sent_bytes = 0
            del network.nodes["router-1"]
            network.run(10)
            sent = [node.sent_bytes for node in network.nodes.values()]
            rates[count] = sum(sent) / len(sent) / 10
            self.assertEqual(network.states("router-1"), _DEAD)
        print("membership bytes/s sent per member:", rates)
        # A period sends one probe and one answer, and while a member is dead
        # one more probe; each carries at most 6 updates of 32 bytes. Requests
        # for the dead member and the probes they cause add less than one.
        bound = 4 * (_HEADER_BYTES + 32 + 6 * 32)
        for count, rate in rates.items():
            self.assertLess(rate, bound, count)
        self.assertLess(rates[340], 1.5 * rates[64])

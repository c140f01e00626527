"""Tests of the scheduling service over a simulated network."""

import unittest

from crowwinch.coordination import (
    ManualClock,
    TimerService,
    identifier,
    owner,
)
from crowwinch.generated.peer_messages import Ping
from crowwinch.scheduling import (
    SchedulingService,
    SlotOutcome,
    SlotRequest,
    TargetReport,
)
from crowwinch.scheduling.tests.fleet import GROUP, make_snapshot

_DELAY_S = 0.001


class Network:
    """Services with simulated partitions and process failures."""

    def __init__(self, names, snapshot):
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.snapshot = snapshot
        self.names = set(names)
        self.views = {name: set(names) for name in names}
        self.unresponsive = set()
        self.blocked_links = set()
        self.running = 0
        self.max_running = 0
        self.completed = 0
        self.suspected = []
        self.services = {}
        for name in names:
            self.start(name, 1)

    def start(self, name, incarnation):
        self.services[name] = SchedulingService(
            self.clock,
            self.timers,
            lambda: self.snapshot,
            name,
            incarnation,
            "here",
            lambda peer, message: self.send(name, peer, message),
            alive=lambda: self.views[name],
            listed=lambda: self.names,
            suspect=lambda peer: self.suspected.append((name, peer)),
        )
        self.services[name].start()

    def send(self, sender, peer, message):
        def deliver():
            pair = frozenset((sender, peer))
            if (
                pair not in self.blocked_links
                and not {sender, peer} & self.unresponsive
            ):
                service = self.services.get(peer)
                if service is not None:
                    service.receive(message, sender)

        self.timers.call_later(_DELAY_S, deliver)

    def set_partition(self, *sides):
        """Partitions the network; one side alone restores all links."""
        self.blocked_links = {
            frozenset((first, second))
            for side in sides
            for other in sides
            if side is not other
            for first in side
            for second in other
        }
        for side in sides:
            for name in side:
                self.views[name] = set(side)
        for side in sides:
            for name in side:
                if name in self.services:
                    self.services[name].membership_changed()

    def submit(self, name, duration=0.05):
        def start(slot):
            self.running += 1
            self.max_running = max(self.max_running, self.running)

            def end():
                self.running -= 1
                self.completed += 1
                slot.finish(50, SlotOutcome.SERVED)

            self.timers.call_later(duration, end)

        request = SlotRequest(identifier("a"), GROUP, estimate=50)
        self.services[name].dispatcher.submit(
            request, start, lambda error: None
        )

    def report(self):
        for name in self.services:
            self.services[name].report_target(
                TargetReport(identifier("t0"), 1, self.running, 0)
            )

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            self.clock.move_to(max(due, self.clock.monotonic()))
            self.timers.run_due()
        self.clock.move_to(end)


class ServiceTest(unittest.TestCase):
    """Guards against regions without a working scheduler."""

    def setUp(self):
        self.names = ["r1", "r2", "r3", "r4"]
        self.network = Network(self.names, make_snapshot({"a": 1}, 1, 4))
        self.initial = owner("domain:here", self.names)
        self.others = [name for name in self.names if name != self.initial]
        self.network.run(0.1)

    def _schedulers(self):
        return {
            name
            for name, service in self.network.services.items()
            if service.scheduler is not None
        }

    def test_single_router_schedules_its_own_requests(self):
        network = Network(["only"], make_snapshot({"a": 1}, 1, 4))
        for _ in range(20):
            network.submit("only")
        network.run(0.3)
        self.assertEqual((network.completed, network.max_running), (20, 4))

    def test_one_router_schedules_for_all(self):
        for name in self.names * 10:
            self.network.submit(name)
        self.network.run(1)
        self.assertEqual(self._schedulers(), {self.initial})
        self.assertEqual(self.network.completed, 40)
        self.assertEqual(self.network.max_running, 4)

    def test_lost_scheduler_is_replaced(self):
        for name in self.others * 100:
            self.network.submit(name)
        self.network.run(0.2)
        self.network.services.pop(self.initial).stop()
        self.network.set_partition(self.others)
        self.network.run(0.1)
        self.assertEqual(
            self._schedulers(), {owner("domain:here", self.others)}
        )
        # The next scheduler restores the grants of its routers, although the
        # lost router is still listed.
        self.assertEqual(self.network.running, 4)
        for _ in range(5):
            self.network.report()
            self.network.run(0.3)
        self.assertEqual(self.network.running, 4)
        self.network.run(10)
        self.assertEqual(self.network.completed, 300)

    def test_unresponsive_scheduler_is_replaced_before_view_changes(self):
        for name in self.others * 100:
            self.network.submit(name)
        self.network.run(0.2)
        self.network.unresponsive.add(self.initial)
        before = self.network.completed
        # Utilisation requirement: no target is idle for 2 s.
        self.network.run(1.9)
        self.assertGreater(self.network.completed, before + 8)
        self.assertGreater(self.network.running, 0)
        self.assertIn((self.others[0], self.initial), self.network.suspected)

    def test_leaving_scheduler_hands_over(self):
        for name in self.names * 25:
            self.network.submit(name)
        self.network.run(0.2)
        self.network.services[self.initial].leave()
        self.network.names.discard(self.initial)
        for name in self.others:
            self.network.views[name].discard(self.initial)
            self.network.services[name].membership_changed()
        self.network.run(0.05)
        successor = owner("domain:here", self.others)
        self.assertEqual(self._schedulers(), {successor})
        self.network.run(3)
        self.assertEqual(self.network.completed, 100)

    def test_restarted_scheduler_receives_registrations(self):
        for name in self.others * 20:
            self.network.submit(name)
        self.network.run(0.2)
        self.network.services.pop(self.initial).stop()
        self.network.start(self.initial, 2)
        self.network.run(3)
        scheduler = self.network.services[self.initial].scheduler
        self.assertEqual(set(scheduler.routers), set(self.names))
        self.assertEqual(self.network.completed, 60)

    def test_partition_respects_margin_and_recovers(self):
        sides = (self.names[:2], self.names[2:])
        for name in self.names * 200:
            self.network.submit(name)
        self.network.run(0.3)
        self.network.set_partition(*sides)
        # Until the first reports, each side knows only its own grants.
        self.network.run(0.2)
        self.network.max_running = 0
        for _ in range(20):
            self.network.report()
            self.network.run(0.1)
        self.assertEqual(len(self._schedulers()), 2)
        # Section 4.2 permits two slots per target above the limit.
        self.assertLessEqual(self.network.max_running, 4 + 2)
        self.assertGreaterEqual(self.network.running, 4)
        self.network.set_partition(self.names)
        self.network.run(0.2)
        self.assertEqual(self._schedulers(), {self.initial})
        self.network.max_running = 0
        self.network.run(1)
        self.assertEqual(self.network.max_running, 4)
        self.network.run(20)
        self.assertEqual(self.network.completed, 800)

    def test_unexpected_message_type_is_rejected(self):
        with self.assertRaises(TypeError):
            self.network.services["r1"].receive(Ping(1, 1, 1, "", []), "r2")

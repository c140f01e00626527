"""Polls divided over the routers of a region."""

import asyncio
import itertools
import types
import unittest

from crowwinch.app._fleet_polling import FleetPolling
from crowwinch.configuration import Snapshot
from crowwinch.coordination import ManualClock, TimerService, identifier
from crowwinch.generated.documents import Group, Target
from crowwinch.peers import PeerIdentity
from crowwinch.targets import NotSentError, TargetLoad, TargetMonitor

_STEP_S = 0.05
_EVENT_S, _END_S = 5.0, 15.0
# A target that leaves gets no new work after 3 s (I6).
_LONGEST_GAP_S = 3.0
_TARGETS = [Target(f"t{index}", f"t{index}", 8) for index in range(12)]
_SNAPSHOT = Snapshot.build(1, "d", [], [Group("g", "engine", "r", _TARGETS)])


_ID = {target.name: identifier(target.name) for target in _TARGETS}


class _Region:
    """Three routers on one clock; router 0 schedules at first."""

    def __init__(self):
        self.clock = ManualClock()
        self.alive = {"0", "1", "2"}
        self.scheduler = "0"
        self.frozen, self.cut, self.unreachable = set(), set(), set()
        self.latency = {}
        self.messages, self.reports, self.polls = [], [], []
        self.on_members = []
        self.routers = {name: self._build(name) for name in self.alive}

    def _build(self, name):
        timers = TimerService(self.clock)

        async def fetch(url):
            self.polls.append((self.clock.monotonic(), url))
            if name in self.unreachable:
                raise NotSentError("no route")
            # The load says when it was measured.
            return TargetLoad(int(self.clock.monotonic() * 1e3), 0)

        def send(peer, message):
            due = self.clock.monotonic() + self.latency.get(name, 0.001)
            if (name, peer) not in self.cut:
                self.messages.append((due, name, peer, message))

        peers = types.SimpleNamespace(
            membership=types.SimpleNamespace(subscribe=self.on_members.append),
            subscribe_vm_list=lambda listener: None,
            alive_in_region=lambda region: self.alive,
            send=send,
        )
        polling = FleetPolling(
            types.SimpleNamespace(name=name, region="r"),
            timers,
            lambda: _SNAPSHOT,
            peers,
            TargetMonitor(timers, fetch),
            lambda: self.scheduler,
            lambda: self.scheduler == name,
            lambda report: self.reports.append(
                (self.clock.monotonic(), report)
            ),
        )
        return timers, polling

    async def run(self, until):
        while self.clock.monotonic() < until - 1e-9:
            self.clock.move_to(self.clock.monotonic() + _STEP_S)
            running = [each for each in self.routers if each not in self.frozen]
            due = [
                each
                for each in self.messages
                if each[0] <= self.clock.monotonic() and each[2] in running
            ]
            self.messages = [each for each in self.messages if each not in due]
            for _, sender, peer, message in due:
                self.routers[peer][1].receive(PeerIdentity(sender, 1), message)
            for name in running:
                self.routers[name][0].run_due()
            for _ in range(5):
                await asyncio.sleep(0)

    def move_scheduler(self, name):
        self.scheduler = name
        self.routers[name][1].restart()

    def lose(self, name):
        self.alive = self.alive - {name}
        for listener in self.on_members:
            listener(None)


class FleetPollingTest(unittest.IsolatedAsyncioTestCase):
    """Guards against targets without reports, with stale or with two."""

    async def _run(self, event, later):
        region = _Region()
        for _, polling in region.routers.values():
            await polling.start()
        region.move_scheduler("0")
        await region.run(_EVENT_S)
        event(region)
        await region.run(_EVENT_S + 4)
        later(region)
        await region.run(_END_S)
        return region

    def _check(self, region, polls):
        for target in _TARGETS:
            times, measured = [0.0], [-1.0]
            for time, report in region.reports:
                if report.target == _ID[target.name] and report.is_reachable:
                    times.append(time)
                    measured.append(report.running / 1e3)
                    age = time - measured[-1]
                    self.assertLessEqual(age - report.age, 2 * _STEP_S)
            frozen = 4.0 if region.scheduler_froze else 0.0
            gaps = [b - a for a, b in itertools.pairwise([*times, _END_S])]
            self.assertLess(max(gaps), _LONGEST_GAP_S + frozen)
            spacing = [b - a for a, b in itertools.pairwise(measured)]
            self.assertGreater(min(spacing), 0.4)
        late = [each for each in region.polls if each[0] > _END_S - 3 + 0.01]
        self.assertLessEqual(len(late), polls * 3 * len(_TARGETS))

    async def test_table(self):
        def nothing(region):
            del region

        cases = (
            ("no fault", nothing, nothing, 1),
            ("lost", lambda r: r.frozen.add("1"), lambda r: r.lose("1"), 1),
            (
                "frozen",
                lambda r: r.frozen.add("1"),
                lambda r: r.frozen.clear(),
                1,
            ),
            (
                "scheduler frozen",
                lambda r: r.frozen.add("0"),
                lambda r: r.frozen.clear(),
                1,
            ),
            ("cut off", lambda r: r.cut.add(("1", "0")), nothing, 2),
            ("from targets", lambda r: r.unreachable.add("1"), nothing, 2),
            ("slow", lambda r: r.latency.update({"1": 4.0}), nothing, 2),
            ("new scheduler", lambda r: r.move_scheduler("2"), nothing, 1),
        )
        for name, event, later, polls in cases:
            with self.subTest(name):
                region = await self._run(event, later)
                region.scheduler_froze = name == "scheduler frozen"
                self._check(region, polls)
                if name == "new scheduler":
                    first = {
                        report.target
                        for time, report in region.reports
                        if _EVENT_S < time <= _EVENT_S + 0.25
                    }
                    self.assertEqual(len(first), len(_TARGETS))

    async def test_lost_target(self):
        """The scheduler learns of it as soon as the poller."""

        def lose(region):
            region.unreachable.update(region.alive)

        region = await self._run(lose, lambda region: None)
        lost = {
            report.target
            for time, report in region.reports
            if time <= _EVENT_S + 1.0 + 4 * _STEP_S and not report.is_reachable
        }
        self.assertEqual(len(lost), len(_TARGETS))

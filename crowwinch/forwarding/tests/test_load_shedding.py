"""Tests of moving kept connections away from an overloaded router.

A model of a zone plays callers, the balancer and routers on a manual clock. A
router serves a number of requests in each step; what exceeds it is served late,
and its event loop is late as long.
"""

import asyncio
import logging
import unittest
from collections import deque
from dataclasses import dataclass, field
from unittest import mock

from crowwinch.coordination import ManualClock
from crowwinch.forwarding._load_shedding import LoadShedding
from crowwinch.forwarding._overload import OverloadDetector
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    event,
    read_head,
    stream_head,
)

_STEP_S = 0.05
# Age of what routers know of each other.
_REPORT_STEPS = 9
_PROBE_STEPS = 20
_FADE_PER_STEP = 0.9
_RETRY_STEPS = 5
# Each caller sends a request in one of this many steps, after it has opened its
# connection in a calm time.
_REQUEST_STEPS = 5
_CALM_REQUEST_STEPS = 40
_CALM_S = 10.0
# Load that does not come from the callers of the test: new connections.
_VISITORS_PER_STEP = 1


class _Router:
    def __init__(self, clock, per_step):
        self.clock = clock
        self.per_step = per_step
        self.lag_s = 0.0
        self.backlog = 0.0
        self.overload = OverloadDetector(clock, lambda: 0.5, lambda: self.lag_s)
        self.has_relief = False
        self.shedding = LoadShedding(
            clock, self.overload, lambda: self.lag_s, lambda: self.has_relief
        )
        self.misses = 0
        self.callers = 0
        self.served = 0
        self.is_short = deque([False] * _REPORT_STEPS, _REPORT_STEPS)

    @property
    def is_in_rotation(self):
        return self.misses < 2

    @property
    def refuses_connections(self):
        return self.backlog > self.per_step

    def end_step(self):
        self.backlog = max(self.backlog - self.per_step, 0.0)
        late_s = self.backlog / self.per_step * _STEP_S
        self.lag_s = max(late_s, self.lag_s * _FADE_PER_STEP)
        self.is_short.append(self.shedding.is_short)


@dataclass
class _Caller:
    preference: tuple[int, ...]
    router: int | None = None
    retry_step: int = 0
    moves: list[float] = field(default_factory=list)


class _Zone:
    """Routers of one availability zone behind the balancer."""

    def __init__(self, capacities):
        self.clock = ManualClock(100.0)
        self.routers = [_Router(self.clock, each) for each in capacities]
        self.callers = []
        self.closed = [0] * len(capacities)
        # Of each router in each step: whether it was late.
        self.late = [[] for _ in capacities]

    def add_callers(self, count, *preference):
        """Adds callers whose hash prefers some routers over others."""
        self.callers += [_Caller(preference) for _ in range(count)]

    def run(self, seconds):
        """Plays a calm time and then a crowd for some seconds."""
        calm_steps = int(_CALM_S / _STEP_S)
        for step in range(calm_steps + int(seconds / _STEP_S)):
            is_calm = step < calm_steps
            interval = _CALM_REQUEST_STEPS if is_calm else _REQUEST_STEPS
            self._probe(step)
            self._report()
            for number, caller in enumerate(self.callers):
                if (number + step) % interval == 0:
                    self._call(caller, step)
            for index, router in enumerate(self.routers):
                if router.is_in_rotation:
                    for _ in range(_VISITORS_PER_STEP):
                        self._connect(index)
                router.end_step()
                self.late[index].append(router.lag_s > 0.1)
            self.clock.move_to(self.clock.monotonic() + _STEP_S)

    def _probe(self, step):
        for index, router in enumerate(self.routers):
            if (step + index) % _PROBE_STEPS == 0:
                is_ready = not router.overload.is_overloaded
                router.misses = 0 if is_ready else router.misses + 1

    def _report(self):
        for router in self.routers:
            router.has_relief = any(
                not other.is_short[0]
                for other in self.routers
                if other is not router
            )

    def _connect(self, index):
        """Returns whether a router takes a new connection."""
        router = self.routers[index]
        if router.refuses_connections:
            router.overload.note_refusal()
            return False
        # Opening a connection takes about as much as a request.
        router.backlog += 1
        return True

    def _call(self, caller, step):
        if caller.router is None:
            if step < caller.retry_step:
                return
            ready = [
                index
                for index in caller.preference
                if self.routers[index].is_in_rotation
            ]
            index = (ready or caller.preference)[0]
            if not self._connect(index):
                caller.retry_step = step + _RETRY_STEPS
                return
            caller.router = index
            caller.moves.append(self.clock.monotonic())
            self.routers[index].callers += 1
        router = self.routers[caller.router]
        router.backlog += 1
        router.served += 1
        if router.shedding.take_connection(router.callers):
            self.closed[caller.router] += 1
            router.callers -= 1
            caller.router = None


class LoadSheddingTest(unittest.TestCase):
    """Guards against callers that stay at a router without processor time."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _late_share(self, zone, index, since_s):
        """Returns the share of the crowd's time after some seconds of it."""
        steps = zone.late[index][int((_CALM_S + since_s) / _STEP_S) :]
        return sum(steps) / len(steps)

    def test_one_router_gets_four_tenths_of_all_requests(self):
        """Guards against a zone with time to spare in which one router is late.

        The callers of the large workspace prefer one router, then another one.
        """
        zone = _Zone([28, 28, 28, 28])
        zone.add_callers(140, 0, 1, 2, 3)
        for index in range(4):
            zone.add_callers(50, index)
        zone.run(60.0)
        self.assertGreater(zone.closed[0], 0)
        for index in range(4):
            with self.subTest(router=index):
                self.assertLess(self._late_share(zone, index, 20.0), 0.05)
        # It keeps part of its callers, and nobody moves any more.
        self.assertGreaterEqual(zone.routers[0].callers, 50)
        settled_at = 100.0 + _CALM_S + 40.0
        self.assertEqual(
            [
                at
                for each in zone.callers
                for at in each.moves
                if at > settled_at
            ],
            [],
        )

    def test_connections_are_kept_where_they_would_come_back(self):
        """Guards against new connections that make a shortage worse."""
        cases = {
            "the only router of its zone": [20],
            "all routers equally short": [20, 20, 20],
        }
        for name, capacities in cases.items():
            with self.subTest(name):
                zone = _Zone(capacities)
                for index in range(len(capacities)):
                    zone.add_callers(150, index)
                zone.run(60.0)
                self.assertGreater(self._late_share(zone, 0, 5.0), 0.9)
                self.assertEqual(zone.closed, [0] * len(capacities))

    def test_router_takes_part_again(self):
        """Guards against a router that stays idle once its load has left."""
        zone = _Zone([20, 20])
        zone.add_callers(140, 0, 1)
        zone.run(40.0)
        self.assertGreater(zone.closed[0], 0)
        self.assertTrue(zone.routers[0].is_in_rotation)
        before = zone.routers[0].served
        zone.add_callers(20, 0, 1)
        zone.run(10.0)
        self.assertGreater(zone.routers[0].served, before + 10)

    def test_callers_do_not_move_to_and_fro(self):
        """Guards against two routers that send each other their callers.

        Together they have just enough processor time, or less than is needed.
        """
        for callers in (180, 200, 240):
            for of_first in (callers // 2, callers):
                with self.subTest(callers=callers, of_first=of_first):
                    zone = _Zone([20, 20])
                    zone.add_callers(of_first, 0, 1)
                    zone.add_callers(callers - of_first, 1, 0)
                    zone.run(120.0)
                    half_at = 100.0 + _CALM_S + 60.0
                    # The first connection of each caller is no move.
                    moves = [
                        at for each in zone.callers for at in each.moves[1:]
                    ]
                    late_moves = [at for at in moves if at > half_at]
                    self.assertLess(len(moves), 2 * callers)
                    self.assertLess(len(late_moves), callers / 2)


class ServerTest(RouterTest):
    """Guards against ending a connection before its response is complete."""

    async def test_connections_end_with_their_responses(self):
        goes_on = asyncio.Event()

        async def stream(request, writer):
            writer.write(stream_head(request) + chunk(event(1)))
            await goes_on.wait()
            writer.write(chunk(event(2)) + chunk(b""))
            return True

        router = await self.router(stream)
        caller = await router.connect()
        await caller.send()
        head = "\n".join(await read_head(caller._reader)).lower()
        self.assertNotIn("connection: close", head)
        with mock.patch.object(
            router.server._shedding, "take_connection", return_value=True
        ):
            goes_on.set()
            body, is_complete = await caller._read_chunks()
            self.assertEqual(body, event(1) + event(2))
            self.assertTrue(is_complete)
            await caller.send()
            reply = await caller.receive()
            self.assertTrue(await caller.is_closed())
        self.assertTrue(reply.is_complete)
        self.assertFalse(reply.is_keep_alive)
        self.assertEqual(router.metrics.value("shed_connections"), 1)


class ReliefTest(unittest.TestCase):
    """Guards against ending connections that gain nothing by it."""

    def test_conditions(self):
        # Seconds since the overload began, lag, relief, and whether some
        # connections end.
        cases = {
            "the balancer has not noticed yet": (1.5, 0.1, True, False),
            "new connections go elsewhere": (2.5, 0.1, True, True),
            "no peer has time to spare": (2.5, 0.1, False, False),
            "the load has fallen": (2.5, 0.01, True, False),
            "ready again": (4.5, 0.1, True, False),
        }
        for name, (age_s, lag_s, has_relief, ends) in cases.items():
            with self.subTest(name):
                clock = ManualClock(100.0)
                overload = OverloadDetector(clock, lambda: 0.0)
                shedding = LoadShedding(
                    clock,
                    overload,
                    lambda lag_s=lag_s: lag_s,
                    lambda has_relief=has_relief: has_relief,
                )
                while not overload.is_overloaded:
                    overload.note_refusal()
                    clock.move_to(clock.monotonic() + 0.05)
                clock.move_to(clock.monotonic() + age_s)
                self.assertIs(shedding.take_connection(100), ends)

    def test_connections_end_gradually(self):
        """Guards against moving all callers before peers report their load."""
        clock = ManualClock(100.0)
        overload = OverloadDetector(clock, lambda: 0.0)
        shedding = LoadShedding(clock, overload, lambda: 0.1, lambda: True)
        while not overload.is_overloaded:
            overload.note_refusal()
            clock.move_to(clock.monotonic() + 0.05)
        clock.move_to(clock.monotonic() + 2.5)
        ended = 0
        for _ in range(9):
            ended += sum(shedding.take_connection(100) for _ in range(100))
            clock.move_to(clock.monotonic() + 0.05)
        self.assertGreater(ended, 10)
        self.assertLess(ended, 40)


if __name__ == "__main__":
    unittest.main()

"""Tests of commands against engine stand-ins."""

import asyncio
import dataclasses
import time
import unittest
from collections import Counter

import aiohttp
from aiohttp import web

from crowwinch.commands import (
    COMMAND_QUIET_PERIOD_S,
    CommandClient,
    CommandExecutor,
    LoadPacer,
    TargetState,
    plan_commands,
)
from crowwinch.configuration import Snapshot
from crowwinch.coordination import ManualClock, TimerService
from crowwinch.generated.documents import Group, Target
from standins.engine import Engine
from standins.weight_store import WeightStore

_REGION = "r"


class _Fixture:
    """Engines, a client and routers on a manual clock."""

    def __init__(self):
        self.clock = ManualClock(unix_start=1e6)
        self.timers = TimerService(self.clock)
        self.client = CommandClient()
        self.counts = Counter()
        self.runners = []
        self.urls = {}
        self.snapshot = Snapshot()

    async def start(self, engines, faults, store=None):
        await self.client.start()
        store_url = await self._serve(store.application()) if store else ""
        for index in range(engines):
            engine = Engine(1, 0.01, 0.01, store_url)
            url = await self._serve(engine.application())
            self.urls[f"t{index}"] = url
            await self.call("POST", f"{url}/control/faults", faults)

    async def _serve(self, application):
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.runners.append(runner)
        return f"http://127.0.0.1:{runner.addresses[0][1]}"

    async def stop(self):
        await self.client.stop()
        for runner in self.runners:
            await runner.cleanup()

    async def call(self, method, url, body=None):
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, json=body) as response:
                return await response.json() if method == "GET" else None

    def publish(self, revision, models, fencing=True):
        targets = [
            Target(name, url, 1, fencing=fencing)
            for name, url in self.urls.items()
        ]
        group = Group("g", "engine", _REGION, targets, models=models)
        self.snapshot = Snapshot.build(revision, "d", [], [group])
        return self.snapshot

    def router(self, name="a", members=("a",), client=None, rate=1000.0):
        return CommandExecutor(
            name,
            _REGION,
            self.timers,
            lambda: self.snapshot,
            lambda: members,
            client or self.client,
            LoadPacer(self.clock, rate),
            lambda key: self.counts.update([key]),
        )

    def advance(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    async def models(self):
        return [
            (await self.client.read_state(url)).models
            for url in self.urls.values()
        ]

    async def orders(self):
        return [
            order
            for url in self.urls.values()
            for order in (await self.call("GET", f"{url}/models"))["orders"]
        ]


class _SlowClient:
    """Stands still while it reads, as a process that is frozen."""

    def __init__(self, fixture, freeze_s):
        self._fixture = fixture
        self._freeze_s = freeze_s

    async def read_state(self, url):
        state = await self._fixture.client.read_state(url)
        self._fixture.advance(self._freeze_s)
        return state

    async def send(self, command):
        return await self._fixture.client.send(command)


class _OutdatedClient(_SlowClient):
    """Returns an old state at the first read."""

    def __init__(self, fixture):
        super().__init__(fixture, 0)
        self._reads = 0

    async def read_state(self, url):
        self._reads += 1
        if self._reads == 1:
            return TargetState()
        return await super().read_state(url)


def _with_engines(engines, faults=None, store=None):
    def decorate(test):
        def run(self):
            async def main():
                fixture = _Fixture()
                await fixture.start(engines, faults or {}, store)
                try:
                    await test(self, fixture)
                finally:
                    await fixture.stop()

            asyncio.run(main())

        run.__doc__ = test.__doc__
        return run

    return decorate


class ExecutorTest(unittest.TestCase):
    """Guards against old, opposite or too many commands."""

    @_with_engines(3)
    async def test_two_routers_at_once(self, fixture):
        """Guards against two routers in charge that undo each other."""
        fixture.publish(1, "m@1;x@1:1")
        first = fixture.router("a", ("a",))
        second = fixture.router("b", ("b",))
        for _ in range(6):
            fixture.advance(2)
            await asyncio.gather(first.run_once(), second.run_once())
        models = await fixture.models()
        self.assertEqual([each.get("m") for each in models], ["1"] * 3)
        self.assertEqual(sum("x" in each for each in models), 1)
        self.assertEqual(fixture.counts["commands_rejected"], 0)
        orders = await fixture.orders()
        self.assertEqual({each["fencing"] for each in orders}, {1000})
        self.assertEqual({each["action"] for each in orders}, {"load"})

    @_with_engines(1)
    async def test_late_command_is_rejected(self, fixture):
        """Guards against a frozen router that acts on an old revision."""
        old = fixture.publish(1, "m@1")
        (late,) = plan_commands(
            old,
            0.0,
            {"t0": await fixture.client.read_state(fixture.urls["t0"])},
            _REGION,
        )
        fixture.publish(2, "m@2")
        router = fixture.router()
        fixture.advance(2)
        self.assertEqual(await router.run_once(), 1)
        self.assertFalse(await fixture.client.send(late))
        self.assertEqual(await fixture.models(), [{"m": "2"}])

    @_with_engines(1, {"ignore_fencing": True})
    async def test_targets_that_ignore_fencing(self, fixture):
        """Guards against commands before the predecessor has stopped."""
        old = fixture.publish(1, "m@1", fencing=False)
        state = await fixture.client.read_state(fixture.urls["t0"])
        (late,) = plan_commands(old, 0.0, {"t0": state}, _REGION)
        fixture.publish(2, "m@2", fencing=False)
        router = fixture.router()
        fixture.advance(COMMAND_QUIET_PERIOD_S - 0.1)
        self.assertEqual(await router.run_once(), 0)
        fixture.advance(0.1)
        self.assertEqual(await router.run_once(), 1)
        fixture.advance(1)
        self.assertEqual(await router.run_once(), 0)
        # The target obeys the late command; the next pass corrects it.
        for _ in range(2):
            self.assertTrue(await fixture.client.send(late))
            self.assertEqual(await fixture.models(), [{"m": "1"}])
            fixture.advance(2)
            self.assertEqual(await router.run_once(), 1)
            self.assertEqual(await fixture.models(), [{"m": "2"}])
            self.assertEqual(await router.run_once(), 0)
        router.on_membership_changed()
        await fixture.client.send(dataclasses.replace(late, fencing=1))
        self.assertEqual(await router.run_once(), 0)

    @_with_engines(1)
    async def test_frozen_pass_sends_nothing(self, fixture):
        """Guards against a plan that is older than the freeze."""
        fixture.publish(1, "m@1")
        frozen = fixture.router(client=_SlowClient(fixture, 60))
        self.assertEqual(await frozen.run_once(), 0)
        self.assertEqual(fixture.counts["commands_stale"], 1)
        self.assertEqual(await fixture.orders(), [])

    @_with_engines(1)
    async def test_only_the_router_in_charge_sends(self, fixture):
        """Guards against every router sending every command."""
        fixture.publish(1, "m@1")
        members = ("a", "b", "c")
        routers = [fixture.router(name, members) for name in members]
        fixture.advance(2)
        sent = [await router.run_once() for router in routers]
        self.assertEqual(sum(sent), 1)
        self.assertEqual(sum(router.is_in_charge for router in routers), 1)
        self.assertEqual(fixture.counts["commands_stale"], 0)

    @_with_engines(1, {"ignore_fencing": True})
    async def test_state_is_read_again(self, fixture):
        """Guards against a command that another router made unnecessary."""
        fixture.publish(1, "m@1", fencing=False)
        router = fixture.router(client=_OutdatedClient(fixture))
        other = fixture.router()
        fixture.advance(COMMAND_QUIET_PERIOD_S)
        self.assertEqual(await other.run_once(), 1)
        self.assertEqual(await router.run_once(), 0)
        self.assertEqual(len(await fixture.orders()), 1)

    @_with_engines(1)
    async def test_new_router_in_charge_waits_for_the_store(self, fixture):
        """Guards against two loads at once while the charge moves."""
        fixture.publish(1, "m@1")
        router = fixture.router(rate=0.1)
        fixture.advance(11)
        router.on_membership_changed()
        self.assertEqual(await router.run_once(), 0)
        fixture.advance(10)
        self.assertEqual(await router.run_once(), 1)

    @_with_engines(1, {"ignore_fencing": True})
    async def test_reads_of_the_vm_list(self, fixture):
        """Guards against a quiet period that each read starts again."""
        fixture.publish(1, "m@1", fencing=False)
        router = fixture.router(rate=0.1)
        for _ in range(6):
            fixture.advance(2)
            router.on_vm_list_read()
            await router.run_once()
        self.assertEqual(await fixture.models(), [{"m": "1"}])

    @_with_engines(1, {"ignore_fencing": True})
    async def test_first_pass_after_a_freeze(self, fixture):
        """Guards against an old command of a router that wakes up."""
        fixture.publish(1, "m@1", fencing=False)
        router = fixture.router()
        router.start()
        for freeze_s, expected in ((60, 0), (2, 0), (2, 0), (2, 0), (4, 0)):
            fixture.advance(freeze_s)
            fixture.timers.run_due()
            await asyncio.sleep(0.1)
            self.assertEqual(len(await fixture.orders()), expected)
        for _ in range(5):
            fixture.advance(2)
            fixture.timers.run_due()
            await asyncio.sleep(0.1)
        self.assertEqual(len(await fixture.orders()), 1)
        router.stop()

    @_with_engines(4, store=WeightStore(2))
    async def test_loads_are_paced(self, fixture):
        """Guards against loads that the weight store rejects."""
        fixture.publish(1, "m@1")
        router = fixture.router(rate=1.9)
        origin = fixture.clock.monotonic() - time.monotonic()
        deadline = time.monotonic() + 10
        while not all(await fixture.models()):
            self.assertLess(time.monotonic(), deadline)
            await asyncio.sleep(0.02)
            fixture.clock.move_to(time.monotonic() + origin)
            await router.run_once()
        self.assertEqual(fixture.counts["commands_rejected"], 0)

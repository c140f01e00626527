"""Tests of the update exchange between routers over loopback."""

import asyncio
import unittest

from crowwinch.coordination import ManualClock, TimerService
from crowwinch.directory import DirectoryState, StoreReaderSelector
from crowwinch.fleet import FleetService
from crowwinch.fleet.tests.support import make_settings
from crowwinch.forwarding.tests.support import make_sharing_state
from crowwinch.platform import DocumentCodec
from crowwinch.sharing import TargetView
from standins.processes import free_port

_ROUTERS = 6
_SEEDS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
_UPDATE_PERIOD_S = 0.05
# Discovery takes three periods: to the seeds, from the seeds to all, and from
# all to all. As many again are allowed for.
_DISCOVERY_PERIODS = 6
_DELIVERY_ITERATIONS = 5
# Routers send to cold targets from 3 s after their start on.
_UNSETTLED_PERIODS = 58
_TARGET = TargetView(
    "engine", 5, "llm", False, 32, cold_start_s=3.0, cold_per_s=12.0
)


class FleetServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against routing decisions made without the state of peers.

    A manual clock makes the tests independent of the load of the host.
    """

    async def asyncSetUp(self):
        port = free_port()
        self.clock = ManualClock(100.0, unix_start=1_000_000.0)
        self.services = []
        self.sharings = []
        self.timers = []
        for number in range(1, _ROUTERS + 1):
            timers = TimerService(self.clock)
            sharing = make_sharing_state(
                self.clock, view={"engine": _TARGET}.get
            )
            service = FleetService(
                timers,
                make_settings(f"127.0.0.{number}", "az", _SEEDS, port),
                DirectoryState(self.clock, DocumentCodec()),
                StoreReaderSelector(self.clock, f"127.0.0.{number}"),
                sharing,
                lambda: False,
                lambda reason: None,
            )
            await service.start()
            self.addAsyncCleanup(service.stop)
            self.services.append(service)
            self.sharings.append(sharing)
            self.timers.append(timers)

    async def _advance(self, seconds):
        """Advances the clock, runs due timers and delivers the updates."""
        self.clock.move_to(self.clock.monotonic() + seconds)
        for timers in self.timers:
            timers.run_due()
        for _ in range(_DELIVERY_ITERATIONS):
            await asyncio.sleep(0.001)

    async def _discover(self):
        for _ in range(_DISCOVERY_PERIODS):
            await self._advance(_UPDATE_PERIOD_S)

    async def test_routers_that_start_together_discover_each_other(self):
        """Guards against slow discovery at startup.

        Discovery took up to one second, during which the routers overloaded one
        engine.
        """
        await self._discover()
        self.assertEqual(
            [service.live_peers for service in self.services],
            [_ROUTERS - 1] * _ROUTERS,
        )

    async def test_long_prompt_is_announced_before_the_next_period(self):
        """Guards against queueing short prompts behind a long one.

        For the 50 ms until the next update, peers sent short prompts to the
        same engine, where they waited until the long one was read.
        """
        await self._discover()
        first, *others = self.sharings
        first.loads.reserve("engine", 1.5)
        await self._advance(_UPDATE_PERIOD_S / 10)
        reading_s = [sharing.loads.reading_s("engine") for sharing in others]
        self.assertEqual(reading_s, [1.5] * len(others))

    async def test_cold_target_of_one_router_is_cold_at_all(self):
        """Guards against routers that learn too late that a target is cold."""
        await self._discover()
        first, *others = self.sharings
        first.cold.observe_header(_TARGET, 5, 2.0)
        await self._advance(_UPDATE_PERIOD_S)
        self.assertEqual([each.cold.count for each in others], [1] * 5)

    async def test_rate_of_a_cold_target_is_divided_once_all_are_known(self):
        """Guards against a full rate for each router that has just started."""
        for sharing in self.sharings:
            sharing.cold.set_enabled(True)
            sharing.cold.observe_entry("engine", 5, 1, 30.0)
        for _ in range(_UNSETTLED_PERIODS):
            rates = [each.cold.rate_per_s(_TARGET) for each in self.sharings]
            self.assertEqual(sum(rates), 0.0)
            await self._advance(_UPDATE_PERIOD_S)
        for _ in range(4):
            await self._advance(_UPDATE_PERIOD_S)
        rates = [each.cold.rate_per_s(_TARGET) for each in self.sharings]
        self.assertGreater(min(rates), 0.0)
        self.assertLessEqual(sum(rates), _TARGET.cold_per_s + 1e-9)
        # A router that is gone may still send, so nobody takes its part.
        await self.services[-1].stop()
        self.timers[-1] = TimerService(self.clock)
        for _ in range(_UNSETTLED_PERIODS * 2):
            await self._advance(_UPDATE_PERIOD_S)
        left = [each.cold.rate_per_s(_TARGET) for each in self.sharings[:-1]]
        self.assertEqual(left, rates[:-1])

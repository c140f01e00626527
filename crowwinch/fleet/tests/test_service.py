"""Tests of the update exchange between routers over loopback."""

import asyncio
import unittest

from crowwinch.coordination import ManualClock, TimerService
from crowwinch.directory import DirectoryState, StoreReaderSelector
from crowwinch.fleet import FleetService
from crowwinch.fleet.tests.support import make_settings
from crowwinch.forwarding.tests.support import make_sharing_state
from crowwinch.platform import DocumentCodec
from standins.processes import free_port

_ROUTERS = 6
_SEEDS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
_UPDATE_PERIOD_S = 0.05
# Discovery takes three periods: to the seeds, from the seeds to all, and from
# all to all. As many again are allowed for.
_DISCOVERY_PERIODS = 6
_DELIVERY_ITERATIONS = 5


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
            sharing = make_sharing_state(self.clock)
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

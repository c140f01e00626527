"""Routers that tell each other what they do, over loopback."""

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
_PERIOD_S = 0.05
# To the seeds, from them to all, and from all to all, with as many to spare.
_MEETING_PERIODS = 6
_DELIVERY_TURNS = 5


class FleetServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against routers that decide without knowing of each other.

    Time is that of a manual clock, so that a busy machine changes nothing.
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

    async def _pass(self, seconds):
        """Lets time pass and delivers what the routers send then."""
        self.clock.move_to(self.clock.monotonic() + seconds)
        for timers in self.timers:
            timers.run_due()
        for _ in range(_DELIVERY_TURNS):
            await asyncio.sleep(0.001)

    async def _meet(self):
        for _ in range(_MEETING_PERIODS):
            await self._pass(_PERIOD_S)

    async def test_routers_that_start_together_meet_at_once(self):
        """They met after up to a second and overloaded one engine till then."""
        await self._meet()
        self.assertEqual(
            [service.live_peers for service in self.services],
            [_ROUTERS - 1] * _ROUTERS,
        )

    async def test_a_long_prompt_is_told_at_once(self):
        """Short ones joined it for 50 ms and waited until it was read."""
        await self._meet()
        first, *others = self.sharings
        first.loads.reserve("engine", 1.5)
        await self._pass(_PERIOD_S / 10)
        heard = [sharing.loads.reading_s("engine") for sharing in others]
        self.assertEqual(heard, [1.5] * len(others))

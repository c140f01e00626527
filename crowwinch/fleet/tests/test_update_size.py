"""Tests of updates whose content is as large as the store allows."""

import asyncio
import json
import unittest

import msgspec

from crowwinch.coordination import ManualClock, TimerService
from crowwinch.directory import (
    DirectoryState,
    Item,
    Listing,
    StoreReaderSelector,
)
from crowwinch.fleet import FleetEndpoint, FleetService
from crowwinch.fleet.tests.support import make_settings
from crowwinch.forwarding.tests.support import make_sharing_state
from crowwinch.generated.fleet_messages import (
    ColdMessage,
    CrashReport,
    CrashTime,
    DemandReport,
    DepartureReport,
    FleetUpdate,
    PrefixReport,
    RateLimitMessage,
    RouteReport,
    TargetReport,
    VersionReport,
    WaitReport,
    WorkspaceReport,
)
from crowwinch.platform import DocumentCodec
from standins.processes import free_port

_KEY = "k" * 200
_LONG = "s" * 64_000
# As many entries as 195 routers and full tables lead to.
_COUNT = 3_000
_SOUND_VERSION = VersionReport("llm", "v1", 0)
_SOUND_DEPARTURE = DepartureReport("servers/i-1", 7)
_UPDATE = FleetUpdate(
    router="r",
    availability_zone="az",
    life=1,
    sequence=2,
    control="127.0.0.1:9",
    version=3,
    revision=4,
    reading="fresh",
    is_leaving=False,
    targets=[TargetReport("i-1", 1, 5)],
    workspaces=[WorkspaceReport("tenant", 1, 1)],
    members=[],
    crashes=[],
    prefixes=[],
    departures=[_SOUND_DEPARTURE],
    versions=[_SOUND_VERSION],
    history_ms=60_000,
    synced_ms=10,
)
_FULL = {
    "targets": lambda n: TargetReport(f"{n}{_KEY}", 1, 5),
    "workspaces": lambda n: WorkspaceReport(f"{n}{_KEY}", 1, 1),
    "crashes": lambda n: CrashReport(
        f"{n}", 9, True, [CrashTime(f"{n}", 5) for _ in range(9)], 1
    ),
    "prefixes": lambda n: PrefixReport(f"{n}{_KEY}", "00" * 16),
    "departures": lambda n: DepartureReport(f"{n}{_KEY}", n),
    "rate_limits": lambda n: RateLimitMessage(f"{n}{_KEY}", 1, 5.0, 1, -1, 3),
    "cold": lambda n: ColdMessage(f"{n}{_KEY}", 1, 2_000, 3),
    "demand": lambda n: DemandReport(f"{n}{_KEY}", 5.0),
    "versions": lambda n: VersionReport(f"{n}", _KEY, 1_000 + n),
    "routes": lambda n: RouteReport(f"{n}{_KEY}", "llm", 1_000 + n),
    "waits": lambda n: WaitReport(f"{n}{_KEY}", 15_000, 1, 4),
}
_LONG_NAMES = {
    "targets": TargetReport(_LONG, 1, 5),
    "workspaces": WorkspaceReport(_LONG, 1, 1),
    "departures": DepartureReport(_LONG, 1),
    "cold": ColdMessage(_LONG, 1, 2_000, 3),
    "demand": DemandReport(_LONG, 5.0),
    "versions": VersionReport(_LONG, "v2", 2_000),
    "routes": RouteReport(_LONG, "llm", 2_000),
    "waits": WaitReport(_LONG, 15_000, 1, 4),
}


class UpdateSizeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against updates that are not sent for their size (LOST)."""

    async def asyncSetUp(self):
        port = free_port()
        self.received = []
        self.endpoints = [
            FleetEndpoint(host, port, self.received.append, self.fail)
            for host in ("127.0.0.1", "127.0.0.2")
        ]
        for endpoint in self.endpoints:
            await endpoint.start()
            self.addAsyncCleanup(endpoint.stop)

    async def _deliver(self, **changes):
        """Returns an update as a peer receives it."""
        self.received.clear()
        update = msgspec.structs.replace(_UPDATE, **changes)
        self.endpoints[0].send(update, ["127.0.0.2"])
        async with asyncio.timeout(1.0):
            while not self.received:
                await asyncio.sleep(0.005)
        (received,) = self.received
        return received

    async def test_full_lists_are_shortened(self):
        for name, make in _FULL.items():
            with self.subTest(name):
                entries = [
                    *(getattr(_UPDATE, name) or []),
                    *(make(number) for number in range(_COUNT)),
                ]
                received = await self._deliver(**{name: entries})
                kept = getattr(received, name)
                self.assertEqual(kept, entries[: len(kept)])
                self.assertGreater(len(kept), 50)
                self.assertIn(_SOUND_VERSION, received.versions)
                self.assertIn(_SOUND_DEPARTURE, received.departures)

    async def test_all_lists_are_full(self):
        received = await self._deliver(
            **{
                name: [
                    *(getattr(_UPDATE, name) or []),
                    *(make(number) for number in range(_COUNT)),
                ]
                for name, make in _FULL.items()
            }
        )
        self.assertIn(_SOUND_DEPARTURE, received.departures)
        self.assertEqual(received.revision, _UPDATE.revision)

    async def test_cold_targets_stay_longer_than_rate_limits(self):
        """Guards against a limit that gives way to one that matters less.

        A target beyond its rate limit refuses requests, a cold one crashes.
        """
        received = await self._deliver(
            rate_limits=[_FULL["rate_limits"](n) for n in range(_COUNT)],
            cold=[_FULL["cold"](n) for n in range(50)],
        )
        self.assertEqual(len(received.cold), 50)
        self.assertLess(len(received.rate_limits), _COUNT)

    async def test_long_names_are_left_out(self):
        for name, entry in _LONG_NAMES.items():
            with self.subTest(name):
                sound = getattr(_UPDATE, name) or []
                received = await self._deliver(**{name: [entry, *sound]})
                self.assertEqual(getattr(received, name), sound)

    async def test_history_ends_at_a_version_that_is_left_out(self):
        """Guards against a version that peers take as never there."""
        received = await self._deliver(
            versions=[_SOUND_VERSION, VersionReport(_LONG, "v2", 2_000)]
        )
        self.assertEqual(received.versions, [_SOUND_VERSION])
        self.assertLessEqual(received.history_ms, 2_000)

    async def test_history_ends_at_a_service_that_is_left_out(self):
        """Guards against a service that peers take as never used."""
        received = await self._deliver(
            routes=[RouteReport(_LONG, "llm", 2_000)], routes_ms=60_000
        )
        self.assertEqual(received.routes_ms, 2_000)


def _entry(name, service, version="v1"):
    document = {
        "Service": service,
        "Address": "10.0.0.1:80",
        "State": "ready",
        "Version": version,
    }
    return Item(f"servers/{name}", 2, json.dumps(document).encode())


_CONFIGURATION = Item(
    "op/config",
    1,
    json.dumps({"Version": 1, "Services": [{"Name": "llm"}]}).encode(),
)


class ForeignEntryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries of another writer that end the updates (LOST)."""

    async def test_routers_hear_each_other(self):
        foreign = {
            "a long name": [_entry("x", _LONG)],
            "many services": [
                _entry(f"x{number}", f"service-{number}" * 10)
                for number in range(1_500)
            ],
        }
        for name, entries in foreign.items():
            with self.subTest(name):
                await self._play(entries)

    async def _play(self, entries):
        port, clock = free_port(), ManualClock(100.0, unix_start=1_000_000.0)
        hosts = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
        routers = []
        for host in hosts:
            state = DirectoryState(clock, DocumentCodec())
            timers = TimerService(clock)
            service = FleetService(
                timers,
                make_settings(host, "az", hosts, port),
                state,
                StoreReaderSelector(clock, host),
                make_sharing_state(clock),
                lambda: False,
                lambda reason: None,
            )
            await service.start()
            self.addAsyncCleanup(service.stop)
            routers.append((timers, service, state))
        listing = Listing(3, (_CONFIGURATION, *entries, _entry("i", "llm")))
        for _, _, state in routers:
            state.apply_listing(listing)
        for _ in range(12):
            clock.move_to(clock.monotonic() + 0.05)
            for timers, _, _ in routers:
                timers.run_due()
            for _ in range(5):
                await asyncio.sleep(0.001)
        for _, service, state in routers:
            self.assertEqual(service.live_peers, len(hosts) - 1)
            versions, _ = state.origins.version_reports()
            self.assertEqual([age.group for age in versions], ["llm"])

"""Tests of streams that are taken up after most routers were killed."""

import asyncio
import collections
import itertools
import random
import unittest
from dataclasses import dataclass, field

from crowwinch.fleet.tests.support import TIMEOUT_S, FleetModel
from crowwinch.forwarding import StreamOrigin, TakenUpStream

_ROUTE = "host/chat/"
_STARTUP_S = 4.0
# Without records, routers have to know what was there before any stream.
_HISTORY_S = 14.0
_STREAMS_S = 6.0
_TAKE_UP_DELAY_S = 0.3
_STREAMS = 60
_KILLED_SHARE = 0.6
# Times that callers wait, below and above the time limit of the route.
_WAITS_S = (6.0, 15.0, 30.0)


@dataclass(frozen=True)
class _Stream:
    """A stream, where it began and how."""

    name: str
    router: int
    began_at: float
    origin: StreamOrigin


class _Play:
    """A fleet whose services and route change while streams begin.

    Args:
        size: Number of routers.
        seed: Seed of all that is left to chance.
        versions: Software version of each service.
        new_versions: Versions after a release, by service.
        services: Services of the route.
        new_services: Services of the route after a change, None without one.
        has_records: Whether routers record the origins of streams.
    """

    def __init__(
        self,
        size,
        seed,
        versions,
        new_versions,
        services,
        new_services,
        has_records,
    ):
        self.rng = random.Random(f"{size} {seed}")
        self.fleet = FleetModel(size)
        self.versions = dict(versions)
        self.new_versions = new_versions
        self.new_services = new_services
        self.services = services
        self.has_records = has_records
        self.wait_s = self.rng.choice(_WAITS_S)
        self.streams = []
        self.has_changed = False

    def _put_targets(self):
        for service, version in self.versions.items():
            for number in range(2):
                key = f"{service}-{version}-{number}"
                self.fleet.store.put(key, f"ready:{version}@{service}")

    def _configure(self, version):
        names = ",".join(self.services)
        self.fleet.store.put("config", f"{version}:{names}")

    def _change(self):
        """Releases new versions and edits the route."""
        before = dict(self.versions)
        self.versions |= self.new_versions
        self._put_targets()
        for service in self.new_versions:
            for number in range(2):
                key = f"{service}-{before[service]}-{number}"
                self.fleet.store.put(key, None)
        if self.new_services is not None:
            self.services = self.new_services
            self._configure(3)

    def _begin(self):
        number = self.rng.randrange(len(self.fleet.routers))
        router = self.fleet.routers[number]
        service = self.rng.choice(self.services)
        origin = StreamOrigin(service, self.versions[service])
        name = f"stream-{len(self.streams)}"
        now = self.fleet.clock.monotonic()
        self.streams.append(_Stream(name, number, now, origin))
        router.sharing.caller_waits.record(_ROUTE, self.wait_s)
        if self.has_records:
            router.service.streams.record(name, origin)

    async def run(self):
        """Plays until the streams of killed routers were taken up.

        Returns:
            Number of streams by what became of them.
        """
        fleet, rng = self.fleet, self.rng
        await fleet.start()
        self._put_targets()
        self._configure(2)
        await fleet.run(_STARTUP_S if self.has_records else _HISTORY_S)
        change_at = fleet.clock.monotonic() + rng.uniform(0.0, _STREAMS_S)
        for _ in range(_STREAMS):
            if not self.has_changed and fleet.clock.monotonic() >= change_at:
                self.has_changed = True
                self._change()
            self._begin()
            await fleet.run(_STREAMS_S / _STREAMS)
        await fleet.run(rng.uniform(0.5, 4.0))
        size = len(fleet.routers)
        killed = set(rng.sample(range(size), round(_KILLED_SHARE * size)))
        for number in killed:
            fleet.network.frozen.add(fleet.routers[number].host)
        await fleet.run(_TAKE_UP_DELAY_S)
        survivors = [
            router
            for number, router in enumerate(fleet.routers)
            if number not in killed
        ]
        broken = [each for each in self.streams if each.router in killed]
        *outcomes, _ = await asyncio.gather(
            *(self._take_up(each, survivors) for each in broken),
            fleet.run(3.0),
        )
        await fleet.stop()
        return collections.Counter(outcomes)

    async def _take_up(self, stream, survivors):
        """Returns what becomes of a stream."""
        age_s = self.fleet.clock.monotonic() - stream.began_at
        router = self.rng.choice(survivors)
        has_record = any(
            each.service.streams.holds(stream.name) for each in survivors
        )
        found = await router.origins.find(
            TakenUpStream(
                stream.name,
                _ROUTE,
                self.services,
                TIMEOUT_S,
                self.wait_s - age_s,
            )
        )
        if found is None:
            is_alone = not self.has_changed and len(self.services) == 1
            must_go_on = has_record or is_alone
            return "refused" if must_go_on else "unknown"
        return "goes on" if found == stream.origin else "mixed"


@dataclass(frozen=True)
class _Case:
    """Services and versions while streams begin, and how they change."""

    name: str
    versions: dict[str, str]
    new_versions: dict[str, str] = field(default_factory=dict)
    services: tuple[str, ...] = ("llm",)
    new_services: tuple[str, ...] | None = None


_BOTH = ("llm", "other")
_SPLIT = _Case("split", {"llm": "v4", "other": "v7"}, services=_BOTH)
_CASES = (
    _Case("steady", {"llm": "v1"}),
    _Case("release", {"llm": "v1"}, {"llm": "v2"}),
    _SPLIT,
    _Case("split, one version", {"llm": "v1", "other": "v1"}, services=_BOTH),
    _Case(
        "split and release",
        {"llm": "v1", "other": "v1"},
        {"other": "v2"},
        services=_BOTH,
    ),
    _Case("moved", {"llm": "v1", "other": "v2"}, new_services=("other",)),
    _Case(
        "moved, one version",
        {"llm": "v1", "other": "v1"},
        new_services=("other",),
    ),
    _Case(
        "split ends",
        {"llm": "v1", "other": "v1"},
        services=_BOTH,
        new_services=("llm",),
    ),
)


class TakeUpTest(unittest.TestCase):
    """Guards against streams that go on elsewhere (ORDER) or not (LOST)."""

    def _play(self, case, size, seed, *, has_records):
        """Returns how many streams became what."""
        play = _Play(
            size,
            seed,
            case.versions,
            case.new_versions,
            case.services,
            case.new_services,
            has_records,
        )
        outcomes = asyncio.run(play.run())
        self.assertGreater(outcomes.total(), 20)
        self.assertEqual(outcomes["mixed"], 0, outcomes)
        self.assertEqual(outcomes["refused"], 0, outcomes)
        return outcomes

    def test_records_of_killed_routers(self):
        for case, size in itertools.product(_CASES, (4, 8)):
            self._play_with_records(case, size)

    def test_records_of_killed_routers_in_a_larger_fleet(self):
        self._play_with_records(_SPLIT, 20)
        self._play_with_records(_SPLIT, 89)

    def _play_with_records(self, case, size):
        with self.subTest(case.name, size=size):
            outcomes = self._play(case, size, 0, has_records=True)
            self.assertGreaterEqual(
                outcomes["goes on"], 0.9 * outcomes.total(), outcomes
            )

    def test_nothing_is_recorded(self):
        """Guards against a guess from what is in use now."""
        for case in _CASES:
            for seed in range(2):
                with self.subTest(case.name, seed=seed):
                    self._play(case, 8, seed, has_records=False)

"""Routers, links and a configuration service on one manual clock."""

import asyncio
import random
from collections import Counter, deque

from crowwinch.configuration import (
    ConfigurationSpread,
    ConfigurationStore,
    build_documents,
    digest_of,
)
from crowwinch.configuration._check import CheckedTable
from crowwinch.coordination import ManualClock, TimerService
from crowwinch.errors import PlatformError
from crowwinch.generated.documents import Group, Target, Workspace
from crowwinch.generated.peer_messages import (
    ConfigurationAnnounce,
    ConfigurationPart,
    ConfigurationPull,
)

STEP_S = 0.05
WATCH_S = 3.0


def documents(revision, workspaces=20, weight=1.0):
    """Returns documents whose first workspace has the given weight."""
    checked = CheckedTable(
        workspaces=[
            Workspace(
                f"w{n}", weight if n == 0 else 1.0, [digest_of(b"%d" % n)]
            )
            for n in range(workspaces)
        ],
        groups=[Group("g", "engine", "r", [Target("t", "http://t", 1)])],
    )
    return build_documents(checked, revision)


class FakeService:
    """Values that can be read and watched, with faults."""

    def __init__(self, clock):
        self._clock = clock
        self.values = {}
        self.down = False
        self.blocked = set()
        self.calls = []
        self.reads = []
        self.watches = []
        self._pending = []

    def publish(self, built):
        self.values = {**built.parts, "manifest": built.manifest}

    def reader(self, name):
        return _Reader(self, name)

    def count_call(self, name, kind):
        for calls in (self.calls, kind):
            calls.append((self._clock.monotonic(), name))
        if self.down or name[0] in self.blocked:
            raise PlatformError("down")

    def pending(self, digest):
        future = asyncio.get_running_loop().create_future()
        end = self._clock.monotonic() + WATCH_S
        self._pending.append((future, digest, end))
        return future

    def run_pending(self):
        """Answers the watches that are due."""
        left = []
        for future, digest, end in self._pending:
            value = self.values.get("manifest")
            if future.done():
                continue
            if self.down:
                future.set_exception(PlatformError("down"))
            elif value is not None and digest_of(value) != digest:
                future.set_result(value)
            elif self._clock.monotonic() >= end:
                future.set_result(None)
            else:
                left.append((future, digest, end))
        self._pending = left

    def most_calls_a_second(self):
        """Returns the largest number of calls in any second."""
        window, most = deque(), 0
        for when, _ in self.calls:
            window.append(when)
            while window[0] <= when - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most


class _Reader:
    def __init__(self, service, name):
        self._service = service
        self._name = name

    async def read(self, name):
        self._service.count_call(self._name, self._service.reads)
        if name not in self._service.values:
            raise PlatformError("no value")
        return self._service.values[name]

    async def watch(self, name, digest):
        self._service.count_call(self._name, self._service.watches)
        return await self._service.pending(digest)


class Router:
    """A store and a spread with their own timers."""

    def __init__(self, fleet, name, zone):
        self.name, self.zone = name, zone
        self.counts = Counter()
        self.timers = TimerService(fleet.clock)
        self.frozen = False
        count = lambda key: self.counts.update([key])  # noqa: E731
        self.store = ConfigurationStore(count)
        self.spread = ConfigurationSpread(
            name,
            zone,
            self.timers,
            self.store,
            fleet.service.reader((name, id(self))),
            lambda peer, message: fleet.send(name, peer, message),
            lambda: fleet.alive(name),
            lambda: len(fleet.routers),
            count,
            random.Random(name),
        )


def _probed(router):
    """Returns what probes carry: a part of the digest."""
    revision, digest = router.store.version
    return revision, digest[:16]


class Fleet:
    """Steps all routers and checks that none goes back."""

    def __init__(self, routers, zones, seed=1):
        self.clock = ManualClock(unix_start=1e9)
        self.service = FakeService(self.clock)
        self.random = random.Random(seed)
        self.loss = 0.0
        self.cut = set()
        self._zones = zones
        self._queue = []
        self.messages = 0
        self.reverts = 0
        self._highest = {}
        self.routers = {}
        for index in range(routers):
            self.add(f"r{index}", f"z{index % zones}")
        self._next_probe = 1.0

    def add(self, name, zone):
        """Adds a router, or restarts one with no memory."""
        if name in self.routers:
            self.routers[name].spread.stop()
        self.routers[name] = Router(self, name, zone)
        self._highest.pop(name, None)

    def alive(self, viewer):
        return {
            name: router.zone
            for name, router in self.routers.items()
            if (viewer in self.cut) == (name in self.cut)
        }

    def start(self):
        for router in self.routers.values():
            router.spread.start()

    def stop(self):
        for router in self.routers.values():
            router.spread.stop()

    def send(self, sender, receiver, message):
        self.messages += 1
        if self.random.random() >= self.loss:
            self._queue.append((sender, receiver, message))

    def _deliver(self):
        queue, self._queue = self._queue, []
        for sender, receiver, message in queue:
            router = self.routers[receiver]
            if router.frozen or (sender in self.cut) != (receiver in self.cut):
                continue
            if isinstance(message, ConfigurationAnnounce):
                router.spread.on_announce(sender, message)
            elif isinstance(message, ConfigurationPull):
                router.spread.on_pull(sender, message)
            elif isinstance(message, ConfigurationPart):
                router.spread.on_part(sender, message)

    def _probe(self):
        if self.clock.monotonic() < self._next_probe:
            return
        self._next_probe += 1.0
        for name, router in self.routers.items():
            others = sorted(self.alive(name).keys() - {name})
            if others and not router.frozen:
                peer = self.routers[self.random.choice(others)]
                router.spread.on_peer_revision(peer.name, *_probed(peer))
                if not peer.frozen:
                    peer.spread.on_peer_revision(name, *_probed(router))

    async def run(self, seconds, until=None, step=STEP_S):
        """Runs; returns seconds until a condition held, or None."""
        start = self.clock.monotonic()
        while self.clock.monotonic() < start + seconds:
            self.clock.move_to(self.clock.monotonic() + step)
            self._deliver()
            self._probe()
            for router in self.routers.values():
                if not router.frozen:
                    router.timers.run_due()
            self.service.run_pending()
            # A router makes up to 20 calls at one instant, one after another;
            # each takes a few passes of the loop.
            for _ in range(100):
                await asyncio.sleep(0)
            self._check()
            if until is not None and until():
                return self.clock.monotonic() - start
        return None

    def _check(self):
        for name, router in self.routers.items():
            version = router.store.version
            if version < self._highest.get(name, version):
                self.reverts += 1
            self._highest[name] = version

    def all_have(self, built):
        version = (built.snapshot().revision, digest_of(built.manifest))
        return lambda: all(
            router.store.version == version for router in self.routers.values()
        )

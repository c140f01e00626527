"""Model of a fleet of routers.

All parts but the network and the store are those of a router. Time is that of
a manual clock and nothing leaves the process, so that each run is the same.
"""

import asyncio
import random
from unittest import mock

from crowwinch.coordination import ManualClock, TimerService
from crowwinch.directory import (
    Changes,
    DirectoryState,
    DirectoryWatcher,
    HistoryLostError,
    Item,
    Listing,
    StoreError,
    StoreReaderSelector,
)
from crowwinch.fleet import FleetService
from crowwinch.fleet._directory_exchange import (
    DirectoryFetchError,
    build_page,
)
from crowwinch.forwarding import GatewaySettings, SocketAddress
from crowwinch.forwarding.tests.support import make_sharing_state

_STEP_S = 0.05
ZONES = 5
_PORT = 9
# The client gives up a call this long after the end of its wait.
_CALL_TIMEOUT_S = 1.0
_HISTORY = 200
# Turns of the loop in which everything that is due has run.
_TURNS = 8


class _Decoder:
    def decode(self, key, value):
        return None


class _Store:
    """A store of one item that fails in chosen ways for chosen routers."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.calls = 0
        self.is_down = False
        self.turned_away = set()
        self.silent = set()
        self.written = {}
        self._waiting = []

    def write(self):
        self.revision += 1
        self.written[self.revision] = self.clock.monotonic()

    def client(self, name):
        return _StoreClient(self, name)

    async def call(self, name, seconds, is_due):
        """Answers when a condition holds or the wait has ended."""
        self.calls += 1
        if self.is_down or name in self.turned_away:
            raise StoreError("refused")
        end = self.clock.monotonic() + seconds
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((future, name, end, is_due))
        await future

    def step(self, frozen):
        """Answers the calls that are due."""
        now = self.clock.monotonic()
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            future, name, end, is_due = entry
            is_silent = name in self.silent
            if future.done():
                continue
            if name in frozen:
                self._waiting.append(entry)
            elif self.is_down or (is_silent and now >= end + _CALL_TIMEOUT_S):
                future.set_exception(StoreError("no answer"))
            elif not is_silent and (now >= end or is_due()):
                future.set_result(None)
            else:
                self._waiting.append(entry)


class _StoreClient:
    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def list_items(self):
        store = self._store
        await store.call(self._name, 0.0, lambda: True)
        return Listing(store.revision, (_item(store.revision),))

    async def watch(self, revision, wait_s):
        store = self._store
        if store.revision - revision > _HISTORY:
            raise HistoryLostError("gone")
        await store.call(self._name, wait_s, lambda: store.revision > revision)
        items = (_item(store.revision),) if store.revision > revision else ()
        return Changes(store.revision, items)


class _Network:
    """Delivers updates and pages, but for routers that are cut or frozen."""

    def __init__(self):
        self.endpoints = {}
        self.states = {}
        self.frozen = set()
        self.severed = lambda one, other: False
        self._updates = []

    def send(self, source, update, hosts):
        self._updates.extend((source, host, update) for host in hosts)

    def step(self):
        updates, self._updates = self._updates, []
        for source, host, update in updates:
            endpoint = self.endpoints.get(host)
            if endpoint is None or self._is_cut(source, host):
                continue
            endpoint(update)

    def page(self, source, host, after):
        if self._is_cut(source, host):
            raise DirectoryFetchError(host)
        return build_page(self.states[host], after)

    def _is_cut(self, source, host):
        return bool({source, host} & self.frozen) or self.severed(source, host)


def _make_endpoint(network):
    class _Endpoint:
        def __init__(self, host, port, receive, count_rejection):
            self._host = host
            network.endpoints[host] = receive

        async def start(self):
            pass

        async def stop(self):
            pass

        def set_polled(self, is_polled):
            pass

        def poll(self):
            pass

        def send(self, update, hosts):
            network.send(self._host, update, hosts)

    return _Endpoint


def _make_exchange(network):
    class _Exchange:
        def __init__(self, state, address):
            self._host = address.host
            network.states[address.host] = state

        async def start(self):
            pass

        async def stop(self):
            pass

        async def fetch(self, control, after):
            host = control.rpartition(":")[0]
            return network.page(self._host, host, after)

    return _Exchange


def _item(revision):
    return Item("key", revision, b"text")


def make_settings(host, zone, seeds, port=_PORT):
    """Returns the settings of a router that uses one port for everything."""
    address = SocketAddress(host, port)
    return GatewaySettings(
        name=host,
        address=host,
        availability_zone=zone,
        caller=address,
        readiness=address,
        control=address,
        peer_port=port,
        metrics_port=port,
        seeds=tuple(SocketAddress(seed, port) for seed in seeds),
        store=address,
        memory_bytes=1,
        max_descriptors=1,
        drain_s=1.0,
        stop_grace_s=1.0,
        address_reuse_s=1.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        share_window_s=4.0,
    )


class _Router:
    def __init__(self, clock, store, settings):
        self.host = settings.address
        self.zone = settings.availability_zone
        self.timers = TimerService(clock)
        self.state = DirectoryState(clock, _Decoder())
        self.sharing = make_sharing_state(clock)
        self.readers = StoreReaderSelector(clock, str(settings.control))
        self.service = FleetService(
            self.timers,
            settings,
            self.state,
            self.readers,
            self.sharing,
            lambda: False,
            lambda reason: None,
        )
        self.watcher = DirectoryWatcher(
            self.timers,
            store.client(self.host),
            self.state,
            self.readers,
            random.Random(self.host),
        )


class FleetModel:
    """Routers, their store and the network between them."""

    def __init__(self, size: int) -> None:
        self.size = size

    async def start(self):
        """Starts all routers."""
        self.clock = ManualClock(100.0, unix_start=1_000_000.0)
        self.store = _Store(self.clock)
        self.network = _Network()
        hosts = [f"10.0.{n // 10}.{n % 10}" for n in range(self.size)]
        with (
            mock.patch(
                "crowwinch.fleet._service.FleetEndpoint",
                _make_endpoint(self.network),
            ),
            mock.patch(
                "crowwinch.fleet._service.DirectoryExchange",
                _make_exchange(self.network),
            ),
        ):
            self.routers = [
                _Router(
                    self.clock,
                    self.store,
                    make_settings(host, f"zone-{n % ZONES}", hosts[:3]),
                )
                for n, host in enumerate(hosts)
            ]
        for router in self.routers:
            await router.service.start()
            await router.watcher.start()

    async def stop(self):
        """Stops all routers."""
        for router in self.routers:
            await router.watcher.stop()
            await router.service.stop()

    async def run(self, seconds, writes_every_s=None, on_step=lambda: None):
        """Lets time pass, with changes at a regular rate."""
        start = self.clock.monotonic()
        next_write = start
        while (now := self.clock.monotonic()) < start + seconds:
            if writes_every_s is not None and now >= next_write:
                self.store.write()
                next_write += writes_every_s
            self.clock.move_to(now + _STEP_S)
            for router in self.routers:
                if router.host not in self.network.frozen:
                    router.timers.run_due()
            self.network.step()
            self.store.step(self.network.frozen)
            for _ in range(_TURNS):
                await asyncio.sleep(0)
            on_step()

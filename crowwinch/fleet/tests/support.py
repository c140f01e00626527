"""In-process simulation of a fleet of routers.

Only the network and the store are fakes. A manual clock and the absence of real
input and output make each run deterministic.
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
    TargetEntry,
    TargetState,
    ZoneEvacuation,
)
from crowwinch.fleet import FleetService, FleetStreamOrigins
from crowwinch.fleet._directory_exchange import (
    DirectoryFetchError,
    build_page,
)
from crowwinch.forwarding import (
    GatewaySettings,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    SocketAddress,
)
from crowwinch.forwarding.tests.support import make_sharing_state
from crowwinch.generated.fleet_messages import FleetUpdate

_STEP_S = 0.05
ZONES = 5
SERVICES = ("llm", "other")
# Time limit of the route.
TIMEOUT_S = 8.0
EVACUATION = "evacuate"
_PORT = 9
# A call times out this long after the end of its requested wait.
_CALL_TIMEOUT_S = 1.0
# Time for which the store keeps its changes, as routers are told.
_HISTORY_S = 20.0
# Revisions that the store keeps for watches.
_HISTORY_REVISIONS = 200
# Iterations of the event loop that suffice to run all callbacks that are due.
_EVENT_LOOP_ITERATIONS = 8


_CONFIGURATION = Item("config", 1, b"1")


def _make_route(services):
    return Route(
        "chat",
        "host",
        "/chat/",
        RouteKind.RESUMABLE_STREAM,
        TIMEOUT_S,
        0.5,
        1,
        dict.fromkeys(services, 1.0),
        2,
        False,
    )


class _Decoder:
    """Decodes the text of an item as the state and version of a target.

    Targets without a version are of another service; one with
    `VERSION@SERVICE` is of that service. A target whose key is `ZONE/NAME` is
    in that zone, others in the first one; `evacuate/ZONE` is an evacuation. A
    configuration is
    `VERSION` or `VERSION:SERVICES` with the services of a route.
    """

    def decode(self, key, value):
        if key == _CONFIGURATION.key:
            version, _, names = value.decode().partition(":")
            services = {name: Service(name, 0, None) for name in SERVICES}
            routes = (_make_route(names.split(",")),) if names else ()
            return RoutingTable(
                int(version), routes, services, None, RequestLimits()
            )
        prefix, separator, name = key.partition("/")
        if prefix == EVACUATION:
            return ZoneEvacuation(name)
        state, _, version = value.decode().partition(":")
        version, _, service = version.partition("@")
        return TargetEntry(
            key,
            service or ("llm" if version else "other"),
            SocketAddress("10.1.0.1", 80),
            prefix if separator else "zone-0",
            4,
            TargetState(state),
            0,
            version,
        )


class _FakeStore:
    """Fake store with one target and failures that can be injected."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self._state_revision = 1
        self.calls = 0
        self.is_down = False
        self.refused = set()
        self.silent = set()
        # Routers whose calls of now get no answer, also after the fault.
        self.disconnected = set()
        self.written = {}
        self.state = TargetState.READY
        self.era = 1
        # Targets besides the one whose state changes, and their changes.
        self.others = {}
        self._other_changes = []
        self._pending = []
        self._lost = set()

    def write(self, state=TargetState.READY):
        self.revision += 1
        self._state_revision = self.revision
        self.state = state
        self.written[self.revision] = self.clock.monotonic()

    def put(self, key, text):
        """Writes the entry of another target; without a text it is removed."""
        self.revision += 1
        change = Item(key, self.revision, text and text.encode())
        self._other_changes.append(change)
        self._apply_other(change)

    def _apply_other(self, change):
        self.others.pop(change.key, None)
        if change.value:
            self.others[change.key] = change

    def changes_after(self, revision):
        """Returns all changes after a revision."""
        changes = [
            each for each in self._other_changes if each.revision > revision
        ]
        if self._state_revision > revision:
            changes.append(self.item)
        return tuple(changes)

    def restore(self, revision, state):
        """Returns to an older copy; its revisions are given out again."""
        self.era += 1
        self.revision = self._state_revision = revision
        self.state = state
        self.written.clear()
        changes = self._other_changes
        self._other_changes = [
            change for change in changes if change.revision <= revision
        ]
        self.others.clear()
        for change in self._other_changes:
            self._apply_other(change)

    @property
    def item(self):
        return Item("key", self._state_revision, self.state.value.encode())

    def client(self, name):
        return _FakeStoreClient(self, name)

    async def call(self, name, seconds, is_due):
        """Returns when the condition holds or the wait has ended.

        Raises:
            StoreError: If the store is down, refuses the router or times out.
        """
        self.calls += 1
        if self.is_down or name in self.refused:
            raise StoreError("connection refused")
        end = self.clock.monotonic() + seconds
        future = asyncio.get_running_loop().create_future()
        self._pending.append((future, name, end, is_due))
        if name in self.disconnected:
            self._lost.add(future)
        await future

    def disconnect(self, name):
        """Lets the running calls of a router, and later ones, get no answer.

        Calls that began before the router is connected again time out, as on a
        connection that lost its packets.
        """
        self.disconnected.add(name)
        self._lost.update(each[0] for each in self._pending if each[1] == name)

    def reconnect(self, name):
        """Answers the calls of a router that begin from now on."""
        self.disconnected.discard(name)

    def step(self, frozen):
        """Completes the calls that are due, except those of frozen routers."""
        now = self.clock.monotonic()
        pending, self._pending = self._pending, []
        for entry in pending:
            future, name, end, is_due = entry
            is_silent = name in self.silent or future in self._lost
            if future.done():
                self._lost.discard(future)
                continue
            if name in frozen:
                self._pending.append(entry)
            elif self.is_down or (is_silent and now >= end + _CALL_TIMEOUT_S):
                self._lost.discard(future)
                future.set_exception(StoreError("call timed out"))
            elif not is_silent and (now >= end or is_due()):
                future.set_result(None)
            else:
                self._pending.append(entry)


class _FakeStoreClient:
    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def list_items(self):
        store = self._store
        await store.call(self._name, 0.0, lambda: True)
        items = (_CONFIGURATION, store.item, *store.others.values())
        return Listing(store.revision, items, store.era)

    async def watch(self, revision, wait_s):
        store = self._store
        if not 0 <= store.revision - revision <= _HISTORY_REVISIONS:
            raise HistoryLostError("no such revision")
        await store.call(self._name, wait_s, lambda: store.revision > revision)
        return Changes(store.revision, store.changes_after(revision), store.era)


class _FakeNetwork:
    """Fake network that drops traffic of partitioned and frozen routers."""

    def __init__(self, clock):
        self._clock = clock
        self.endpoints = {}
        self.states = {}
        self.frozen = set()
        self.is_partitioned = lambda one, other: False
        # Routers whose fetches time out.
        self.unanswered = set()
        self._updates = []
        self._hanging = []

    def send(self, source, update, hosts):
        self._updates.extend((source, host, update) for host in hosts)

    def step(self):
        updates, self._updates = self._updates, []
        for source, host, update in updates:
            endpoint = self.endpoints.get(host)
            if endpoint is None or self._is_unreachable(source, host):
                continue
            endpoint(update)
        now = self._clock.monotonic()
        for end, future in self._hanging:
            if end <= now and not future.done():
                future.set_result(None)
        self._hanging = [each for each in self._hanging if each[0] > now]

    async def time_out(self, host, timeout_s):
        """Waits for the timeout of a fetch.

        Raises:
            DirectoryFetchError: Always.
        """
        future = asyncio.get_running_loop().create_future()
        self._hanging.append((self._clock.monotonic() + timeout_s, future))
        await future
        raise DirectoryFetchError(host)

    def page(self, source, host, after, era):
        if self._is_unreachable(source, host):
            raise DirectoryFetchError(host)
        return build_page(self.states[host], after, era)

    def _is_unreachable(self, source, host):
        return bool({source, host} & self.frozen) or self.is_partitioned(
            source, host
        )


def _make_endpoint(network):
    class _FakeEndpoint:
        def __init__(
            self, host, port, receive, count_rejection, receive_stream
        ):
            self._host = host
            network.endpoints[host] = lambda message: (
                receive(message)
                if isinstance(message, FleetUpdate)
                else receive_stream(message)
            )

        async def start(self):
            pass

        async def stop(self):
            pass

        def set_polled(self, is_polled):
            pass

        def poll(self):
            return True

        def send(self, update, hosts):
            network.send(self._host, update, hosts)

        def send_stream(self, message, hosts):
            network.send(self._host, message, hosts)

    return _FakeEndpoint


def _make_exchange(network):
    class _FakeExchange:
        def __init__(self, state, address):
            self._host = address.host
            network.states[address.host] = state

        async def start(self):
            pass

        async def stop(self):
            pass

        async def fetch(
            self, control, after, era, timeout_s, *, is_synced=False
        ):
            del is_synced
            host = control.rpartition(":")[0]
            if self._host in network.unanswered:
                await network.time_out(host, timeout_s)
            return network.page(self._host, host, after, era)

    return _FakeExchange


def make_settings(host, zone, seeds, port=_PORT):
    """Returns settings of a router that uses one port for all listeners."""
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


class _FakeSync:
    """Takes each router to be in step with the store."""

    async def sync(self, since):
        del since
        return True


class _Router:
    def __init__(self, clock, store, settings):
        self.host = settings.address
        self.zone = settings.availability_zone
        self.timers = TimerService(clock)
        self.state = DirectoryState(clock, _Decoder())
        self.sharing = make_sharing_state(clock)
        self.readers = StoreReaderSelector(clock, str(settings.control))
        self.is_leaving = False
        self.service = FleetService(
            self.timers,
            settings,
            self.state,
            self.readers,
            self.sharing,
            lambda: self.is_leaving,
            lambda reason: None,
        )
        client = store.client(self.host)
        self.origins = FleetStreamOrigins(
            clock,
            self.service.streams,
            self.sharing.caller_waits,
            self.state,
            client,
            _FakeSync(),
            _HISTORY_S,
            0.0,
        )
        self.watcher = DirectoryWatcher(
            self.timers,
            client,
            self.state,
            self.readers,
            random.Random(self.host),
        )


class FleetModel:
    """Simulated fleet: routers, their store and the network between them."""

    def __init__(self, size: int) -> None:
        self.size = size

    async def start(self):
        """Starts all routers."""
        self.clock = ManualClock(100.0, unix_start=1_000_000.0)
        self.store = _FakeStore(self.clock)
        self.network = _FakeNetwork(self.clock)
        self._hosts = [f"10.0.{n // 10}.{n % 10}" for n in range(self.size)]
        self.routers = [self._create_router(n) for n in range(self.size)]
        for router in self.routers:
            await router.service.start()
            await router.watcher.start()

    async def restart(self, number):
        """Starts a router again, without its memory."""
        number %= self.size
        await self.routers[number].watcher.stop()
        await self.routers[number].service.stop()
        router = self.routers[number] = self._create_router(number)
        await router.service.start()
        await router.watcher.start()

    def _create_router(self, number):
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
            return _Router(
                self.clock,
                self.store,
                make_settings(
                    self._hosts[number],
                    f"zone-{number % ZONES}",
                    self._hosts[:3],
                ),
            )

    async def stop(self):
        """Stops all routers."""
        for router in self.routers:
            await router.watcher.stop()
            await router.service.stop()

    def cut_off(self, router):
        """Cuts a router off from the store and from all peers."""
        host = router.host
        self.store.disconnect(host)
        self.network.unanswered.add(host)
        self.network.is_partitioned = lambda one, other: host in (one, other)

    def rejoin(self, router):
        """Ends the cut; calls that run time out, and fetches still do."""
        self.store.reconnect(router.host)
        self.network.is_partitioned = lambda one, other: False

    async def run(self, seconds, writes_every_s=None, on_step=lambda: None):
        """Advances the simulation in steps of 50 ms.

        Args:
            seconds: Simulated time to run.
            writes_every_s: Interval between changes in the store; None for no
                changes.
            on_step: Called after each step.
        """
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
            for _ in range(_EVENT_LOOP_ITERATIONS):
                await asyncio.sleep(0)
            on_step()

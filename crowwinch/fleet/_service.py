"""Periodic exchange of state updates with the other routers of the fleet."""

import asyncio
import collections
import itertools
import logging
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from crowwinch.coordination import Subscription, TimerService
from crowwinch.directory import (
    DirectoryState,
    ReaderStatus,
    StoreReaderSelector,
)
from crowwinch.errors import PeerRejection
from crowwinch.fleet._directory_exchange import DirectoryExchange
from crowwinch.fleet._directory_pull import DirectoryPull
from crowwinch.fleet._endpoint import FleetEndpoint, StreamDatagram
from crowwinch.fleet._peer_directories import PeerDirectories
from crowwinch.fleet._peer_table import UPDATE_PERIOD_S, PeerTable
from crowwinch.fleet._stream_records import RecordPeer, StreamRecords
from crowwinch.fleet._update_codec import (
    decode_cold,
    decode_demand,
    decode_paces,
    decode_rate_limits,
    decode_routes,
    decode_suspects,
    decode_sync,
    decode_versions,
    decode_waits,
    encode_cold,
    encode_demand,
    encode_paces,
    encode_rate_limits,
    encode_routes,
    encode_suspects,
    encode_sync,
    encode_versions,
    encode_waits,
)
from crowwinch.fleet._zone_peers import ZonePeers
from crowwinch.forwarding import (
    GatewaySettings,
    SharingState,
    SocketAddress,
)
from crowwinch.generated.fleet_messages import (
    DepartureReport,
    FleetUpdate,
    PrefixReport,
    TargetReport,
    WorkspaceReport,
)
from crowwinch.sharing import (
    TargetUse,
    WorkspaceUse,
)

_LOGGER = logging.getLogger(__name__)

# A long prompt triggers an update outside the period. The delay lets one update
# cover all requests that are routed together.
_LONG_PROMPT_DELAY_S = 0.002
_MS_PER_S = 1000.0
# When the readers of the store are chosen, a peer counts as down after this
# time or after this many rounds of updates, whichever is longer.
_MIN_READER_TIMEOUT_S = 0.5
_READER_TIMEOUT_ROUNDS = 4
# A peer of the zone that was not heard for this long is forgotten.
_ZONE_PEER_EXPIRY_S = 60.0
# A peer that was not heard for this long may be out of step with the store.
_SILENCE_S = 1.0
# Peers that are asked to read the store for this router.
_SYNC_PEERS = 2


class FleetService:
    """Exchanges updates with all peers and applies those received."""

    def __init__(
        self,
        timers: TimerService,
        settings: GatewaySettings,
        state: DirectoryState,
        readers: StoreReaderSelector,
        sharing: SharingState,
        is_leaving: Callable[[], bool],
        count_rejection: Callable[[PeerRejection], None],
        is_overloaded: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a service; nothing is sent until `start`.

        Args:
            timers: Scheduler of the periodic updates.
            settings: Addresses, name, availability zone and seeds.
            state: Directory of this router.
            readers: Decides which routers read the store.
            sharing: State that is shared with peers.
            is_leaving: Returns whether this router is shutting down.
            count_rejection: Called with the reason of each dropped datagram.
            is_overloaded: Returns whether this router lacks processor time.
        """
        self._timers = timers
        self._settings = settings
        self._state = state
        self._readers = readers
        self._sharing = sharing
        self._is_leaving = is_leaving
        self._is_overloaded = is_overloaded
        self._incarnation = int(timers.clock.time() * 1000)
        self._sequence = itertools.count()
        self._table = PeerTable(
            timers.clock,
            str(settings.control),
            (str(seed) for seed in settings.seeds),
        )
        self._endpoint = FleetEndpoint(
            settings.address,
            settings.peer_port,
            self._receive,
            count_rejection,
            self._receive_stream,
        )
        # Availability zone of each peer that was heard.
        self._peer_zones: dict[str, str] = {}
        self._streams = StreamRecords(
            timers.clock,
            str(settings.control),
            self._record_peers,
            lambda message, controls: self._endpoint.send_stream(
                message, _hosts(controls)
            ),
        )
        self._directories = PeerDirectories(timers.clock)
        # Datagrams that are read now arrived after this time.
        self._drained_at = timers.clock.monotonic()
        self._exchange = DirectoryExchange(state, settings.control)
        self._pull = DirectoryPull(timers.clock, state, readers, self._exchange)
        self._zone_peers = ZonePeers(timers.clock, settings.availability_zone)
        # Time of the last update from each peer in this availability zone.
        self._zone_peers_last_heard_s: dict[str, float] = {}
        self._subscription: Subscription | None = None
        self._extra_update: Subscription | None = None
        # Prefix reports to send, each with the sequence number of the update
        # from which on all peers have received it.
        self._pending_prefixes: collections.deque[tuple[int, PrefixReport]] = (
            collections.deque()
        )
        self._reader_timeout_s = _MIN_READER_TIMEOUT_S
        self._live: frozenset[str] = frozenset()

    @property
    def streams(self) -> StreamRecords:
        """Records of the origins of streams."""
        return self._streams

    @property
    def live_peers(self) -> int:
        """Number of peers heard within the liveness timeout."""
        return len(self._live)

    @property
    def behind_s(self) -> float:
        """Seconds for which a peer's directory has been newer, 0 if none is."""
        return self._pull.behind_s

    @property
    def has_relief(self) -> bool:
        """Whether a peer of this zone has processor time for connections."""
        return self._zone_peers.has_relief(self._reader_timeout_s)

    def serve_sync(self, sync: Callable[[], Awaitable[bool]]) -> None:
        """Sets how the directory is brought up to date for peers.

        Args:
            sync: Returns whether the directory includes all changes that the
                store had when it was called.
        """
        self._exchange.set_sync(sync)

    async def sync_with_peers(self) -> None:
        """Lets peers that the store answers read it for this router."""
        peers = self._readers.fresh_peers()[:_SYNC_PEERS]
        await asyncio.gather(*(self._pull.sync(peer) for peer in peers))

    def set_seeds(self, seeds: Iterable[SocketAddress]) -> None:
        """Replaces the seeds; known peers are kept.

        Args:
            seeds: Control addresses of routers.
        """
        self._table.set_seeds(str(seed) for seed in seeds)

    async def start(self) -> None:
        """Starts to listen and to send periodic updates.

        Raises:
            OSError: If a port cannot be bound.
        """
        await self._exchange.start()
        await self._endpoint.start()
        self._subscription = self._timers.call_every(
            UPDATE_PERIOD_S, self._tick
        )
        self._sharing.loads.subscribe_long_prompts(self._schedule_extra_update)
        self._tick()

    async def stop(self) -> None:
        """Stops sending and closes all ports."""
        for subscription in (self._subscription, self._extra_update):
            if subscription is not None:
                subscription.cancel()
        await self._endpoint.stop()
        await self._pull.stop()
        await self._exchange.stop()

    def _tick(self) -> None:
        # In a large fleet, updates describe a state that is several periods
        # old, so reading them once per period loses little. A wake-up for each
        # of 240 updates per second took a third of the processor time of the
        # exchange.
        self._endpoint.set_polled(self._table.periods_per_round > 1)
        if self._endpoint.poll():
            self._drained_at = self._timers.clock.monotonic()
        for synced_at in self._directories.silent_since(_SILENCE_S):
            self._state.origins.record_old_directory(synced_at)
        sharing = self._sharing
        sharing.loads.refresh()
        sharing.shares.refresh()
        sharing.rate_limits.set_fleet(
            str(self._settings.control), self._table.shared_by
        )
        sharing.rate_limits.refresh()
        if sharing.cold.is_active:
            sharing.cold.set_fleet(
                str(self._settings.control),
                self._table.known_routers,
                self._table.is_settled,
            )
            sharing.cold.refresh()
        sharing.pace.set_fleet(
            str(self._settings.control), self._table.shared_by
        )
        sharing.pace.refresh()
        sharing.admission.poll()
        if self._is_leaving():
            self._streams.refresh_handover()
        self._log_membership_changes()
        self._update_reader_role()
        self._send_update()

    def _update_reader_role(self) -> None:
        """Updates whether this router reads the store itself."""
        self._pull.refresh()
        self._zone_peers.remove_silent(_ZONE_PEER_EXPIRY_S)
        timeout_periods = _READER_TIMEOUT_ROUNDS * self._table.periods_per_round
        self._reader_timeout_s = max(
            _MIN_READER_TIMEOUT_S, timeout_periods * UPDATE_PERIOD_S
        )
        was_reading = self._readers.is_reading
        is_reading = self._readers.decide(self._reader_timeout_s)
        if is_reading != was_reading:
            _LOGGER.info(
                "reading of the store started"
                if is_reading
                else "reading of the store left to others",
                extra={
                    "peers": len(self._live),
                    "revision": self._state.revision,
                },
            )
        if not is_reading and self._readers.has_fresh_peer:
            self._state.record_contact()

    def _is_preferred_source(self, update: FleetUpdate) -> bool:
        """Returns whether to fetch from the sender of an update without delay.

        Only one router of each availability zone, the live one with the lowest
        control address, fetches from other zones, so that a change is sent to
        each zone once.
        """
        own_zone = self._settings.availability_zone
        if update.availability_zone == own_zone:
            return True
        oldest = self._timers.clock.monotonic() - self._reader_timeout_s
        return not any(
            control < str(self._settings.control)
            for control, heard in self._zone_peers_last_heard_s.items()
            if heard >= oldest
        )

    def _schedule_extra_update(self) -> None:
        if self._extra_update is None:
            self._extra_update = self._timers.call_later(
                _LONG_PROMPT_DELAY_S, self._send_extra_update
            )

    def _send_extra_update(self) -> None:
        self._extra_update = None
        self._send_update()

    def _send_update(self) -> None:
        destinations = self._table.take_destinations()
        if not destinations:
            return
        update = self._build_update()
        needs_members = set(self._table.take_due_for_members(destinations))
        needs_shares = set(self._table.take_due_for_shares(destinations))
        groups = collections.defaultdict(list)
        for control in destinations:
            needs = (
                control in needs_members,
                control in needs_shares,
                self._table.silent_from(control),
            )
            groups[needs].append(control)
        for needs, controls in groups.items():
            includes_members, includes_shares, silent_from = needs
            self._endpoint.send(
                msgspec.structs.replace(
                    update,
                    members=(
                        self._table.next_members() if includes_members else []
                    ),
                    waits=(
                        encode_waits(self._sharing.caller_waits.reports())
                        if includes_members
                        else []
                    ),
                    workspaces=(
                        self._workspace_reports() if includes_shares else None
                    ),
                    departures=self._departure_reports(silent_from),
                ),
                _hosts(controls),
            )

    def _departure_reports(self, silent_from: float) -> list[DepartureReport]:
        return [
            DepartureReport(key, revision)
            for key, revision in self._state.recent_departures(silent_from)
        ]

    def _workspace_reports(self) -> list[WorkspaceReport]:
        return [
            WorkspaceReport(use.workspace, round(use.asked), round(use.served))
            for use in self._sharing.shares.own_use(self._table.shares_period_s)
        ]

    def _prefix_reports(self, sequence: int) -> list[PrefixReport]:
        """Returns reads away from the home target that are yet to be sent.

        Each read is reported for one round of updates, so that it reaches all
        peers.
        """
        end = sequence + self._table.periods_per_round
        self._pending_prefixes.extend(
            (end, PrefixReport(target, path))
            for target, path in self._sharing.prefixes.take_unsent_prefills()
        )
        while (
            self._pending_prefixes and self._pending_prefixes[0][0] <= sequence
        ):
            self._pending_prefixes.popleft()
        return [report for _, report in self._pending_prefixes]

    def _log_membership_changes(self) -> None:
        """Logs the peers that came up or went down since the last call."""
        live = frozenset(self._table.live)
        if live == self._live:
            return
        for peer in sorted(live - self._live):
            _LOGGER.info("peer found", extra={"peer": peer, "live": len(live)})
        for peer in sorted(self._live - live):
            _LOGGER.warning(
                "peer lost", extra={"peer": peer, "live": len(live)}
            )
        self._live = live

    def _build_update(self) -> FleetUpdate:
        sharing = self._sharing
        sequence = next(self._sequence)
        versions, covered_s = self._state.origins.version_reports()
        routes, routes_covered_s = self._state.origins.service_reports()
        return FleetUpdate(
            router=self._settings.name,
            availability_zone=self._settings.availability_zone,
            life=self._incarnation,
            sequence=sequence,
            control=str(self._settings.control),
            version=self._state.version,
            revision=self._state.revision,
            reading=self._readers.status.value,
            is_leaving=self._is_leaving(),
            is_overloaded=self._is_overloaded(),
            targets=[
                TargetReport(
                    use.target, use.active, round(use.reading_s * 1000)
                )
                for use in sharing.loads.own_use()
            ],
            workspaces=None,
            members=[],
            crashes=encode_suspects(sharing.crashes.reports()),
            prefixes=self._prefix_reports(sequence),
            departures=[],
            era=self._state.era,
            rate_limits=encode_rate_limits(sharing.rate_limits.reports()),
            demand=encode_demand(sharing.rate_limits.demand()),
            versions=encode_versions(versions),
            history_ms=round(covered_s * _MS_PER_S),
            synced_ms=encode_sync(
                self._state.synced_at, self._timers.clock.monotonic()
            ),
            cold=encode_cold(sharing.cold.reports()),
            paces=encode_paces(sharing.pace.reports()),
            routes=encode_routes(routes),
            routes_ms=round(routes_covered_s * _MS_PER_S),
        )

    def _record_peers(self) -> dict[str, RecordPeer]:
        return {
            peer.control: RecordPeer(
                self._peer_zones[peer.control], peer.life, peer.is_leaving
            )
            for peer in self._table.reachable
            if peer.control in self._peer_zones
        }

    def _receive_stream(self, message: StreamDatagram) -> None:
        if message.control != str(self._settings.control):
            self._streams.receive(message)

    def _receive(self, update: FleetUpdate) -> None:
        if not self._table.accept(update):
            return
        sharing = self._sharing
        peer = update.control
        self._peer_zones[peer] = update.availability_zone
        self._zone_peers.record(update)
        sharing.loads.replace_peer_report(
            peer,
            [
                TargetUse(
                    report.target, report.active, report.reading_ms / 1000
                )
                for report in update.targets
            ],
        )
        if update.workspaces is not None:
            sharing.shares.replace_peer_report(
                peer,
                [
                    WorkspaceUse(report.workspace, report.asked, report.served)
                    for report in update.workspaces
                ],
            )
        sharing.prefixes.merge_peer_prefills(
            (report.target, report.path) for report in update.prefixes
        )
        sharing.crashes.merge_reports(decode_suspects(update.crashes))
        sharing.rate_limits.merge_peer(
            peer,
            update.life,
            decode_rate_limits(update.rate_limits),
            decode_demand(update.demand),
        )
        if update.cold:
            sharing.cold.merge_peer(peer, update.life, decode_cold(update.cold))
        sharing.pace.merge_peer(peer, decode_paces(update.paces))
        sharing.caller_waits.merge(decode_waits(update.waits))
        self._merge_directory_state(update)
        if update.era == self._state.era:
            self._state.merge_departures(
                (report.key, report.revision) for report in update.departures
            )
        if update.is_leaving:
            self._readers.remove_peer(peer)
        else:
            self._readers.record_peer(peer, ReaderStatus(update.reading))
        if update.availability_zone == self._settings.availability_zone:
            self._zone_peers_last_heard_s[peer] = self._timers.clock.monotonic()
        if self._pull.is_behind(update.era, update.revision, update.version):
            self._pull.note_revision(
                peer,
                update.era,
                update.revision,
                update.version,
                is_preferred=self._is_preferred_source(update),
            )

    def _merge_directory_state(self, update: FleetUpdate) -> None:
        """Applies how current a peer's directory is, and what it has seen."""
        state = self._state
        # A router that stood still reads updates long after they were sent.
        synced_at = decode_sync(update.synced_ms, self._drained_at)
        previous = self._directories.replace(update.control, synced_at)
        if previous is not None:
            state.origins.record_old_directory(previous)
        if synced_at is None:
            return
        if state.includes(update.era, update.revision):
            state.record_sync(synced_at)
        # A peer with an older configuration leaves out newer services.
        has_services = update.version >= state.version
        state.origins.merge_versions(
            decode_versions(update.versions),
            update.history_ms / _MS_PER_S if has_services else 0.0,
            synced_at,
        )
        has_routes = update.version == state.version
        state.origins.merge_services(
            decode_routes(update.routes),
            update.routes_ms / _MS_PER_S if has_routes else 0.0,
            synced_at,
        )


def _hosts(controls: Iterable[str]) -> list[str]:
    """Returns the hosts of control addresses."""
    return [control.rpartition(":")[0] for control in controls]

"""Tells the other routers what this one does, and hears them."""

import collections
import itertools
import logging
from collections.abc import Callable, Iterable

import msgspec

from crowwinch.coordination import Subscription, TimerService
from crowwinch.directory import DirectoryState, Reading, StoreReaders
from crowwinch.errors import PeerRejection
from crowwinch.fleet._directory_exchange import DirectoryExchange
from crowwinch.fleet._directory_pull import DirectoryPull
from crowwinch.fleet._endpoint import FleetEndpoint
from crowwinch.fleet._peer_table import PeerTable
from crowwinch.forwarding import (
    GatewaySettings,
    SharingState,
    SocketAddress,
)
from crowwinch.generated.fleet_messages import (
    CrashReport,
    FleetUpdate,
    PrefixReport,
    TargetReport,
    WorkspaceReport,
)
from crowwinch.sharing import TargetUse, WorkspaceUse

_LOGGER = logging.getLogger(__name__)

# Two routers that choose a target within one period do not see each other.
_PERIOD_S = 0.05
# A long prompt is told at once. The delay lets one update tell all requests
# that are decided together.
_LONG_PROMPT_DELAY_S = 0.002
_MOST_CRASHES = 32
# A router counts as lost for the reading of the store after this time, or after
# this many turns in a fleet to which updates go in turn.
_SHORTEST_SILENCE_S = 0.5
_ROUNDS_OF_SILENCE = 4


class FleetService:
    """Exchanges updates with all other routers."""

    def __init__(
        self,
        timers: TimerService,
        settings: GatewaySettings,
        state: DirectoryState,
        readers: StoreReaders,
        sharing: SharingState,
        is_leaving: Callable[[], bool],
        count_rejection: Callable[[PeerRejection], None],
    ) -> None:
        """Stores the parts; nothing is sent until `start`."""
        self._timers = timers
        self._settings = settings
        self._state = state
        self._readers = readers
        self._sharing = sharing
        self._is_leaving = is_leaving
        self._life = int(timers.clock.time() * 1000)
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
        )
        self._exchange = DirectoryExchange(state, settings.control)
        self._pull = DirectoryPull(timers.clock, state, readers, self._exchange)
        # Routers of this availability zone and when each was heard last.
        self._neighbours: dict[str, float] = {}
        self._subscription: Subscription | None = None
        self._extra_update: Subscription | None = None
        # Reads to tell, with the update from which all routers know them.
        self._reads: collections.deque[tuple[int, PrefixReport]] = (
            collections.deque()
        )
        self._silence_s = _SHORTEST_SILENCE_S
        self._live: frozenset[str] = frozenset()

    @property
    def live_peers(self) -> int:
        """Other routers that were heard a moment ago."""
        return len(self._live)

    def add_seeds(self, seeds: Iterable[SocketAddress]) -> None:
        """Takes control addresses of routers that may be unknown."""
        self._table.add_seeds(str(seed) for seed in seeds)

    async def start(self) -> None:
        """Starts to listen and to send."""
        await self._exchange.start()
        await self._endpoint.start()
        self._subscription = self._timers.call_every(_PERIOD_S, self._tick)
        self._sharing.loads.subscribe_long_prompts(self._plan_extra_update)
        self._tick()

    async def stop(self) -> None:
        """Closes all ports."""
        for subscription in (self._subscription, self._extra_update):
            if subscription is not None:
                subscription.cancel()
        await self._endpoint.stop()
        await self._pull.stop()
        await self._exchange.stop()

    def _tick(self) -> None:
        # What the updates of a large fleet say is old by many periods, so they
        # wait for the next one. A wake-up for each of 240 a second took a third
        # of the processor time of the exchange.
        self._endpoint.set_polled(self._table.periods_per_round > 1)
        self._endpoint.poll()
        sharing = self._sharing
        sharing.loads.refresh()
        sharing.shares.refresh()
        sharing.admission.poll()
        self._note_changes()
        self._choose_readers()
        self._send_update()

    def _choose_readers(self) -> None:
        """Decides whether this router reads the store itself."""
        self._pull.refresh()
        turns = _ROUNDS_OF_SILENCE * self._table.periods_per_round
        self._silence_s = max(_SHORTEST_SILENCE_S, turns * _PERIOD_S)
        was_reading = self._readers.is_reading
        is_reading = self._readers.decide(self._silence_s)
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
            self._state.note_contact()

    def _is_near(self, update: FleetUpdate) -> bool:
        """Returns whether to read at once from the sender of an update.

        One router of an availability zone reads from other zones, so that a
        change crosses their border once.
        """
        own_zone = self._settings.availability_zone
        if update.availability_zone == own_zone:
            return True
        oldest = self._timers.clock.monotonic() - self._silence_s
        return not any(
            control < str(self._settings.control)
            for control, heard in self._neighbours.items()
            if heard >= oldest
        )

    def _plan_extra_update(self) -> None:
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
            needs = (control in needs_members, control in needs_shares)
            groups[needs].append(control)
        for (tells_members, tells_shares), controls in groups.items():
            self._endpoint.send(
                msgspec.structs.replace(
                    update,
                    members=(
                        self._table.next_members() if tells_members else []
                    ),
                    workspaces=(
                        self._workspace_reports() if tells_shares else None
                    ),
                ),
                [control.rpartition(":")[0] for control in controls],
            )

    def _workspace_reports(self) -> list[WorkspaceReport]:
        return [
            WorkspaceReport(use.workspace, round(use.asked), round(use.served))
            for use in self._sharing.shares.own_use()
        ]

    def _prefix_reports(self, sequence: int) -> list[PrefixReport]:
        """Returns reads away from home that some routers were not told yet."""
        end = sequence + self._table.periods_per_round
        self._reads.extend(
            (end, PrefixReport(target, path))
            for target, path in self._sharing.prefixes.take_reads_to_tell()
        )
        while self._reads and self._reads[0][0] <= sequence:
            self._reads.popleft()
        return [report for _, report in self._reads]

    def _note_changes(self) -> None:
        """Logs routers that were lost or found since the last call."""
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
        return FleetUpdate(
            router=self._settings.name,
            availability_zone=self._settings.availability_zone,
            life=self._life,
            sequence=sequence,
            control=str(self._settings.control),
            version=self._state.version,
            revision=self._state.revision,
            reading=self._readers.reading.value,
            is_leaving=self._is_leaving(),
            targets=[
                TargetReport(
                    use.target, use.active, round(use.reading_s * 1000)
                )
                for use in sharing.loads.own_use()
            ],
            workspaces=None,
            members=[],
            crashes=[
                CrashReport(digest, count)
                for digest, count in sharing.crashes.own_counts()[
                    -_MOST_CRASHES:
                ]
            ],
            prefixes=self._prefix_reports(sequence),
        )

    def _receive(self, update: FleetUpdate) -> None:
        if not self._table.accept(update):
            return
        sharing = self._sharing
        peer = update.control
        sharing.loads.note_peer(
            peer,
            [
                TargetUse(
                    report.target, report.active, report.reading_ms / 1000
                )
                for report in update.targets
            ],
        )
        if update.workspaces is not None:
            sharing.shares.note_peer(
                peer,
                [
                    WorkspaceUse(report.workspace, report.asked, report.served)
                    for report in update.workspaces
                ],
            )
        sharing.prefixes.note_peer(
            (report.target, report.path) for report in update.prefixes
        )
        sharing.crashes.note_peer(
            peer, [(report.digest, report.count) for report in update.crashes]
        )
        if update.is_leaving:
            self._readers.forget(peer)
        else:
            self._readers.note_peer(peer, Reading(update.reading))
        if update.availability_zone == self._settings.availability_zone:
            self._neighbours[peer] = self._timers.clock.monotonic()
        if self._pull.is_behind(update.revision, update.version):
            self._pull.note_revision(
                peer,
                update.revision,
                update.version,
                is_near=self._is_near(update),
            )

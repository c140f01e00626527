"""Membership table of the fleet: peers, their liveness and send schedule."""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.generated.fleet_messages import FleetUpdate

# A peer without an update for this long counts as down and is only probed.
_LIVENESS_TIMEOUT_S = 3.0
# The list of live peers is cached for this time, a tenth of the update period,
# and invalidated when a peer starts or leaves. Each update reads the list five
# times; computing it every time took 4% of the processor time of a router in a
# fleet of 90.
_LIVE_CACHE_TTL_S = 0.005
_PROBE_PERIOD_S = 1.0
# Routers that start together open their sockets at slightly different moments.
# Seeds are probed frequently during startup, so that a lost first probe does
# not leave a router without peers for a whole probe period.
_STARTUP_PROBE_PERIOD_S = 0.1
_STARTUP_PHASE_S = 3.0
# Delayed datagrams of an earlier incarnation arrive within milliseconds. After
# a gap of this length, a lower incarnation means that the peer restarted with
# its wall clock set back.
_REORDER_WINDOW_S = 1.0
# A peer without an update for this long is removed, unless it is a seed.
_PEER_EXPIRY_S = 60.0
# A router may send to cold targets from this time after its start and after the
# first update of a peer on. Until then it hears from all peers, and they from
# it: a round of updates takes 0.85 s in a fleet of 200.
_SETTLING_S = 3.0
# A peer that was removed may be cut off and go on. It counts as a member for
# this time after it was last heard, unless it said that it leaves.
_ABSENCE_S = 600.0
# After this time, a router that said that it leaves is gone, and one that only
# peers have named is not there.
_GONE_S = 5.0
# Period in which updates are sent. Routers that choose a target within the same
# period do not see each other's choice.
UPDATE_PERIOD_S = 0.05
# Updates sent per period; in larger fleets, peers are served round-robin.
_FAN_OUT = 12
# Member addresses in one update.
_MEMBERS_PER_UPDATE = 12
# A newly discovered peer is sent members at the shorter period for this time:
# the first list may predate the discovery of routers that start with the peer.
_NEW_PEER_PHASE_S = 2.0
_NEW_PEER_MEMBERS_PERIOD_S = 0.3
# Later member lists only compensate for lost datagrams. The period is scaled by
# `periods_per_round`, as in a larger fleet each router receives lists from more
# peers.
_MEMBERS_PERIOD_S = 3.0
# A peer that was not heard for longer may have missed reports.
_MAX_GAP_S = 1.0
# Time after such a gap for which it is told what it may have missed: two rounds
# of updates in a fleet of 200 routers.
_CATCH_UP_S = 2.0
# Update timers fire slightly earlier or later than scheduled.
_TIMER_JITTER_S = 0.02
# Shares are measured over seconds, so in small fleets not every update needs to
# carry them.
_MIN_SHARES_PERIOD_S = 0.2


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a peer last said of itself.

    Attributes:
        control: Its control address.
        life: Unix time of its start in milliseconds.
        is_leaving: Whether it is shutting down.
    """

    control: str
    life: int
    is_leaving: bool


@dataclass(slots=True)
class _Peer:
    control: str
    last_heard_s: float = float("-inf")
    last_sent_s: float = float("-inf")
    discovered_s: float = float("-inf")
    members_sent_s: float = float("-inf")
    shares_sent_s: float = float("-inf")
    silent_from_s: float = float("inf")
    returned_s: float = float("-inf")
    incarnation: int = 0
    sequence: int = -1
    is_leaving: bool = False


class PeerTable:
    """Peers by control address, with the times of their last messages.

    A peer is another router of the fleet.
    """

    def __init__(
        self, clock: Clock, own_control: str, seeds: Iterable[str]
    ) -> None:
        """Creates a table that contains only the seeds.

        Args:
            clock: Monotonic time.
            own_control: Control address of this router.
            seeds: Control addresses; may be stale or include this router's own.
        """
        self._clock = clock
        self._own_control = own_control
        self._seeds: frozenset[str] = frozenset()
        self._peers: dict[str, _Peer] = {}
        # Time of the last update of peers that were removed.
        self._absent: dict[str, float] = {}
        self._next_member_index = 0
        self._live: list[str] = []
        self._live_computed_s = float("-inf")
        self._started_s = clock.monotonic()
        self._first_heard_s = float("-inf")
        self.set_seeds(seeds)

    @property
    def live(self) -> list[str]:
        """Control addresses of peers heard within the liveness timeout.

        Peers that are leaving are not included.
        """
        now = self._clock.monotonic()
        if now - self._live_computed_s >= _LIVE_CACHE_TTL_S:
            self._live_computed_s = now
            oldest = now - _LIVENESS_TIMEOUT_S
            self._live = [
                peer.control
                for peer in self._peers.values()
                if peer.last_heard_s >= oldest and not peer.is_leaving
            ]
        return self._live

    @property
    def reachable(self) -> list[PeerStatus]:
        """Peers heard within the liveness timeout, also those that leave."""
        oldest = self._clock.monotonic() - _LIVENESS_TIMEOUT_S
        return [
            PeerStatus(peer.control, peer.incarnation, peer.is_leaving)
            for peer in self._peers.values()
            if peer.last_heard_s >= oldest
        ]

    @property
    def shared_by(self) -> Sequence[str]:
        """Control addresses of the peers with which capacity is shared.

        These are the live peers. A router that hears fewer than half of the
        peers that it heard in the last minute is likely cut off from them, and
        they go on, so all of them count.
        """
        live = self.live
        oldest = self._clock.monotonic() - _PEER_EXPIRY_S
        heard = [
            peer.control
            for peer in self._peers.values()
            if peer.incarnation
            and peer.last_heard_s >= oldest
            and not peer.is_leaving
        ]
        is_majority = 2 * (len(live) + 1) > len(heard) + 1
        return live if is_majority else heard

    @property
    def known_routers(self) -> frozenset[str]:
        """Control addresses of all peers that may still be sending requests.

        Peers that are silent are included, since they may be cut off or frozen.
        """
        now = self._clock.monotonic()
        known = {
            control
            for control, heard_s in self._absent.items()
            if now - heard_s < _ABSENCE_S
        }
        for peer in self._peers.values():
            is_recent = now - peer.last_heard_s < _GONE_S
            if is_recent or (peer.incarnation and not peer.is_leaving):
                known.add(peer.control)
        return frozenset(known)

    @property
    def is_settled(self) -> bool:
        """Whether this router has had time to hear from all peers.

        One that hears no peer, although seeds name others, may be cut off.
        """
        since_s = max(self._started_s, self._first_heard_s)
        if self._clock.monotonic() - since_s < _SETTLING_S:
            return False
        return bool(self.live) or not self._seeds

    @property
    def periods_per_round(self) -> int:
        """Update periods needed to send one update to each live peer."""
        return max(-(-len(self.live) // _FAN_OUT), 1)

    @property
    def shares_period_s(self) -> float:
        """Time in seconds between two reports of shares to a peer."""
        return max(
            _MIN_SHARES_PERIOD_S, UPDATE_PERIOD_S * self.periods_per_round
        )

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds and keeps all known peers."""
        self._seeds = frozenset(seeds) - {self._own_control}
        for control in self._seeds:
            self._peers.setdefault(control, _Peer(control))

    def accept(self, update: FleetUpdate) -> bool:
        """Records an update.

        Returns:
            Whether the update is newer than the last one from its sender;
            False for this router's own updates.
        """
        if update.control == self._own_control:
            return False
        now = self._clock.monotonic()
        if self._first_heard_s == float("-inf"):
            self._first_heard_s = now
        peer = self._peers.get(update.control)
        if peer is None:
            peer = self._peers[update.control] = _Peer(update.control)
        is_restart = (
            update.life != peer.incarnation
            and now - peer.last_heard_s > _REORDER_WINDOW_S
        )
        is_newer = (update.life, update.sequence) > (
            peer.incarnation,
            peer.sequence,
        )
        if not (is_restart or is_newer):
            return False
        if (
            update.life != peer.incarnation
            or update.is_leaving != peer.is_leaving
        ):
            self._live_computed_s = float("-inf")
        if update.life != peer.incarnation:
            peer.discovered_s = now
            peer.members_sent_s = float("-inf")
        if now - peer.last_heard_s > _MAX_GAP_S and peer.sequence >= 0:
            peer.silent_from_s, peer.returned_s = peer.last_heard_s, now
        peer.last_heard_s = now
        peer.incarnation, peer.sequence = update.life, update.sequence
        peer.is_leaving = update.is_leaving
        for control in update.members:
            if control != self._own_control:
                self._peers.setdefault(
                    control, _Peer(control, last_heard_s=now)
                )
        return True

    def take_destinations(self) -> list[str]:
        """Returns the peers due for an update and marks them as sent."""
        now = self._clock.monotonic()
        self._expire(now)
        due = []
        is_starting = now - self._started_s < _STARTUP_PHASE_S
        period = _STARTUP_PROBE_PERIOD_S if is_starting else _PROBE_PERIOD_S
        for peer in self._peers.values():
            is_silent = now - peer.last_heard_s > _LIVENESS_TIMEOUT_S
            if not is_silent or now - peer.last_sent_s >= period:
                due.append(peer)
        due = heapq.nsmallest(_FAN_OUT, due, key=lambda peer: peer.last_sent_s)
        for peer in due:
            peer.last_sent_s = now
        return [peer.control for peer in due]

    def take_due_for_members(self, destinations: Iterable[str]) -> list[str]:
        """Returns the destinations due for members and marks them as sent."""
        now = self._clock.monotonic()
        period = _MEMBERS_PERIOD_S * self.periods_per_round
        due = []
        for control in destinations:
            peer = self._peers[control]
            is_new = now - peer.discovered_s < _NEW_PEER_PHASE_S
            interval = _NEW_PEER_MEMBERS_PERIOD_S if is_new else period
            if now - peer.members_sent_s >= interval:
                peer.members_sent_s = now
                due.append(control)
        return due

    def silent_from(self, control: str) -> float:
        """Returns since when a peer may have missed reports, inf if it has not.

        Args:
            control: Control address of the peer.
        """
        peer = self._peers[control]
        now = self._clock.monotonic()
        if now - peer.returned_s <= _CATCH_UP_S:
            return peer.silent_from_s
        is_silent = now - peer.last_heard_s > _MAX_GAP_S
        was_heard = peer.sequence >= 0
        return peer.last_heard_s if is_silent and was_heard else float("inf")

    def take_due_for_shares(self, destinations: Iterable[str]) -> list[str]:
        """Returns the destinations due for shares and marks them as sent."""
        now = self._clock.monotonic()
        period = self.shares_period_s
        due = []
        for control in destinations:
            peer = self._peers[control]
            if now - peer.shares_sent_s >= period - _TIMER_JITTER_S:
                peer.shares_sent_s = now
                due.append(control)
        return due

    def next_members(self) -> list[str]:
        """Returns the next control addresses of live peers, round-robin."""
        live = self.live
        start = self._next_member_index % max(len(live), 1)
        self._next_member_index = start + _MEMBERS_PER_UPDATE
        return (live + live)[
            start : start + min(_MEMBERS_PER_UPDATE, len(live))
        ]

    def _expire(self, now: float) -> None:
        expired = [
            control
            for control, peer in self._peers.items()
            if control not in self._seeds
            and now - peer.last_heard_s > _PEER_EXPIRY_S
        ]
        for control in expired:
            peer = self._peers.pop(control)
            if peer.incarnation and not peer.is_leaving:
                self._absent[control] = peer.last_heard_s
        if expired:
            self._absent = {
                control: heard_s
                for control, heard_s in self._absent.items()
                if now - heard_s < _ABSENCE_S
            }

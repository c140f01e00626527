"""Which other routers there are and what they said last."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.generated.fleet_messages import FleetUpdate

# A router that was not heard for this long gets an update only now and then.
_SILENCE_S = 3.0
# The live routers are listed anew after this time, a tenth of a period of
# updates, or when a router starts or leaves. One update asks for the list five
# times, which took 4% of the processor time of a router among 90.
_LIVE_PERIOD_S = 0.005
_PROBE_PERIOD_S = 1.0
# Routers that start together listen at slightly different moments; the first
# updates to seeds are repeated often, so that none stays alone for a second.
_FIRST_PROBE_PERIOD_S = 0.1
_FIRST_PROBES_S = 3.0
# Datagrams of an earlier life arrive within milliseconds. After this silence a
# lower start time is that of a restart whose time of day was set back.
_LIFE_MEMORY_S = 1.0
# A router that was not heard for this long is forgotten, unless it is a seed.
_EXPIRY_S = 60.0
# Updates sent in one period; larger fleets are served in turn.
_FAN_OUT = 12
# Addresses told in one update.
_MEMBERS_TOLD = 12
# A router that was found lately is told other members again after this time, as
# its first updates come before those of others that start with it.
_YOUTH_S = 2.0
_YOUNG_MEMBERS_PERIOD_S = 0.3
# Later updates with members only make up for lost ones. In a fleet that is
# served in turn each router gets them from more others, and so less often.
_MEMBERS_PERIOD_S = 3.0
# Updates are sent a little earlier or later than planned.
_TOLERANCE_S = 0.02
# Shares are counted over seconds, so they need not be told with every update.
_SHARES_PERIOD_S = 0.2


@dataclass(slots=True)
class _Peer:
    control: str
    heard: float = float("-inf")
    sent: float = float("-inf")
    found: float = float("-inf")
    informed: float = float("-inf")
    told_shares: float = float("-inf")
    life: int = 0
    sequence: int = -1
    is_leaving: bool = False


class PeerTable:
    """Other routers by their control address."""

    def __init__(
        self, clock: Clock, own_control: str, seeds: Iterable[str]
    ) -> None:
        """Creates a table that knows only the seeds.

        Args:
            clock: Monotonic time.
            own_control: Control address of this router.
            seeds: Control addresses, possibly stale or its own.
        """
        self._clock = clock
        self._own_control = own_control
        self._seeds: frozenset[str] = frozenset()
        self._peers: dict[str, _Peer] = {}
        self._told = 0
        self._live: list[str] = []
        self._live_at = float("-inf")
        self._started = clock.monotonic()
        self.add_seeds(seeds)

    @property
    def live(self) -> list[str]:
        """Control addresses of routers that were heard a moment ago."""
        now = self._clock.monotonic()
        if now - self._live_at >= _LIVE_PERIOD_S:
            self._live_at = now
            oldest = now - _SILENCE_S
            self._live = [
                peer.control
                for peer in self._peers.values()
                if peer.heard >= oldest and not peer.is_leaving
            ]
        return self._live

    @property
    def rounds(self) -> int:
        """Periods until each live router got one update."""
        return max(-(-len(self.live) // _FAN_OUT), 1)

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seeds; routers that are known stay known."""
        self._seeds = frozenset(seeds) - {self._own_control}
        for control in self._seeds:
            self._peers.setdefault(control, _Peer(control))

    def accept(self, update: FleetUpdate) -> bool:
        """Records an update.

        Returns:
            Whether it is newer than what is known of its sender.
        """
        if update.control == self._own_control:
            return False
        now = self._clock.monotonic()
        peer = self._peers.get(update.control)
        if peer is None:
            peer = self._peers[update.control] = _Peer(update.control)
        is_restart = (
            update.life != peer.life and now - peer.heard > _LIFE_MEMORY_S
        )
        is_newer = (update.life, update.sequence) > (peer.life, peer.sequence)
        if not (is_restart or is_newer):
            return False
        if update.life != peer.life or update.is_leaving != peer.is_leaving:
            self._live_at = float("-inf")
        if update.life != peer.life:
            peer.found = now
            peer.informed = float("-inf")
        peer.heard = now
        peer.life, peer.sequence = update.life, update.sequence
        peer.is_leaving = update.is_leaving
        for control in update.members:
            if control != self._own_control:
                self._peers.setdefault(control, _Peer(control, heard=now))
        return True

    def destinations(self) -> list[str]:
        """Returns the routers to which an update is to be sent now."""
        now = self._clock.monotonic()
        self._expire(now)
        due = []
        is_starting = now - self._started < _FIRST_PROBES_S
        period = _FIRST_PROBE_PERIOD_S if is_starting else _PROBE_PERIOD_S
        for peer in self._peers.values():
            is_silent = now - peer.heard > _SILENCE_S
            if not is_silent or now - peer.sent >= period:
                due.append(peer)
        due = heapq.nsmallest(_FAN_OUT, due, key=lambda peer: peer.sent)
        for peer in due:
            peer.sent = now
        return [peer.control for peer in due]

    def take_uninformed(self, destinations: Iterable[str]) -> list[str]:
        """Returns those of some routers that are to be told members now."""
        now = self._clock.monotonic()
        period = _MEMBERS_PERIOD_S * self.rounds
        uninformed = []
        for control in destinations:
            peer = self._peers[control]
            is_young = now - peer.found < _YOUTH_S
            wait = _YOUNG_MEMBERS_PERIOD_S if is_young else period
            if now - peer.informed >= wait:
                peer.informed = now
                uninformed.append(control)
        return uninformed

    def take_due_for_shares(self, destinations: Iterable[str]) -> list[str]:
        """Returns those of some routers that are to be told shares now."""
        now = self._clock.monotonic()
        period = _SHARES_PERIOD_S * self.rounds
        due = []
        for control in destinations:
            peer = self._peers[control]
            if now - peer.told_shares >= period - _TOLERANCE_S:
                peer.told_shares = now
                due.append(control)
        return due

    def members_to_tell(self) -> list[str]:
        """Returns addresses of some live routers, others in each call."""
        live = self.live
        start = self._told % max(len(live), 1)
        self._told = start + _MEMBERS_TOLD
        return (live + live)[start : start + min(_MEMBERS_TOLD, len(live))]

    def _expire(self, now: float) -> None:
        expired = [
            control
            for control, peer in self._peers.items()
            if control not in self._seeds and now - peer.heard > _EXPIRY_S
        ]
        for control in expired:
            del self._peers[control]

"""How much work each target has, over all routers."""

from collections.abc import Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock

# Reports of other routers come every 0.1 s; one this old may be of a router
# that was stopped, so its work is discounted to nothing by the second time.
_FRESH_S = 0.5
_EXPIRY_S = 2.5


@dataclass(frozen=True, slots=True)
class TargetUse:
    """Work of one router at a target.

    Attributes:
        target: Identifier of the target.
        active: Requests sent and not finished.
        reading_s: Modelled time of prompts sent and not yet read.
    """

    target: str
    active: int
    reading_s: float


class Reservation:
    """Work of one attempt at a target."""

    __slots__ = ("_is_finished", "_load", "_reading_s")

    def __init__(self, load: "_OwnLoad", reading_s: float) -> None:
        """Counts the work."""
        self._load = load
        self._reading_s = reading_s
        self._is_finished = False
        load.active += 1
        load.reading_s += reading_s

    def note_first_event(self) -> None:
        """Records that the prompt was read."""
        self._load.reading_s -= self._reading_s
        self._reading_s = 0.0

    def finish(self) -> None:
        """Ends the work; further calls change nothing."""
        if not self._is_finished:
            self._is_finished = True
            self.note_first_event()
            self._load.active -= 1


@dataclass(slots=True)
class _OwnLoad:
    active: int = 0
    reading_s: float = 0.0


class TargetLoads:
    """Adds up the work of this router and what others report."""

    def __init__(self, clock: Clock) -> None:
        """Creates empty loads."""
        self._clock = clock
        self._own: dict[str, _OwnLoad] = {}
        self._peers: dict[str, tuple[float, tuple[TargetUse, ...]]] = {}
        self._remote: dict[str, tuple[float, float]] = {}

    @property
    def peer_count(self) -> int:
        """Other routers whose reports count."""
        return len(self._peers)

    def reserve(self, target: str, reading_s: float) -> Reservation:
        """Counts an attempt at a target."""
        load = self._own.setdefault(target, _OwnLoad())
        return Reservation(load, reading_s)

    def note_peer(self, peer: str, uses: Sequence[TargetUse]) -> None:
        """Replaces the report of another router."""
        self._peers[peer] = (self._clock.monotonic(), tuple(uses))

    def forget_peer(self, peer: str) -> None:
        """Forgets a router that has left."""
        self._peers.pop(peer, None)

    def refresh(self) -> None:
        """Adds up the reports of other routers."""
        now = self._clock.monotonic()
        remote: dict[str, tuple[float, float]] = {}
        for peer, (heard, uses) in list(self._peers.items()):
            age = now - heard
            if age > _EXPIRY_S:
                del self._peers[peer]
                continue
            weight = 1.0
            if age > _FRESH_S:
                weight = (_EXPIRY_S - age) / (_EXPIRY_S - _FRESH_S)
            for use in uses:
                active, reading_s = remote.get(use.target, (0.0, 0.0))
                remote[use.target] = (
                    active + weight * use.active,
                    reading_s + weight * use.reading_s,
                )
        self._remote = remote

    def own_use(self) -> list[TargetUse]:
        """Returns the work of this router for the others."""
        return [
            TargetUse(target, load.active, max(load.reading_s, 0.0))
            for target, load in self._own.items()
            if load.active
        ]

    def own_active(self, target: str) -> int:
        """Returns the requests of this router at a target."""
        load = self._own.get(target)
        return load.active if load else 0

    def active(self, target: str) -> float:
        """Returns the requests at a target."""
        return self.own_active(target) + self._remote.get(target, (0.0, 0))[0]

    def reading_s(self, target: str) -> float:
        """Returns the modelled time of prompts that a target has to read."""
        load = self._own.get(target)
        own = load.reading_s if load else 0.0
        return own + self._remote.get(target, (0.0, 0.0))[1]

    def forget_target(self, target: str) -> None:
        """Forgets a target that is gone, unless attempts still run."""
        load = self._own.get(target)
        if load is not None and not load.active:
            del self._own[target]

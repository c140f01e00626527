"""How much work each target has, over all routers."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import Clock

# Reports of other routers come every 0.1 s; one this old may be of a router
# that was stopped, so its work is discounted to nothing by the second time.
_FRESH_S = 0.5
_EXPIRY_S = 2.5
# Reports are added up as they come; all are added up anew after this time, so
# that rounding errors do not grow, and while some of them fade.
_SUM_PERIOD_S = 1.0
# A prompt that takes this long to read delays all requests that other routers
# send to the target before they hear of it.
_LONG_PROMPT_S = 0.05
# Weight of the newest first event in the delay of a target, and the time in
# which a delay without newer events fades.
_DELAY_WEIGHT = 0.3
_DELAY_FADE_S = 1.5


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

    __slots__ = ("_due", "_is_finished", "_load", "_reading_s")

    def __init__(self, load: "_OwnLoad", reading_s: float, due: float) -> None:
        """Counts the work.

        Args:
            load: Load of the target.
            reading_s: Modelled time to read the prompt.
            due: Monotonic time at which the first event is expected.
        """
        self._load = load
        self._reading_s = reading_s
        self._due = due
        self._is_finished = False
        load.active += 1
        load.reading_s += reading_s
        load.unread.add(self)

    @property
    def due(self) -> float:
        """Monotonic time at which the first event is expected."""
        return self._due

    def note_first_event(self) -> None:
        """Records that the prompt was read."""
        self._load.reading_s -= self._reading_s
        self._reading_s = 0.0
        self._load.unread.discard(self)

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
    unread: set[Reservation] = field(default_factory=set)
    delay_s: float = 0.0
    delay_at: float = 0.0


@dataclass(slots=True)
class _PeerReport:
    """What another router said last.

    Attributes:
        heard: Monotonic time of the report.
        uses: Its work at each target.
        weight: Part of it that counts at present.
    """

    heard: float
    uses: tuple[TargetUse, ...]
    weight: float = 1.0


def _add_uses(
    totals: dict[str, tuple[float, float]],
    uses: Sequence[TargetUse],
    weight: float,
) -> None:
    for use in uses:
        active, reading_s = totals.get(use.target, (0.0, 0.0))
        totals[use.target] = (
            active + weight * use.active,
            reading_s + weight * use.reading_s,
        )


class TargetLoads:
    """Adds up the work of this router and what others report."""

    def __init__(self, clock: Clock) -> None:
        """Creates empty loads."""
        self._clock = clock
        self._own: dict[str, _OwnLoad] = {}
        # The router that was heard longest ago comes first.
        self._peers: dict[str, _PeerReport] = {}
        self._remote: dict[str, tuple[float, float]] = {}
        self._summed_at = float("-inf")
        self._on_long_prompt: Callable[[], None] = lambda: None

    @property
    def peer_count(self) -> int:
        """Other routers whose reports count."""
        return len(self._peers)

    def subscribe_long_prompts(self, callback: Callable[[], None]) -> None:
        """Calls back after a long prompt was counted at a target."""
        self._on_long_prompt = callback

    def reserve(
        self, target: str, reading_s: float, expected_s: float = math.inf
    ) -> Reservation:
        """Counts an attempt at a target.

        Args:
            target: Identifier of the target.
            reading_s: Modelled time to read the prompt.
            expected_s: Forecast of the time to the first event.
        """
        load = self._own.setdefault(target, _OwnLoad())
        due = self._clock.monotonic() + expected_s
        reservation = Reservation(load, reading_s, due)
        if reading_s >= _LONG_PROMPT_S:
            self._on_long_prompt()
        return reservation

    def note_first_event(self, target: str, late_s: float) -> None:
        """Records how much later than forecast a first event came.

        Work that no router knows of shows only by this: that of a router which
        was lost, for instance.
        """
        load = self._own.setdefault(target, _OwnLoad())
        delay = self._faded_delay(load)
        load.delay_s = delay + _DELAY_WEIGHT * (max(late_s, 0.0) - delay)
        load.delay_at = self._clock.monotonic()

    def delay_s(self, target: str) -> float:
        """Returns how late first events of a target are."""
        load = self._own.get(target)
        if load is None:
            return 0.0
        now = self._clock.monotonic()
        overdue = max((now - each.due for each in load.unread), default=0.0)
        return max(self._faded_delay(load), overdue)

    def _faded_delay(self, load: _OwnLoad) -> float:
        age = self._clock.monotonic() - load.delay_at
        return load.delay_s * max(1 - age / _DELAY_FADE_S, 0.0)

    def note_peer(self, peer: str, uses: Sequence[TargetUse]) -> None:
        """Replaces the report of another router."""
        previous = self._peers.pop(peer, None)
        if previous is not None:
            _add_uses(self._remote, previous.uses, -previous.weight)
        self._peers[peer] = _PeerReport(self._clock.monotonic(), tuple(uses))
        _add_uses(self._remote, uses, 1.0)

    def refresh(self) -> None:
        """Adds up the reports of other routers anew, old ones discounted."""
        now = self._clock.monotonic()
        oldest = next(iter(self._peers.values()), None)
        is_fading = oldest is not None and now - oldest.heard > _FRESH_S
        if not is_fading and now - self._summed_at < _SUM_PERIOD_S:
            return
        self._summed_at = now
        remote: dict[str, tuple[float, float]] = {}
        for peer, report in list(self._peers.items()):
            age = now - report.heard
            if age > _EXPIRY_S:
                del self._peers[peer]
                continue
            report.weight = 1.0
            if age > _FRESH_S:
                report.weight = (_EXPIRY_S - age) / (_EXPIRY_S - _FRESH_S)
            _add_uses(remote, report.uses, report.weight)
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
        remote = self._remote.get(target, (0.0, 0.0))[0]
        return max(self.own_active(target) + remote, 0.0)

    def reading_s(self, target: str) -> float:
        """Returns the modelled time of prompts that a target has to read."""
        load = self._own.get(target)
        own = load.reading_s if load else 0.0
        return max(own + self._remote.get(target, (0.0, 0.0))[1], 0.0)

    def forget_target(self, target: str) -> None:
        """Forgets a target that is gone, unless attempts still run."""
        load = self._own.get(target)
        if load is not None and not load.active:
            del self._own[target]

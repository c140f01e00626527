"""Load of each target, summed over all routers."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import Clock
from crowwinch.sharing._model import Decision

# Peers report every 0.1 s. A report older than _FRESH_S may come from a stopped
# router, so its weight decreases linearly to 0 at _EXPIRY_S.
_FRESH_S = 0.5
_EXPIRY_S = 2.5
# The sum is updated with each report. It is recomputed after this period, to
# limit accumulated rounding errors, and whenever a report loses weight.
_RECOMPUTE_PERIOD_S = 1.0
# Minimum prefill time of a prompt that is reported to peers at once; otherwise
# requests that they send to the target before the next report are delayed.
_LONG_PROMPT_S = 0.05
# Weight of the latest first event in the moving average of a target's delay,
# and the time over which the delay decays to 0 without new events.
_DELAY_WEIGHT = 0.3
_DELAY_DECAY_S = 1.5
# Avoids a division by zero for prompts that are cached as a whole.
_MIN_READING_S = 1e-6


# Not frozen: a router in a large fleet receives some 10,000 of them per second,
# and creating a frozen one takes three times as long.
@dataclass(slots=True)
class TargetUse:
    """Load of one router on a target.

    Attributes:
        target: Identifier of the target.
        active: Unfinished requests.
        reading_s: Modelled prefill time of prompts that are not yet read.
    """

    target: str
    active: int
    reading_s: float


class Reservation:
    """Load of one attempt on a target."""

    __slots__ = (
        "_due",
        "_is_finished",
        "_load",
        "_reading_from",
        "_reading_s",
        "_reading_until",
    )

    def __init__(
        self,
        load: "_OwnLoad",
        reading_s: float,
        due: float,
        reading_from: float,
        reading_until: float,
    ) -> None:
        """Adds the attempt to the load.

        Args:
            load: Load of the target.
            reading_s: Modelled time to read the prompt.
            due: Monotonic time at which the first event is expected.
            reading_from: Monotonic time at which the target is expected to
                start to read the prompt.
            reading_until: Same for the end.
        """
        self._load = load
        self._reading_s = reading_s
        self._due = due
        self._reading_from = reading_from
        self._reading_until = reading_until
        self._is_finished = False
        load.active += 1
        load.unread[self] = None

    @property
    def due(self) -> float:
        """Monotonic time at which the first event is expected."""
        return self._due

    @property
    def reading_s(self) -> float:
        """Modelled time to read the whole prompt in seconds."""
        return self._reading_s

    def remaining_reading_s(self, now: float) -> float:
        """Returns the modelled time to read the rest of the prompt.

        Args:
            now: Monotonic time in seconds.
        """
        if now <= self._reading_from:
            return self._reading_s
        duration = self._reading_until - self._reading_from
        unread = (self._reading_until - now) / max(duration, _MIN_READING_S)
        return self._reading_s * min(max(unread, 0.0), 1.0)

    def record_first_event(self) -> None:
        """Removes the prefill time of the prompt from the load."""
        self._load.unread.pop(self, None)

    def finish(self) -> None:
        """Removes the attempt from the load; idempotent."""
        if not self._is_finished:
            self._is_finished = True
            self.record_first_event()
            self._load.active -= 1


@dataclass(slots=True)
class _OwnLoad:
    active: int = 0
    # In the order in which they were sent.
    unread: dict[Reservation, None] = field(default_factory=dict)
    delay_s: float = 0.0
    delay_at: float = 0.0

    def reading_s(self, now: float) -> float:
        """Returns the modelled time to read all prompts that are not read.

        A target reads prompts in order, so only the oldest may be partly read.
        With partial reads of all of them, errors of the forecasts added up and
        hid a queue.
        """
        prompts = iter(self.unread)
        oldest = next(prompts, None)
        if oldest is None:
            return 0.0
        return oldest.remaining_reading_s(now) + sum(
            each.reading_s for each in prompts
        )


@dataclass(slots=True)
class _PeerReport:
    """Latest report of a peer.

    Attributes:
        arrived_at: Monotonic time at which the report arrived.
        uses: Load of the peer on each target.
        weight: Current weight of the report, from 0 to 1.
    """

    arrived_at: float
    uses: tuple[TargetUse, ...]
    weight: float = 1.0


@dataclass(slots=True)
class _Total:
    """Sum of the loads that peers report for a target."""

    active: float = 0.0
    reading_s: float = 0.0


def _add_uses(
    totals: dict[str, _Total],
    uses: Sequence[TargetUse],
    weight: float,
) -> None:
    for use in uses:
        total = totals.get(use.target)
        if total is None:
            total = totals[use.target] = _Total()
        total.active += weight * use.active
        total.reading_s += weight * use.reading_s


class TargetLoads:
    """Sums the load of this router and the loads reported by peers."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without loads."""
        self._clock = clock
        self._own: dict[str, _OwnLoad] = {}
        # Ordered by arrival time, the oldest report first.
        self._peers: dict[str, _PeerReport] = {}
        self._remote: dict[str, _Total] = {}
        self._summed_at = float("-inf")
        self._on_long_prompt: Callable[[], None] = lambda: None

    @property
    def peer_count(self) -> int:
        """Number of peers with an unexpired report."""
        return len(self._peers)

    def subscribe_long_prompts(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after a long prompt is added."""
        self._on_long_prompt = callback

    def reserve(
        self,
        target: str,
        reading_s: float,
        expected_s: float = math.inf,
        reading_from_s: float = math.inf,
        reading_until_s: float = math.inf,
    ) -> Reservation:
        """Adds an attempt to the load of a target.

        Args:
            target: Identifier of the target.
            reading_s: Modelled time to read the prompt.
            expected_s: Forecast of the time to the first event.
            reading_from_s: Forecast of the time until the target starts to
                read the prompt.
            reading_until_s: Same for the end.
        """
        load = self._own.setdefault(target, _OwnLoad())
        now = self._clock.monotonic()
        reservation = Reservation(
            load,
            reading_s,
            now + expected_s,
            now + reading_from_s,
            now + reading_until_s,
        )
        if reading_s >= _LONG_PROMPT_S:
            self._on_long_prompt()
        return reservation

    def reserve_decided(self, decision: Decision) -> Reservation:
        """Adds the attempt that a decision sends to the load of its target."""
        return self.reserve(
            decision.target,
            decision.reading_s,
            decision.expected_s,
            decision.reading_from_s,
            decision.reading_until_s,
        )

    def record_first_event(self, target: str, late_s: float) -> None:
        """Records the delay of a first event against its forecast.

        This is the only sign of load that no router reports, such as the
        requests of a failed router.
        """
        load = self._own.setdefault(target, _OwnLoad())
        delay = self._decayed_delay_s(load)
        load.delay_s = max(delay + _DELAY_WEIGHT * (late_s - delay), 0.0)
        load.delay_at = self._clock.monotonic()

    def delay_s(self, target: str) -> float:
        """Returns the current delay of first events of a target in seconds."""
        load = self._own.get(target)
        if load is None or not (load.unread or load.delay_s):
            return 0.0
        now = self._clock.monotonic()
        overdue = max((now - each.due for each in load.unread), default=0.0)
        return max(self._decayed_delay_s(load), overdue)

    def _decayed_delay_s(self, load: _OwnLoad) -> float:
        age = self._clock.monotonic() - load.delay_at
        return load.delay_s * max(1 - age / _DELAY_DECAY_S, 0.0)

    def replace_peer_report(self, peer: str, uses: Sequence[TargetUse]) -> None:
        """Replaces the report of a peer."""
        previous = self._peers.pop(peer, None)
        if previous is not None:
            _add_uses(self._remote, previous.uses, -previous.weight)
        self._peers[peer] = _PeerReport(self._clock.monotonic(), tuple(uses))
        _add_uses(self._remote, uses, 1.0)

    def refresh(self) -> None:
        """Recomputes the sum of peer reports if needed and expires old ones."""
        now = self._clock.monotonic()
        oldest = next(iter(self._peers.values()), None)
        has_stale_report = (
            oldest is not None and now - oldest.arrived_at > _FRESH_S
        )
        if not has_stale_report and now - self._summed_at < _RECOMPUTE_PERIOD_S:
            return
        self._summed_at = now
        remote: dict[str, _Total] = {}
        for peer, report in list(self._peers.items()):
            age = now - report.arrived_at
            if age > _EXPIRY_S:
                del self._peers[peer]
                continue
            report.weight = 1.0
            if age > _FRESH_S:
                report.weight = (_EXPIRY_S - age) / (_EXPIRY_S - _FRESH_S)
            _add_uses(remote, report.uses, report.weight)
        self._remote = remote

    def own_use(self) -> list[TargetUse]:
        """Returns the load of this router to report to peers."""
        now = self._clock.monotonic()
        return [
            TargetUse(target, load.active, load.reading_s(now))
            for target, load in self._own.items()
            if load.active
        ]

    def own_active(self, target: str) -> int:
        """Returns the number of active requests of this router at a target."""
        load = self._own.get(target)
        return load.active if load else 0

    def active(self, target: str) -> float:
        """Returns the estimated number of active requests at a target."""
        own, remote = self._own.get(target), self._remote.get(target)
        active = remote.active if remote else 0.0
        if own:
            active += own.active
        # Differences of rounding may leave less than nothing.
        return active if active > 0.0 else 0.0

    def reading_s(self, target: str) -> float:
        """Returns the modelled prefill time queued at a target in seconds."""
        own, remote = self._own.get(target), self._remote.get(target)
        reading_s = remote.reading_s if remote else 0.0
        if own and own.unread:
            reading_s += own.reading_s(self._clock.monotonic())
        return reading_s if reading_s > 0.0 else 0.0

    def remove_target(self, target: str) -> None:
        """Removes the load of a target unless attempts are active."""
        load = self._own.get(target)
        if load is not None and not load.active:
            del self._own[target]

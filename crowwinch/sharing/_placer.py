"""Chooses the target of a request.

Answers two loads: prompts with large shared parts, which are read once if
their requests meet at one target, and long prompts, which delay the first
event of every request that is sent to the same target after them.
"""

import functools
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import owner
from crowwinch.sharing._health import TargetHealth
from crowwinch.sharing._loads import TargetLoads
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._prefixes import KeptPrefixes
from crowwinch.sharing._speeds import (
    EngineSpeeds,
    first_event_seconds,
    read_seconds,
)

# A request waits about half of a typical request for a place in a full batch.
_FULL_BATCH_S = 0.5
# Cost of a failing target, as time lost by a repeat.
_FAILURE_S = 2.0
# A plain target in another zone costs bytes between zones; a request less in
# flight is worth more than that.
_REMOTE_ZONE_REQUESTS = 0.5
# A router leaves this part of a target's connections to the others.
_CONNECTION_SHARE = 0.9
# Value of a request that is lost when it is late, as part of its cost.
_LATE_LOSS = 0.7
# An answer is rarely late below the first forecast, as part of the wanted
# time, and nearly always above the second.
_LATE_FROM = 0.6
_LATE_UP_TO = 1.4
# Value of an answer that comes early; spreads load among equal targets.
_EARLY_VALUE = 0.1
# Price of a shared token that is read again, in service units.
_READ_AGAIN_PRICE = 0.8
_DEFAULT_LATENCY_S = 1.0
# Prefixes whose home is remembered; a few sets of targets are in use at a time.
_HOMES_CACHED = 4_096


@dataclass(slots=True)
class TargetStatus:
    """What is known of a target, whatever the request.

    Attributes:
        target: The target.
        has_connection: Whether this router may open a connection more.
        is_blocked: Whether it could not be reached a moment ago.
        waiting_s: Modelled time of the prompts that it has to read.
        use: Requests at the target as part of its slots.
        delay_s: Time to the first event that no prompt explains: seen lately,
            of a full batch, of failures.
    """

    target: TargetView
    has_connection: bool
    is_blocked: bool
    waiting_s: float
    use: float
    delay_s: float


# Not frozen: it is made for every target and waiting request, and a frozen one
# takes three times as long to make.
@dataclass(slots=True)
class Candidate:
    """A target with the forecast for a request.

    Attributes:
        target: The target.
        unread_tokens: Prompt tokens that it would have to read.
        reading_s: Modelled time to read them.
        waiting_s: Modelled time of the prompts before them.
        queue_s: Part of the expected time that other work causes.
        forecast_s: Time to the first event by the work that is known.
        expected_s: Time to the first event with the delay seen lately.
        use: Requests at the target as part of its slots.
        read_again: Tokens to read that another target keeps.
        is_home: Whether all routers expect the target to keep the prefix.
        loss: Expected loss of value by choosing this target.
    """

    target: TargetView
    unread_tokens: int
    reading_s: float
    waiting_s: float
    queue_s: float
    forecast_s: float
    expected_s: float
    use: float
    read_again: int
    is_home: bool
    loss: float


class Placer:
    """Forecasts the time to the first event at each target."""

    def __init__(
        self,
        loads: TargetLoads,
        prefixes: KeptPrefixes,
        speeds: EngineSpeeds,
        health: TargetHealth,
    ) -> None:
        """Stores what the forecast is made of."""
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds
        self._health = health

    def observe(self, target: TargetView) -> TargetStatus:
        """Returns what is known of a target now."""
        identifier = target.identifier
        loads, health = self._loads, self._health
        use = loads.active(identifier) / max(target.slots, 1)
        delay = _FAILURE_S * health.failing_share(identifier)
        if target.is_engine:
            delay += loads.delay_s(identifier)
            if use >= 1.0:
                delay += _FULL_BATCH_S * use
        return TargetStatus(
            target=target,
            has_connection=self.has_connection(target),
            is_blocked=health.is_blocked(identifier),
            waiting_s=loads.reading_s(identifier),
            use=use,
            delay_s=delay,
        )

    def candidates(
        self,
        work: Work,
        statuses: Iterable[TargetStatus],
        excluded: Collection[str] = (),
    ) -> list[Candidate]:
        """Returns the targets with the best forecast first.

        Targets without a connection left are not returned, and those that could
        not be reached a moment ago are left out as long as there are others.
        """
        usable = [
            status
            for status in statuses
            if status.target.identifier not in excluded
        ]
        reachable = [status for status in usable if not status.is_blocked]
        forecasts = self._forecast(work, reachable or usable)
        return sorted(forecasts, key=lambda candidate: candidate.loss)

    def has_connection(self, target: TargetView) -> bool:
        """Returns whether this router may open a connection more."""
        if not target.max_connections:
            return True
        share = target.max_connections / (self._loads.peer_count + 1)
        own = self._loads.own_active(target.identifier)
        return own < max(share * _CONNECTION_SHARE, 1)

    def _forecast(
        self, work: Work, statuses: Sequence[TargetStatus]
    ) -> list[Candidate]:
        home = _home(work, statuses)
        kept_tokens = self._prefixes.kept_tokens(work)
        ratio = self._speeds.ratio(work.service)
        # Most engines keep equally much of a prompt.
        readings: dict[int, _Reading] = {}
        candidates = []
        for status in statuses:
            if not status.has_connection:
                continue
            target = status.target
            if not target.is_engine:
                candidates.append(_plain(status))
                continue
            is_home = target.identifier == home
            # Other routers send the same prefix to its home.
            kept = (
                work.shared_tokens
                if is_home
                else kept_tokens.get(target.identifier, 0)
            )
            reading = readings.get(kept)
            if reading is None:
                reading = readings[kept] = _read(work, kept, ratio)
            candidates.append(_engine(work, status, reading, is_home, ratio))
        return candidates


@dataclass(slots=True)
class _Reading:
    """Reading of a prompt of which a part is kept.

    Attributes:
        unread_tokens: Tokens to read.
        seconds: Modelled time to read them.
        alone_s: Time to the first event at an idle engine.
        read_again: Tokens to read that another target keeps.
    """

    unread_tokens: int
    seconds: float
    alone_s: float
    read_again: int


def _read(work: Work, kept: int, ratio: float) -> _Reading:
    unread = max(work.prompt_tokens - kept, 1)
    seconds = read_seconds(unread, kept)
    return _Reading(
        unread_tokens=unread,
        seconds=seconds,
        alone_s=first_event_seconds(seconds, ratio),
        read_again=max(work.shared_tokens - kept, 0),
    )


def _engine(
    work: Work,
    status: TargetStatus,
    reading: _Reading,
    is_home: bool,
    ratio: float,
) -> Candidate:
    waiting = status.waiting_s
    forecast = first_event_seconds(waiting + reading.seconds, ratio)
    expected = forecast + status.delay_s
    return Candidate(
        status.target,
        reading.unread_tokens,
        reading.seconds,
        waiting,
        expected - reading.alone_s,
        forecast,
        expected,
        status.use,
        reading.read_again,
        is_home,
        _engine_loss(work, expected, reading.read_again),
    )


def _plain(status: TargetStatus) -> Candidate:
    distance = 0.0 if status.target.is_local else _REMOTE_ZONE_REQUESTS
    expected = status.use + distance / max(status.target.slots, 1)
    expected += status.delay_s
    return Candidate(
        target=status.target,
        unread_tokens=0,
        reading_s=0.0,
        waiting_s=0.0,
        queue_s=0.0,
        forecast_s=expected,
        expected_s=expected,
        use=status.use,
        read_again=0,
        is_home=False,
        loss=expected,
    )


def _home(work: Work, statuses: Sequence[TargetStatus]) -> str | None:
    """Returns the target at which all routers expect a prefix."""
    if len(work.paths) < 2:
        return None
    names = tuple([status.target.identifier for status in statuses])
    return _cached_owner(work.paths[-2], names)


@functools.lru_cache(maxsize=_HOMES_CACHED)
def _cached_owner(key: str, names: tuple[str, ...]) -> str | None:
    return owner(key, names)


def _engine_loss(work: Work, expected_s: float, read_again: int) -> float:
    """Returns the expected loss in service units."""
    ratio = expected_s / (work.target_latency_s or _DEFAULT_LATENCY_S)
    late = (ratio - _LATE_FROM) / (_LATE_UP_TO - _LATE_FROM)
    late = min(max(late, 0.0), 1.0)
    return (
        work.cost * (_LATE_LOSS * late + _EARLY_VALUE * ratio)
        + _READ_AGAIN_PRICE * read_again
    )

"""Ranks the targets of a request by expected loss.

Two kinds of load decide: prompts with a long shared prefix, which is prefilled
once if their requests go to the same target, and long prompts, which delay the
first event of every later request to the same target.
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

# Expected wait for a slot in a full batch, about half a typical request.
_FULL_BATCH_WAIT_S = 0.5
# Cost of a failing target, as the time lost by a retry.
_FAILURE_COST_S = 2.0
# Penalty of a plain target in another availability zone for traffic between
# zones, in requests in flight. Below 1, so that one request less outweighs it.
_REMOTE_ZONE_PENALTY_REQUESTS = 0.5
# Fraction of its share of a target's connections that a router uses.
_CONNECTION_SHARE = 0.9
# Value lost when an answer is late, as a fraction of the request's cost.
_LATE_LOSS = 0.7
# Forecasts, as fractions of the target latency, below which an answer is rarely
# late and above which it nearly always is.
_LATE_FROM = 0.6
_LATE_TO = 1.4
# Value of an early answer; balances load among equal targets.
_EARLY_VALUE = 0.1
# Cost of recomputing a cached shared token, in service units.
_RECOMPUTE_COST = 0.8
_DEFAULT_LATENCY_S = 1.0
# Size of the home cache; only a few sets of targets are in use at a time.
_HOME_CACHE_SIZE = 4_096


@dataclass(slots=True)
class TargetStatus:
    """State of a target that does not depend on the request.

    Attributes:
        target: The target.
        has_connection: Whether this router may open a connection more.
        is_blocked: Whether it is in back-off after a failed connection.
        waiting_s: Modelled time of the prompts that it has to read.
        use: Requests at the target as part of its slots.
        delay_s: Delay of the first event beyond prefill: the recent delay, the
            wait for a full batch and the cost of failures.
    """

    target: TargetView
    has_connection: bool
    is_blocked: bool
    waiting_s: float
    use: float
    delay_s: float


# Not frozen: one is created for every pair of target and queued request,
# and creating a frozen one takes three times as long.
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
    """Ranks targets by the forecast time to the first event."""

    def __init__(
        self,
        loads: TargetLoads,
        prefixes: KeptPrefixes,
        speeds: EngineSpeeds,
        health: TargetHealth,
    ) -> None:
        """Creates a placer from the inputs of its forecasts."""
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds
        self._health = health

    def observe(self, target: TargetView) -> TargetStatus:
        """Returns the current state of a target."""
        identifier = target.identifier
        loads, health = self._loads, self._health
        use = loads.active(identifier) / max(target.slots, 1)
        delay = _FAILURE_COST_S * health.failing_share(identifier)
        if target.is_engine:
            delay += loads.delay_s(identifier)
            if use >= 1.0:
                delay += _FULL_BATCH_WAIT_S * use
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

        Targets without a free connection are omitted; those in back-off are
        omitted unless there are no others.
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
        # Most engines have the same number of prompt tokens cached.
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
    """Prefill of a prompt with a cached prefix.

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
    distance = 0.0 if status.target.is_local else _REMOTE_ZONE_PENALTY_REQUESTS
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
    """Returns the home of a prefix, the same at all routers."""
    if len(work.paths) < 2:
        return None
    names = tuple([status.target.identifier for status in statuses])
    return _cached_owner(work.paths[-2], names)


@functools.lru_cache(maxsize=_HOME_CACHE_SIZE)
def _cached_owner(key: str, names: tuple[str, ...]) -> str | None:
    return owner(key, names)


def _engine_loss(work: Work, expected_s: float, read_again: int) -> float:
    """Returns the expected loss in service units."""
    ratio = expected_s / (work.target_latency_s or _DEFAULT_LATENCY_S)
    late = (ratio - _LATE_FROM) / (_LATE_TO - _LATE_FROM)
    late = min(max(late, 0.0), 1.0)
    return (
        work.cost * (_LATE_LOSS * late + _EARLY_VALUE * ratio)
        + _RECOMPUTE_COST * read_again
    )

"""Ranks the targets of a request by expected loss.

Two kinds of load decide: prompts with a long shared prefix, which is prefilled
once if their requests go to the same target, and long prompts, which delay the
first event of every later request to the same target.
"""

import functools
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import owner
from crowwinch.sharing._cache_sources import (
    NO_FETCH,
    CacheFetch,
    CacheSources,
)
from crowwinch.sharing._health import TargetHealth
from crowwinch.sharing._loads import TargetLoads
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._prefixes import PrefixCacheTracker
from crowwinch.sharing._speeds import EngineSpeeds, prefill_seconds
from crowwinch.sharing._target_limits import TargetLimits

# Expected wait for a slot in a full batch, about half a typical request.
_FULL_BATCH_WAIT_S = 0.5
# Cost of a failing target, as the time lost by a retry.
_FAILURE_COST_S = 2.0
# Penalty for traffic between availability zones, in active requests, of a
# non-engine target in another zone. Below 1, so that a difference of one
# request outweighs it.
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
# The same for a shared token that is fetched from another target: it takes
# memory at both.
_FETCH_COST = 0.1
_DEFAULT_LATENCY_S = 1.0
# Size of the home cache; only a few sets of targets are in use at a time.
_HOME_CACHE_SIZE = 4_096


@dataclass(slots=True)
class TargetStatus:
    """State of a target that does not depend on the request.

    Attributes:
        target: The target.
        has_connection: Whether this router may open another connection.
        is_blocked: Whether it is in back-off after a failed connection.
        hold_left_s: Seconds until it wants requests again, 0 if it does now.
        limit_wait_s: Seconds until its limits allow a request of this router,
            0 if they do now, inf if no time is known.
        waiting_s: Modelled prefill time of the prompts queued at the target.
        use: Active requests at the target as a fraction of its slots.
        delay_s: Delay of the first event beyond prefill: the recent delay, the
            wait for a full batch and the cost of failures.
    """

    target: TargetView
    has_connection: bool
    is_blocked: bool
    hold_left_s: float
    limit_wait_s: float
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
        unread_tokens: Prompt tokens that are not cached at the target.
        reading_s: Modelled prefill time of these tokens.
        waiting_s: Modelled prefill time of the prompts queued before them.
        reading_from_s: Time until the target starts to read the prompt.
        reading_until_s: Time until it has read the prompt.
        queue_s: Part of expected_s that is due to other requests.
        forecast_s: Modelled time to the first event without recent delays.
        expected_s: Time to the first event including recent delays.
        use: Active requests at the target as a fraction of its slots.
        recompute_tokens: Shared prompt tokens that another target has cached,
            but not this one, and that it does not fetch.
        is_home: Whether the target is the home of the prefix, to which all
            routers prefer to send it.
        loss: Expected loss of value by choosing this target.
        fetch: Part of the prompt that it fetches from another target.
        limit_wait_s: Seconds until its limits allow a request of this router,
            0 if they do now, inf if no time is known.
    """

    target: TargetView
    unread_tokens: int
    reading_s: float
    waiting_s: float
    reading_from_s: float
    reading_until_s: float
    queue_s: float
    forecast_s: float
    expected_s: float
    use: float
    recompute_tokens: int
    is_home: bool
    loss: float
    limit_wait_s: float = 0.0
    fetch: CacheFetch = NO_FETCH


class Placer:
    """Ranks targets by expected loss."""

    def __init__(
        self,
        loads: TargetLoads,
        prefixes: PrefixCacheTracker,
        speeds: EngineSpeeds,
        health: TargetHealth,
        limits: TargetLimits,
    ) -> None:
        """Creates a placer from the inputs of its forecasts."""
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds
        self._health = health
        self._limits = limits

    def alone_s(self, work: Work) -> float:
        """Returns the time to the first event at an idle target in seconds.

        The shared part of the prompt counts as cached there.
        """
        if not work.prompt_tokens:
            return 0.0
        return _prefill(
            work, work.shared_tokens, self._speed(work.service)
        ).alone_s

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
            hold_left_s=health.hold_left_s(identifier, target.life),
            limit_wait_s=self._limits.allowance(target).wait_s,
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
        """Returns the usable targets, the one with the lowest loss first.

        Targets without a free connection and those that want no requests are
        omitted; those in back-off are omitted unless there are no others.
        """
        usable = [
            status
            for status in statuses
            if status.target.identifier not in excluded
            and not status.hold_left_s
        ]
        reachable = [status for status in usable if not status.is_blocked]
        forecasts = self._forecast(work, reachable or usable)
        return sorted(forecasts, key=lambda candidate: candidate.loss)

    def limit_rate_per_s(self, target: TargetView) -> float:
        """Returns the rate that a target's limits leave to this router.

        It is in requests per second, and inf for a target without a limit.
        """
        return self._limits.rate_per_s(target)

    def has_connection(self, target: TargetView) -> bool:
        """Returns whether this router may open another connection."""
        if not target.max_connections:
            return True
        share = target.max_connections / (self._loads.peer_count + 1)
        own_active = self._loads.own_active(target.identifier)
        return own_active < max(share * _CONNECTION_SHARE, 1)

    def _speed(self, service: str) -> "_Speed":
        return _Speed(
            self._speeds.ratio(service), self._speeds.overhead_s(service)
        )

    def _forecast(
        self, work: Work, statuses: Sequence[TargetStatus]
    ) -> list[Candidate]:
        home = _home(work, statuses)
        cached_tokens_by_target = self._prefixes.cached_token_counts(work)
        speed = self._speed(work.service)
        sources = CacheSources(
            work,
            cached_tokens_by_target,
            home,
            {
                status.target.identifier
                for status in statuses
                if not status.is_blocked
            },
        )
        # Reused between engines, since most of them have the same number of
        # prompt tokens cached.
        prefills: dict[tuple[int, int], _Prefill] = {}
        candidates = []
        for status in statuses:
            if not status.has_connection:
                continue
            target = status.target
            if not target.is_engine:
                candidates.append(_non_engine_candidate(status))
                continue
            is_home = target.identifier == home
            # The home counts as having cached the prefix even if this router
            # has not sent it there, since other routers do.
            cached_tokens = (
                work.shared_tokens
                if is_home
                else cached_tokens_by_target.get(target.identifier, 0)
            )
            fetch = sources.fetch(target, cached_tokens)
            key = (cached_tokens, fetch.tokens)
            prefill = prefills.get(key)
            if prefill is None:
                prefill = _prefill(work, cached_tokens, speed, fetch)
                prefills[key] = prefill
            candidates.append(
                _engine_candidate(work, status, prefill, is_home, speed, fetch)
            )
        return candidates


@dataclass(slots=True)
class _Prefill:
    """Prefill of a prompt with a cached prefix.

    Attributes:
        unread_tokens: Prompt tokens that are not cached.
        seconds: Modelled prefill time of these tokens.
        alone_s: Modelled time to the first event at an idle engine.
        recompute_tokens: Shared prompt tokens that only another target has
            cached.
    """

    unread_tokens: int
    seconds: float
    alone_s: float
    recompute_tokens: int


@dataclass(slots=True)
class _Speed:
    """Speed of the engines of a service.

    Attributes:
        ratio: Measured over modelled prefill time.
        overhead_s: Time from the end of prefill to the first event.
    """

    ratio: float
    overhead_s: float

    def first_event_s(self, reading_s: float) -> float:
        """Returns the time to the first event after some modelled prefill."""
        return self.overhead_s + reading_s * self.ratio


def _prefill(
    work: Work,
    cached_tokens: int,
    speed: _Speed,
    fetch: CacheFetch = NO_FETCH,
) -> _Prefill:
    cached_tokens += fetch.tokens
    unread_tokens = max(work.prompt_tokens - cached_tokens, 1)
    seconds = prefill_seconds(unread_tokens, cached_tokens) + fetch.seconds
    return _Prefill(
        unread_tokens=unread_tokens,
        seconds=seconds,
        alone_s=speed.first_event_s(seconds),
        recompute_tokens=max(work.shared_tokens - cached_tokens, 0),
    )


def _engine_candidate(
    work: Work,
    status: TargetStatus,
    prefill: _Prefill,
    is_home: bool,
    speed: _Speed,
    fetch: CacheFetch,
) -> Candidate:
    waiting_s = status.waiting_s
    forecast = speed.first_event_s(waiting_s + prefill.seconds)
    expected = forecast + status.delay_s
    return Candidate(
        status.target,
        prefill.unread_tokens,
        prefill.seconds,
        waiting_s,
        waiting_s * speed.ratio,
        forecast - speed.overhead_s,
        expected - prefill.alone_s,
        forecast,
        expected,
        status.use,
        prefill.recompute_tokens,
        is_home,
        _engine_loss(work, expected, prefill.recompute_tokens)
        + _FETCH_COST * fetch.tokens,
        status.limit_wait_s,
        fetch,
    )


def _non_engine_candidate(status: TargetStatus) -> Candidate:
    penalty = 0.0 if status.target.is_local else _REMOTE_ZONE_PENALTY_REQUESTS
    expected = status.use + penalty / max(status.target.slots, 1)
    expected += status.delay_s
    return Candidate(
        target=status.target,
        unread_tokens=0,
        reading_s=0.0,
        waiting_s=0.0,
        reading_from_s=0.0,
        reading_until_s=0.0,
        queue_s=0.0,
        forecast_s=expected,
        expected_s=expected,
        use=status.use,
        recompute_tokens=0,
        is_home=False,
        loss=expected,
        limit_wait_s=status.limit_wait_s,
    )


def _home(work: Work, statuses: Sequence[TargetStatus]) -> str | None:
    """Returns the home of the prefix, which is the same at all routers."""
    if len(work.paths) < 2:
        return None
    identifiers = tuple([status.target.identifier for status in statuses])
    return _cached_owner(work.paths[-2], identifiers)


@functools.lru_cache(maxsize=_HOME_CACHE_SIZE)
def _cached_owner(key: str, identifiers: tuple[str, ...]) -> str | None:
    return owner(key, identifiers)


def _engine_loss(work: Work, expected_s: float, recompute_tokens: int) -> float:
    """Returns the expected loss in service units."""
    ratio = expected_s / (work.target_latency_s or _DEFAULT_LATENCY_S)
    late_probability = (ratio - _LATE_FROM) / (_LATE_TO - _LATE_FROM)
    late_probability = min(max(late_probability, 0.0), 1.0)
    return (
        work.cost * (_LATE_LOSS * late_probability + _EARLY_VALUE * ratio)
        + _RECOMPUTE_COST * recompute_tokens
    )

"""Ranks the targets of a request by expected loss.

Two kinds of load decide: prompts with a long shared prefix, which is prefilled
once if their requests go to the same target, and long prompts, which delay the
first event of every later request to the same target.
"""

import functools
import math
import operator
from collections.abc import Collection, Iterable, Iterator, Sequence

from crowwinch.coordination import owner
from crowwinch.sharing._cache_sources import CacheFetch, CacheSources
from crowwinch.sharing._forecasts import (
    Candidate,
    Forecast,
    Prefill,
    Speed,
    TargetStatus,
    forecast_engine,
    forecast_non_engine,
    prefill_of,
)
from crowwinch.sharing._health import TargetHealth
from crowwinch.sharing._loads import TargetLoads
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._prefixes import PrefixCacheTracker
from crowwinch.sharing._speeds import EngineSpeeds
from crowwinch.sharing._target_limits import TargetLimits

# Expected wait for a slot in a full batch, about half a typical request.
_FULL_BATCH_WAIT_S = 0.5
# Cost of a failing target, as the time lost by a retry.
_FAILURE_COST_S = 2.0
# Fraction of its share of a target's connections that a router uses.
_CONNECTION_SHARE = 0.9
# Size of the home cache; only a few sets of targets are in use at a time.
_HOME_CACHE_SIZE = 4_096


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
        return prefill_of(
            work, work.shared_tokens, self._speed(work.service)
        ).alone_s

    def observe(self, target: TargetView) -> TargetStatus:
        """Returns the current state of a target."""
        identifier = target.identifier
        loads, health = self._loads, self._health
        use = loads.active(identifier) / max(target.slots, 1)
        delay = _FAILURE_COST_S * health.failing_share(identifier)
        waiting_s = 0.0
        if target.is_engine:
            waiting_s = loads.reading_s(identifier)
            delay += loads.delay_s(identifier)
            if use >= 1.0:
                delay += _FULL_BATCH_WAIT_S * use
        return TargetStatus(
            target=target,
            has_connection=self.has_connection(target),
            is_blocked=health.is_blocked(identifier),
            hold_left_s=health.hold_left_s(identifier, target.life),
            limit_wait_s=self._limits.allowance(target).wait_s,
            waiting_s=waiting_s,
            use=use,
            delay_s=delay,
        )

    def usable(
        self,
        statuses: Iterable[TargetStatus],
        excluded: Collection[str] = (),
    ) -> list[TargetStatus]:
        """Returns the targets that want requests.

        Those in back-off are omitted unless there are no others.
        """
        usable = [
            status
            for status in statuses
            if status.target.identifier not in excluded
            and not status.hold_left_s
        ]
        reachable = [status for status in usable if not status.is_blocked]
        return reachable or usable

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
        return list(self.ranked(work, self.usable(statuses, excluded)))

    def ranked(
        self,
        work: Work,
        usable: Sequence[TargetStatus],
        use_limit: float = math.inf,
    ) -> Iterator[Candidate]:
        """Yields targets with a connection, the one with the lowest loss first.

        Args:
            work: Work of the request.
            usable: Targets that want requests.
            use_limit: Use from which engines are omitted.
        """
        forecasts = self._forecast(work, usable, use_limit)
        # Most callers use only the first candidate.
        for forecast in sorted(forecasts, key=operator.attrgetter("loss")):
            yield forecast.candidate()

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

    def _speed(self, service: str) -> "Speed":
        return Speed(
            self._speeds.ratio(service), self._speeds.overhead_s(service)
        )

    def _forecast(
        self, work: Work, statuses: Sequence[TargetStatus], use_limit: float
    ) -> "list[Forecast]":
        home = _home(work, statuses)
        cached_tokens_by_target = self._prefixes.cached_token_counts(work)
        sources = CacheSources(work, cached_tokens_by_target, home, statuses)
        speed = self._speed(work.service)
        # Reused between engines, since most of them have the same number of
        # prompt tokens cached and fetch the same part.
        prefills: dict[tuple[int, CacheFetch], Prefill] = {}
        forecasts = []
        for status in statuses:
            if not status.has_connection:
                continue
            target = status.target
            if not target.is_engine:
                forecasts.append(forecast_non_engine(status))
                continue
            if status.use >= use_limit:
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
            prefill = prefills.get((cached_tokens, fetch))
            if prefill is None:
                prefill = prefill_of(work, cached_tokens, speed, fetch)
                prefills[cached_tokens, fetch] = prefill
            forecasts.append(
                forecast_engine(work, status, prefill, is_home, speed)
            )
        return forecasts


def _home(work: Work, statuses: Sequence[TargetStatus]) -> str | None:
    """Returns the home of the prefix, which is the same at all routers."""
    if len(work.paths) < 2:
        return None
    identifiers = tuple([status.target.identifier for status in statuses])
    return _cached_owner(work.paths[-2], identifiers)


@functools.lru_cache(maxsize=_HOME_CACHE_SIZE)
def _cached_owner(key: str, identifiers: tuple[str, ...]) -> str | None:
    return owner(key, identifiers)

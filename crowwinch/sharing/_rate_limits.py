"""Rate limits of targets, shared by all routers.

Load: targets that accept only a number of requests per second from all routers
together. Each router sends its part of that number, in proportion to the
requests that it gets for the service.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.sharing._model import TargetView
from crowwinch.sharing._request_window import RequestWindow
from crowwinch.sharing._router_shares import RouterShares, TargetKey
from crowwinch.sharing._target_limits import (
    UNLIMITED,
    Allowance,
    LimitReason,
)

# Requests sent in this time are counted, by all routers together.
_WINDOW_S = 4.0
# Fraction of a limit that the routers share out. The rest covers the different
# views that they have of each other's requests.
_SHARED_FRACTION = 0.95
# A target may get this many requests at once, plus the limit of this many
# seconds. Each router that sends to it may save one request, so more routers
# than these do not send to it.
_BURST_REQUESTS = 5
_BURST_S = 1.5
# Requests that a router may save, in seconds of its part of the limit.
_SAVED_S = 0.5
# A target that gets no request cannot say that its limit has ended.
_MIN_RATE_PER_S = 0.2
# Time to wait when the requests of all routers have reached the limit.
_RECHECK_S = 0.1
# What a router observes is reported to peers for this time, which covers two
# rounds of updates in a fleet of 200 routers.
_REPORT_S = 2.0
_EXPIRY_S = 600.0
_MAX_LIMITS = 1_000
_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class RateLimitReport:
    """What a router knows of the rate limit of a target.

    Attributes:
        target: Identifier of the target.
        life: Start of the target.
        per_s: Requests per second that it accepts.
        named_age_s: Seconds since an answer named the limit.
        cleared_age_s: Seconds since a request was sent whose answer named no
            limit, None without one.
        sent: Requests that the router sent to it in the window.
    """

    target: str
    life: int
    per_s: float
    named_age_s: float
    cleared_age_s: float | None
    sent: int


@dataclass(slots=True)
class _Limit:
    """Rate limit of a target and the part of it that this router uses.

    Attributes:
        per_s: Requests per second that the target accepts.
        named_at: Time at which the latest answer that names it arrived.
        named_by: Time at which the request of that answer was sent.
        cleared_at: Time at which the latest request was sent whose answer
            named no limit.
        observed_at: Time of the latest answer that this router got itself.
        window: Requests that this router may send and has sent.
    """

    per_s: float
    named_at: float
    window: RequestWindow
    named_by: float = _NEVER
    cleared_at: float = _NEVER
    observed_at: float = _NEVER

    @property
    def is_in_force(self) -> bool:
        """Whether no answer shows that the limit has ended.

        The order of answers that overlap is unknown; the limit then holds.
        """
        return self.named_at >= self.cleared_at


class TargetRateLimits:
    """Shares the rate limits of targets between the routers of a fleet."""

    def __init__(
        self, clock: Clock, random: Callable[[], float] = lambda: 0.5
    ) -> None:
        """Creates an instance without limits.

        Args:
            clock: Monotonic time.
            random: Returns a number from 0 to 1. Routers that learn of a limit
                at the same time start with different parts of a request.
        """
        self._clock = clock
        self._random = random
        # The limit with the oldest answer first.
        self._limits: OrderedDict[TargetKey, _Limit] = OrderedDict()
        self._routers = RouterShares(clock, _WINDOW_S)
        # Part of each limit, until `refresh`.
        self._own_rates: dict[TargetKey, float] = {}

    def set_fleet(self, own_name: str, members: Collection[str]) -> None:
        """Sets the routers that share the limits.

        Args:
            own_name: Name of this router.
            members: Names of all routers, with or without this one.
        """
        if self._routers.set_fleet(own_name, members):
            self.refresh()

    def refresh(self) -> None:
        """Recomputes the parts of this router when they are next needed."""
        self._own_rates.clear()
        self._routers.refresh()

    def record_demand(self, service: str) -> None:
        """Counts a request for a service that arrived at this router."""
        self._routers.record_demand(service)

    def observe(
        self, target: str, life: int, per_s: float | None, sent_at: float
    ) -> bool:
        """Records what an answer says of the limit of its target.

        Args:
            target: Identifier of the target.
            life: Start of the target.
            per_s: Requests per second that it accepts, None without a limit.
            sent_at: Monotonic time at which the request was sent.

        Returns:
            Whether the limit has begun, changed or ended.
        """
        if per_s is None and (target, life) not in self._limits:
            return False
        now = self._clock.monotonic()
        if per_s is None:
            return self._clear(target, life, sent_at, now)
        limit = self._limits.get((target, life))
        if limit is not None and sent_at < limit.named_by:
            # An older answer that arrives late does not change the number.
            per_s = limit.per_s
        is_changed = self._name(target, life, per_s, now)
        limit = self._limits[target, life]
        limit.named_by = max(limit.named_by, sent_at)
        limit.observed_at = now
        return is_changed

    def merge_peer(
        self,
        peer: str,
        life: int,
        reports: Sequence[RateLimitReport],
        demand: Mapping[str, float],
    ) -> None:
        """Replaces what a peer sends and merges the limits that it knows.

        What a peer sent before it restarted still counts in the window.

        Args:
            peer: Name of the peer.
            life: Start of the peer.
            reports: Limits that it has observed or uses.
            demand: Requests per second that it gets, by service.
        """
        now = self._clock.monotonic()
        for report in reports:
            self._name(
                report.target,
                report.life,
                report.per_s,
                now - report.named_age_s,
            )
            if report.cleared_age_s is not None:
                limit = self._limits[report.target, report.life]
                limit.cleared_at = max(
                    limit.cleared_at, now - report.cleared_age_s
                )
        self._routers.merge_peer(
            peer,
            life,
            {
                (report.target, report.life): report.sent
                for report in reports
                if report.sent
            },
            dict(demand),
        )

    def allowance(self, target: TargetView) -> Allowance:
        """Returns when this router may send to a target again."""
        wait_s = self._wait_s(target)
        if wait_s <= 0.0:
            return UNLIMITED
        return Allowance(wait_s, LimitReason.RATE_LIMIT)

    def rate_per_s(self, target: TargetView) -> float:
        """Returns the requests per second that this router may send.

        It is inf for a target without a limit.
        """
        limit = self._limits.get((target.identifier, target.life))
        if limit is None or not limit.is_in_force:
            return math.inf
        return self._own_rate(target, limit)

    def take(self, target: str, life: int) -> None:
        """Counts a request that is sent to a target."""
        limit = self._limits.get((target, life))
        if limit is not None and limit.is_in_force:
            limit.window.take(self._clock.monotonic())

    def give_back(self, target: str, life: int) -> None:
        """Reverts `take` for a request that was not sent."""
        limit = self._limits.get((target, life))
        if limit is not None:
            limit.window.give_back()

    def reports(self) -> list[RateLimitReport]:
        """Returns what peers must hear: own observations and requests sent."""
        if not self._limits:
            return []
        now = self._clock.monotonic()
        self._expire(now)
        return [
            RateLimitReport(
                target,
                life,
                limit.per_s,
                now - limit.named_at,
                None if limit.cleared_at == _NEVER else now - limit.cleared_at,
                limit.window.count_sent(now),
            )
            for (target, life), limit in self._limits.items()
            if limit.window.count_sent(now)
            or now - limit.observed_at <= _REPORT_S
        ]

    def demand(self) -> dict[str, float]:
        """Returns the requests per second by service, for peers.

        It is empty while no target has a limit.
        """
        if not self._limits:
            return {}
        return self._routers.demand()

    def _wait_s(self, target: TargetView) -> float:
        """Returns the seconds until this router may send to a target again."""
        if not self._limits:
            return 0.0
        limit = self._limits.get((target.identifier, target.life))
        if limit is None or not limit.is_in_force:
            return 0.0
        now = self._clock.monotonic()
        rate = self._own_rate(target, limit)
        if rate <= 0.0:
            return math.inf
        window = limit.window
        window.fill(rate, max(1.0, rate * _SAVED_S), now)
        if window.tokens < 1.0:
            return (1.0 - window.tokens) / rate
        key = (target.identifier, target.life)
        sent = window.count_sent(now) + self._routers.count_peers_sent(key)
        if sent >= max(limit.per_s * _WINDOW_S, 1.0):
            return _RECHECK_S
        return 0.0

    def _name(self, target: str, life: int, per_s: float, at: float) -> bool:
        """Records an answer that names a limit; returns whether it is news."""
        per_s = max(per_s, _MIN_RATE_PER_S)
        limit = self._limits.get((target, life))
        if limit is None:
            self._limits[target, life] = _Limit(
                per_s,
                at,
                RequestWindow(
                    _WINDOW_S, self._random(), self._clock.monotonic()
                ),
            )
            if len(self._limits) > _MAX_LIMITS:
                self._limits.popitem(last=False)
            return True
        if at < limit.named_at:
            return False
        was_in_force, previous = limit.is_in_force, limit.per_s
        limit.named_at, limit.per_s = at, per_s
        if per_s != previous:
            self._own_rates.pop((target, life), None)
        self._limits.move_to_end((target, life))
        return limit.is_in_force != was_in_force or per_s != previous

    def _clear(
        self, target: str, life: int, sent_at: float, now: float
    ) -> bool:
        limit = self._limits[target, life]
        was_in_force = limit.is_in_force
        if sent_at > limit.cleared_at:
            limit.cleared_at = sent_at
            if was_in_force:
                limit.observed_at = now
        return limit.is_in_force != was_in_force

    def _own_rate(self, target: TargetView, limit: _Limit) -> float:
        """Returns the requests per second that this router may send."""
        key = (target.identifier, target.life)
        rate = self._own_rates.get(key)
        if rate is None:
            share = self._routers.own_share(
                target.service,
                target.identifier,
                int(_BURST_REQUESTS + _BURST_S * limit.per_s),
            )
            rate = limit.per_s * _SHARED_FRACTION * share
            self._own_rates[key] = rate
        return rate

    def _expire(self, now: float) -> None:
        while self._limits:
            key, limit = next(iter(self._limits.items()))
            if limit.named_at >= now - _EXPIRY_S:
                break
            del self._limits[key]
        self._routers.expire()

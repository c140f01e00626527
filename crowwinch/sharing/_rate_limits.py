"""Rate limits of targets, shared by all routers.

Load: targets that accept only a number of requests per second from all routers
together. Each router sends its part of that number, in proportion to the
requests that it gets for the service.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import Clock, rank
from crowwinch.sharing._model import TargetView
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
# Time constant of the measured rate of requests for a service.
_DEMAND_TIME_CONSTANT_S = 2.0
# Fraction of the mean rate that a router without requests counts as, so that
# its first request finds a part of the limit.
_MIN_WEIGHT = 0.05
_NEGLIGIBLE_RATE = 1e-6
# Time to wait when the requests of all routers have reached the limit.
_RECHECK_S = 0.1
# What a router observes is reported to peers for this time, which covers two
# rounds of updates in a fleet of 200 routers.
_REPORT_S = 2.0
_EXPIRY_S = 600.0
_MAX_LIMITS = 1_000
_NEVER = float("-inf")

# Identifier and start time of a target; a restart ends its limit.
_Key = tuple[str, int]


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
        tokens: Requests that this router may send now.
        filled_at: Time up to which the tokens are counted.
        sent: Times of the requests that this router sent in the window.
    """

    per_s: float
    named_at: float
    tokens: float
    filled_at: float
    named_by: float = _NEVER
    cleared_at: float = _NEVER
    observed_at: float = _NEVER
    sent: deque[float] = field(default_factory=deque)

    @property
    def is_in_force(self) -> bool:
        """Whether no answer shows that the limit has ended.

        The order of answers that overlap is unknown; the limit then holds.
        """
        return self.named_at >= self.cleared_at

    def count_sent(self, now: float) -> int:
        """Returns the requests that this router sent in the window."""
        while self.sent and self.sent[0] <= now - _WINDOW_S:
            self.sent.popleft()
        return len(self.sent)


@dataclass(frozen=True, slots=True)
class _PeerUse:
    """What a peer sends.

    Attributes:
        life: Start of the peer.
        at: Time at which its report arrived.
        sent: Requests that it sent in the window before, by target.
        demand: Requests per second that it gets, by service.
    """

    life: int
    at: float
    sent: Mapping[_Key, int]
    demand: Mapping[str, float]


class _Weights:
    """Weight of each router in the limits of the targets of a service.

    It is the rate of requests for the service at the router. A router that has
    not told it counts like the mean of those that have.
    """

    def __init__(
        self, known: Mapping[str, float], mean: float, members: int
    ) -> None:
        self._known = known
        self._mean = mean
        self._total = sum(known.values()) + mean * (members - len(known))

    @property
    def total(self) -> float:
        """Sum over all routers."""
        return self._total

    def of(self, name: str) -> float:
        """Returns the weight of a router."""
        return self._known.get(name, self._mean)


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
        self._limits: OrderedDict[_Key, _Limit] = OrderedDict()
        self._own_name = ""
        self._members: frozenset[str] = frozenset()
        self._owners: dict[tuple[str, int], list[str]] = {}
        self._peers: dict[str, _PeerUse] = {}
        # Last reports of peers that have restarted since.
        self._earlier: list[_PeerUse] = []
        # Decayed number of requests by service, and the time of the count.
        self._demand: dict[str, tuple[float, float]] = {}
        # Part of each limit, until `refresh`.
        self._own_rates: dict[_Key, float] = {}
        self._weights: dict[str, _Weights] = {}

    def set_fleet(self, own_name: str, members: Collection[str]) -> None:
        """Sets the routers that share the limits.

        Args:
            own_name: Name of this router.
            members: Names of all routers, with or without this one.
        """
        names = frozenset(members) | {own_name}
        if names == self._members and own_name == self._own_name:
            return
        self._own_name, self._members = own_name, names
        self._owners.clear()
        self.refresh()

    def refresh(self) -> None:
        """Recomputes the parts of this router when they are next needed."""
        self._own_rates.clear()
        self._weights.clear()

    def record_demand(self, service: str) -> None:
        """Counts a request for a service that arrived at this router."""
        now = self._clock.monotonic()
        self._demand[service] = (self._decayed_demand(service, now) + 1, now)

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
        previous = self._peers.get(peer)
        if previous is not None and previous.life != life:
            self._earlier = [
                use for use in self._earlier if now - use.at < _WINDOW_S
            ]
            self._earlier.append(previous)
        if previous is None and not reports and not demand:
            return
        self._peers[peer] = _PeerUse(
            life,
            now,
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
            limit.tokens -= 1.0
            limit.sent.append(self._clock.monotonic())

    def give_back(self, target: str, life: int) -> None:
        """Reverts `take` for a request that was not sent."""
        limit = self._limits.get((target, life))
        if limit is not None and limit.sent:
            limit.tokens += 1.0
            limit.sent.pop()

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
                limit.count_sent(now),
            )
            for (target, life), limit in self._limits.items()
            if limit.count_sent(now) or now - limit.observed_at <= _REPORT_S
        ]

    def demand(self) -> dict[str, float]:
        """Returns the requests per second by service, for peers.

        It is empty while no target has a limit.
        """
        if not self._limits:
            return {}
        now = self._clock.monotonic()
        return {
            service: self._decayed_demand(service, now)
            / _DEMAND_TIME_CONSTANT_S
            for service in self._demand
        }

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
        self._fill(limit, rate, now)
        if limit.tokens < 1.0:
            return (1.0 - limit.tokens) / rate
        if self._count_sent(target, limit, now) >= max(
            limit.per_s * _WINDOW_S, 1.0
        ):
            return _RECHECK_S
        return 0.0

    def _name(self, target: str, life: int, per_s: float, at: float) -> bool:
        """Records an answer that names a limit; returns whether it is news."""
        per_s = max(per_s, _MIN_RATE_PER_S)
        limit = self._limits.get((target, life))
        if limit is None:
            self._limits[target, life] = _Limit(
                per_s, at, self._random(), self._clock.monotonic()
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

    def _fill(self, limit: _Limit, rate: float, now: float) -> None:
        capacity = max(1.0, rate * _SAVED_S)
        added = (now - limit.filled_at) * rate
        limit.tokens = min(limit.tokens + added, capacity)
        limit.filled_at = now

    def _own_rate(self, target: TargetView, limit: _Limit) -> float:
        """Returns the requests per second that this router may send."""
        key = (target.identifier, target.life)
        rate = self._own_rates.get(key)
        if rate is None:
            share = self._own_share(target, limit.per_s)
            rate = limit.per_s * _SHARED_FRACTION * share
            self._own_rates[key] = rate
        return rate

    def _own_share(self, target: TargetView, per_s: float) -> float:
        """Returns the fraction of a limit that this router may use."""
        weights = self._weights.get(target.service)
        if weights is None:
            weights = self._weights[target.service] = self._weigh_routers(
                target.service
            )
        own = weights.of(self._own_name)
        most = int(_BURST_REQUESTS + _BURST_S * per_s)
        if len(self._members) <= most:
            return own / max(weights.total, own)
        owners = self._find_owners(target.identifier, most)
        if self._own_name not in owners:
            return 0.0
        return own / sum(weights.of(owner) for owner in owners)

    def _find_owners(self, target: str, most: int) -> list[str]:
        """Returns the routers that send to a target with a limit.

        They are the same at all routers that know the same fleet.
        """
        owners = self._owners.get((target, most))
        if owners is None:
            owners = rank(target, self._members)[:most]
            self._owners[target, most] = owners
        return owners

    def _weigh_routers(self, service: str) -> "_Weights":
        now = self._clock.monotonic()
        known = {
            self._own_name: self._decayed_demand(service, now)
            / _DEMAND_TIME_CONSTANT_S
        }
        for peer, use in self._peers.items():
            if peer in self._members and service in use.demand:
                known[peer] = use.demand[service]
        mean = sum(known.values()) / len(known)
        least = max(mean * _MIN_WEIGHT, _NEGLIGIBLE_RATE)
        return _Weights(
            {name: max(rate, least) for name, rate in known.items()},
            max(mean, least),
            len(self._members),
        )

    def _count_sent(
        self, target: TargetView, limit: _Limit, now: float
    ) -> float:
        """Returns the requests that all routers sent in the window.

        Those of a peer leave the window evenly after its last report, also when
        it is gone.
        """
        key = (target.identifier, target.life)
        count = float(limit.count_sent(now))
        for use in (*self._peers.values(), *self._earlier):
            left = 1 - (now - use.at) / _WINDOW_S
            if left > 0.0:
                count += use.sent.get(key, 0) * left
        return count

    def _decayed_demand(self, service: str, now: float) -> float:
        count, at = self._demand.get(service, (0.0, now))
        return count * math.exp((at - now) / _DEMAND_TIME_CONSTANT_S)

    def _expire(self, now: float) -> None:
        while self._limits:
            key, limit = next(iter(self._limits.items()))
            if limit.named_at >= now - _EXPIRY_S:
                break
            del self._limits[key]
        for peer in [
            peer
            for peer, use in self._peers.items()
            if now - use.at > _EXPIRY_S
        ]:
            del self._peers[peer]

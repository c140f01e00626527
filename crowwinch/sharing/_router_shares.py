"""What the routers of a fleet exchange to share the limits of targets.

Load: limits that hold for all routers together, while requests reach the
routers unevenly. Each router knows the demand at the others and what they have
sent, as of their last updates.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from crowwinch.coordination import Clock, rank

# Time constant of the measured rate of requests for a service.
_DEMAND_TIME_CONSTANT_S = 2.0
# Fraction of the mean rate that a router without requests counts as, so that
# its first request finds a part of the limit.
_MIN_WEIGHT = 0.05
_NEGLIGIBLE_RATE = 1e-6
_EXPIRY_S = 600.0

# Identifier and start time of a target.
TargetKey = tuple[str, int]


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
    sent: Mapping[TargetKey, int]
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


class RouterShares:
    """Members of the fleet, their demand and the requests that they sent."""

    def __init__(self, clock: Clock, window_s: float) -> None:
        """Creates an instance of a router without peers.

        Args:
            clock: Monotonic time.
            window_s: Time in seconds in which sent requests are counted.
        """
        self._clock = clock
        self._window_s = window_s
        self._own_name = ""
        self._members: frozenset[str] = frozenset()
        self._owners: dict[tuple[str, int], list[str]] = {}
        self._peers: dict[str, _PeerUse] = {}
        # Last reports of peers that have restarted since.
        self._earlier: list[_PeerUse] = []
        # Decayed number of requests by service, and the time of the count.
        self._demand: dict[str, tuple[float, float]] = {}
        # Until `refresh`.
        self._weights: dict[str, _Weights] = {}

    @property
    def member_count(self) -> int:
        """Number of routers, with this one."""
        return len(self._members)

    def set_fleet(self, own_name: str, members: Collection[str]) -> bool:
        """Sets the routers that share the limits.

        Args:
            own_name: Name of this router.
            members: Names of all routers, with or without this one.

        Returns:
            Whether they have changed.
        """
        names = frozenset(members) | {own_name}
        if names == self._members and own_name == self._own_name:
            return False
        self._own_name, self._members = own_name, names
        self._owners.clear()
        return True

    def refresh(self) -> None:
        """Recomputes the weights when they are next needed."""
        self._weights.clear()

    def record_demand(self, service: str) -> None:
        """Counts a request for a service that arrived at this router."""
        now = self._clock.monotonic()
        self._demand[service] = (self._decayed_demand(service, now) + 1, now)

    def demand(self) -> dict[str, float]:
        """Returns the requests per second by service."""
        now = self._clock.monotonic()
        return {
            service: self._decayed_demand(service, now)
            / _DEMAND_TIME_CONSTANT_S
            for service in self._demand
        }

    def merge_peer(
        self,
        peer: str,
        life: int,
        sent: Mapping[TargetKey, int],
        demand: Mapping[str, float],
    ) -> None:
        """Replaces what a peer sends.

        What it sent before it restarted still counts in the window.

        Args:
            peer: Name of the peer.
            life: Start of the peer.
            sent: Requests that it sent in the window, by target.
            demand: Requests per second that it gets, by service.
        """
        now = self._clock.monotonic()
        previous = self._peers.get(peer)
        if previous is not None and previous.life != life:
            self._earlier = [
                use for use in self._earlier if now - use.at < self._window_s
            ]
            self._earlier.append(previous)
        if previous is None and not sent and not demand:
            return
        self._peers[peer] = _PeerUse(life, now, sent, demand)

    def count_peers_sent(self, target: TargetKey) -> float:
        """Returns the requests that peers sent to a target in the window.

        Those of a peer leave the window evenly after its last report, also when
        it is gone.
        """
        now = self._clock.monotonic()
        count = 0.0
        for use in (*self._peers.values(), *self._earlier):
            left = 1 - (now - use.at) / self._window_s
            if left > 0.0:
                count += use.sent.get(target, 0) * left
        return count

    def own_share(self, service: str, target: str, most: int) -> float:
        """Returns the fraction of a target's limit that this router may use.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            most: Maximum number of routers that send to it.
        """
        weights = self._weights.get(service)
        if weights is None:
            weights = self._weights[service] = self._weigh_routers(service)
        own = weights.of(self._own_name)
        if len(self._members) <= most:
            return own / max(weights.total, own)
        owners = self._find_owners(target, most)
        if self._own_name not in owners:
            return 0.0
        return own / sum(weights.of(owner) for owner in owners)

    def is_owner(self, target: str, most: int) -> bool:
        """Returns whether this router is among those that send to a target.

        Args:
            target: Identifier of the target.
            most: Maximum number of routers that send to it.
        """
        return len(
            self._members
        ) <= most or self._own_name in self._find_owners(target, most)

    def expire(self) -> None:
        """Removes peers that were not heard for long."""
        now = self._clock.monotonic()
        for peer in [
            peer
            for peer, use in self._peers.items()
            if now - use.at > _EXPIRY_S
        ]:
            del self._peers[peer]

    def _find_owners(self, target: str, most: int) -> list[str]:
        """Returns the routers that send to a target with a limit.

        They are the same at all routers that know the same fleet.
        """
        owners = self._owners.get((target, most))
        if owners is None:
            owners = rank(target, self._members)[:most]
            self._owners[target, most] = owners
        return owners

    def _weigh_routers(self, service: str) -> _Weights:
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

    def _decayed_demand(self, service: str, now: float) -> float:
        count, at = self._demand.get(service, (0.0, now))
        return count * math.exp((at - now) / _DEMAND_TIME_CONSTANT_S)

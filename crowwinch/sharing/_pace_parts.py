"""Part of each router in the window of a target.

Counts of the requests of other routers are up to 0.45 s old. Parts that add up
to the window keep the routers from exceeding it together.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from crowwinch.coordination import Clock, rank
from crowwinch.sharing._model import TargetView

# Time constant of the measured demand. A part of the window that moves to
# another router lets a request begin there while one still runs here.
_DEMAND_TIME_CONSTANT_S = 8.0
# Fraction of the mean demand that a router without requests counts as.
_MIN_WEIGHT = 0.05
_NEGLIGIBLE_RATE = 1e-6
# Sums of loads may be just off a whole number.
ROUNDING = 1e-6


@dataclass(slots=True)
class _Demand:
    count: float = 0.0
    at: float = 0.0


class PaceParts:
    """Divides windows between the routers by their demand."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance for a router without peers."""
        self._clock = clock
        self._own_name = ""
        self._members: tuple[str, ...] = ()
        self._demand: dict[str, _Demand] = {}
        # By peer and service.
        self._peer_demand: dict[tuple[str, str], float] = {}
        self._ranks: dict[str, list[str]] = {}
        # Size of a window and part in it, until `refresh`.
        self._parts: dict[str, tuple[float, int]] = {}

    @property
    def routers(self) -> int:
        """Number of routers that share the windows."""
        return max(len(self._members), 1)

    def set_fleet(self, own_name: str, members: Collection[str]) -> None:
        """Sets the routers that share the windows.

        Args:
            own_name: Name of this router.
            members: Names of all routers, with or without this one.
        """
        names = tuple(sorted({*members, own_name}))
        if names != self._members or own_name != self._own_name:
            self._own_name, self._members = own_name, names
            self._ranks.clear()
            self._parts.clear()

    def refresh(self) -> None:
        """Computes the parts anew when they are next needed."""
        self._parts.clear()

    def record_demand(self, service: str) -> None:
        """Counts a request for a service that arrived at this router."""
        now = self._clock.monotonic()
        demand = self._demand.setdefault(service, _Demand())
        demand.count = _decayed_count(demand, now) + 1.0
        demand.at = now

    def demand_per_s(self, service: str) -> float:
        """Returns the requests per second for a service at this router."""
        demand = self._demand.get(service)
        if demand is None:
            return 0.0
        count = _decayed_count(demand, self._clock.monotonic())
        return count / _DEMAND_TIME_CONSTANT_S

    def set_peer_demand(self, peer: str, service: str, per_s: float) -> None:
        """Sets the requests per second for a service at a peer."""
        self._peer_demand[peer, service] = per_s

    def part(self, target: TargetView, size: float) -> int:
        """Returns the requests that this router may have in flight.

        Args:
            target: The target.
            size: Window, the requests that all routers may have in flight.
        """
        if len(self._members) <= 1:
            return math.floor(size + ROUNDING)
        identifier = target.identifier
        known = self._parts.get(identifier)
        if known is not None and known[0] == size:
            return known[1]
        weights = self._weights(target.service)
        ranked = self._ranks.get(identifier)
        if ranked is None:
            ranked = self._ranks[identifier] = rank(identifier, self._members)
        ideal = size * weights[self._own_name] / sum(weights.values())
        # Rounding thresholds are spread evenly over the routers, and each keeps
        # its own, so that a part does not move from router to router with
        # every change of the weights.
        position = ranked.index(self._own_name) + 1
        part = math.floor(ideal + 1.0 - position / len(ranked) + ROUNDING)
        self._parts[identifier] = (size, part)
        return part

    def _weights(self, service: str) -> dict[str, float]:
        """Returns the weight of each router, its demand for the service.

        A router that has not told it counts like the mean of those that have.
        """
        known = {self._own_name: self.demand_per_s(service)}
        for name in self._members:
            per_s = self._peer_demand.get((name, service))
            if per_s is not None and name != self._own_name:
                known[name] = per_s
        mean = max(sum(known.values()) / len(known), _NEGLIGIBLE_RATE)
        least = mean * _MIN_WEIGHT
        return {
            name: max(known.get(name, mean), least) for name in self._members
        }


def _decayed_count(demand: _Demand, now: float) -> float:
    return demand.count * math.exp((demand.at - now) / _DEMAND_TIME_CONSTANT_S)

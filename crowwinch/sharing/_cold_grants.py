"""How many routers send to a cold target, and at which rate."""

import functools
import math
from dataclasses import dataclass

# Time in seconds by which a request may arrive later than it was granted: 0.2
# until it is sent, and 0.4 until a connection to the target is open.
_ARRIVAL_SPREAD_S = 0.6
# Requests below the bound that are left for routers whose view of the fleet
# differs: as many as one more router sends.
_VIEW_MARGIN = 2
_MARGIN_DIVISOR = 4
_MAX_OWNERS = 16
# More routers may send at a somewhat lower total rate, since some of them get
# few requests.
_MIN_USE = 0.8
# A router whose rate is just below a whole number saves no further request.
_BELOW = 0.999


@dataclass(frozen=True, slots=True)
class Grants:
    """The part of each owner.

    Attributes:
        owners: Number of routers that send.
        per_s: Requests per second of each of them.
    """

    owners: int
    per_s: float


@functools.lru_cache(maxsize=256)
def plan_grants(per_s: float, bound: int, routers: int) -> Grants:
    """Returns how the rate of a cold target is divided.

    An owner that saves up to one request sends at most `1 + rate * window`,
    rounded down, in a window. The window of the arrivals is longer than that of
    the target by the time by which arrivals may be late.

    Args:
        per_s: Requests per second that the target tolerates.
        bound: Requests that may arrive in any second.
        routers: Number of routers in the fleet.
    """
    margin = min(_VIEW_MARGIN, bound // _MARGIN_DIVISOR)
    # Each owner gets at least one request a second, or it would get none
    # before the target is warm.
    most = min(_MAX_OWNERS, max(int(per_s), 1), routers)
    plans = []
    for owners in range(most, 0, -1):
        each = (bound - margin) // owners
        if each > 0:
            highest = _BELOW * each / (1.0 + _ARRIVAL_SPREAD_S)
            plans.append(Grants(owners, min(per_s / owners, highest)))
    best = max((plan.owners * plan.per_s for plan in plans), default=0.0)
    for plan in plans:
        if plan.owners * plan.per_s >= _MIN_USE * best:
            return plan
    return Grants(0, 0.0)


def bound_of(per_s: float, overage: float, slack: float) -> int:
    """Returns the requests that may reach a cold target in any second."""
    return math.floor(per_s * overage + slack)

"""Estimate of the time that a caller has waited before a request arrives.

Load: refused callers who return, often at another router, while new requests
could still be answered in time. A caller that returns has less time left than
callers of the route have at first.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# Requests of a route from which the usual deadline is learned.
_WINDOW_REQUESTS = 128
# Callers of a route do not all start with the same deadline. Refused callers
# are told to wait for a quarter of their time or more.
_MIN_FIRST_FRACTION = 0.8
# A deadline that this many requests of the window had to the millisecond is
# not what is left after a wait, which differs from request to request.
_MIN_EQUAL_REQUESTS = 8
# Routes that are tracked; the least recently used ones are dropped.
_MAX_ROUTES = 256
_MS_PER_S = 1000


@dataclass(slots=True)
class _RouteDeadlines:
    recent: deque[int] = field(
        default_factory=lambda: deque(maxlen=_WINDOW_REQUESTS)
    )

    def is_first(self, deadline_ms: int) -> bool:
        """Returns whether a deadline is that of a first request."""
        return (
            deadline_ms >= _MIN_FIRST_FRACTION * max(self.recent)
            or self.recent.count(deadline_ms) >= _MIN_EQUAL_REQUESTS
        )


class CallerDeadlines:
    """Learns the usual deadlines of callers by route."""

    def __init__(self) -> None:
        """Creates an instance without requests."""
        self._routes: OrderedDict[str, _RouteDeadlines] = OrderedDict()

    def record(self, route: str, deadline_s: float) -> float:
        """Records the deadline of a request.

        Args:
            route: Name of the route.
            deadline_s: Time in seconds that the caller still waits.

        Returns:
            Estimated time in seconds that the caller has waited before, 0 for a
            first request.
        """
        deadline_ms = round(deadline_s * _MS_PER_S)
        deadlines = self._routes.get(route)
        if deadlines is None:
            deadlines = self._routes[route] = _RouteDeadlines()
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        deadlines.recent.append(deadline_ms)
        if deadlines.is_first(deadline_ms):
            return 0.0
        return (max(deadlines.recent) - deadline_ms) / _MS_PER_S

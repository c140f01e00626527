"""Estimate of the time that a caller has waited before a request arrives.

Load: refused callers who return, often at another router, while new requests
could still be answered in time. A caller that returns has less time left than
callers of its workspace have at first on the route. Workspaces are apart, so
that long deadlines of one do not make those of another look short.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

# Requests from which the usual deadline is learned.
_WINDOW_REQUESTS = 48
# Callers of a workspace do not all start with the same deadline. Refused
# callers are told to wait for a quarter of their time or more.
_MIN_FIRST_FRACTION = 0.8
# A deadline that this many requests of the window had to the millisecond is
# not what is left after a wait, which differs from request to request.
_MIN_EQUAL_REQUESTS = 4
# Pairs of workspace and route that are tracked, 2 KB each; the least recently
# used ones are dropped.
_MAX_PAIRS = 1_024
_MS_PER_S = 1000


@dataclass(slots=True)
class _RecentDeadlines:
    recent: deque[int] = field(
        default_factory=lambda: deque(maxlen=_WINDOW_REQUESTS)
    )

    def prior_wait_ms(self, deadline_ms: int) -> int:
        """Returns the time waited before, 0 for that of a first request."""
        longest_ms = max(self.recent)
        if (
            deadline_ms >= _MIN_FIRST_FRACTION * longest_ms
            or self.recent.count(deadline_ms) >= _MIN_EQUAL_REQUESTS
        ):
            return 0
        return longest_ms - deadline_ms


class CallerDeadlines:
    """Learns the usual deadlines of callers by workspace and route."""

    def __init__(self) -> None:
        """Creates an instance without requests."""
        self._pairs: OrderedDict[tuple[str, str], _RecentDeadlines] = (
            OrderedDict()
        )

    def record(self, workspace: str, route: str, deadline_s: float) -> float:
        """Records the deadline of a request.

        Args:
            workspace: Name of the workspace, empty if none.
            route: Name of the route.
            deadline_s: Time in seconds that the caller still waits.

        Returns:
            Estimated time in seconds that the caller has waited before, 0 for a
            first request.
        """
        deadline_ms = round(deadline_s * _MS_PER_S)
        pair = (workspace, route)
        deadlines = self._pairs.get(pair)
        if deadlines is None:
            deadlines = self._pairs[pair] = _RecentDeadlines()
            if len(self._pairs) > _MAX_PAIRS:
                self._pairs.popitem(last=False)
        self._pairs.move_to_end(pair)
        deadlines.recent.append(deadline_ms)
        return deadlines.prior_wait_ms(deadline_ms) / _MS_PER_S

"""How long callers of a route wait for a response, over all their requests.

A caller whose stream breaks off takes it up with the time that it has left, so
what it had at first tells how old the stream may be. The time-out of the route
does not: it ends a request, and the caller may go on with another one.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from crowwinch.coordination import Clock

# Callers of a route do not all name the same time. Their spread is a fifth.
_SPREAD_FACTOR = 1.25
# Requests of a route before the longest time of its callers counts as known.
_MIN_REQUESTS = 4
# A time that no caller has named for this long is forgotten.
_RETENTION_S = 600.0
# Routes that are tracked; the least recently used ones are dropped.
_MAX_ROUTES = 1_024
# Routes that are reported to a peer, so that an update stays small.
_MAX_REPORTS = 32


@dataclass(frozen=True, slots=True)
class CallerWait:
    """The longest time that callers of a route have named.

    Attributes:
        route: Key of the route.
        longest_s: The time in seconds.
        age_s: Seconds since a caller named it.
        requests: Number of requests that it is known from, up to the number
            that is needed.
    """

    route: str
    longest_s: float
    age_s: float
    requests: int


@dataclass(slots=True)
class _Wait:
    longest_s: float
    named_at: float
    requests: int = 0


class CallerWaits:
    """Longest time that callers wait, by route, as any router has seen it."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance that knows of no caller.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # The least recently used route first.
        self._waits: OrderedDict[str, _Wait] = OrderedDict()

    def record(self, route: str, wait_s: float) -> None:
        """Records a request that takes up no stream.

        Args:
            route: Key of the route.
            wait_s: Time in seconds that the caller waits.
        """
        now = self._clock.monotonic()
        wait = self._update(route, wait_s, now)
        wait.requests = min(wait.requests + 1, _MIN_REQUESTS)

    def max_stream_age_s(self, route: str, left_s: float) -> float | None:
        """Returns the maximum time since a stream that is taken up began.

        Args:
            route: Key of the route.
            left_s: Time in seconds that its caller still waits.

        Returns:
            The time in seconds, None if too little is known of the callers of
            the route.
        """
        wait = self._waits.get(route)
        if wait is None or wait.requests < _MIN_REQUESTS:
            return None
        is_outdated = self._clock.monotonic() - wait.named_at > _RETENTION_S
        # A caller that has more left than any was seen to have is another kind.
        if is_outdated or left_s > wait.longest_s:
            return None
        return wait.longest_s * _SPREAD_FACTOR - left_s

    def reports(self) -> list[CallerWait]:
        """Returns what peers need to know, the latest routes only."""
        now = self._clock.monotonic()
        return [
            CallerWait(
                route, wait.longest_s, now - wait.named_at, wait.requests
            )
            for route, wait in list(self._waits.items())[-_MAX_REPORTS:]
        ]

    def merge(self, reports: Iterable[CallerWait]) -> None:
        """Adds what a peer knows; it may have it from this router."""
        now = self._clock.monotonic()
        for report in reports:
            if report.age_s > _RETENTION_S:
                continue
            wait = self._update(
                report.route, report.longest_s, now - report.age_s
            )
            wait.requests = max(wait.requests, report.requests)

    def _update(self, route: str, wait_s: float, named_at: float) -> _Wait:
        wait = self._waits.get(route)
        if wait is None:
            wait = self._waits[route] = _Wait(wait_s, named_at)
            if len(self._waits) > _MAX_ROUTES:
                self._waits.popitem(last=False)
        elif (
            wait_s >= wait.longest_s or named_at - wait.named_at > _RETENTION_S
        ):
            wait.longest_s = wait_s
            wait.named_at = max(wait.named_at, named_at)
        self._waits.move_to_end(route)
        return wait

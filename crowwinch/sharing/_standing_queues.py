"""Tells a standing queue from one that a burst of requests leaves behind.

Load: short bursts, and sustained overload. A burst is over once the targets
have caught up, and all of it can be answered if it may wait. Under sustained
overload the queue never empties, and each wait in it makes answers late without
serving more.
"""

from crowwinch.coordination import Clock

# Time for which a queue has not been empty, as a multiple of the target latency
# of its requests, from which it is standing.
_STANDING_FACTOR = 1.5


class StandingQueues:
    """Tracks since when the queue of each service has not been empty."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance with empty queues.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        self._since: dict[str, float] = {}

    def note_request(self, service: str) -> None:
        """Records that a request joins the queue of a service."""
        self._since.setdefault(service, self._clock.monotonic())

    def note_empty(self, service: str) -> None:
        """Records that the queue of a service is empty."""
        self._since.pop(service, None)

    def is_standing(self, service: str, target_latency_s: float) -> bool:
        """Returns whether the queue of a service is standing.

        Args:
            service: Name of the service.
            target_latency_s: Target latency of the request in seconds.
        """
        since = self._since.get(service)
        if since is None:
            return False
        duration_s = self._clock.monotonic() - since
        return duration_s >= _STANDING_FACTOR * target_latency_s

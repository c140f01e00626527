"""Requests that arrive, or are still open, while a router stops."""

import asyncio
import contextlib
import math
from collections.abc import Iterator

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding._request_context import RequestContext
from crowwinch.forwarding._route_durations import RouteDurations

# Short, because another router can serve the request immediately.
_OTHER_ROUTER_RETRY_S = 0.05


class Shutdown:
    """Takes only requests that can be answered, and answers those left."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance of a router that does not stop.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        self._durations = RouteDurations(clock)
        self._deadline = math.inf
        # Time limits of the requests that are being forwarded.
        self._time_limits: set[asyncio.Timeout] = set()

    def set_deadline(self, deadline: float) -> None:
        """Sets the monotonic time at which open requests are ended."""
        self._deadline = deadline

    def record_answer(self, context: RequestContext) -> None:
        """Records the duration of a complete answer."""
        self._durations.record(
            context.route.name,
            self._clock.monotonic() - context.call.arrived,
        )

    def refuse_if_too_late(self, context: RequestContext) -> None:
        """Refuses a request that may outlast the router.

        Raises:
            RefusalError: If it may.
        """
        now = self._clock.monotonic()
        end = min(
            context.deadline,
            now + self._durations.expected_s(context.route.name),
        )
        if end > self._deadline:
            raise shutdown_refusal()

    @contextlib.contextmanager
    def track(self, time_limit: asyncio.Timeout) -> Iterator[None]:
        """Lets `end_requests` end a request.

        Args:
            time_limit: Time limit of the request, which has been entered.
        """
        self._time_limits.add(time_limit)
        try:
            yield
        finally:
            self._time_limits.discard(time_limit)

    def end_requests(self) -> None:
        """Answers all open requests now, as at their deadlines.

        Answers that have begun are broken off.
        """
        now = asyncio.get_running_loop().time()
        for time_limit in self._time_limits:
            if not time_limit.expired():
                time_limit.reschedule(now)


def shutdown_refusal() -> RefusalError:
    """Returns the refusal of a router that stops."""
    return RefusalError(
        RefusalReason.SHUTTING_DOWN,
        "the router is stopping",
        retry_after_s=_OTHER_ROUTER_RETRY_S,
    )

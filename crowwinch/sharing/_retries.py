"""Retry budget of the services at one router."""

from collections import deque

from crowwinch.coordination import Clock

# Fraction of the retry budget that routers use; the rest covers requests that
# were counted in a different window from their retries.
_BUDGET_FRACTION = 0.6
# Retries always allowed in a window, so that a router with little traffic can
# fail over from a target that has gone.
_MIN_RETRIES = 2


class SlidingWindowRetryBudget:
    """Retry budgets of the services at one router.

    Every router limits retries to a fraction of its own requests, so the fleet
    stays within the same fraction of all requests without coordination.
    """

    def __init__(self, clock: Clock, ratio: float, window_s: float) -> None:
        """Creates an unused budget.

        Args:
            clock: Monotonic time.
            ratio: Retries allowed per request.
            window_s: Sliding window of both counts in seconds.
        """
        self._clock = clock
        self._ratio = ratio * _BUDGET_FRACTION
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_limits(self, ratio: float, window_s: float) -> None:
        """Changes the ratio and the window."""
        self._ratio = ratio * _BUDGET_FRACTION
        self._window_s = window_s

    def record_request(self, service: str) -> None:
        """Counts a request from a caller."""
        self._recent(self._requests, service).append(self._clock.monotonic())

    def allows_retry(self, service: str) -> bool:
        """Returns whether the budget allows a retry."""
        retries = self._recent(self._retries, service)
        requests = self._recent(self._requests, service)
        return len(retries) < self._ratio * len(requests) + _MIN_RETRIES

    def try_spend(self, service: str) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if not self.allows_retry(service):
            return False
        self._recent(self._retries, service).append(self._clock.monotonic())
        return True

    def _recent(
        self, counts: dict[str, deque[float]], service: str
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        oldest = self._clock.monotonic() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times

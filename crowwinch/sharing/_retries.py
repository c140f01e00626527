"""Retry budget and detection of requests that crash targets."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from crowwinch.coordination import Clock

# Fraction of the retry budget that routers use; the rest covers requests that
# were counted in a different window from their retries.
_BUDGET_FRACTION = 0.6
# Retries always allowed in a window, so that a router with little traffic can
# fail over from a target that has gone.
_MIN_RETRIES = 2
# A request in flight at this many crashes is refused.
_CRASH_LIMIT = 3
_CRASH_EXPIRY_S = 120.0
_CRASH_CAPACITY = 4096


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


class CrashCounts:
    """Counts the crashes at which a request was in flight.

    Counts of other routers are merged by the maximum for each router, so
    merging is idempotent.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates empty counts."""
        self._clock = clock
        self._own: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._peers: OrderedDict[str, tuple[float, dict[str, int]]] = (
            OrderedDict()
        )

    def record_crash(self, digest: str) -> None:
        """Counts a crash with a request in flight from this router."""
        _, count = self._own.pop(digest, (0.0, 0))
        self._own[digest] = (self._clock.monotonic(), count + 1)
        if len(self._own) > _CRASH_CAPACITY:
            self._own.popitem(last=False)

    def own_counts(self) -> list[tuple[str, int]]:
        """Returns the counts of this router to send to its peers."""
        self._expire()
        return [(digest, count) for digest, (_, count) in self._own.items()]

    def merge_peer_counts(
        self, peer: str, counts: Iterable[tuple[str, int]]
    ) -> None:
        """Merges the counts received from a peer."""
        now = self._clock.monotonic()
        for digest, count in counts:
            _, known = self._peers.pop(digest, (0.0, {}))
            known[peer] = max(known.get(peer, 0), count)
            self._peers[digest] = (now, known)
            if len(self._peers) > _CRASH_CAPACITY:
                self._peers.popitem(last=False)

    def is_refused(self, digest: str) -> bool:
        """Returns whether a request was in flight at too many crashes."""
        if not self._own and not self._peers:
            return False
        self._expire()
        own = self._own.get(digest, (0.0, 0))[1]
        peers = self._peers.get(digest, (0.0, {}))[1]
        return own + sum(peers.values()) >= _CRASH_LIMIT

    @property
    def is_empty(self) -> bool:
        """Whether no request was in flight at a crash."""
        return not self._own and not self._peers

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - _CRASH_EXPIRY_S
        for table in (self._own, self._peers):
            while table and next(iter(table.values()))[0] < oldest:
                table.popitem(last=False)

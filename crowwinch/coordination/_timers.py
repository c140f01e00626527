"""Clocks and the timer service."""

import heapq
import itertools
import logging
import time
from collections.abc import Callable
from typing import Protocol

_LOGGER = logging.getLogger(__name__)
# A request at the scheduler's own router takes two calls without delay, the
# demand and the grant. Each would cost a turn of the event loop; the bound
# keeps calls that subscribe again at once from blocking it.
_ROUNDS = 3


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Returns seconds that never go back."""

    def time(self) -> float:
        """Returns Unix time in seconds."""


class SystemClock:
    """The clocks of this machine.

    A request reads them about 50 times, so they are the functions themselves.
    """

    monotonic = staticmethod(time.monotonic)
    time = staticmethod(time.time)


class ManualClock:
    """A clock that moves only when told, for tests and measurements."""

    def __init__(self, start: float = 0.0, unix_start: float = 0.0) -> None:
        """Starts both clocks at the given seconds."""
        self._now = start
        self._offset = unix_start - start

    def monotonic(self) -> float:
        """Returns seconds that never go back."""
        return self._now

    def time(self) -> float:
        """Returns Unix time in seconds."""
        return self._now + self._offset

    def move_to(self, now: float) -> None:
        """Moves the monotonic clock forward.

        Args:
            now: The new monotonic time in seconds.

        Raises:
            ValueError: If the time would go back.
        """
        if now < self._now:
            raise ValueError(f"{now} s is before {self._now} s")
        self._now = now


class Subscription:
    """A pending or periodic call of the timer service."""

    def __init__(
        self, due: float, period: float | None, callback: Callable[[], None]
    ) -> None:
        """Stores when to call what."""
        self.due = due
        self.period = period
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Prevents all further calls."""
        self.cancelled = True


class TimerService:
    """Calls subscribers when their time has come.

    The service does not sleep. Its owner calls `run_due` no later than
    `next_due` says; `on_earlier` tells the owner that this time moved forward.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates a service without subscribers."""
        self._clock = clock
        self._queue: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self.on_earlier: Callable[[], None] = lambda: None

    @property
    def clock(self) -> Clock:
        """The clock that decides when a call is due."""
        return self._clock

    def call_later(
        self, delay: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls back once.

        Args:
            delay: Seconds from now.
            callback: What to call.

        Returns:
            A handle that cancels the call.
        """
        subscription = Subscription(
            self._clock.monotonic() + max(delay, 0.0), None, callback
        )
        self._push(subscription)
        return subscription

    def call_every(
        self, period: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls back each period; missed periods are not made up for.

        Args:
            period: Seconds between two calls.
            callback: What to call.

        Returns:
            A handle that cancels the calls.
        """
        subscription = Subscription(
            self._clock.monotonic() + period, period, callback
        )
        self._push(subscription)
        return subscription

    def next_due(self) -> float | None:
        """Returns the monotonic time of the next call, or None."""
        while self._queue and self._queue[0][2].cancelled:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def run_due(self) -> int:
        """Runs every call that is due.

        An exception of a subscriber is logged and does not stop the others.

        Returns:
            The number of calls.
        """
        calls = 0
        for _ in range(_ROUNDS):
            done = self._run_until(self._clock.monotonic())
            calls += done
            if not done:
                break
        return calls

    def _run_until(self, now: float) -> int:
        calls = 0
        while self._queue and self._queue[0][0] <= now:
            subscription = heapq.heappop(self._queue)[2]
            if subscription.cancelled:
                continue
            if subscription.period is not None:
                subscription.due = now + subscription.period
                self._push(subscription)
            calls += 1
            try:
                subscription.callback()
            except Exception:
                _LOGGER.exception("timer subscriber failed")
        return calls

    def _push(self, subscription: Subscription) -> None:
        earliest = self._queue[0][0] if self._queue else None
        heapq.heappush(
            self._queue, (subscription.due, next(self._order), subscription)
        )
        if earliest is None or subscription.due < earliest:
            self.on_earlier()

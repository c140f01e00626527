"""Runs the timer service on the event loop."""

import asyncio
import math

from crowwinch.coordination._timers import TimerService

_LONGEST_SLEEP_S = 60.0


class TimerDriver:
    """Calls `run_due` when the next call of a timer service is due."""

    def __init__(self, timers: TimerService) -> None:
        """Attaches to a timer service."""
        self._timers = timers
        self._handle: asyncio.Handle | None = None
        self._wake_up = 0.0
        self._is_running = False

    async def start(self) -> None:
        """Starts to run due calls."""
        self._timers.on_earlier = self._schedule
        self._schedule()

    async def stop(self) -> None:
        """Stops; pending calls are not run."""
        self._timers.on_earlier = lambda: None
        if self._handle is not None:
            self._handle.cancel()

    def _schedule(self) -> None:
        """Arms one call of the event loop for the next due call.

        The event loop rounds delays to milliseconds. Rounded down, a call
        comes too early and repeats without a pause until the time has come, so
        delays are rounded up.
        """
        if self._is_running:
            return
        due = self._timers.next_due()
        now = self._timers.clock.monotonic()
        wake_up = now + _LONGEST_SLEEP_S if due is None else due
        if self._handle is not None:
            # Waking up too early costs less than arming anew for each call.
            if self._wake_up <= wake_up:
                return
            self._handle.cancel()
        self._wake_up = wake_up
        loop = asyncio.get_running_loop()
        delay = min(wake_up - now, _LONGEST_SLEEP_S)
        if delay <= 0.0:
            self._handle = loop.call_soon(self._run)
        else:
            self._handle = loop.call_later(
                math.ceil(delay * 1000) / 1000, self._run
            )

    def _run(self) -> None:
        self._handle = None
        self._is_running = True
        try:
            self._timers.run_due()
        finally:
            self._is_running = False
        self._schedule()

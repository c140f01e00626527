"""Runs the timer service on the event loop."""

import asyncio
import math

from crowwinch.coordination import TimerService

_LONGEST_SLEEP_S = 60.0


class TimerDriver:
    """Calls `run_due` when the next call of a timer service is due."""

    def __init__(self, timers: TimerService) -> None:
        """Attaches to a timer service."""
        self._timers = timers
        self._handle: asyncio.TimerHandle | None = None

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
        if self._handle is not None:
            self._handle.cancel()
        due = self._timers.next_due()
        delay = _LONGEST_SLEEP_S
        if due is not None:
            delay = max(0.0, due - self._timers.clock.monotonic())
        # uvloop rounds to milliseconds. A call that came too early was repeated
        # about 8 times until the timer was due.
        delay = math.ceil(min(delay, _LONGEST_SLEEP_S) * 1e3) / 1e3
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay, self._run)

    def _run(self) -> None:
        self._handle = None
        self._timers.run_due()
        self._schedule()

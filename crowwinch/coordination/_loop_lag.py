"""How late an event loop runs its calls."""

from crowwinch.coordination._timers import TimerService

_PERIOD_S = 0.05
# Turns of a router with time to spare take a few milliseconds.
_LATE_S = 0.02
# A full queue of 1,024 new connections is accepted within this time at 60 a
# second.
_LATE_MEMORY_S = 20.0
# A loop that was late stays so for a while, since what piled up comes first.
_FADE_PER_PERIOD = 0.9


class LoopLag:
    """Measures by how much periodic calls are late.

    A process that does not get enough processor time reads what callers sent
    long ago, and may find that they have left meanwhile.
    """

    def __init__(self, timers: TimerService) -> None:
        """Stores the timers; nothing is measured until `start`."""
        self._timers = timers
        self._expected = 0.0
        self._seconds = 0.0
        self._late_at = float("-inf")

    @property
    def seconds(self) -> float:
        """Recent lateness in seconds."""
        return self._seconds

    @property
    def was_late(self) -> bool:
        """Whether the process lacks processor time now and then.

        What it reads may have waited for long.
        """
        now = self._timers.clock.monotonic()
        return now - self._late_at < _LATE_MEMORY_S

    async def start(self) -> None:
        """Starts to measure."""
        self._expected = self._timers.clock.monotonic() + _PERIOD_S
        self._timers.call_every(_PERIOD_S, self._measure)

    async def stop(self) -> None:
        """Keeps the last figure; the timers end with their driver."""

    def _measure(self) -> None:
        now = self._timers.clock.monotonic()
        late = max(now - self._expected, 0.0)
        self._seconds = max(late, self._seconds * _FADE_PER_PERIOD)
        if late > _LATE_S:
            self._late_at = now
        self._expected = now + _PERIOD_S

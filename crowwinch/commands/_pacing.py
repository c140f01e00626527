"""Paces loads to the rate of the weight store."""

from crowwinch.coordination import Clock


class LoadPacer:
    """Spaces loads evenly.

    There is no burst: a router that takes charge does not know when its
    predecessor started the last load, so it also waits before its first one.
    """

    def __init__(self, clock: Clock, loads_per_second: float) -> None:
        """Starts the first interval.

        Args:
            clock: Source of monotonic time.
            loads_per_second: Rate of the weight store.
        """
        self._clock = clock
        self._interval = 1.0 / loads_per_second
        self.restart()

    def restart(self) -> None:
        """Waits a whole interval before the next load."""
        self._next = self._clock.monotonic() + self._interval

    def try_take(self) -> bool:
        """Returns whether a load may start now, and counts it if so."""
        now = self._clock.monotonic()
        if now < self._next:
            return False
        self._next = now + self._interval
        return True

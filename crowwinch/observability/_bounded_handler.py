"""A log handler that never blocks and writes a bounded volume."""

import logging
import os
import time
from collections.abc import Callable

# One line for each request of a router at twice its planned load, and changes.
_LINES_PER_S = 300.0
_BURST_LINES = 600.0
# Lines that a slow reader of the output has not taken yet.
_LARGEST_BACKLOG_BYTES = 262_144


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor; what does not fit is counted.

    Warnings and errors may use the whole budget, other lines nine tenths.
    """

    def __init__(
        self,
        descriptor: int,
        now: Callable[[], float] = time.monotonic,
        lines_per_s: float = _LINES_PER_S,
        burst: float = _BURST_LINES,
    ) -> None:
        """Prepares a descriptor for writes that do not block.

        Args:
            descriptor: Where to write.
            now: Monotonic time.
            lines_per_s: Lines written a second in the long run.
            burst: Lines written at once.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._rate = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._at = now()
        self._backlog = b""
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written and not reported yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record or counts it as dropped."""
        try:
            if not self._take(record.levelno):
                self._dropped += 1
                return
            if self._dropped:
                record.dropped_lines = self._dropped
                self._dropped = 0
            self._write(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def _take(self, level: int) -> bool:
        now = self._now()
        self._tokens = min(
            self._burst, self._tokens + (now - self._at) * self._rate
        )
        self._at = now
        reserve = 0.0 if level >= logging.WARNING else self._burst * 0.1
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, line: bytes) -> None:
        if len(self._backlog) + len(line) > _LARGEST_BACKLOG_BYTES:
            self._dropped += 1
            line = b""
        data = self._backlog + line
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        self._backlog = data[written:]

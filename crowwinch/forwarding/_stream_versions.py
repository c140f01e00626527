"""Software versions of the targets that began streams."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from crowwinch.coordination import Clock

# Records are kept for as long as a caller may come back.
_RETENTION_S = 60.0
# About 5 MB.
_MAX_RECORDS = 20_000


class StreamVersionTable:
    """Software version by the attempt that brought the first event."""

    def __init__(self, clock: Clock) -> None:
        """Creates an empty table.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # Version and time of each record, the oldest first.
        self._records: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._evictions = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    @property
    def evictions(self) -> int:
        """Number of records that were dropped for lack of room."""
        return self._evictions

    def record(self, attempt_id: str, version: str) -> None:
        """Records the version that began a stream; the first record counts."""
        now = self._clock.monotonic()
        known, _ = self._records.pop(attempt_id, (version, now))
        self._records[attempt_id] = (known, now)
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)
            self._evictions += 1
        self._expire(now)

    def get(self, attempt_id: str) -> str | None:
        """Returns the version that began a stream, None if it is not known."""
        record = self._records.get(attempt_id)
        return None if record is None else record[0]

    def _expire(self, now: float) -> None:
        while self._records:
            _, at = next(iter(self._records.values()))
            if now - at <= _RETENTION_S:
                return
            self._records.popitem(last=False)


@dataclass(frozen=True, slots=True)
class TakenUpStream:
    """A stream that a caller takes up after it broke off.

    Attributes:
        attempt_id: Attempt that brought its first event, None if unknown.
        service: Service that runs it.
        max_age_s: Maximum time in seconds since it began.
    """

    attempt_id: str | None
    service: str
    max_age_s: float


class StreamVersions(Protocol):
    """Finds the software version that began a stream, at any router."""

    def record(self, attempt_id: str, version: str) -> None:
        """Records the version before the first event is passed on.

        Args:
            attempt_id: Identifier of the attempt that brings the event.
            version: Software version of its target.
        """

    async def find(self, stream: TakenUpStream) -> str | None:
        """Returns the version that began a stream, None without proof."""


class LocalStreamVersions:
    """Software versions of the streams of a router without peers."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without records.

        Args:
            clock: Monotonic time.
        """
        self._table = StreamVersionTable(clock)

    def record(self, attempt_id: str, version: str) -> None:
        """Records the version that began a stream."""
        self._table.record(attempt_id, version)

    async def find(self, stream: TakenUpStream) -> str | None:
        """Returns the recorded version, None without one."""
        return self._table.get(stream.attempt_id or "")

"""Services and software versions of the targets that began streams."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Protocol

from crowwinch.coordination import Clock

# Records are kept for as long as a caller may come back.
RECORD_RETENTION_S = 60.0
# About 8 MB.
_MAX_RECORDS = 20_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What the targets that may go on with a stream have in common.

    Attributes:
        service: Service of the target that began it, None if a router recorded
            it that does not tell the service.
        version: Version of the software of that target.
    """

    service: str | None
    version: str


class StreamOriginTable:
    """Origins of streams by the attempt that brought the first event."""

    def __init__(self, clock: Clock) -> None:
        """Creates an empty table.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # Origin and time of last use of each record, the oldest first. Those
        # that peers handed over are older than their place.
        self._records: OrderedDict[str, tuple[StreamOrigin, float]] = (
            OrderedDict()
        )
        self._evictions = 0

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    @property
    def evictions(self) -> int:
        """Number of records that were dropped for lack of room."""
        return self._evictions

    def __iter__(self) -> Iterator[str]:
        """Iterates over the attempts, the oldest first."""
        return iter(self._records)

    def __reversed__(self) -> Iterator[str]:
        """Iterates over the attempts, the latest first."""
        return reversed(self._records)

    def record(
        self, attempt_id: str, origin: StreamOrigin, age_s: float = 0.0
    ) -> None:
        """Records the origin of a stream; the first record counts.

        Args:
            attempt_id: Attempt that brought the first event.
            origin: Service and software version of its target.
            age_s: Time in seconds since the record was last used.
        """
        now = self._clock.monotonic()
        used_at = now - age_s
        known, known_at = self._records.pop(attempt_id, (origin, used_at))
        if known.service is None and known.version == origin.version:
            known = replace(known, service=origin.service)
        self._records[attempt_id] = (known, max(known_at, used_at))
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)
            self._evictions += 1
        self._expire(now)

    def get(self, attempt_id: str) -> StreamOrigin | None:
        """Returns the origin of a stream, None if it is not known."""
        record = self._records.get(attempt_id)
        return None if record is None else record[0]

    def age_s(self, attempt_id: str) -> float:
        """Returns the seconds since a record was last used.

        Raises:
            KeyError: If the attempt is not known.
        """
        return self._clock.monotonic() - self._records[attempt_id][1]

    def _expire(self, now: float) -> None:
        while self._records:
            _, at = next(iter(self._records.values()))
            if now - at <= RECORD_RETENTION_S:
                return
            self._records.popitem(last=False)


@dataclass(frozen=True, slots=True)
class TakenUpStream:
    """A stream that a caller takes up after it broke off.

    Attributes:
        attempt_id: Attempt that brought its first event, None if unknown.
        route: Key of its route.
        services: Services to which the route sends requests now.
        time_limit_s: Maximum duration in seconds of a request of the route. A
            stream may be older, as its caller may have taken it up before.
        left_s: Time in seconds that its caller still waits, None if it sets no
            limit.
    """

    attempt_id: str | None
    route: str
    services: tuple[str, ...]
    time_limit_s: float
    left_s: float | None


class StreamOrigins(Protocol):
    """Finds the origins of streams, at any router."""

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Records an origin before the first event is passed on.

        Args:
            attempt_id: Identifier of the attempt that brings the event.
            origin: Service and software version of its target.
        """

    async def find(self, stream: TakenUpStream) -> StreamOrigin | None:
        """Returns the origin of a stream with its service.

        None without proof.
        """


class LocalStreamOrigins:
    """Origins of the streams of a router without peers."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without records.

        Args:
            clock: Monotonic time.
        """
        self._table = StreamOriginTable(clock)

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Records the origin of a stream."""
        self._table.record(attempt_id, origin)

    async def find(self, stream: TakenUpStream) -> StreamOrigin | None:
        """Returns the recorded origin, None without one."""
        return self._table.get(stream.attempt_id or "")

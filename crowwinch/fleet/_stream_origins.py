"""Finds out which service and software version began a stream."""

import asyncio
import dataclasses
import logging

from crowwinch.coordination import Clock
from crowwinch.directory import (
    Changes,
    DirectoryState,
    HistoryLostError,
    Store,
    StoreError,
)
from crowwinch.fleet._directory_sync import DirectorySync
from crowwinch.fleet._stream_records import StreamRecords
from crowwinch.forwarding import (
    RECORD_RETENTION_S,
    StreamOrigin,
    TakenUpStream,
)
from crowwinch.sharing import CallerWaits

_LOGGER = logging.getLogger(__name__)

_HISTORY_RETRY_S = 2.0
# After a loss of all routers, new requests tell within this time how long the
# callers of a route wait.
_CALLERS_TIMEOUT_S = 0.6
_CALLERS_POLL_S = 0.05


class FleetStreamOrigins:
    """Finds the origin of a stream by all evidence that there is.

    Without a record, the origin is known if the route had one service alone,
    and that service one software version, for as long as the stream can be old.
    """

    def __init__(
        self,
        clock: Clock,
        records: StreamRecords,
        caller_waits: CallerWaits,
        state: DirectoryState,
        store: Store,
        sync: DirectorySync,
        store_history_s: float,
        heartbeat_s: float,
    ) -> None:
        """Creates an instance; the store is read when it is first needed.

        Args:
            clock: Monotonic time.
            records: Records of streams at the routers.
            caller_waits: How long callers wait.
            state: Directory of this router.
            store: Keeps a history of its changes.
            sync: Brings the directory up to date.
            store_history_s: Time in seconds for which the store keeps its
                changes.
            heartbeat_s: Interval in seconds at which targets write to it.
        """
        self._clock = clock
        self._records = records
        self._caller_waits = caller_waits
        self._state = state
        self._store = store
        self._sync = sync
        self._store_history_s = store_history_s
        self._heartbeat_s = heartbeat_s
        self._history_lock = asyncio.Lock()
        self._history_read_at = float("-inf")

    def record(self, attempt_id: str, origin: StreamOrigin) -> None:
        """Records the origin of a stream, here and at peers."""
        self._records.record(attempt_id, origin)

    async def find(self, stream: TakenUpStream) -> StreamOrigin | None:
        """Returns the origin of a stream with its service.

        None without proof.
        """
        asked_at = self._clock.monotonic()
        record = None
        if stream.attempt_id is not None:
            record = await self._records.find(
                stream.attempt_id, self._max_age_s(stream)
            )
        if record is not None and record.service is not None:
            return record
        return await self._find_only_origin(stream, record, asked_at)

    def _max_age_s(self, stream: TakenUpStream) -> float:
        """Returns the maximum time in seconds since a stream began."""
        age_s = self._known_max_age_s(stream)
        if age_s is not None:
            return age_s
        if stream.left_s is None:
            # The time limit of the route is all that binds the caller.
            return stream.time_limit_s
        return max(RECORD_RETENTION_S, stream.time_limit_s)

    def _known_max_age_s(self, stream: TakenUpStream) -> float | None:
        """Returns the age by what callers named, None if too little is."""
        return self._caller_waits.max_stream_age_s(
            stream.route, stream.left_s or 0.0
        )

    async def _find_only_origin(
        self,
        stream: TakenUpStream,
        record: StreamOrigin | None,
        asked_at: float,
    ) -> StreamOrigin | None:
        """Returns the only origin that a stream can have for its age.

        The stream broke before now. Until the store or a peer in step with it
        has answered, another version may have joined and begun it.

        Args:
            stream: Stream that is taken up.
            record: Its record if that lacks the service, None without one.
            asked_at: Monotonic time at which the caller asked.
        """
        origins = self._state.origins
        known_s = min(origins.versions_known_s, origins.services_known_s)
        is_short = known_s < self._store_history_s
        if is_short and self._prove(stream, record) is None:
            await self._read_history()
        if not await self._wait_for_proof(stream, record):
            _LOGGER.info(
                "origin of a stream not proved",
                extra={
                    "stream": stream.attempt_id,
                    "max_age_s": round(self._max_age_s(stream), 2),
                    "versions_known_s": round(origins.versions_known_s, 2),
                    "services_known_s": round(origins.services_known_s, 2),
                },
            )
            return None
        if not await self._sync.sync(asked_at):
            _LOGGER.info(
                "directory not confirmed; origin of a stream unknown",
                extra={
                    "stream": stream.attempt_id,
                    "synced_s": round(asked_at - self._state.synced_at, 3),
                },
            )
            return None
        waited_s = self._clock.monotonic() - asked_at
        return self._prove(stream, record, waited_s)

    def _prove(
        self,
        stream: TakenUpStream,
        record: StreamOrigin | None,
        waited_s: float = 0.0,
    ) -> StreamOrigin | None:
        """Returns the only origin of a stream by all that was in use."""
        return self._only_origin(
            stream, record, self._max_age_s(stream) + waited_s
        )

    def _only_origin(
        self, stream: TakenUpStream, record: StreamOrigin | None, age_s: float
    ) -> StreamOrigin | None:
        """Returns the only origin that a stream of at most an age can have."""
        origins = self._state.origins
        if record is None:
            return origins.only_origin(stream.route, stream.services, age_s)
        service = origins.only_service(stream.route, stream.services, age_s)
        if service is None:
            return None
        return dataclasses.replace(record, service=service)

    async def _wait_for_proof(
        self, stream: TakenUpStream, record: StreamOrigin | None
    ) -> bool:
        """Waits for a proof that depends on how long callers wait.

        A router that has just started learns it from the next requests.

        Returns:
            Whether the stream can have one origin only.
        """
        try:
            async with asyncio.timeout(_CALLERS_TIMEOUT_S):
                while self._prove(stream, record) is None:
                    is_known = self._known_max_age_s(stream) is not None
                    origin_now = self._only_origin(stream, record, 0.0)
                    if is_known or origin_now is None:
                        return False
                    await asyncio.sleep(_CALLERS_POLL_S)
        except TimeoutError:
            return False
        return True

    async def _read_history(self) -> None:
        """Reads the changes of the store that it still keeps."""
        async with self._history_lock:
            now = self._clock.monotonic()
            if now - self._history_read_at < _HISTORY_RETRY_S:
                return
            self._history_read_at = now
            try:
                changes = await self._find_oldest_changes()
            except StoreError as error:
                _LOGGER.warning(
                    "history of the store not read",
                    extra={"cause": str(error)},
                )
                return
            self._state.extend_history(
                changes, self._heartbeat_s, self._store_history_s
            )
            _LOGGER.info(
                "history of the store read",
                extra={
                    "changes": len(changes.items),
                    "covered_s": round(self._state.origins.versions_known_s, 2),
                },
            )

    async def _find_oldest_changes(self) -> Changes:
        """Returns the changes after the oldest revision that the store keeps.

        Raises:
            StoreError: If the store does not answer.
        """
        # The store keeps the changes after `kept`, but not those after `lost`.
        lost, kept = -1, self._state.revision
        changes = await self._store.watch(kept, 0.0)
        step = 1
        while kept - lost > 1:
            revision = max(kept - step, lost + 1)
            try:
                changes = await self._store.watch(revision, 0.0)
            except HistoryLostError:
                lost = revision
                step = max((kept - lost) // 2, 1)
            else:
                kept = revision
                step = step * 2 if lost < 0 else max((kept - lost) // 2, 1)
        return changes

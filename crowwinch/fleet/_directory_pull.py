"""Fetching of directory changes from peers."""

import asyncio
import logging

from crowwinch.coordination import Clock
from crowwinch.directory import (
    Changes,
    DirectoryState,
    Item,
    Listing,
    StoreReaderSelector,
)
from crowwinch.fleet._directory_exchange import (
    DirectoryExchange,
    DirectoryFetchError,
)
from crowwinch.generated.fleet_messages import DirectoryPage

_LOGGER = logging.getLogger(__name__)

# A router that reads the store itself normally receives a change at the same
# time as its peers. It fetches from a peer only when the store refuses it or is
# late.
_READER_GRACE_S = 0.15
# One router of each availability zone fetches a change from another zone; the
# others wait this long for it to arrive in their own zone.
_CROSS_ZONE_GRACE_S = 0.25
_MIN_FETCH_INTERVAL_S = 0.05
# A peer that answers at all mostly does within the first time. The time doubles
# with each failure: a page that takes longer, because of its size or of too
# little processor time, would otherwise never arrive.
_MIN_FETCH_TIMEOUT_S = 0.6
_MAX_FETCH_TIMEOUT_S = 2.4
# A peer that reads the store for this router answers within this time.
_SYNC_TIMEOUT_S = 0.45


class DirectoryPull:
    """Fetches directory changes from peers that have a newer revision."""

    def __init__(
        self,
        clock: Clock,
        state: DirectoryState,
        readers: StoreReaderSelector,
        exchange: DirectoryExchange,
    ) -> None:
        """Creates a pull that starts fetching on `note_revision`.

        Args:
            clock: Monotonic time.
            state: Directory to update.
            readers: Notified when this router starts or stops lagging behind.
            exchange: Client for the directories of peers.
        """
        self._clock = clock
        self._state = state
        self._readers = readers
        self._exchange = exchange
        self._lag_start_s: float | None = None
        # Era, revision and version whose announcement started the current lag.
        self._awaited = (0, 0, 0)
        self._last_fetch_s = float("-inf")
        self._fetch_timeout_s = _MIN_FETCH_TIMEOUT_S
        self._task: asyncio.Task[None] | None = None

    @property
    def behind_s(self) -> float:
        """Seconds for which a peer's directory has been newer, 0 if none is."""
        if self._lag_start_s is None:
            return 0.0
        return round(self._clock.monotonic() - self._lag_start_s, 3)

    async def stop(self) -> None:
        """Cancels a running fetch."""
        if self._task is not None:
            self._task.cancel()

    def is_behind(self, era: int, revision: int, version: int) -> bool:
        """Returns whether a peer's directory is newer than the local one."""
        state = self._state
        if era < state.era:
            return False
        is_older = (state.era, state.revision) < (era, revision)
        return is_older or version > state.version

    def note_revision(
        self,
        control: str,
        era: int,
        revision: int,
        version: int,
        *,
        is_preferred: bool,
    ) -> None:
        """Handles the announcement of a newer directory by a peer.

        Starts a fetch once the grace period of the lag has passed, unless a
        fetch is running or the last one started too recently.

        Args:
            control: Control address of the peer.
            era: Era of the store to which the revision belongs.
            revision: Revision of the peer's directory.
            version: Version of the peer's configuration.
            is_preferred: Whether this router may fetch from the peer without
                delay: the peer is in the same availability zone, or this router
                is the one that fetches from other zones.
        """
        state = self._state
        now = self._clock.monotonic()
        if self._lag_start_s is None:
            self._lag_start_s = now
            self._awaited = (era, revision, version)
            self._readers.record_lag(is_lagging=True)
        if now - self._lag_start_s < self._grace_s(is_preferred):
            return
        is_running = self._task is not None and not self._task.done()
        if is_running or now - self._last_fetch_s < _MIN_FETCH_INTERVAL_S:
            return
        self._last_fetch_s = now
        is_older = era == state.era and revision > state.revision
        known = state.revision if is_older else 0
        self._task = asyncio.ensure_future(self._pull(control, known))

    async def sync(self, control: str) -> None:
        """Lets a peer read the store, and applies what it knows then."""
        started = self._clock.monotonic()
        state = self._state
        try:
            page = await self._exchange.fetch(
                control,
                state.revision,
                state.era,
                _SYNC_TIMEOUT_S,
                is_synced=True,
            )
        except DirectoryFetchError as error:
            _LOGGER.info(
                "directory not confirmed by a peer", extra={"cause": str(error)}
            )
            return
        self._apply(page)
        if page.is_synced and state.includes(page.era, page.revision):
            state.record_sync(started)

    def refresh(self) -> None:
        """Ends the lag once the change that started it has been applied."""
        era, revision, version = self._awaited
        state = self._state
        is_current = (state.era, state.revision) >= (era, revision)
        if is_current and state.version >= version:
            self._lag_start_s = None
            self._readers.record_lag(is_lagging=False)

    def _grace_s(self, is_preferred: bool) -> float:
        state = self._state
        if not state.is_connected or state.version == 0:
            return 0.0
        if self._readers.is_reading:
            return _READER_GRACE_S
        return 0.0 if is_preferred else _CROSS_ZONE_GRACE_S

    async def _pull(self, control: str, known: int) -> None:
        try:
            page = await self._exchange.fetch(
                control, known, self._state.era, self._fetch_timeout_s
            )
        except DirectoryFetchError as error:
            _LOGGER.warning(
                "directory not read",
                extra={
                    "cause": str(error),
                    "timeout_s": self._fetch_timeout_s,
                },
            )
            self._fetch_timeout_s = min(
                2 * self._fetch_timeout_s, _MAX_FETCH_TIMEOUT_S
            )
            return
        self._fetch_timeout_s = _MIN_FETCH_TIMEOUT_S
        _LOGGER.info(
            "directory read from a peer",
            extra={
                "peer": control,
                "revision": page.revision,
                "known": known,
            },
        )
        self._apply(page)
        self.refresh()

    def _apply(self, page: DirectoryPage) -> None:
        items = tuple(
            Item(item.key, item.revision, item.value.encode())
            for item in page.items
        )
        if page.is_complete:
            self._state.apply_listing(Listing(page.revision, items, page.era))
        else:
            removals = (
                Item(removal.key, removal.revision, None)
                for removal in page.removals
            )
            self._state.apply_peer_changes(
                Changes(page.revision, (*items, *removals), page.era)
            )

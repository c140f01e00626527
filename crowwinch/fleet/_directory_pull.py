"""Catches up with routers whose directory is newer."""

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

_LOGGER = logging.getLogger(__name__)

# A router that reads the store itself gets a change at the same time as the
# others; only one that is turned away asks them.
_READER_PATIENCE_S = 0.15
# One router of an availability zone gets a change from another zone; the others
# wait until that one has it.
_ZONE_PATIENCE_S = 0.25
_SHORTEST_PERIOD_S = 0.05


class DirectoryPull:
    """Catches up with routers whose directory is newer."""

    def __init__(
        self,
        clock: Clock,
        state: DirectoryState,
        readers: StoreReaderSelector,
        exchange: DirectoryExchange,
    ) -> None:
        """Stores the state to update and where changes come from."""
        self._clock = clock
        self._state = state
        self._readers = readers
        self._exchange = exchange
        self._behind_since: float | None = None
        # Revision and version whose first mention began the lag.
        self._awaited = (0, 0)
        self._pulled_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def stop(self) -> None:
        """Gives up a page that is being read."""
        if self._task is not None:
            self._task.cancel()

    def is_behind(self, revision: int, version: int) -> bool:
        """Returns whether a directory is newer than the one known here."""
        state = self._state
        return revision > state.revision or version > state.version

    def note_revision(
        self, control: str, revision: int, version: int, *, is_near: bool
    ) -> None:
        """Takes the revision of a newer directory that another router tells.

        Args:
            control: Where its directory can be read.
            revision: Revision of its directory.
            version: Version of its configuration.
            is_near: Whether this router may read from it at once: it runs in
                this availability zone, or no other router of this zone is to
                read from other zones first.
        """
        state = self._state
        now = self._clock.monotonic()
        if self._behind_since is None:
            self._behind_since = now
            self._awaited = (revision, version)
            self._readers.record_lag(is_lagging=True)
        if now - self._behind_since < self._patience_s(is_near):
            return
        is_running = self._task is not None and not self._task.done()
        if is_running or now - self._pulled_at < _SHORTEST_PERIOD_S:
            return
        self._pulled_at = now
        known = state.revision if revision > state.revision else 0
        self._task = asyncio.ensure_future(self._pull(control, known))

    def refresh(self) -> None:
        """Ends a lag when the change that began it is known here."""
        revision, version = self._awaited
        state = self._state
        if state.revision >= revision and state.version >= version:
            self._behind_since = None
            self._readers.record_lag(is_lagging=False)

    def _patience_s(self, is_near: bool) -> float:
        state = self._state
        if not state.is_connected or state.version == 0:
            return 0.0
        if self._readers.is_reading:
            return _READER_PATIENCE_S
        return 0.0 if is_near else _ZONE_PATIENCE_S

    async def _pull(self, control: str, known: int) -> None:
        try:
            page = await self._exchange.fetch(control, known)
        except DirectoryFetchError as error:
            _LOGGER.warning("directory not read", extra={"cause": str(error)})
            return
        _LOGGER.info(
            "directory read from a peer",
            extra={
                "peer": control,
                "revision": page.revision,
                "known": known,
            },
        )
        items = tuple(
            Item(item.key, item.revision, item.value.encode())
            for item in page.items
        )
        if page.is_complete:
            self._state.apply_listing(Listing(page.revision, items))
        else:
            removals = (
                Item(removal.key, removal.revision, None)
                for removal in page.removals
            )
            self._state.apply_peer_changes(
                Changes(page.revision, (*items, *removals))
            )
        self.refresh()

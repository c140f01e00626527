"""Keeps the directory up to date from the store."""

import asyncio
import logging
import random

from crowwinch.coordination import TimerService
from crowwinch.directory._model import HistoryLostError, Store, StoreError
from crowwinch.directory._readers import Reading, StoreReaders
from crowwinch.directory._state import DirectoryState

_LOGGER = logging.getLogger(__name__)

# A watch whose connection went silent is noticed after this time plus the
# store client's time limit of 1 s; a change must be in force within 2 s of the
# moment at which a router counts as connected again.
_WATCH_S = 2.0
# Others rely on the readers of a large fleet, so that these notice a silent
# connection sooner.
_READER_WATCH_S = 0.7
# A new reader asks for what is known by now.
_FIRST_WATCH_S = 0.05
# Targets that start report several changes a second. A reader of a large fleet
# takes those of this time with one call.
_BATCH_S = 0.2
_TURN_PERIOD_S = 0.05
_SHORTEST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 0.4
_EXPIRY_PERIOD_S = 0.2


class DirectoryWatcher:
    """Lists the store once and then follows its changes."""

    def __init__(
        self,
        timers: TimerService,
        store: Store,
        state: DirectoryState,
        readers: StoreReaders,
        rng: random.Random,
    ) -> None:
        """Stores the parts; nothing runs until `start`."""
        self._timers = timers
        self._store = store
        self._state = state
        self._readers = readers
        self._rng = rng
        self._is_listed = False
        self._pause_s = _SHORTEST_PAUSE_S
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to follow the store."""
        self._task = asyncio.ensure_future(self._follow())
        self._timers.call_every(_EXPIRY_PERIOD_S, self._state.expire_lapsed)

    async def stop(self) -> None:
        """Stops to follow the store."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        while True:
            started = self._timers.clock.monotonic()
            was_connected = self._state.is_connected
            try:
                await self._step()
            except HistoryLostError:
                _LOGGER.info("history of the store is gone; listing it again")
                self._is_listed = False
            except StoreError as error:
                self._readers.note_failure()
                self._state.note_failure(started)
                if was_connected:
                    _LOGGER.warning("store lost", extra={"cause": str(error)})
                await self._pause()
            except Exception:
                # A defect must not end the process's view of the store.
                _LOGGER.exception("directory watch failed")
                self._is_listed = False
                await self._pause()
            else:
                if not was_connected and self._state.is_connected:
                    _LOGGER.info(
                        "store regained",
                        extra={"revision": self._state.revision},
                    )
                self._pause_s = _SHORTEST_PAUSE_S

    async def _step(self) -> None:
        state = self._state
        if not self._readers.is_reading:
            await self._sleep(_TURN_PERIOD_S)
            return
        if not self._is_listed:
            listing = await self._store.list_items()
            self._readers.note_answer()
            state.note_contact()
            state.apply_listing(listing)
            self._is_listed = True
            return
        changes = await self._store.watch(state.revision, self._watch_s())
        self._readers.note_answer()
        state.note_contact()
        state.apply_changes(changes)
        if changes.items and not self._readers.is_direct:
            await self._sleep(_BATCH_S)

    def _watch_s(self) -> float:
        readers = self._readers
        if readers.is_direct:
            return _WATCH_S
        is_confirmed = readers.reading is Reading.FRESH
        return _READER_WATCH_S if is_confirmed else _FIRST_WATCH_S

    async def _pause(self) -> None:
        delay = max(
            self._pause_s * self._rng.uniform(0.5, 1.0),
            self._readers.retry_period_s * self._rng.uniform(0.5, 1.5),
        )
        self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)
        await self._sleep(delay)

    async def _sleep(self, delay: float) -> None:
        done = asyncio.Event()
        self._timers.call_later(delay, done.set)
        await done.wait()

"""Keeps the directory up to date from the store."""

import asyncio
import logging
import random

from crowwinch.coordination import TimerService
from crowwinch.directory._model import HistoryLostError, Store, StoreError
from crowwinch.directory._state import DirectoryState

_LOGGER = logging.getLogger(__name__)

# A watch whose connection went silent is noticed after this time plus the
# store client's time limit of 1 s; a change must be in force within 2 s of the
# moment at which a router counts as connected again.
_WATCH_S = 2.0
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
        rng: random.Random,
    ) -> None:
        """Stores the parts; nothing runs until `start`."""
        self._timers = timers
        self._store = store
        self._state = state
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
                if not was_connected:
                    _LOGGER.info(
                        "store regained",
                        extra={"revision": self._state.revision},
                    )
                self._pause_s = _SHORTEST_PAUSE_S

    async def _step(self) -> None:
        state = self._state
        if not self._is_listed:
            listing = await self._store.list_items()
            state.note_contact()
            state.apply_listing(listing)
            self._is_listed = True
            return
        changes = await self._store.watch(state.revision, _WATCH_S)
        state.note_contact()
        state.apply_changes(changes)

    async def _pause(self) -> None:
        delay = self._pause_s * self._rng.uniform(0.5, 1.0)
        self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)
        done = asyncio.Event()
        self._timers.call_later(delay, done.set)
        await done.wait()

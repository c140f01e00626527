"""Keeps the directory in sync with the store."""

import asyncio
import logging
import random

from crowwinch.coordination import TimerService
from crowwinch.directory._model import HistoryLostError, Store, StoreError
from crowwinch.directory._readers import ReaderStatus, StoreReaderSelector
from crowwinch.directory._state import DirectoryState

_LOGGER = logging.getLogger(__name__)

# A watch on an unresponsive connection fails after this time plus the store
# client's timeout of 1 s. A change must take effect within 2 s of the moment at
# which a router counts as connected again.
_WATCH_TIMEOUT_S = 2.0
# Other routers rely on the readers of a large fleet, so readers have to detect
# an unresponsive connection sooner.
_READER_WATCH_TIMEOUT_S = 0.7
# The first watch of a new reader only fetches the changes already made.
_FIRST_WATCH_TIMEOUT_S = 0.05
# Starting targets report several changes per second. A reader of a large fleet
# waits this long between calls to fetch them in one batch.
_BATCH_DELAY_S = 0.2
_IDLE_POLL_PERIOD_S = 0.05
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.4
_EXPIRY_PERIOD_S = 0.2
# Answers of the store arrive within this time.
_MAX_TRANSIT_S = 0.5


class DirectoryWatcher:
    """Lists the store once and then watches it for changes."""

    def __init__(
        self,
        timers: TimerService,
        store: Store,
        state: DirectoryState,
        readers: StoreReaderSelector,
        rng: random.Random,
    ) -> None:
        """Initializes the watcher without calling the store.

        Args:
            timers: Schedules the delays and the expiry of lapsed targets.
            store: Store to list and watch.
            state: Directory to which listings and changes are applied.
            readers: Decides whether this router reads the store.
            rng: Source of the random jitter of retries.
        """
        self._timers = timers
        self._store = store
        self._state = state
        self._readers = readers
        self._rng = rng
        self._is_listed = False
        self._backoff_s = _MIN_BACKOFF_S
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts watching the store."""
        self._task = asyncio.ensure_future(self._run())
        self._timers.call_every(_EXPIRY_PERIOD_S, self._state.expire_lapsed)

    async def stop(self) -> None:
        """Stops watching the store."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            started = self._timers.clock.monotonic()
            was_connected = self._state.is_connected
            try:
                await self._poll_store()
            except HistoryLostError:
                _LOGGER.info("store history compacted; listing all items again")
                self._is_listed = False
            except StoreError as error:
                self._readers.record_failure()
                self._state.record_failure(started)
                if was_connected:
                    _LOGGER.warning("store lost", extra={"cause": str(error)})
                await self._back_off()
            except Exception:
                # An unexpected error must not end the watch for the rest of the
                # process.
                _LOGGER.exception("unexpected error in the directory watch")
                self._is_listed = False
                await self._back_off()
            else:
                if not was_connected and self._state.is_connected:
                    _LOGGER.info(
                        "store regained",
                        extra={"revision": self._state.revision},
                    )
                self._backoff_s = _MIN_BACKOFF_S

    async def _poll_store(self) -> None:
        state = self._state
        if not self._readers.is_reading:
            await self._sleep(_IDLE_POLL_PERIOD_S)
            return
        started = self._timers.clock.monotonic()
        if not self._is_listed:
            listing = await self._store.list_items()
            self._readers.record_answer()
            state.record_contact()
            state.apply_listing(listing)
            state.record_sync(started)
            self._is_listed = True
            return
        wait_s = self._watch_timeout_s()
        changes = await self._store.watch(state.revision, wait_s)
        self._readers.record_answer()
        state.record_contact()
        state.apply_changes(changes)
        state.record_sync(self._answered_at(started, wait_s))
        if changes.items and not self._readers.is_small_fleet:
            await self._sleep(_BATCH_DELAY_S)

    def _answered_at(self, started: float, wait_s: float) -> float:
        """Returns the earliest time at which the store answered a watch.

        Args:
            started: Monotonic time at which the watch started.
            wait_s: Time in seconds for which it waited for changes.
        """
        ended = self._timers.clock.monotonic()
        if ended - started > wait_s + _MAX_TRANSIT_S:
            # The answer may have waited for this router to read it.
            return started
        return max(started, ended - _MAX_TRANSIT_S)

    def _watch_timeout_s(self) -> float:
        readers = self._readers
        if readers.is_small_fleet:
            return _WATCH_TIMEOUT_S
        is_confirmed = readers.status is ReaderStatus.FRESH
        return (
            _READER_WATCH_TIMEOUT_S if is_confirmed else _FIRST_WATCH_TIMEOUT_S
        )

    async def _back_off(self) -> None:
        delay = max(
            self._backoff_s * self._rng.uniform(0.5, 1.0),
            self._readers.retry_period_s * self._rng.uniform(0.5, 1.5),
        )
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)
        await self._sleep(delay)

    async def _sleep(self, delay: float) -> None:
        done = asyncio.Event()
        self._timers.call_later(delay, done.set)
        await done.wait()

"""Brings the directory up to date on demand."""

import asyncio
from collections.abc import Awaitable, Callable

from crowwinch.coordination import Clock
from crowwinch.directory import (
    DirectoryState,
    HistoryLostError,
    Store,
    StoreError,
)

# The store answers in 4 ms; callers wait meanwhile.
_STORE_TIMEOUT_S = 0.3
# Peers are asked when the store has not answered within this time.
_PEER_DELAY_S = 0.1
_TIMEOUT_S = 0.6
# Minimum interval between two reads, so that a crowd of callers shares them.
_MIN_INTERVAL_S = 0.1


class DirectorySync:
    """Makes sure that the directory includes all changes up to a time.

    A router that is cut off does not notice it at once. What it does not know
    proves nothing, unless the store has been asked since.
    """

    def __init__(
        self,
        clock: Clock,
        state: DirectoryState,
        store: Store,
        ask_peers: Callable[[], Awaitable[None]],
    ) -> None:
        """Creates an instance; nothing is read until it is needed.

        Args:
            clock: Monotonic time.
            state: Directory that is brought up to date.
            store: Store that is read.
            ask_peers: Lets peers read the store, and applies what they know.
        """
        self._clock = clock
        self._state = state
        self._store = store
        self._ask_peers = ask_peers
        self._store_reads = _SharedReads(clock, state, self._read_store)
        self._reads = _SharedReads(clock, state, self._read)

    async def sync(self, since: float) -> bool:
        """Reads what is missing from the store, or from a peer that reads it.

        Args:
            since: Monotonic time up to which changes have to be included.

        Returns:
            Whether they are included.
        """
        return await self._reads.wait_for(since, _TIMEOUT_S)

    async def sync_with_store(self) -> bool:
        """Includes all changes until now; returns whether the store answered.

        Used for peers that the store does not answer.
        """
        return await self._store_reads.wait_for(
            self._clock.monotonic(), _STORE_TIMEOUT_S
        )

    async def _read(self) -> None:
        """Reads from the store; also asks peers if it fails or takes long."""
        started = self._clock.monotonic()
        pending: set[asyncio.Future[object]] = {
            asyncio.ensure_future(self.sync_with_store())
        }
        _, pending = await asyncio.wait(pending, timeout=_PEER_DELAY_S)
        if self._state.synced_at >= started:
            return
        pending.add(asyncio.ensure_future(self._ask_peers()))
        while pending and self._state.synced_at < started:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )

    async def _read_store(self) -> None:
        state = self._state
        started = self._clock.monotonic()
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                try:
                    changes = await self._store.watch(state.revision, 0.0)
                except HistoryLostError:
                    listing = await self._store.list_items()
                    state.record_contact()
                    state.apply_listing(listing)
                else:
                    state.record_contact()
                    state.apply_changes(changes)
        except (StoreError, TimeoutError):
            # The watch of the directory reports a store that is lost.
            return
        state.record_sync(started)


class _SharedReads:
    """One read at a time for all that wait for it."""

    def __init__(
        self,
        clock: Clock,
        state: DirectoryState,
        read: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._state = state
        self._read = read
        self._started_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def wait_for(self, since: float, timeout_s: float) -> bool:
        """Reads until the directory includes all changes up to a time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self._state.synced_at < since:
                    if self._task is None or self._task.done():
                        self._task = asyncio.ensure_future(self._run())
                    await asyncio.shield(self._task)
        except TimeoutError:
            pass
        return self._state.synced_at >= since

    async def _run(self) -> None:
        next_at = self._started_at + _MIN_INTERVAL_S
        await asyncio.sleep(max(next_at - self._clock.monotonic(), 0.0))
        self._started_at = self._clock.monotonic()
        await self._read()

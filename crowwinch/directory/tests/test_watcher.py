"""Tests watching a store that fails."""

import asyncio
import random
import unittest

from crowwinch.coordination import SystemClock, TimerDriver, TimerService
from crowwinch.directory import (
    Changes,
    DirectoryState,
    DirectoryWatcher,
    HistoryLostError,
    Item,
    Listing,
    ReaderStatus,
    StoreError,
    StoreReaderSelector,
)


class _NoDecoder:
    def decode(self, key, value):
        return None


class _Store:
    """Returns scripted answers, then blocks forever."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.wait_times_s = []

    async def list_items(self):
        self.calls.append("list")
        return await self._next_answer()

    async def watch(self, revision, wait_s):
        self.calls.append(f"watch {revision}")
        self.wait_times_s.append(wait_s)
        return await self._next_answer()

    async def _next_answer(self):
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class DirectoryWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Guards against watches that end or that retry without a delay."""

    async def _run_watcher(
        self, *answers, seconds=0.3, peers=(), is_reading=True
    ):
        timers = TimerService(SystemClock())
        driver = TimerDriver(timers)
        await driver.start()
        store = _Store(*answers)
        state = DirectoryState(timers.clock, _NoDecoder())
        readers = StoreReaderSelector(timers.clock, "router")
        for number, status in enumerate(peers):
            readers.record_peer(f"peer-{number}", status)
        if not is_reading:
            readers.record_failure()
            readers.decide(silence_s=60.0)
        watcher = DirectoryWatcher(
            timers, store, state, readers, random.Random(1)
        )
        await watcher.start()
        await asyncio.sleep(seconds)
        await watcher.stop()
        await driver.stop()
        return store, state

    async def test_watch_continues_from_last_revision(self):
        store, state = await self._run_watcher(
            Listing(5, ()), Changes(7, (Item("k", 7, b"v"),)), Changes(7, ())
        )
        self.assertEqual(store.calls, ["list", "watch 5", "watch 7", "watch 7"])
        self.assertEqual(state.revision, 7)

    async def test_lost_history_triggers_new_listing(self):
        store, state = await self._run_watcher(
            Listing(5, ()), HistoryLostError("compacted"), Listing(9, ())
        )
        self.assertEqual(store.calls, ["list", "watch 5", "list", "watch 9"])
        self.assertEqual(state.revision, 9)

    async def test_failures_are_retried_with_delay(self):
        failures = [StoreError("down")] * 50
        store, state = await self._run_watcher(*failures, seconds=1.0)
        self.assertLess(len(store.calls), 9)
        self.assertGreater(len(store.calls), 2)
        self.assertFalse(state.is_connected)

    async def test_connection_is_restored_after_failure(self):
        _, state = await self._run_watcher(
            Listing(5, ()), StoreError("down"), Changes(6, ())
        )
        self.assertTrue(state.is_connected)
        self.assertEqual(state.revision, 6)

    async def test_unexpected_error_does_not_end_watch(self):
        with self.assertLogs("crowwinch.directory", "ERROR"):
            _, state = await self._run_watcher(
                Listing(5, ()), RuntimeError("unexpected"), Listing(8, ())
            )
        self.assertEqual(state.revision, 8)

    async def test_router_that_does_not_read_makes_no_calls(self):
        store, _ = await self._run_watcher(
            peers=[ReaderStatus.FRESH] * 8, is_reading=False
        )
        self.assertEqual(store.calls, [])

    async def test_reader_of_large_fleet_uses_short_watch(self):
        """A long watch would delay changes for routers that rely on it."""
        store, _ = await self._run_watcher(
            Listing(5, ()), peers=[ReaderStatus.NONE] * 8, seconds=0.1
        )
        self.assertEqual(store.calls, ["list", "watch 5"])
        self.assertLess(store.wait_times_s[0], 1.0)

    async def test_reader_of_large_fleet_batches_changes(self):
        """Guards against one call per change while targets start.

        Without batching, 25 starting targets led to a call for each change.
        """
        answers = [
            Changes(revision, (Item("k", revision, b"v"),))
            for revision in range(6, 30)
        ]
        store, _ = await self._run_watcher(
            Listing(5, ()), *answers, peers=[ReaderStatus.NONE] * 8, seconds=0.7
        )
        self.assertLessEqual(len(store.calls), 5)

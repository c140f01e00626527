"""Following a store that fails in every way."""

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
    StoreError,
    StoreReaders,
)


class _NoDecoder:
    def decode(self, key, value):
        return None


class _Store:
    """Answers calls from a script, then waits for ever."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def list_items(self):
        self.calls.append("list")
        return await self._next()

    async def watch(self, revision, wait_s):
        self.calls.append(f"watch {revision}")
        return await self._next()

    async def _next(self):
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class DirectoryWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a watch that ends, or repeats without a pause."""

    async def _follow(self, *answers, seconds=0.3):
        timers = TimerService(SystemClock())
        driver = TimerDriver(timers)
        await driver.start()
        store = _Store(*answers)
        state = DirectoryState(timers.clock, _NoDecoder())
        readers = StoreReaders(timers.clock, "router")
        watcher = DirectoryWatcher(
            timers, store, state, readers, random.Random(1)
        )
        await watcher.start()
        await asyncio.sleep(seconds)
        await watcher.stop()
        await driver.stop()
        return store, state

    async def test_watch_goes_on_from_the_last_revision(self):
        store, state = await self._follow(
            Listing(5, ()), Changes(7, (Item("k", 7, b"v"),)), Changes(7, ())
        )
        self.assertEqual(store.calls, ["list", "watch 5", "watch 7", "watch 7"])
        self.assertEqual(state.revision, 7)

    async def test_lost_history_leads_to_a_new_listing(self):
        store, state = await self._follow(
            Listing(5, ()), HistoryLostError("gone"), Listing(9, ())
        )
        self.assertEqual(store.calls, ["list", "watch 5", "list", "watch 9"])
        self.assertEqual(state.revision, 9)

    async def test_failures_are_followed_by_pauses(self):
        failures = [StoreError("down")] * 50
        store, state = await self._follow(*failures, seconds=1.0)
        self.assertLess(len(store.calls), 9)
        self.assertGreater(len(store.calls), 2)
        self.assertFalse(state.is_connected)

    async def test_contact_is_regained(self):
        _, state = await self._follow(
            Listing(5, ()), StoreError("down"), Changes(6, ())
        )
        self.assertTrue(state.is_connected)
        self.assertEqual(state.revision, 6)

    async def test_a_defect_does_not_end_the_watch(self):
        with self.assertLogs("crowwinch.directory", "ERROR"):
            _, state = await self._follow(
                Listing(5, ()), RuntimeError("defect"), Listing(8, ())
            )
        self.assertEqual(state.revision, 8)

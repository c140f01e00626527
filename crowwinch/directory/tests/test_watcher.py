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
    Reading,
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
        self.waits = []

    async def list_items(self):
        self.calls.append("list")
        return await self._next()

    async def watch(self, revision, wait_s):
        self.calls.append(f"watch {revision}")
        self.waits.append(wait_s)
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

    async def _follow(self, *answers, seconds=0.3, peers=(), lists=True):
        timers = TimerService(SystemClock())
        driver = TimerDriver(timers)
        await driver.start()
        store = _Store(*answers)
        state = DirectoryState(timers.clock, _NoDecoder())
        readers = StoreReaders(timers.clock, "router")
        for number, reading in enumerate(peers):
            readers.note_peer(f"peer-{number}", reading)
        if not lists:
            readers.note_failure()
            readers.decide(silence_s=60.0)
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

    async def test_a_router_that_relies_on_others_makes_no_calls(self):
        store, _ = await self._follow(peers=[Reading.FRESH] * 8, lists=False)
        self.assertEqual(store.calls, [])

    async def test_a_reader_of_a_large_fleet_notices_silence_soon(self):
        """Others rely on it, so that a long watch would make them late."""
        store, _ = await self._follow(
            Listing(5, ()), peers=[Reading.NONE] * 8, seconds=0.1
        )
        self.assertEqual(store.calls, ["list", "watch 5"])
        self.assertLess(store.waits[0], 1.0)

    async def test_a_reader_of_a_large_fleet_takes_changes_together(self):
        """Each change of 25 targets that start was a call of its own."""
        answers = [
            Changes(revision, (Item("k", revision, b"v"),))
            for revision in range(6, 30)
        ]
        store, _ = await self._follow(
            Listing(5, ()), *answers, peers=[Reading.NONE] * 8, seconds=0.7
        )
        self.assertLessEqual(len(store.calls), 5)

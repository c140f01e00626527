"""Tests of take-ups after the loss of all records."""

import asyncio
import dataclasses
import json
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import (
    Changes,
    DirectoryState,
    HistoryLostError,
    Item,
    Listing,
    StoreError,
    VariantAge,
)
from crowwinch.fleet import DirectorySync, FleetStreamOrigins, StreamRecords
from crowwinch.forwarding import StreamOrigin, TakenUpStream
from crowwinch.platform import DocumentCodec
from crowwinch.sharing import CallerWaits

_HISTORY_S = 20.0
_HEARTBEAT_S = 1.2
_NOW_S = 1_000_000.0
# Longest time that callers have named, and what it says of the oldest stream.
_WAIT_S = 10.0
_MAX_WAIT_S = 1.25 * _WAIT_S


def _stream(age_s=8.0, route="host.example/chat/"):
    """Returns a stream whose age has a certain maximum."""
    return TakenUpStream("attempt", route, ("llm",), 8.0, _MAX_WAIT_S - age_s)


_STREAM = _stream()


def _entry(
    name, version, revision, state="ready", service="llm", age_s=60.0, beats=0
):
    """Returns an entry that was written some seconds ago."""
    started_s = _NOW_S - age_s - beats * _HEARTBEAT_S
    document = {
        "Service": service,
        "Address": "10.0.0.1:80",
        "State": state,
        "Version": version,
        "Sequence": beats,
        "born": int(started_s * 1000),
    }
    return Item(f"servers/{name}", revision, json.dumps(document).encode())


class _Store:
    """Keeps the changes after a revision."""

    def __init__(self, changes, oldest):
        self.changes = changes
        self.oldest = oldest
        self.calls = 0
        self.is_down = False

    async def watch(self, revision, wait_s):
        self.calls += 1
        if self.is_down:
            raise StoreError("down")
        if revision < self.oldest:
            raise HistoryLostError("compacted")
        return Changes(
            self.changes[-1].revision,
            tuple(each for each in self.changes if each.revision > revision),
        )


class StreamOriginsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a guess from the versions that are there now."""

    def _start(self, changes, oldest=0):
        """Starts a router that knows the last state only.

        Args:
            changes: All changes of the store.
            oldest: Revision after which the store still keeps them.
        """
        self.clock = ManualClock(100.0, unix_start=_NOW_S)
        self.store = _Store(changes, oldest)
        self.state = DirectoryState(self.clock, DocumentCodec())
        items = {item.key: item for item in changes}
        self.state.apply_listing(
            Listing(
                changes[-1].revision,
                tuple(each for each in items.values() if each.value),
            )
        )
        records = StreamRecords(
            self.clock, "10.0.0.1:1", dict, lambda message, peers: None
        )
        self.peer_answers = False
        sync = DirectorySync(
            self.clock, self.state, self.store, self._ask_peers
        )
        self.waits = CallerWaits(self.clock)
        for _ in range(4):
            self.waits.record(_STREAM.route, _WAIT_S)
        self.origins = FleetStreamOrigins(
            self.clock,
            records,
            self.waits,
            self.state,
            self.store,
            sync,
            _HISTORY_S,
            _HEARTBEAT_S,
        )

    async def _find_version(self, stream):
        """Returns the version that began a stream of service llm."""
        origin = await self.origins.find(stream)
        if origin is None:
            return None
        self.assertEqual(origin.service, "llm")
        return origin.version

    async def _ask_peers(self):
        if self.peer_answers:
            self.state.record_sync(self.clock.monotonic())

    @staticmethod
    def _release(count=30):
        """Returns changes that replace version v1 by v2, one by one."""
        changes, revision = [], 0
        for number in range(count):
            changes.append(_entry(f"i-{number}", "v1", number + 1))
        revision = count
        for number in range(count):
            old = f"i-{number}"
            changes += [
                _entry(f"j-{number}", "v2", revision + 1),
                _entry(old, "v1", revision + 2, "draining"),
                Item(f"servers/{old}", revision + 3, None),
            ]
            revision += 3
        return changes

    async def test_version_that_was_alone_for_the_history(self):
        changes = self._release()
        last = changes[-1].revision
        for oldest in (last, last - 1):
            with self.subTest(oldest=oldest):
                later = [
                    *changes,
                    _entry("j-0", "v2", last + 1, "draining"),
                ]
                self._start(later, last)
                self.assertEqual(await self._find_version(_STREAM), "v2")

    async def test_other_version_has_left_within_the_history(self):
        """Guards against a search that stops before the oldest change."""
        changes = self._release()
        last = changes[-1].revision
        for kept in (1, 2, 3, 4, 5, 7, 8, 9, 40, 90, last):
            with self.subTest(kept=kept):
                self._start(changes, last - kept)
                self.assertIsNone(await self._find_version(_STREAM))
                self.assertLessEqual(self.store.calls, 16)

    async def test_target_that_was_removed_without_a_write(self):
        """Guards against a version that the history does not show."""
        changes = [
            _entry("i-1", "v2", 1),
            _entry("i-2", "v2", 2),
            Item("servers/i-9", 3, None),
        ]
        self._start(changes, 2)
        self.assertIsNone(await self._find_version(_STREAM))

    async def test_history_that_the_store_has_discarded(self):
        """Guards against changes that are too few to reach back (ORDER)."""
        removal = Item("servers/i-1", 3, None)
        changes = [_entry("i-1", "v1", 1), _entry("i-2", "v2", 2), removal]
        for later in (
            [],
            [_entry("i-2", "v2", 4, "draining", age_s=2.0, beats=9)],
            [_entry("i-3", "v2", 4, age_s=1.0)],
        ):
            with self.subTest(later=len(later)):
                self._start([*changes, *later], 3)
                self.assertIsNone(await self._find_version(_STREAM))

    async def test_history_reaches_back_to_its_first_write(self):
        changes = [_entry("i-1", "v1", 1), _entry("i-2", "v2", 2)]
        changes.append(Item("servers/i-1", 3, None))
        for age_s, expected in ((20.0, "v2"), (13.0, None)):
            with self.subTest(age_s=age_s):
                later = _entry("i-2", "v2", 4, age_s=age_s, beats=7)
                self._start([*changes, later], 3)
                self.assertEqual(await self._find_version(_STREAM), expected)

    async def test_history_of_routes_reaches_back_to_a_configuration(self):
        """Guards against a service that the route had before (ORDER)."""
        document = json.dumps({"Version": 2}).encode()
        configuration = Item("op/config", 2, document)
        for revision, expected in ((1, "v1"), (3, None)):
            with self.subTest(revision=revision):
                target = _entry("i-1", "v1", 3 if revision == 1 else 1)
                change = dataclasses.replace(configuration, revision=revision)
                self._start(sorted([target, change], key=lambda e: e.revision))
                self.assertEqual(await self._find_version(_STREAM), expected)

    async def test_two_versions_serve(self):
        self._start([_entry("i-1", "v1", 1), _entry("i-2", "v2", 2)], 2)
        self.assertIsNone(await self._find_version(_STREAM))

    async def test_versions_of_other_services_do_not_count(self):
        other = _entry("i-9", "v7", 1, service="desk")
        self._start([other, _entry("i-1", "v1", 2)])
        self.assertEqual(await self._find_version(_STREAM), "v1")

    async def test_stream_that_may_be_older_than_the_history(self):
        self._start([_entry("i-1", "v1", 1)], 1)
        old = _stream(_HISTORY_S)
        self.assertIsNone(await self._find_version(old))

    async def test_store_that_does_not_answer(self):
        self._start([_entry("i-1", "v1", 1)])
        self.store.is_down = True
        self.assertIsNone(await self._find_version(_STREAM))

    async def test_calls_to_the_store_are_bounded(self):
        """Guards against calls for each take-up of a crowd."""
        self._start([_entry("i-1", "v1", 1), _entry("i-2", "v2", 2)], 2)
        for _ in range(50):
            await self._find_version(_STREAM)
        self.assertLessEqual(self.store.calls, 2)

    async def test_router_that_runs_for_long_reads_the_latest_changes(self):
        """Guards against calls for each take-up of a crowd."""
        self._start([_entry("i-1", "v1", 1)])
        self.clock.move_to(130.0)
        found = await asyncio.gather(
            *(self._find_version(_STREAM) for _ in range(50))
        )
        self.assertEqual(set(found), {"v1"})
        self.assertEqual(self.store.calls, 1)

    async def test_version_that_joined_unnoticed(self):
        """Guards against a router that is out of step (ORDER)."""
        changes = [_entry("i-1", "v1", 1)]
        self._start(changes)
        self.clock.move_to(130.0)
        changes.append(_entry("i-2", "v2", 2))
        self.assertIsNone(await self._find_version(_STREAM))

    async def test_router_that_is_cut_off_proves_nothing(self):
        """Guards against a router that has not noticed its cut (ORDER)."""
        self._start([_entry("i-1", "v1", 1)])
        self.clock.move_to(130.0)
        self.store.is_down = True
        self.assertIsNone(await self._find_version(_STREAM))

    async def test_router_that_the_store_refuses_asks_a_peer(self):
        """Guards against refusals while the peers are in step (LOST)."""
        self._start([_entry("i-1", "v1", 1)])
        self.clock.move_to(130.0)
        self.store.is_down = self.peer_answers = True
        self.assertEqual(await self._find_version(_STREAM), "v1")

    async def test_router_learns_of_versions_from_its_peers(self):
        """Guards against refusals by each router that has just started."""
        for versions, expected in ((("v1",), "v1"), (("v1", "v2"), None)):
            with self.subTest(versions=versions):
                self._start([_entry("i-1", "v1", 1)])
                now = self.clock.monotonic()
                self.state.origins.merge_versions(
                    [VariantAge("llm", version, 5.0) for version in versions],
                    60.0,
                    now,
                )
                self.state.origins.merge_services((), 60.0, now)
                self.assertEqual(await self._find_version(_STREAM), expected)
                # Only what is known to be alone needs the latest changes.
                self.assertEqual(self.store.calls, int(expected is not None))

    async def test_peer_that_is_out_of_step_fills_no_gap(self):
        """Guards against a history with a gap that counts as complete."""
        self._start([_entry("i-1", "v1", 1)], 1)
        self.state.origins.merge_versions(
            [VariantAge("llm", "v1", 20.0)], 60.0, self.clock.monotonic() - 5.0
        )
        self.assertIsNone(await self._find_version(_STREAM))

    async def test_version_that_left_while_the_router_runs(self):
        changes = [_entry("i-1", "v1", 1), _entry("i-2", "v2", 2)]
        self._start(changes)
        self.clock.move_to(130.0)
        self.state.apply_changes(Changes(50, (Item("servers/i-1", 50, None),)))
        self.clock.move_to(135.0)
        self.assertIsNone(await self._find_version(_STREAM))
        self.clock.move_to(145.0)
        self.assertEqual(await self._find_version(_STREAM), "v2")

    async def test_caller_that_waits_longer_than_the_time_limit(self):
        """Guards against streams that are taken for younger (ORDER)."""
        changes = [_entry("i-1", "v1", 1), _entry("i-2", "v2", 2)]
        self._start(changes)
        self.clock.move_to(130.0)
        self.state.apply_changes(Changes(50, (Item("servers/i-1", 50, None),)))
        self.clock.move_to(135.0)
        stream = dataclasses.replace(_STREAM, left_s=9.0)
        self.waits.record(stream.route, 15.0)
        self.assertIsNone(await self._find_version(stream))

    async def test_callers_that_nobody_knows(self):
        """Guards against a stream that is taken for new (ORDER, LOST)."""
        unknown = _stream(route="other")
        for age_s, expected in ((60.0, None), (64.0, "v2")):
            with self.subTest(age_s=age_s):
                changes = [_entry("i-1", "v1", 1), _entry("i-2", "v2", 2)]
                self._start(changes)
                removal = Item("servers/i-1", 50, None)
                self.state.apply_changes(Changes(50, (removal,)))
                self.clock.move_to(100.0 + age_s)
                self.assertEqual(await self._find_version(unknown), expected)

    async def test_next_requests_tell_how_long_callers_wait(self):
        """Guards against refusals of all streams after a kill (LOST)."""
        self._start([_entry("i-1", "v1", 1)])
        now = self.clock.monotonic()
        self.state.origins.merge_versions(
            [VariantAge("llm", "v1", 0.0)], 20.0, now
        )
        self.state.origins.merge_services((), 20.0, now)
        search = asyncio.ensure_future(
            self._find_version(_stream(route="other"))
        )
        await asyncio.sleep(0.1)
        self.assertFalse(search.done())
        for _ in range(4):
            self.waits.record("other", _WAIT_S)
        self.assertEqual(await search, "v1")

    async def test_record_of_a_router_that_does_not_tell_the_service(self):
        """Guards against a service drawn anew while a fleet is updated."""
        split = dataclasses.replace(_STREAM, services=("llm", "other"))
        record = StreamOrigin(None, "v0")
        for stream, expected in (
            (_STREAM, StreamOrigin("llm", "v0")),
            (split, None),
        ):
            with self.subTest(services=stream.services):
                self._start([_entry("i-1", "v1", 1)])
                self.clock.move_to(130.0)
                self.origins.record("attempt", record)
                self.assertEqual(await self.origins.find(stream), expected)

    async def test_streams_of_a_split_route_are_not_guessed(self):
        """Guards against services that name their software alike (ORDER)."""
        other = _entry("i-2", "v1", 2, service="other")
        self._start([_entry("i-1", "v1", 1), other])
        self.clock.move_to(130.0)
        split = dataclasses.replace(_STREAM, services=("llm", "other"))
        self.assertIsNone(await self.origins.find(split))

    async def test_record_goes_before_the_history(self):
        self._start([_entry("i-1", "v1", 1)])
        self.origins.record("attempt", StreamOrigin("llm", "v0"))
        self.assertEqual(await self._find_version(_STREAM), "v0")

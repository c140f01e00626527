"""Tests of records of streams that several routers hold."""

import asyncio
import collections
import random
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.fleet import StreamRecords
from crowwinch.fleet._stream_records import RecordPeer
from crowwinch.forwarding import StreamOrigin, StreamOriginTable

_ZONES = 3
_ORIGIN = StreamOrigin("llm", "v1")
# Maximum age of the streams that are looked up.
_AGE_S = 10.0


class _Network:
    """Routers that exchange messages about streams."""

    def __init__(self, size, loss=0.0):
        self.clock = ManualClock(unix_start=1_000_000.0)
        self.rng = random.Random(1)
        self.loss = loss
        self.messages = 0
        # Unix time in milliseconds at which each router started.
        self.lives = collections.Counter()
        self.zones = {f"10.0.0.{n}:1": f"az-{n % _ZONES}" for n in range(size)}
        self.routers = {}
        for control in self.zones:
            self.start(control)

    def start(self, control):
        """Starts a router without memory."""
        self.routers[control] = StreamRecords(
            self.clock,
            control,
            lambda: {
                peer: RecordPeer(self.zones[peer], self.lives[peer])
                for peer in self.routers
                if peer != control
            },
            self._send,
        )

    def kill(self, control):
        self.routers.pop(control)

    def _send(self, message, controls):
        for control in controls:
            self.messages += 1
            router = self.routers.get(control)
            if router is not None and self.rng.random() >= self.loss:
                asyncio.get_running_loop().call_soon(router.receive, message)


class StreamRecordsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against records that are lost with the router of a stream."""

    async def test_any_router_finds_the_record_after_a_kill(self):
        for size in (2, 3, 8, 90):
            with self.subTest(size):
                network = _Network(size)
                first, *others = network.routers
                network.routers[first].record("attempt", _ORIGIN)
                await asyncio.sleep(0)
                network.kill(first)
                for control in others:
                    found = await network.routers[control].find(
                        "attempt", _AGE_S
                    )
                    self.assertEqual(found, _ORIGIN)

    async def test_records_survive_the_loss_of_a_zone(self):
        """Guards against records that are held in one zone only."""
        network = _Network(9)
        names = [f"attempt-{n}" for n in range(50)]
        first = next(iter(network.routers))
        for name in names:
            network.routers[first].record(name, _ORIGIN)
        await asyncio.sleep(0)
        for lost in {"az-0", "az-1", "az-2"}:
            routers = dict(network.routers)
            network.routers = {
                control: router
                for control, router in routers.items()
                if network.zones[control] != lost and control != first
            }
            asker = next(iter(network.routers.values()))
            found = [await asker.find(name, _AGE_S) for name in names]
            self.assertEqual(found, [_ORIGIN] * len(names))
            network.routers = routers

    async def test_lost_datagrams_are_sent_again(self):
        """Guards against lookups that end with the first lost datagram.

        One attempt at a loss of 30% each way finds 0.74 of the records.
        """
        network = _Network(8)
        first, *_, last = network.routers
        names = [f"attempt-{number}" for number in range(40)]
        for name in names:
            network.routers[first].record(name, _ORIGIN)
        await asyncio.sleep(0)
        network.kill(first)
        network.loss = 0.3
        found = await asyncio.gather(
            *(network.routers[last].find(name, _AGE_S) for name in names)
        )
        self.assertGreaterEqual(found.count(_ORIGIN), 0.95 * len(names))

    async def test_unknown_stream_is_reported_at_once(self):
        """Guards against a wait for the time-out when all have answered."""
        network = _Network(8)
        router = next(iter(network.routers.values()))
        async with asyncio.timeout(0.1):
            self.assertIsNone(await router.find("attempt", _AGE_S))

    async def test_router_without_peers_knows_its_own_records(self):
        network = _Network(1)
        (router,) = network.routers.values()
        router.record("attempt", _ORIGIN)
        self.assertEqual(await router.find("attempt", _AGE_S), _ORIGIN)
        self.assertIsNone(await router.find("other", _AGE_S))

    async def test_records_survive_the_loss_of_most_routers(self):
        """Guards against streams that nobody can take up after it (LOST).

        Three fifths of the routers are killed, those of the streams with them.
        """
        for size in (4, 8, 20, 90):
            with self.subTest(size):
                network = _Network(size)
                killed = [*network.routers][: round(0.6 * size)]
                names = [f"attempt-{number}" for number in range(200)]
                for number, name in enumerate(names):
                    router = network.routers[killed[number % len(killed)]]
                    router.record(name, _ORIGIN)
                await asyncio.sleep(0)
                for control in killed:
                    network.kill(control)
                asker = next(iter(network.routers.values()))
                found = [await asker.find(name, _AGE_S) for name in names]
                self.assertGreaterEqual(found.count(_ORIGIN), 0.9 * len(names))

    async def test_few_peers_hold_and_are_asked(self):
        """Guards against messages that grow with the fleet."""
        network = _Network(90)
        first, second, *_ = network.routers
        network.routers[first].record("attempt", _ORIGIN)
        self.assertEqual(network.messages, 6)
        await network.routers[second].find("unknown", _AGE_S)
        self.assertLessEqual(network.messages, 6 + 2 * 8)

    async def test_routers_younger_than_the_stream_do_not_hide_holders(self):
        """Guards against routers that have just started and take all queries.

        They come first in the order of the hash and have no records.
        """
        network = _Network(41)
        first, asker, *others = network.routers
        records = {control: network.routers.pop(control) for control in others}
        older = others[::4]
        network.routers |= {control: records[control] for control in older}
        names = [f"attempt-{number}" for number in range(60)]
        for name in names:
            network.routers[first].record(name, _ORIGIN)
        await asyncio.sleep(0)
        network.kill(first)
        network.clock.move_to(_AGE_S + 1.0)
        for control in set(others) - set(older):
            network.lives[control] = int(network.clock.time() * 1000)
            network.start(control)
        found = [
            await network.routers[asker].find(name, _AGE_S) for name in names
        ]
        self.assertGreaterEqual(found.count(_ORIGIN), 0.95 * len(names))

    async def test_identifier_that_is_not_text(self):
        """Guards against a request that fails for its identifier."""
        network = _Network(2)
        router = next(iter(network.routers.values()))
        router.record("\udcff" * 9, _ORIGIN)
        self.assertEqual(await router.find("\udcff" * 9, _AGE_S), _ORIGIN)


class StreamOriginTableTest(unittest.TestCase):
    """Guards against records that are kept for ever or change."""

    def setUp(self):
        self.clock = ManualClock()
        self.table = StreamOriginTable(self.clock)

    def test_first_record_counts(self):
        self.table.record("a", _ORIGIN)
        self.table.record("a", StreamOrigin("llm", "v2"))
        self.assertEqual(self.table.get("a"), _ORIGIN)

    def test_service_is_added_to_a_record_without_one(self):
        """Guards against a record whose router does not tell the service."""
        self.table.record("a", StreamOrigin(None, "v1"))
        self.table.record("a", StreamOrigin("llm", "v2"))
        self.assertEqual(self.table.get("a"), StreamOrigin(None, "v1"))
        self.table.record("a", _ORIGIN)
        self.assertEqual(self.table.get("a"), _ORIGIN)

    def test_records_end_after_their_last_use(self):
        self.table.record("a", _ORIGIN)
        self.clock.move_to(50.0)
        self.table.record("a", _ORIGIN)
        self.clock.move_to(100.0)
        self.table.record("b", _ORIGIN)
        self.assertEqual(self.table.get("a"), _ORIGIN)
        self.clock.move_to(120.0)
        self.table.record("c", _ORIGIN)
        self.assertIsNone(self.table.get("a"))

    def test_number_of_records_is_bounded(self):
        for number in range(20_100):
            self.table.record(str(number), _ORIGIN)
        self.assertEqual(len(self.table), 20_000)
        self.assertEqual(self.table.evictions, 100)

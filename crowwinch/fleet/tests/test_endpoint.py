"""Tests of the UDP endpoint and of fetching directories from peers."""

import asyncio
import unittest

import aiohttp
import msgspec

from crowwinch.coordination import SystemClock
from crowwinch.directory import (
    Changes,
    DirectoryState,
    Item,
    Listing,
    StoreReaderSelector,
)
from crowwinch.errors import PeerRejection
from crowwinch.fleet import DirectoryExchange, DirectoryPull, FleetEndpoint
from crowwinch.forwarding import SocketAddress
from crowwinch.generated.fleet_messages import FleetUpdate, StreamMessage
from standins.processes import free_port

_UPDATE = FleetUpdate(
    "r",
    "az",
    1,
    2,
    "127.0.0.1:9",
    3,
    4,
    "fresh",
    False,
    [],
    [],
    [],
    [],
    [],
)


class FleetEndpointTest(unittest.TestCase):
    """Guards against invalid datagrams that crash a router or are accepted."""

    def setUp(self):
        self.received = []
        self.rejected = []
        self.endpoint = FleetEndpoint(
            "127.0.0.1", 0, self.received.append, self.rejected.append
        )

    def _receive(self, data):
        self.endpoint.handle_datagram(data)

    def test_valid_update_is_dispatched(self):
        self._receive(b"\x02" + msgspec.msgpack.encode(_UPDATE))
        self.assertEqual(self.received, [_UPDATE])

    def test_records_of_routers_of_other_versions(self):
        """Guards against streams that are lost while a fleet is updated."""
        fields = ["record", "10.0.0.1:9", "digest", "v1"]
        for added, service in (([], ""), (["llm"], "llm"), (["llm", 5], "llm")):
            with self.subTest(added=added):
                streams = []
                endpoint = FleetEndpoint(
                    "127.0.0.1", 0, self.fail, self.fail, streams.append
                )
                datagram = msgspec.msgpack.encode([*fields, *added])
                endpoint.handle_datagram(b"\x03" + datagram)
                (message,) = streams
                self.assertEqual(message, StreamMessage(*fields, service))

    def test_invalid_datagrams_are_counted_and_dropped(self):
        good = b"\x02" + msgspec.msgpack.encode(_UPDATE)
        fields = list(msgspec.to_builtins(_UPDATE))
        cases = {
            b"": PeerRejection.UNKNOWN_VERSION,
            b"\x01" + good[1:]: PeerRejection.UNKNOWN_VERSION,
            b"\x02": PeerRejection.MALFORMED,
            good[:-3]: PeerRejection.MALFORMED,
            b"\x02\xc1": PeerRejection.MALFORMED,
        }
        for index, value in (
            (0, ""),
            (2, "x"),
            (3, -1),
            (7, "maybe"),
            (9, [["t", -1, 0]]),
        ):
            changed = [*fields]
            changed[index] = value
            data = b"\x02" + msgspec.msgpack.encode(changed)
            cases[data] = PeerRejection.MALFORMED
        for data, reason in cases.items():
            with self.subTest(data):
                self.rejected.clear()
                self._receive(data)
                self.assertEqual(self.rejected, [reason])
        self.assertEqual(self.received, [])


class FleetEndpointPollTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an event loop wake-up per update in large fleets.

    The wake-ups took more processor time than the updates themselves.
    """

    async def asyncSetUp(self):
        self.port = free_port()
        self.received = []
        self.endpoint = FleetEndpoint(
            "127.0.0.1", self.port, self.received.append, lambda reason: None
        )
        await self.endpoint.start()
        self.addAsyncCleanup(self.endpoint.stop)

    async def _send(self):
        self.endpoint.send(_UPDATE, ["127.0.0.1"] * 5)
        await asyncio.sleep(0.05)

    async def test_updates_are_dispatched_on_arrival(self):
        await self._send()
        self.assertEqual(self.received, [_UPDATE] * 5)

    async def test_polled_updates_stay_buffered_until_poll(self):
        self.endpoint.set_polled(True)
        await self._send()
        self.assertEqual(self.received, [])
        self.endpoint.poll()
        self.assertEqual(self.received, [_UPDATE] * 5)

    async def test_buffered_updates_survive_the_end_of_polling(self):
        self.endpoint.set_polled(True)
        await self._send()
        self.endpoint.set_polled(False)
        await asyncio.sleep(0.05)
        self.assertEqual(self.received, [_UPDATE] * 5)

    async def test_unreachable_host_does_not_block_later_hosts(
        self,
    ):
        # The operating system refuses to send to the broadcast address.
        hosts = ["255.255.255.255", "127.0.0.1"]
        self.endpoint.send(_UPDATE, hosts)
        await asyncio.sleep(0.05)
        self.assertEqual(self.received, [_UPDATE])


def _item(key, revision):
    return Item(key, revision, b"text")


class _NullDecoder:
    def decode(self, key, value):
        return None


class _SlowExchange(DirectoryExchange):
    """An exchange that may take a while to answer."""

    delay_s = 0.0

    async def _serve(self, request):
        await asyncio.sleep(self.delay_s)
        return await super()._serve(request)


class DirectoryPullTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a router that stays behind the directory of its peers."""

    async def _start(self, delay_s=0.0):
        clock = SystemClock()
        state = DirectoryState(clock, _NullDecoder())
        address = SocketAddress("127.0.0.1", free_port())
        readers = StoreReaderSelector(clock, str(address))
        exchange = _SlowExchange(state, address)
        exchange.delay_s = delay_s
        pull = DirectoryPull(clock, state, readers, exchange)
        await exchange.start()
        self.addAsyncCleanup(exchange.stop)
        self.addAsyncCleanup(pull.stop)
        return state, pull, str(address)

    async def test_router_refused_by_the_store_fetches_from_a_peer(self):
        newer, _, address = await self._start()
        items = (Item("op/x", 7, b"text"), Item("bytes", 8, b"\xff\x00"))
        newer.apply_listing(Listing(9, items))
        state, pull, _ = await self._start()
        state.record_failure(0.0)
        pull.note_revision(address, 0, 9, 0, is_preferred=True)
        await asyncio.sleep(0.2)
        self.assertEqual(state.revision, 9)
        # Values that are not valid UTF-8 are left out.
        self.assertEqual([item.key for item in state.listing().items], ["op/x"])

    async def test_page_that_takes_longer_than_usual_arrives(self):
        """Guards against fetches that all end at the same timeout.

        With too little processor time, a table with 1,500 routes took over
        0.6 s, and the router fetched it again and again.
        """
        newer, _, address = await self._start(delay_s=0.8)
        newer.apply_listing(Listing(9, (_item("a", 9),)))
        state, pull, _ = await self._start()
        state.record_failure(0.0)
        loop = asyncio.get_running_loop()
        started = loop.time()
        while state.revision < 9 and loop.time() - started < 2.0:
            pull.note_revision(address, 0, 9, 0, is_preferred=True)
            await asyncio.sleep(0.05)
        self.assertEqual(state.revision, 9)

    async def test_only_changes_after_the_known_revision_are_fetched(self):
        newer, _, address = await self._start()
        state, pull, _ = await self._start()
        for known in (newer, state):
            known.apply_listing(
                Listing(5, (Item("a", 4, b"x"), Item("b", 5, b"y")))
            )
        newer.apply_changes(
            Changes(
                8, (Item("a", 6, None), Item("b", 7, b"\xff"), _item("c", 8))
            )
        )
        state.record_failure(0.0)
        pull.note_revision(address, 0, 8, 0, is_preferred=True)
        await asyncio.sleep(0.2)
        # A new value that is not valid UTF-8 removes the old one.
        self.assertEqual(state.listing().items, (_item("c", 8),))

    async def test_lagging_peer_does_not_restart_the_grace_period(self):
        """Guards against a grace period that restarts with each update.

        Each update of a peer that lagged as well restarted the period, so that
        the router never fetched the change.
        """
        newer, _, address = await self._start()
        state, pull, _ = await self._start()
        state.apply_listing(Listing(5, (_item("op", 5),)))
        state.record_contact()
        newer.apply_listing(Listing(9, ()))
        for _ in range(10):
            pull.note_revision(address, 0, 9, 0, is_preferred=True)
            pull.refresh()
            await asyncio.sleep(0.03)
        self.assertEqual(state.revision, 9)

    async def test_router_without_configuration_fetches_at_once(self):
        state, pull, address = await self._start()
        state.apply_listing(Listing(5, ()))
        newer, _, address = await self._start()
        newer.apply_listing(Listing(9, ()))
        pull.note_revision(address, 0, 9, 0, is_preferred=True)
        state.record_contact()
        await asyncio.sleep(0.05)
        # Without a known configuration there is no grace period.
        self.assertEqual(state.revision, 9)

    async def test_failing_and_older_peers_change_nothing(self):
        state, pull, _ = await self._start()
        state.apply_listing(Listing(5, ()))
        state.record_failure(0.0)
        older, _, address = await self._start()
        older.apply_listing(Listing(4, (Item("a", 4, b"x"),)))
        for peer in (address, f"127.0.0.1:{free_port()}"):
            with self.subTest(peer):
                pull.note_revision(peer, 0, 99, 0, is_preferred=True)
                await asyncio.sleep(0.15)
                self.assertEqual(state.revision, 5)
                self.assertEqual(state.listing().items, ())

    async def test_only_the_directory_is_served(self):
        _, _, address = await self._start()
        async with aiohttp.ClientSession() as session:
            for method, path, status in (
                ("GET", "/v1/directory", 200),
                ("POST", "/v1/directory", 404),
                ("GET", "/", 404),
            ):
                url = f"http://{address}{path}"
                async with session.request(method, url) as response:
                    self.assertEqual(response.status, status)

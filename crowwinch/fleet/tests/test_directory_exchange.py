"""Tests of the pages by which routers fetch the directory from each other."""

import json
import unittest

import aiohttp

from crowwinch.coordination import ManualClock
from crowwinch.directory import DirectoryState, Item, Listing
from crowwinch.fleet._directory_exchange import DirectoryExchange
from crowwinch.forwarding import SocketAddress
from crowwinch.platform import DocumentCodec
from standins.processes import free_port

_KEY = "op/config"
_TIMEOUT_S = 2.0


def _configuration(routes):
    """Returns a configuration document with a number of routes."""
    return json.dumps(
        {
            "Version": 7,
            "Routes": [
                {
                    "Name": f"route-{number * 7919 % 100_003}",
                    "Host": "host.example",
                    "Prefix": f"/{number * 104_729 % 999_983}/",
                    "RouteType": "safe",
                    "TimeoutMs": 8000,
                    "TargetLatencyMs": 500,
                    "Service": "desk",
                    "MaxAttempts": 2,
                }
                for number in range(routes)
            ],
            "Services": [{"Name": "desk"}],
            "Tenants": [{"Name": "tenant", "ApiKeys": ["key"]}],
        }
    ).encode()


class DirectoryExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against directories that are late on a slow link.

    A router that most peers of its zone fetch from sends as many pages. With
    1,536 routes more and links of 10 Mbit/s, some routers applied a
    configuration over 4 s after it was written.
    """

    async def asyncSetUp(self):
        self.address = SocketAddress("127.0.0.1", free_port())
        self.state = DirectoryState(ManualClock(), DocumentCodec())
        self.exchange = DirectoryExchange(self.state, self.address)
        await self.exchange.start()
        self.addAsyncCleanup(self.exchange.stop)

    def _set(self, value):
        self.state.apply_listing(Listing(5, (Item(_KEY, 5, value),)))

    async def _bytes_on_the_wire(self):
        url = f"http://{self.address.host}:{self.address.port}/v1/directory"
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.get(url, params={"after": "0"}) as response,
        ):
            return len(await response.read())

    async def test_a_large_page_takes_a_fraction_of_its_size(self):
        value = _configuration(1536)
        self._set(value)
        self.assertLess(await self._bytes_on_the_wire(), len(value) / 4)

    async def test_a_large_page_arrives_unchanged(self):
        value = _configuration(1536)
        self._set(value)
        control = f"{self.address.host}:{self.address.port}"
        page = await self.exchange.fetch(control, 0, 0, _TIMEOUT_S)
        self.assertEqual(
            [(item.key, item.value) for item in page.items],
            [(_KEY, value.decode())],
        )

    async def test_a_peer_in_another_era_gets_all_items(self):
        """Guards against changes after a revision that was given out again."""
        self.state.apply_listing(
            Listing(9, (Item(_KEY, 5, _configuration(1)),), era=2)
        )
        control = f"{self.address.host}:{self.address.port}"
        for era, is_complete in ((1, True), (2, False)):
            with self.subTest(era=era):
                page = await self.exchange.fetch(control, 9, era, _TIMEOUT_S)
                self.assertEqual(page.is_complete, is_complete)
                self.assertEqual(page.era, 2)

    async def test_a_small_page_is_sent_as_it_is(self):
        """Guards against processor time for changes of a few bytes."""
        value = _configuration(2)
        self._set(value)
        self.assertGreater(await self._bytes_on_the_wire(), len(value))


if __name__ == "__main__":
    unittest.main()

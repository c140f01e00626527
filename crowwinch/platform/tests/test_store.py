"""Tests the store client with valid, invalid and missing answers."""

import asyncio
import base64
import json
import unittest

from aiohttp import web

from crowwinch.directory import HistoryLostError, Item, StoreError
from crowwinch.forwarding import SocketAddress
from crowwinch.platform import StoreClient


def _item(key, revision, value=b"v"):
    return {
        "Key": key,
        "Revision": revision,
        "Value": base64.b64encode(value).decode(),
        "Created": 1,
        "Lease": 0,
    }


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against misinterpreted answers and calls that never return."""

    async def asyncSetUp(self):
        self.answers = []
        self.queries = []

        async def serve(request):
            self.queries.append((request.path, dict(request.query)))
            answer = self.answers.pop(0)
            if callable(answer):
                return await answer(request)
            if isinstance(answer, web.Response):
                return answer
            return web.json_response(answer)

        runner = web.ServerRunner(web.Server(serve), shutdown_timeout=0.05)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.addAsyncCleanup(runner.cleanup)
        self.client = StoreClient(
            SocketAddress("127.0.0.1", runner.addresses[0][1])
        )
        self.addAsyncCleanup(self.client.stop)

    async def test_listing_joins_pages_with_first_revision(self):
        self.answers = [
            {"Items": [_item("a", 3)], "Truncated": True, "CurrentRev": 5},
            {"Items": [_item("b", 6)], "Truncated": False, "CurrentRev": 7},
        ]
        listing = await self.client.list_items()
        self.assertEqual(listing.revision, 5)
        self.assertEqual(
            listing.items, (Item("a", 3, b"v"), Item("b", 6, b"v"))
        )
        self.assertEqual(self.queries[1][1]["After"], "a")
        self.assertEqual(self.client.calls, 2)

    async def test_watch_returns_writes_and_deletions(self):
        deleted = {"Key": "b", "Revision": 8, "Deleted": True}
        self.answers = [{"events": [_item("a", 7), deleted], "CurrentRev": 8}]
        changes = await self.client.watch(6, 2.0)
        self.assertEqual(changes.revision, 8)
        self.assertEqual(
            changes.items, (Item("a", 7, b"v"), Item("b", 8, None))
        )
        path, query = self.queries[0]
        self.assertEqual(path, "/kv-watch")
        self.assertEqual((query["After"], query["WaitMs"]), ("6", "2000"))

    async def test_status_410_raises_history_lost_error(self):
        self.answers = [web.Response(status=410)]
        with self.assertRaises(HistoryLostError):
            await self.client.watch(6, 2.0)

    async def test_answers_hold_the_era_of_the_store(self):
        """Guards against changes of another history after a restoration."""
        cases = {"3": 3, "": 0, "x": 0}
        for text, era in cases.items():
            with self.subTest(text):
                body = json.dumps({"Items": [], "CurrentRev": 5, "events": []})
                answer = web.Response(text=body, headers={"Store-Era": text})
                again = web.Response(text=body, headers={"Store-Era": text})
                self.answers = [answer, again]
                self.assertEqual((await self.client.list_items()).era, era)
                self.assertEqual((await self.client.watch(5, 0.1)).era, era)

    async def test_restoration_while_listing_starts_anew(self):
        pages = [
            web.Response(
                text=json.dumps(
                    {
                        "Items": [_item("a", 3)],
                        "Truncated": True,
                        "CurrentRev": 5,
                    }
                ),
                headers={"Store-Era": era},
            )
            for era in ("1", "2")
        ]
        self.answers = pages
        with self.assertRaises(HistoryLostError):
            await self.client.list_items()

    async def test_deeply_nested_answer_raises_store_error(self):
        """Guards against a watch that ends at an answer it cannot decode."""
        nested = "[" * 100_000 + "]" * 100_000
        self.answers = [
            web.Response(text=f'{{"CurrentRev": 5, "x": {nested}}}')
        ]
        with self.assertRaises(StoreError):
            await self.client.watch(6, 2.0)

    async def test_invalid_answers_raise_store_error(self):
        cases = {
            "unavailable": web.Response(status=503),
            "rate limited": web.Response(status=429),
            "not JSON": web.Response(text="{"),
            "missing revision": web.json_response({"events": []}),
            "wrong type": web.json_response({"CurrentRev": "7"}),
            "not UTF-8": web.Response(body=b"\xff\xfe"),
        }
        for name, answer in cases.items():
            with self.subTest(name):
                self.answers = [answer]
                with self.assertRaises(StoreError) as caught:
                    await self.client.watch(6, 2.0)
                self.assertNotIsInstance(caught.exception, HistoryLostError)

    async def test_invalid_base64_yields_empty_value(self):
        entry = _item("a", 7) | {"Value": "***"}
        self.answers = [{"events": [entry], "CurrentRev": 8}]
        changes = await self.client.watch(6, 2.0)
        self.assertEqual(changes.items, (Item("a", 7, b""),))

    async def test_unresponsive_store_times_out(self):
        async def never_answer(request):
            await asyncio.sleep(30)

        self.answers = [never_answer, {"events": [], "CurrentRev": 9}]
        loop = asyncio.get_running_loop()
        started = loop.time()
        with self.assertRaises(StoreError):
            await self.client.watch(6, 0.2)
        self.assertLess(loop.time() - started, 2.0)
        # The next call uses another connection.
        self.assertEqual((await self.client.watch(6, 0.2)).revision, 9)

    async def test_refused_connection_raises_store_error(self):
        client = StoreClient(SocketAddress("127.0.0.1", 1))
        self.addAsyncCleanup(client.stop)
        with self.assertRaises(StoreError):
            await client.list_items()

    async def test_new_address_is_used_by_next_call(self):
        self.answers = [{"events": [], "CurrentRev": 9}]
        client = StoreClient(SocketAddress("127.0.0.1", 1))
        self.addAsyncCleanup(client.stop)
        client.set_address(SocketAddress(*self.client._base_url[7:].split(":")))
        self.assertEqual((await client.watch(6, 0.2)).revision, 9)

"""Tests of what one connection, or all together, can make a router keep."""

import asyncio

import aiohttp
from aiohttp import web

from crowwinch.forwarding import RequestLimits, SocketAddress, StatusServer
from crowwinch.forwarding.tests.support import (
    KEY,
    Caller,
    RouterTest,
    make_response,
    respond_ok,
)
from crowwinch.observability import Metrics

_LIMIT = 512
_LIMITS = RequestLimits(max_header_bytes=_LIMIT)
# Heads that the account of a router, 20 MB, cannot hold all.
_LARGE_LIMIT = 1_000_000
_LARGE_LIMITS = RequestLimits(max_header_bytes=_LARGE_LIMIT)
_BODY_BYTES = 4_000_000
_START = (
    "POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
    f"X-Crowwinch-Attempt-Id: attempt-1\r\nX-Api-Key: {KEY}\r\n"
).encode()
_LENGTH = b"Content-Length: 4\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _pad(start: bytes, size: int) -> bytes:
    """Returns a head, or trailers, of the given size."""
    padding = size - len(start) - len(b"x: \r\n\r\n")
    return start + b"x: " + b"a" * padding + b"\r\n\r\n"


class _ConnectionTest(RouterTest):
    async def _connect(self, router) -> Caller:
        caller = await router.connect()
        self.addCleanup(caller.close)
        return caller

    async def _send(self, router, *pieces) -> Caller:
        caller = await self._connect(router)
        for piece in pieces:
            await caller.send(raw=piece)
            if len(pieces) > 1:
                await asyncio.sleep(0.002)
        return caller

    def _used_bytes(self, router) -> float:
        for line in router.metrics.render().splitlines():
            if line.startswith("crowwinch_request_memory_bytes "):
                return float(line.split()[1])
        raise AssertionError("the gauge is missing")


class HeadLimitTest(_ConnectionTest):
    """Guards against heads and trailers that are not limited as a whole."""

    async def _check(self, make) -> None:
        router = await self.router(respond_ok, limits=_LIMITS)
        for size in (_LIMIT - 1, _LIMIT, _LIMIT + 1):
            data = make(size)
            middle = len(data) // 2
            for pieces in ((data,), (data[:middle], data[middle:])):
                with self.subTest(size=size, pieces=len(pieces)):
                    caller = await self._send(router, *pieces)
                    reply = await caller.receive()
                    if size <= _LIMIT:
                        self.assertEqual(reply.status, 200)
                        continue
                    self.assertEqual(reply.status, 431)
                    self.assertIn(b'"run_state":"not_run"', reply.body)
                    self.assertFalse(reply.is_keep_alive)
                    self.assertTrue(await caller.is_closed())
        self.assertEqual(self.attempt_count, 4)
        self.assertEqual(self._used_bytes(router), 0)

    async def test_head(self):
        await self._check(lambda size: _pad(_START + _LENGTH, size) + b"body")

    async def test_head_with_leading_empty_lines(self):
        await self._check(
            lambda size: _pad(b"\r\n\r\n" + _START + _LENGTH, size) + b"body"
        )

    async def test_trailers(self):
        start = _START + _CHUNKED + b"\r\n4\r\nbody\r\n0\r\n"
        await self._check(lambda size: start + _pad(b"", size))

    async def test_head_cut_after_each_byte(self):
        router = await self.router(respond_ok, limits=_LIMITS)
        request = _START + _LENGTH + b"\r\nbody"
        caller = await self._connect(router)
        for cut in range(1, len(request)):
            await caller.send(raw=request[:cut])
            await asyncio.sleep(0.001)
            await caller.send(raw=request[cut:])
            self.assertEqual((await caller.receive()).status, 200, cut)

    async def test_client_that_goes_on_sending_gets_the_refusal(self):
        """Guards against a reset that makes the client lose its response."""
        router = await self.router(respond_ok, limits=_LIMITS)
        caller = await self._connect(router)
        await caller.send(raw=_START + b"x: " + b"a" * 100_000)
        self.assertEqual((await caller.receive()).status, 431)

    async def test_malformed_head_gets_one_short_response(self):
        """Guards against an error for each further piece of data."""
        router = await self.router(respond_ok, limits=_LARGE_LIMITS)
        for pieces in (
            (b"\0" * 100_000,) * 4,
            (_START + b"a:b\r\n" * 200,) * 2,
            (_START + b"\0: " + b"a" * 100_000,) * 2,
        ):
            with self.subTest(pieces=pieces[0][:9]):
                caller = await self._send(router, *pieces)
                reply = await caller.receive()
                self.assertEqual(reply.status, 400)
                self.assertLess(len(reply.body), 1_000)


class PipelinedRequestsTest(_ConnectionTest):
    """Guards against requests that are parsed before they are served."""

    async def test_responses_are_in_order(self):
        async def echo(request, writer):
            writer.write(make_response(request, request.body))
            return True

        router = await self.router(echo)
        bodies = [str(number) * 5 for number in range(10)]
        requests = b"".join(
            b"%sContent-Length: %d\r\n\r\n%s"
            % (_START, len(body), body.encode())
            if number % 2
            else b"%s%s\r\n%x\r\n%s\r\n0\r\nx: y\r\n\r\n"
            % (_START, _CHUNKED, len(body), body.encode())
            for number, body in enumerate(bodies)
        )
        for size in (1, 100, len(requests)):
            with self.subTest(size=size):
                caller = await self._connect(router)
                for at in range(0, len(requests), size):
                    await caller.send(raw=requests[at : at + size])
                for body in bodies:
                    reply = await caller.receive()
                    self.assertEqual(
                        (reply.status, reply.body), (200, body.encode())
                    )
        self.assertEqual(self._used_bytes(router), 0)

    async def test_bytes_that_arrive_between_two_requests_stay_in_order(self):
        """Guards against a body that is taken for a head.

        More bytes may arrive after a response, before what was kept behind
        its request is parsed.
        """
        router = await self.router(respond_ok)
        body = b"b" * 20_000
        request = _START.replace(b"/a/x", b"/unknown") + (
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        callers = [await self._connect(router) for _ in range(10)]
        sending = [
            asyncio.ensure_future(caller.send(raw=request * 100))
            for caller in callers
        ]
        for _ in range(100):
            for caller in callers:
                self.assertEqual((await caller.receive()).status, 404)
        await asyncio.gather(*sending)

    async def test_reading_pauses_behind_a_running_request(self):
        """Guards against requests that are kept without a bound."""
        started, released = asyncio.Event(), asyncio.Event()

        async def hold(request, writer):
            started.set()
            await released.wait()
            return False

        router = await self.router(hold, limits=_LIMITS)
        caller = await self._send(router, _START + _LENGTH + b"\r\nbody")
        await started.wait()
        request = _START + _LENGTH + b"\r\nbody"
        sending = asyncio.ensure_future(caller.send(raw=request * 100_000))
        await asyncio.sleep(0.2)
        self.assertFalse(sending.done())
        self.assertLess(self._used_bytes(router), 1_000_000)
        self.assertEqual(self.attempt_count, 1)
        sending.cancel()
        caller.close()
        released.set()

    async def test_responses_that_nobody_reads(self):
        """Guards against responses that pile up at a client."""
        body = b"a" * 1_000_000

        async def respond(request, writer):
            writer.write(make_response(request, body))
            return True

        router = await self.router(respond)
        caller = await self._connect(router)
        request = _START + _LENGTH + b"\r\nbody"
        await caller.send(raw=request * 100)
        await asyncio.sleep(1.0)
        self.assertLess(self.attempt_count, 20)
        for _ in range(100):
            self.assertEqual((await caller.receive()).body, body)

    async def test_empty_line_behind_a_body_keeps_the_connection(self):
        router = await self.router(respond_ok)
        caller = await self._connect(router)
        for _ in range(3):
            await caller.send(raw=_START + _LENGTH + b"\r\nbody\r\n")
            self.assertEqual((await caller.receive()).status, 200)


class SharedMemoryTest(_ConnectionTest):
    """Guards against clients that fill the memory together."""

    async def test_heads_that_hold_most_are_closed(self):
        router = await self.router(respond_ok, limits=_LARGE_LIMITS)
        small = await self._send(router, _START)
        start = _START.replace(b"/a/x", b"/unknown")
        large = [
            await self._send(router, _pad(start, _LARGE_LIMIT)[:-4])
            for _ in range(30)
        ]
        await asyncio.sleep(0.2)
        self.assertLessEqual(self._used_bytes(router), 20_000_000)
        self.assertGreater(self._used_bytes(router), 10_000_000)
        await small.send(raw=_LENGTH + b"\r\nbody")
        self.assertEqual((await small.receive()).status, 200)
        self.assertEqual((await router.call()).status, 200)
        self.assertTrue(await large[0].is_closed())
        await large[-1].send(raw=b"\r\n\r\n")
        self.assertEqual((await large[-1].receive()).status, 404)
        closed = router.metrics.value(
            "connections_closed", "reason", "memory_full"
        )
        self.assertGreaterEqual(closed, 10)
        self.assertLess(closed, 20)

    async def test_announced_bodies_give_way(self):
        """Guards against memory that is held by bodies that never come."""
        router = await self.router(respond_ok)
        length = b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
        for _ in range(5):
            await self._send(router, _START + length)
        await asyncio.sleep(1.2)
        body = b"a" * _BODY_BYTES
        self.assertEqual((await router.call(body=body)).status, 200)
        await asyncio.sleep(0.05)
        self.assertLess(self._used_bytes(router), 5 * _BODY_BYTES)

    async def test_silent_connections_give_way(self):
        """Guards against connections that use up the descriptors."""
        router = await self.router(respond_ok, max_descriptors=100)
        usual = await self._connect(router)
        await usual.send()
        self.assertEqual((await usual.receive()).status, 200)
        silent = [await self._connect(router) for _ in range(80)]
        self.assertEqual((await router.call()).status, 200)
        self.assertTrue(await silent[0].is_closed())
        await usual.send()
        self.assertEqual((await usual.receive()).status, 200)
        await silent[-1].send()
        self.assertEqual((await silent[-1].receive()).status, 200)


class StatusServerTest(_ConnectionTest):
    """Guards against addresses of operators without limits."""

    async def asyncSetUp(self):
        async def handle(request):
            return web.Response(text=await request.text())

        self.metrics = Metrics()
        server = StatusServer(
            SocketAddress("127.0.0.1", 0), handle, 4, self.metrics
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.port = server.port

    async def _open(self) -> Caller:
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.port))
        self.addCleanup(caller.close)
        return caller

    async def test_limits(self):
        for name, status, raw in (
            ("head", 431, b"GET / HTTP/1.1\r\nHost: a\r\nx: " + b"a" * 9_000),
            ("request line", 431, b"GET /" + b"a" * 9_000),
            ("empty lines", 431, b"\r\n" * 5_000),
            (
                "body",
                413,
                b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n",
            ),
            (
                "body in chunks",
                413,
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"10001\r\n" + b"a" * 65_537 + b"\r\n0\r\n\r\n",
            ),
            (
                "trailers",
                431,
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
                + b"x: %s\r\n"
                % (b"a" * 5_000)
                * 2,
            ),
            (
                "chunk",
                400,
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\nx\r\n",
            ),
        ):
            with self.subTest(name):
                caller = await self._open()
                await caller.send(raw=raw)
                self.assertEqual((await caller.receive()).status, status)

    async def test_silent_connections_give_way(self):
        silent = [await self._open() for _ in range(8)]
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://127.0.0.1:{self.port}/", data="a") as reply,
        ):
            self.assertEqual(await reply.text(), "a")
        self.assertTrue(await silent[0].is_closed())
        self.assertGreaterEqual(
            self.metrics.value(
                "connections_closed", "reason", "connections_full"
            ),
            5,
        )

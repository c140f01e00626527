"""Tests of targets that send bytes without end."""

import asyncio

from crowwinch.forwarding import RouteKind
from crowwinch.forwarding.tests.support import (
    RESPONSE_MEMORY_BYTES,
    RouterTest,
    chunk,
    event,
    make_response,
    respond_ok,
    stream_head,
)

_PIECE = b"x" * 65_536
_MAX_EVENT_BYTES = 1_048_576
# What a target may send before the router must have closed the connection: the
# largest limit, and what the buffers of both sides hold.
_MAX_SENT_BYTES = 12_000_000


def _flood(begin, repeat):
    """Returns a script that writes until the router closes the connection.

    Args:
        begin: Returns the first bytes of the response to a request.
        repeat: Returns the bytes that are sent again and again.
    """

    async def script(request, writer):
        script.sent = 0
        writer.write(begin(request))
        data = repeat(request)
        while script.sent < 4 * _MAX_SENT_BYTES:
            writer.write(data)
            await writer.drain()
            script.sent += len(data)
        return False

    return script


def _foreign_head(request):
    return make_response(
        request, b"", length=10_000_000_000, attempt_id="another"
    )


def _extra(request):
    return make_response(request, b"", attempt_id="another") * 100


class FloodTest(RouterTest):
    """Guards against bytes of a target that fill the memory (LOST)."""

    _FLOODS = {
        "event": (stream_head, lambda request: chunk(_PIECE)),
        "body in the name of another request": (
            _foreign_head,
            lambda request: _PIECE,
        ),
        "responses to other requests": (_extra, _extra),
        "interim responses": (
            lambda request: b"",
            lambda request: b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000,
        ),
    }

    async def test_connection_is_closed_at_the_limit(self):
        for name, (begin, repeat) in self._FLOODS.items():
            with self.subTest(name):
                flood = _flood(begin, repeat)
                router = await self.router(
                    flood, kind=RouteKind.STREAM, max_attempts=1
                )
                caller = await router.connect()
                await caller.send()
                async with asyncio.timeout(3.0):
                    reply = await caller.receive()
                self.assertEqual(reply.status, 502)
                self.assertIn(b'"run_state":"unknown"', reply.body)
                self.assertLess(flood.sent, _MAX_SENT_BYTES)
                self.assertEqual(
                    router.metrics.value("oversized_target_responses"), 1
                )
                self.assertEqual(router.response_memory.used_bytes, 0)

    async def test_another_target_answers(self):
        for name, (begin, repeat) in self._FLOODS.items():
            with self.subTest(name):
                router = await self.router(
                    _flood(begin, repeat), respond_ok, max_attempts=2
                )
                if begin is stream_head:
                    continue
                for _ in range(3):
                    reply = await router.call()
                    self.assertEqual(
                        (reply.status, reply.body), (200, b"hello")
                    )

    async def test_other_requests_do_not_wait(self):
        """Guards against a search of the whole event for each piece."""
        small = chunk(b"x" * 100)

        async def script(request, writer):
            if request.path == "/a/sound":
                return await respond_ok(request, writer)
            writer.write(stream_head(request) + small * 10_000)
            await asyncio.sleep(5.0)
            return False

        router = await self.router(script, kind=RouteKind.STREAM)
        callers = [await router.connect() for _ in range(6)]
        for caller in callers:
            await caller.send(path="/a/flood")
        loop = asyncio.get_running_loop()
        slowest_s = 0.0
        for _ in range(20):
            started = loop.time()
            reply = await router.call(path="/a/sound")
            slowest_s = max(slowest_s, loop.time() - started)
            self.assertEqual(reply.status, 200)
        self.assertLess(slowest_s, 0.5)
        for caller in callers:
            caller.close()

    async def test_events_of_many_streams(self):
        """Guards against a limit that holds for each stream alone."""
        size = _MAX_EVENT_BYTES - 1_000
        count = RESPONSE_MEMORY_BYTES // size + 4

        async def script(request, writer):
            writer.write(stream_head(request) + chunk(b"x" * size))
            await asyncio.sleep(5.0)
            return False

        router = await self.router(
            *[script] * 4, kind=RouteKind.STREAM, max_attempts=1
        )
        callers = [await router.connect() for _ in range(count)]
        for caller in callers:
            await caller.send()
        async with asyncio.timeout(4.0):
            while router.metrics.value("oversized_target_responses") < 2:
                await asyncio.sleep(0.02)
        self.assertLessEqual(
            router.response_memory.used_bytes, RESPONSE_MEMORY_BYTES
        )
        for caller in callers:
            caller.close()


class SoundResponseTest(RouterTest):
    """Guards against a limit that rejects sound responses."""

    async def test_large_event_is_relayed(self):
        data = event(1)[:-2] + b"x" * (_MAX_EVENT_BYTES - 100) + b"\n\n"

        async def script(request, writer):
            writer.write(stream_head(request))
            for start in range(0, len(data), 60_000):
                writer.write(chunk(data[start : start + 60_000]))
                await writer.drain()
            writer.write(chunk(b""))
            return True

        router = await self.router(script, kind=RouteKind.STREAM)
        for _ in range(2):
            reply = await router.call()
            self.assertTrue(reply.is_complete)
            self.assertEqual(reply.body, data)
        self.assertEqual(router.response_memory.used_bytes, 0)

    async def test_small_events_pass_while_the_memory_is_full(self):
        async def script(request, writer):
            writer.write(stream_head(request) + chunk(event(1)[:-1]))
            await asyncio.sleep(0.05)
            writer.write(chunk(b"\n") + chunk(b""))
            return True

        router = await self.router(script, kind=RouteKind.STREAM)
        full = router.response_memory.allocate()
        while full.resize(full.size_bytes + 10_000):
            pass
        reply = await router.call()
        self.assertEqual((reply.body, reply.is_complete), (event(1), True))

    async def test_body_is_relayed_unbuffered_while_the_memory_is_full(self):
        body = b"y" * 500_000

        async def script(request, writer):
            writer.write(make_response(request, body))
            return True

        router = await self.router(script)
        full = router.response_memory.allocate()
        while full.resize(full.size_bytes + 10_000):
            pass
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (200, body))

    async def test_late_responses_are_skipped(self):
        async def script(request, writer):
            late = make_response(request, b"z" * 200_000, attempt_id="late")
            writer.write(late * 4 + make_response(request))
            return True

        router = await self.router(script)
        for _ in range(3):
            reply = await router.call()
            self.assertEqual((reply.status, reply.body), (200, b"hello"))

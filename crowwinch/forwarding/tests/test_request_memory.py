"""Tests of the memory that the bodies of requests take."""

import asyncio

from crowwinch.forwarding import RequestLimits
from crowwinch.forwarding.tests.support import (
    KEY,
    RouterTest,
    chunk,
    respond_ok,
)

# A fifth of the memory of the router.
_CAPACITY_BYTES = 20_000_000
_BODY_BYTES = 4_000_000
_LIMITS = RequestLimits(max_body_bytes=_BODY_BYTES)


def _head(attempt_id, framing):
    return (
        "POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
        f"X-Crowwinch-Attempt-Id: {attempt_id}\r\n"
        f"X-Api-Key: {KEY}\r\n{framing}\r\n\r\n"
    ).encode()


class RequestMemoryTest(RouterTest):
    """Guards against bodies that fill the memory of a router (LOST)."""

    async def _fill(self, router, count):
        """Returns callers that have sent all but the end of their bodies."""
        callers = []
        for number in range(count):
            caller = await router.connect()
            callers.append(caller)
            self.addCleanup(caller.close)
            head = _head(f"big-{number}", "Transfer-Encoding: chunked")
            body = chunk(b"x" * (_BODY_BYTES - 1_000))
            await caller.send(raw=head + body)
        return callers

    async def test_bodies_in_chunks_are_limited(self):
        router = await self.router(respond_ok, limits=_LIMITS)
        callers = await self._fill(router, 4)
        self.assertEqual(
            router.metrics.value("refusals", "reason", "queue_full"), 0
        )
        callers += await self._fill(router, 4)
        await asyncio.sleep(0.2)
        self.assertLessEqual(_used_bytes(router), _CAPACITY_BYTES)
        self.assertGreater(_used_bytes(router), _CAPACITY_BYTES / 2)
        refused = int(router.metrics.value("refusals", "reason", "queue_full"))
        self.assertGreaterEqual(refused, 3)
        self.assertLess(refused, 8)
        replies = []
        for caller in callers:
            await caller.send(raw=chunk(b""))
            reply = await caller.receive()
            replies.append(reply.status)
            if reply.status == 429:
                self.assertIn(b'"run_state":"not_run"', reply.body)
                self.assertIn("retry-after", reply.headers)
        self.assertEqual(replies.count(429), refused)
        self.assertEqual(replies.count(200), 8 - refused)
        await asyncio.sleep(0.05)
        self.assertEqual(_used_bytes(router), 0)

    async def test_small_bodies_are_read_while_the_memory_is_full(self):
        router = await self.router(respond_ok, limits=_LIMITS)
        await self._fill(router, 8)
        await asyncio.sleep(0.1)
        for _ in range(3):
            self.assertEqual((await router.call()).status, 200)

    async def test_bodies_with_a_length_are_refused_before_they_are_sent(self):
        router = await self.router(respond_ok, limits=_LIMITS)
        await self._fill(router, 8)
        await asyncio.sleep(0.1)
        caller = await router.connect()
        await caller.send(
            raw=_head(
                "known",
                f"Content-Length: {_BODY_BYTES}\r\nExpect: 100-continue",
            )
        )
        self.assertEqual((await caller.receive()).status, 429)

    async def test_body_at_the_limit_is_read(self):
        router = await self.router(respond_ok, limits=_LIMITS)
        for size, status in ((_BODY_BYTES, 200), (_BODY_BYTES + 1, 413)):
            for framing in (f"Content-Length: {size}", None):
                with self.subTest(size=size, framing=framing):
                    caller = await router.connect()
                    body = b"x" * size
                    if framing is None:
                        framing = "Transfer-Encoding: chunked"
                        body = chunk(body) + chunk(b"")
                    await caller.send(raw=_head("edge", framing))
                    sending = asyncio.ensure_future(caller.send(raw=body))
                    self.assertEqual((await caller.receive()).status, status)
                    sending.cancel()
                    caller.close()


def _used_bytes(router):
    for line in router.metrics.render().splitlines():
        if line.startswith("crowwinch_request_memory_bytes "):
            return float(line.split()[1])
    raise AssertionError("the gauge is missing")

"""Tests of targets that name a rate limit in their answers."""

import asyncio

from crowwinch.forwarding.tests.support import (
    RouterTest,
    make_response,
    respond_ok,
)

_LIMIT_PER_S = 2
_REQUESTS = 60
_INTERVAL_S = 0.02


class RateLimitTest(RouterTest):
    """Guards against requests beyond the rate that a target accepts."""

    async def _respond_with_limit(self, seen, writer):
        limit = f"Server-Limit: {_LIMIT_PER_S}\r\n"
        writer.write(make_response(seen, extra=limit))
        await writer.drain()
        return True

    async def _send_all(self, router):
        replies = []
        for number in range(_REQUESTS):
            replies.append(await router.call(attempt_id=f"a{number}"))
            await asyncio.sleep(_INTERVAL_S)
        return replies

    async def test_target_gets_no_more_than_it_accepts(self):
        router = await self.router(self._respond_with_limit, respond_ok)
        loop = asyncio.get_running_loop()
        started = loop.time()
        replies = await self._send_all(router)
        elapsed_s = loop.time() - started
        self.assertEqual({reply.status for reply in replies}, {200})
        limited, other = (len(each.requests) for each in self.targets)
        self.assertLessEqual(limited, _LIMIT_PER_S * elapsed_s + 2)
        self.assertGreater(limited, 0)
        self.assertEqual(limited + other, _REQUESTS)

    async def test_limit_is_passed_on_to_callers(self):
        router = await self.router(self._respond_with_limit)
        reply = await router.call()
        self.assertEqual(reply.headers["server-limit"], str(_LIMIT_PER_S))

    async def test_limited_target_is_not_avoided_as_faulty(self):
        """Guards against a limit that lowers the health of its target."""
        router = await self.router(self._respond_with_limit, respond_ok)
        await self._send_all(router)
        self.assertEqual(router.health.failing_share("i-0"), 0.0)
        self.assertFalse(router.health.is_blocked("i-0"))

    async def test_unreadable_limit_changes_nothing(self):
        async def respond(seen, writer):
            writer.write(make_response(seen, extra="Server-Limit: few\r\n"))
            await writer.drain()
            return True

        router = await self.router(respond)
        replies = await self._send_all(router)
        self.assertEqual({reply.status for reply in replies}, {200})

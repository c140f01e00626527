"""Tests that attempts name the engine that has a prompt part cached."""

import dataclasses

from crowwinch.forwarding import Engine, RouteKind, Service
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    event,
    stream_head,
)

_HEADERS = (
    "X-Crowwinch-Model: m\r\n"
    "X-Crowwinch-Token-Count: 5100,10\r\n"
    "X-Crowwinch-Prefix-Hash: aa:5000,bb:100\r\n"
)
# 1 us a token, a small part of the time to read it.
_ENGINE = Engine(8, 1e5, transfer_token_s=1e-6)
# Long enough for the next answer to be late.
_BUSY_S = 5.0


async def _respond(request, writer):
    writer.write(stream_head(request) + chunk(event(1)) + chunk(b""))
    await writer.drain()
    return True


class CacheFetchTest(RouterTest):
    """Guards against attempts without the source, or with one that is gone."""

    async def _router(self):
        router = await self.router(
            _respond, _respond, kind=RouteKind.STREAM, is_engine=True
        )
        router.routing = dataclasses.replace(
            router.routing, services={"s": Service("s", 0, _ENGINE)}
        )
        router.target_set.update(
            [router.target_set.get(name) for name in ("i-0", "i-1")],
            router.routing,
        )
        return router

    def _sources(self):
        """Returns the sources that the targets were told, in any order."""
        return [
            request.headers.get("kv-fetch")
            for target in self.targets
            for request in target.requests
        ]

    async def test_overflow_names_the_engine_with_the_prefix(self):
        router = await self._router()
        await router.call(extra=_HEADERS)
        home = next(
            number
            for number, target in enumerate(self.targets)
            if target.requests
        )
        self.assertEqual(self._sources(), [None])
        router.loads.reserve(f"i-{home}", _BUSY_S)
        await router.call(extra=_HEADERS, attempt_id="attempt-2")
        other = self.targets[1 - home]
        self.assertEqual(
            other.requests[0].headers.get("kv-fetch"),
            str(self.targets[home].address),
        )

    async def test_engine_that_is_gone_is_no_source(self):
        router = await self._router()
        await router.call(extra=_HEADERS)
        home = next(
            number
            for number, target in enumerate(self.targets)
            if target.requests
        )
        router.target_set.update(
            [router.target_set.get(f"i-{1 - home}")], router.routing
        )
        await router.call(extra=_HEADERS, attempt_id="attempt-2")
        self.assertEqual(self._sources(), [None, None])

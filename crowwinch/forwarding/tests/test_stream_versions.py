"""Tests of streams while two software versions of a service serve."""

import asyncio
import dataclasses
from unittest import mock

from crowwinch.forwarding import RouteKind, StreamOrigin, TakenUpStream
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    event,
    reset,
    stream_head,
)

_LAST_EVENT = 6
_BREAK_AFTER = 3


class _VersionTest(RouterTest):
    async def asyncSetUp(self):
        self.broken = 0
        self.breaks_before_events = False

    async def _serve(self, seen, writer):
        """Breaks off the first stream and completes the others."""
        writer.write(stream_head(seen))
        after = int(seen.headers.get("last-event-id", 0))
        is_broken = not self.broken
        self.broken += is_broken
        for number in range(after + 1, _LAST_EVENT + 1):
            if is_broken and (
                number > _BREAK_AFTER or self.breaks_before_events
            ):
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)
                return False
            writer.write(chunk(event(number)))
        writer.write(chunk(b""))
        await writer.drain()
        return True

    async def _start_router(self, *versions):
        return await self.router(
            *[self._serve] * len(versions),
            kind=RouteKind.RESUMABLE_STREAM,
            is_engine=True,
            max_attempts=4,
            versions=versions,
        )


class StreamVersionTest(_VersionTest):
    """Guards against streams joined from two software versions."""

    async def test_stream_goes_on_at_the_version_of_its_first_event(self):
        versions = ("v1", "v2", "v1", "v2")
        for _ in range(6):
            self.broken = 0
            router = await self._start_router(*versions)
            reply = await router.call()
            self.assertTrue(reply.is_complete)
            used = {
                version
                for target, version in zip(self.targets, versions, strict=True)
                if target.requests
            }
            self.assertEqual(len(used), 1)
            self.assertEqual(self.attempt_count, 2)

    async def test_stream_breaks_off_without_a_target_of_its_version(self):
        """Guards against an end that makes half of a stream look whole."""
        router = await self._start_router("v1", "v2")
        reply = await router.call()
        self.assertEqual(reply.status, 200)
        self.assertFalse(reply.is_complete)
        self.assertEqual(
            reply.body, b"".join(event(n) for n in range(1, _BREAK_AFTER + 1))
        )
        self.assertEqual(self.attempt_count, 1)

    async def test_stream_without_events_begins_again_at_any_version(self):
        self.breaks_before_events = True
        router = await self._start_router("v1", "v2")
        reply = await router.call()
        self.assertTrue(reply.is_complete)
        self.assertEqual(self.attempt_count, 2)


class TakenUpStreamTest(_VersionTest):
    """Guards against a caller's stream that goes on at another version."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.broken = 1

    async def _take_up(self, router, **options):
        extra = f"Last-Event-Id: {_BREAK_AFTER}\r\nResumes: first\r\n"
        return await router.call(attempt_id="second", extra=extra, **options)

    async def test_stream_is_taken_up_at_the_version_that_began_it(self):
        for version in ("v1", "v2"):
            with self.subTest(version):
                router = await self._start_router("v1", "v2", "v1", "v2")
                router.streams.record("first", StreamOrigin("s", version))
                reply = await self._take_up(router)
                self.assertTrue(reply.is_complete)
                used = [bool(target.requests) for target in self.targets]
                self.assertEqual(sum(used), 1)
                self.assertEqual(used.index(True) % 2, version == "v2")

    async def test_version_is_recorded_before_the_first_event(self):
        router = await self._start_router("v1", "v2")
        reply = await router.call(attempt_id="first")
        self.assertTrue(reply.is_complete)
        used = [bool(target.requests) for target in self.targets]
        origin = await router.streams.find(
            TakenUpStream("first", "host.example/a/", ("s",), 5.0, 5.0)
        )
        expected = StreamOrigin("s", ("v1", "v2")[used.index(True)])
        self.assertEqual(origin, expected)

    async def test_stream_is_refused_if_its_version_is_not_known(self):
        """Guards against a guess, and against a refusal that is not true."""
        router = await self._start_router("v1", "v2")
        reply = await self._take_up(router)
        self.assertEqual(reply.status, 503)
        self.assertIn(b"stream_version_unknown", reply.body)
        self.assertIn(b'"run_state":"not_run"', reply.body)
        # Later there is no more evidence than now.
        self.assertNotIn("retry-after", reply.headers)
        self.assertEqual(self.attempt_count, 0)

    async def test_stream_is_refused_if_its_version_has_left(self):
        router = await self._start_router("v2", "v2")
        router.streams.record("first", StreamOrigin("s", "v1"))
        reply = await self._take_up(router)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.attempt_count, 0)

    async def test_stream_is_refused_if_its_route_has_left_the_service(self):
        """Guards against a stream that goes on at another service (ORDER)."""
        router = await self._start_router("v1", "v1")
        router.streams.record("first", StreamOrigin("other", "v1"))
        reply = await self._take_up(router)
        self.assertEqual(reply.status, 503)
        self.assertIn(b"stream_service_removed", reply.body)
        self.assertIn(b'"run_state":"not_run"', reply.body)
        self.assertEqual(self.attempt_count, 0)

    async def test_stream_counts_for_the_service_that_goes_on_with_it(self):
        """Guards against limits that count it for a service drawn anew."""
        router = await self._start_router("v1", "v1")
        route = router.routing.routes[0]
        services = {"other": 1e9, "s": 1e-9}
        router.routing = dataclasses.replace(
            router.routing,
            routes=(dataclasses.replace(route, services=services),),
        )
        router.streams.record("first", StreamOrigin("s", "v1"))
        with mock.patch.object(
            type(router.sharing.budget), "record_request"
        ) as record_request:
            reply = await self._take_up(router)
        self.assertTrue(reply.is_complete)
        record_request.assert_called_once_with("s")

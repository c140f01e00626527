"""Tests of targets that restart in place with another software version."""

import asyncio

from crowwinch.forwarding import RouteKind, StreamOrigin, TakenUpStream
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    event,
    make_response,
    reset,
    stream_head,
)

_LAST_EVENT = 6
_BREAK_AFTER = 3
_FIRST_LIFE = 11
_SECOND_LIFE = 17
_TAKE_UP = f"Last-Event-Id: {_BREAK_AFTER}\r\nResumes: first\r\n"


class RestartTest(RouterTest):
    """Guards against streams joined from two versions at one address (ORDER).

    The store does not answer, so the directory knows the first version only.
    """

    async def asyncSetUp(self):
        self.life = _FIRST_LIFE
        self.has_report = True
        self.reports = 0
        self.breaks = 0

    async def _serve(self, seen, writer):
        if seen.path == "/report":
            self.reports += 1
            body = b'{"born":%d}' % self.life if self.has_report else b"no"
            writer.write(make_response(seen, body))
            return True
        writer.write(stream_head(seen))
        after = int(seen.headers.get("last-event-id", 0))
        for number in range(after + 1, _LAST_EVENT + 1):
            if self.breaks and number > _BREAK_AFTER:
                self.breaks -= 1
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)
                return False
            writer.write(chunk(event(number)))
        writer.write(chunk(b""))
        await writer.drain()
        return True

    async def _start_router(
        self, *, is_synced=False, count=1, life=_FIRST_LIFE
    ):
        router = await self.router(
            *[self._serve] * count,
            kind=RouteKind.RESUMABLE_STREAM,
            is_engine=True,
            max_attempts=4,
            versions=["v1"] * count,
            life=life,
        )
        if not is_synced:
            router.synced_at = lambda: router.clock.monotonic() - 10.0
        return router

    def _streams(self):
        return [
            request
            for target in self.targets
            for request in target.requests
            if request.path != "/report"
        ]

    async def test_stream_is_not_taken_up_after_a_restart(self):
        for has_report in (True, False):
            with self.subTest(has_report=has_report):
                self.has_report, self.life = has_report, _SECOND_LIFE
                router = await self._start_router()
                router.streams.record("first", StreamOrigin("s", "v1"))
                reply = await router.call(attempt_id="second", extra=_TAKE_UP)
                self.assertEqual(reply.status, 503)
                self.assertIn(b'"run_state":"not_run"', reply.body)
                self.assertEqual(self._streams(), [])

    async def test_stream_of_a_restarted_target_has_a_version_of_its_own(self):
        """Guards against a record with the version of before the restart."""
        for has_report in (True, False):
            with self.subTest(has_report=has_report):
                self.has_report, self.life = has_report, _SECOND_LIFE
                router = await self._start_router()
                reply = await router.call(attempt_id="first")
                self.assertTrue(reply.is_complete)
                origin = await router.streams.find(
                    TakenUpStream("first", "host.example/a/", ("s",), 5.0, 5.0)
                )
                self.assertNotIn(origin.version, ("", "v1"))

    async def test_stream_that_breaks_as_its_target_restarts(self):
        """Guards against a resume within the answer at another version."""
        router = await self._start_router(is_synced=True)
        router.synced_at = router.clock.monotonic
        self.breaks = 1
        caller = await router.connect()
        await caller.send()
        while not self._streams():
            await asyncio.sleep(0.005)
        self.life = _SECOND_LIFE
        reply = await caller.receive()
        self.assertFalse(reply.is_complete)
        self.assertEqual(len(self._streams()), 1)

    async def test_stream_goes_on_at_a_target_that_did_not_restart(self):
        """Guards against refusals after a connection was reset (LOST)."""
        router = await self._start_router(is_synced=True, count=2)
        router.synced_at = router.clock.monotonic
        self.breaks = 1
        reply = await router.call()
        self.assertTrue(reply.is_complete)

    async def test_open_connections_show_that_a_target_lives(self):
        """Guards against a report for each stream while the store is away."""
        router = await self._start_router()
        for _ in range(10):
            self.assertTrue((await router.call()).is_complete)
        self.assertEqual(self.reports, 1)

    async def test_entries_without_start_times_are_believed(self):
        router = await self._start_router(life=0)
        self.assertTrue((await router.call()).is_complete)
        self.assertEqual(self.reports, 0)

    async def test_no_reports_while_the_directory_is_in_step(self):
        router = await self._start_router(is_synced=True)
        router.synced_at = router.clock.monotonic
        for _ in range(5):
            self.assertTrue((await router.call()).is_complete)
        self.assertEqual(self.reports, 0)

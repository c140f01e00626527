"""Tests of time limits, disconnecting callers and event streams."""

import asyncio
import socket

from crowwinch.forwarding import RouteKind, Target
from crowwinch.forwarding.tests.support import (
    RouterTest,
    ScriptedTarget,
    chunk,
    event,
    make_response,
    reset,
    respond_ok,
    stream_head,
)


async def _never_respond(seen, writer):
    await asyncio.sleep(60)
    return False


def _start_large_body(request):
    return make_response(request, b"x" * 1_200_000, length=2_000_000)


class DeadlineTest(RouterTest):
    """Guards against late responses and against leaked slots."""

    async def test_responds_at_the_timeout_of_the_route(self):
        router = await self.router(_never_respond, timeout_s=0.3)
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await router.call()
        self.assertEqual(reply.status, 504)
        self.assertLess(loop.time() - started, 0.6)
        self.assertGreater(loop.time() - started, 0.25)

    async def test_forwards_the_deadline_of_the_caller(self):
        router = await self.router(respond_ok)
        await router.call(extra="X-Crowwinch-Deadline-Ms: 700\r\n")
        deadline = int(
            self.targets[0].requests[0].headers["x-crowwinch-deadline-ms"]
        )
        self.assertLessEqual(deadline, 700)
        self.assertGreater(deadline, 600)

    async def test_closes_the_target_connection_when_the_caller_disconnects(
        self,
    ):
        router = await self.router(_never_respond)
        caller = await router.connect()
        await caller.send()
        await asyncio.sleep(0.1)
        self.assertEqual((self.attempt_count, self.targets[0].closed), (1, 0))
        caller.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.targets[0].closed, 1)
        self.assertEqual(router.loads.own_active("i-0"), 0)

    async def test_a_caller_that_disconnects_on_admission_takes_no_slot(self):
        """Guards against a slot that stays reserved without a request."""
        router = await self.router(respond_ok)
        slots = [router.loads.reserve("i-0", 0.0) for _ in range(8)]
        caller = await router.connect()
        await caller.send()
        while not router.sharing.admission.waiting:
            await asyncio.sleep(0.01)
        (handler,) = (
            task
            for task in asyncio.all_tasks()
            if "RequestHandler.start" in repr(task.get_coro())
        )
        for slot in slots:
            slot.finish()
        # The task that waits for admission resumes only after both the
        # admission and the cancellation.
        router.sharing.admission.poll()
        self.assertEqual(router.loads.own_active("i-0"), 1)
        handler.cancel()
        await asyncio.sleep(0.05)
        self.assertEqual(router.loads.own_active("i-0"), 0)
        self.assertEqual(self.attempt_count, 0)

    async def test_withdraws_a_waiting_request_when_the_caller_disconnects(
        self,
    ):
        router = await self.router()
        caller = await router.connect()
        await caller.send()
        await asyncio.sleep(0.05)
        self.assertEqual(router.sharing.admission.waiting, 1)
        caller.close()
        await asyncio.sleep(0.05)
        self.assertEqual(router.sharing.admission.waiting, 0)

    async def test_a_stopping_router_refuses_and_closes(self):
        router = await self.router(respond_ok)
        caller = await router.connect()
        router.server.close_after_responses()
        await caller.send()
        reply = await caller.receive()
        self.assertEqual((reply.status, reply.is_keep_alive), (200, False))
        self.assertTrue(await caller.is_closed())
        router.server.refuse_new_requests()
        reply = await router.call()
        self.assertEqual((reply.status, reply.is_keep_alive), (503, False))
        self.assertIn(b'"run_state":"not_run"', reply.body)

    async def test_stops_immediately_with_open_requests(self):
        """Guards against a router that exceeds its stop grace and is killed."""
        router = await self.router(_never_respond)
        caller = await router.connect()
        await caller.send()
        await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await router.server.stop()
        self.assertLess(loop.time() - started, 0.2)

    async def test_a_caller_that_disconnected_before_the_refusal(self):
        """Guards against a logged traceback for each such caller."""
        router = await self.router(respond_ok)
        router.server.refuse_new_requests()
        address = ("127.0.0.1", router.server.port)
        with socket.create_connection(address) as caller:
            await asyncio.sleep(0.05)
            caller.sendall(b"GET /a/x HTTP/1.1\r\nHost: host.example\r\n\r\n")
        with self.assertNoLogs("aiohttp.server", "ERROR"):
            await asyncio.sleep(0.05)
        self.assertEqual(router.metrics.value("callers_gone"), 1)


class StreamTest(RouterTest):
    """Guards against lost, duplicated, merged or delayed events."""

    @staticmethod
    def _stream(numbers, then=b"0\r\n\r\n", delay=0.0):
        async def script(seen, writer):
            writer.write(stream_head(seen))
            after = int(seen.headers.get("last-event-id", 0))
            for number in numbers:
                if number > after:
                    writer.write(chunk(event(number)))
                    await asyncio.sleep(delay)
            if then is None:
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)
                return False
            writer.write(then)
            return then.endswith(b"0\r\n\r\n")

        return script

    async def test_logs_the_first_event_and_the_longest_pause(self):
        """Guards against late streams that the log does not explain."""
        router = await self.router(
            self._stream(range(1, 4), delay=0.1),
            kind=RouteKind.STREAM,
            is_engine=True,
        )
        with self.assertLogs(
            "crowwinch.forwarding._request_log", "INFO"
        ) as logs:
            await router.call(extra="X-Crowwinch-Deadline-Ms: 700\r\n")
            await asyncio.sleep(0.01)
        (record,) = logs.records
        self.assertLess(record.first_event_s, 0.09)
        self.assertGreater(record.longest_pause_s, 0.09)
        self.assertEqual(record.target_latency_s, 0.5)
        self.assertAlmostEqual(record.time_limit_s, 0.7)

    async def test_relays_events_without_delay(self):
        router = await self.router(
            self._stream(range(1, 4), delay=0.1),
            kind=RouteKind.STREAM,
            is_engine=True,
        )
        caller = await router.connect()
        await caller.send()
        first = await asyncio.wait_for(
            caller._reader.readuntil(b"token1\n\n"), 0.25
        )
        self.assertIn(b"text/event-stream", first)
        rest = await caller._reader.readuntil(b"0\r\n\r\n")
        self.assertIn(b"token3", rest)

    async def test_resumes_broken_streams(self):
        expected = b"".join(event(number) for number in range(1, 7))
        failures = {
            "reset": self._stream(range(1, 4), then=None),
            "inside an event": self._stream(
                range(1, 4), then=chunk(b"id: 4\nda") + b"0\r\n\r\n"
            ),
            "before the first event": self._stream((), then=None),
            "no terminal chunk": self._stream(range(1, 4), then=b""),
        }
        for name, broken in failures.items():
            with self.subTest(name):
                router = await self.router(
                    broken, kind=RouteKind.RESUMABLE_STREAM, is_engine=True
                )
                target = self.targets[0]
                good = ScriptedTarget(self._stream(range(1, 7)))
                await good.start()
                self.addAsyncCleanup(good.stop)

                async def switch(seen, writer, broken=broken, good=good):
                    if len(self.targets[0].requests) > 1:
                        return await good.script(seen, writer)
                    return await broken(seen, writer)

                target.script = switch
                # A failed target is excluded, so the retry needs a second one.
                second = ScriptedTarget(self._stream(range(1, 7)))
                await second.start()
                self.addAsyncCleanup(second.stop)
                self._add(router, second)
                reply = await router.call()
                self.assertEqual(reply.status, 200)
                self.assertTrue(reply.is_complete)
                self.assertEqual(reply.body, expected)

    def _add(self, router, target):
        entries = [
            Target(f"i-{number}", 0, "s", each.address, "az", 8)
            for number, each in enumerate([*self.targets, target])
        ]
        router.target_set.update(entries, router.routing)

    async def test_other_answers_are_not_written_into_a_broken_stream(self):
        """Guards against error texts and repeated events within a stream."""
        large = b"error " * 200_000
        answers = {
            "error": lambda request: make_response(request, b"e", "500 Error"),
            "large error": lambda request: make_response(
                request, large, "500 Error"
            ),
            "large error as events": lambda request: make_response(
                request,
                large,
                "500 Error",
                "Content-Type: text/event-stream\r\n",
            ),
            "no stream": make_response,
            "large body": lambda request: make_response(request, large),
            "no content": lambda request: make_response(
                request, b"", "204 No Content"
            ),
            "from the start": lambda request: (
                stream_head(request) + chunk(event(1)) + chunk(b"")
            ),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                reply = await self._call_with_answers(
                    stream_head, answer, RouteKind.RESUMABLE_STREAM
                )
                self.assertEqual(reply.status, 200)
                self.assertFalse(reply.is_complete)
                self.assertEqual(reply.body, event(1) + event(2))

    async def test_started_answers_that_cannot_go_on_are_not_repeated(self):
        """Guards against a second answer behind the start of the first."""
        cases = {
            "large body": (RouteKind.SAFE, _start_large_body),
            "events without ids": (
                RouteKind.RESUMABLE_STREAM,
                lambda request: stream_head(request) + chunk(b"data: x\n\n"),
            ),
        }
        for name, (kind, start) in cases.items():
            with self.subTest(name):
                reply = await self._call_with_answers(start, start, kind, ())
                self.assertFalse(reply.is_complete)
                self.assertEqual(self.attempt_count, 1)

    async def _call_with_answers(self, start, answer, kind, numbers=(1, 2)):
        """Breaks off the first answer and replaces the second."""
        attempts = []

        async def script(request, writer):
            attempts.append(request)
            if len(attempts) > 1:
                writer.write(answer(request))
                await writer.drain()
                return False
            writer.write(start(request))
            for number in numbers:
                writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.1)
            reset(writer)
            return False

        router = await self.router(
            script, script, kind=kind, is_engine=kind is not RouteKind.SAFE
        )
        return await router.call()

    async def test_streams_that_cannot_be_resumed_end_incomplete(self):
        broken = self._stream(range(1, 4), then=None)
        router = await self.router(
            broken, broken, kind=RouteKind.STREAM, is_engine=True
        )
        reply = await router.call()
        self.assertEqual(reply.status, 200)
        self.assertFalse(reply.is_complete)
        self.assertEqual(self.attempt_count, 1)

    async def test_relays_only_complete_events_of_a_broken_stream(self):
        broken = self._stream(
            range(1, 3), then=chunk(b"id: 3\ndata: to") + b"0\r\n\r\n"
        )
        router = await self.router(
            broken, kind=RouteKind.STREAM, is_engine=True
        )
        reply = await router.call()
        self.assertFalse(reply.is_complete)
        self.assertEqual(reply.body, event(1) + event(2))

    async def test_closes_the_engine_connection_when_the_caller_disconnects(
        self,
    ):
        router = await self.router(
            self._stream(range(1, 100), delay=0.05),
            kind=RouteKind.RESUMABLE_STREAM,
            is_engine=True,
        )
        caller = await router.connect()
        await caller.send()
        await caller._reader.readuntil(b"token1\n\n")
        caller.close()
        await asyncio.sleep(0.2)
        self.assertEqual(self.targets[0].closed, 1)
        self.assertEqual(self.attempt_count, 1)

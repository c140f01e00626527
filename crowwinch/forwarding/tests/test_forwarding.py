"""Requests through a router to targets that answer in every way."""

import asyncio
import unittest

from crowwinch.forwarding import RequestLimits, RouteKind
from crowwinch.forwarding.tests.support import (
    Router,
    ScriptedTarget,
    answer,
    chunk,
    event,
    reset,
    stream_head,
)

_NOT_RUN = "X-Crowwinch-Not-Executed: 1\r\n"


async def _good(seen, writer):
    writer.write(answer(seen))
    return True


def _writes(data_of, keeps=False):
    """Returns a script that writes bytes and keeps or closes."""

    async def script(seen, writer):
        writer.write(data_of(seen))
        await writer.drain()
        return keeps

    return script


async def _reset(seen, writer):
    reset(writer)
    return False


async def _silent(seen, writer):
    await asyncio.sleep(60)
    return False


class _RouterTest(unittest.IsolatedAsyncioTestCase):
    async def router(self, *scripts, **options):
        self.targets = [ScriptedTarget(script) for script in scripts]
        router = Router(self.targets, **options)
        await router.start()
        self.addAsyncCleanup(router.stop)
        return router

    @property
    def sends(self):
        return sum(len(target.seen) for target in self.targets)


class ForwardTest(_RouterTest):
    """Guards against requests and answers that are changed on the way."""

    async def test_request_and_answer_are_unchanged(self):
        router = await self.router(_good)
        reply = await router.call(
            method="PUT", path="/a/%7Ex//y?q=%20&r=a+b", body=b"\x00bytes"
        )
        self.assertEqual((reply.status, reply.body), (200, b"hello"))
        self.assertEqual(reply.headers["x-crowwinch-server-seal"], "seal")
        seen = self.targets[0].seen[0]
        self.assertEqual(
            (seen.method, seen.path, seen.body),
            ("PUT", "/a/%7Ex//y?q=%20&r=a+b", b"\x00bytes"),
        )
        self.assertEqual(seen.headers["x-crowwinch-expect-instance"], "i-0")
        self.assertEqual(seen.headers["x-crowwinch-tenant"], "tenant")
        self.assertNotIn("x-api-key", seen.headers)

    async def test_chunked_bodies_arrive_whole(self):
        router = await self.router(_good)
        caller = await router.connect()
        head = (
            b"POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
            b"X-Crowwinch-Attempt-Id: attempt-1\r\nX-Api-Key: key-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        data = chunk(b"one") + chunk(b"two") + b"0\r\n\r\n"
        await caller.send(raw=head + data)
        self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.targets[0].seen[0].body, b"onetwo")

    async def test_connections_are_kept_on_both_sides(self):
        router = await self.router(_good)
        caller = await router.connect()
        for number in range(5):
            await caller.send(attempt_id=f"a{number}")
            self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.targets[0].connections, 1)

    async def test_pipelined_requests_are_answered_in_order(self):
        router = await self.router(
            _writes(lambda seen: answer(seen, seen.body), keeps=True)
        )
        caller = await router.connect()
        for number in range(3):
            await caller.send(
                attempt_id=f"a{number}", body=str(number).encode()
            )
        bodies = [(await caller.receive()).body for _ in range(3)]
        self.assertEqual(bodies, [b"0", b"1", b"2"])

    async def test_smuggled_requests_do_not_arrive(self):
        inner = "GET /a/inner HTTP/1.1\r\nHost: host.example\r\n\r\n"
        requests = {
            "length and chunks": (
                "POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                f"0\r\n\r\n{inner}"
            ),
            "two lengths": (
                "POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
                f"Content-Length: 0\r\nContent-Length: 9\r\n\r\n{inner}"
            ),
            "bare line feed": (
                f"POST /a/x HTTP/1.1\r\nHost: host.example\r\nX: a\n\n{inner}"
            ),
            "unknown coding": (
                "POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
                f"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n{inner}"
            ),
        }
        for name, request in requests.items():
            with self.subTest(name):
                router = await self.router(_good)
                caller = await router.connect()
                await caller.send(raw=request.encode())
                await asyncio.sleep(0.1)
                caller.close()
                self.assertEqual(
                    [seen.path for seen in self.targets[0].seen], []
                )

    async def test_refusals_before_a_target(self):
        router = await self.router(
            _good, limits=RequestLimits(max_body_bytes=9)
        )
        cases = {
            "unknown key": ({"key": "other"}, 401),
            "no key": ({"key": ""}, 401),
            "unknown route": ({"path": "/b/x"}, 404),
            "large body": ({"body": b"0123456789"}, 413),
        }
        for name, (options, status) in cases.items():
            with self.subTest(name):
                reply = await router.call(**options)
                self.assertEqual(reply.status, status)
                self.assertIn(b'"run_state":"not_run"', reply.body)
        router.routing = None
        reply = await router.call()
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0)
        self.assertEqual(self.sends, 0)

    async def test_slow_heads_are_cut(self):
        """Guards against connections that are held open by partial heads."""
        limits = RequestLimits(header_timeout_s=0.2, idle_timeout_s=0.3)
        loop = asyncio.get_running_loop()
        router = await self.router(_good, limits=limits)
        for name, sent in {
            "nothing": b"",
            "partial": b"POST /a/x HTTP/1.1\r\nHost: host.example\r\n",
        }.items():
            with self.subTest(name):
                caller = await router.connect()
                if sent:
                    await caller.send(raw=sent)
                started = loop.time()
                closed = asyncio.wait_for(caller.is_closed(), 1.0)
                self.assertTrue(await closed)
                if sent:
                    self.assertLess(loop.time() - started, 0.28)
        caller = await router.connect()
        for number in range(3):
            await asyncio.sleep(0.15)
            await caller.send(attempt_id=f"a{number}")
            self.assertEqual((await caller.receive()).status, 200)

    async def test_large_answers_pass(self):
        body = bytes(range(256)) * 8192
        router = await self.router(
            _writes(lambda seen: answer(seen, body), keeps=True)
        )
        reply = await router.call()
        self.assertTrue(reply.is_complete)
        self.assertEqual(reply.body, body)


class FaultyTargetTest(_RouterTest):
    """Guards against wrong bytes passed on, and against runs repeated."""

    _LOSSES = {
        "reset": _reset,
        "closed": _writes(lambda seen: b""),
        "short body": _writes(lambda seen: answer(seen, length=99)),
        "no answer in the protocol": _writes(lambda seen: b"garbage\r\n\r\n"),
        "other request's answer": _writes(
            lambda seen: answer(seen, attempt_id="other")
        ),
        "no seal": _writes(lambda seen: answer(seen, seal=False)),
        "broken chunk": _writes(lambda seen: stream_head(seen) + b"zz\r\n"),
    }

    async def test_safe_requests_are_repeated(self):
        for name, loss in self._LOSSES.items():
            with self.subTest(name):
                router = await self.router(loss, _good)
                for _ in range(3):
                    reply = await router.call()
                    self.assertEqual(
                        (reply.status, reply.body), (200, b"hello")
                    )

    async def test_unsafe_requests_run_once(self):
        for kind in (RouteKind.UNSAFE, RouteKind.STREAM):
            for name, loss in self._LOSSES.items():
                with self.subTest(name, kind=kind):
                    router = await self.router(loss, loss, kind=kind)
                    reply = await router.call()
                    self.assertEqual(reply.status, 502)
                    self.assertIn(b'"run_state":"unknown"', reply.body)
                    self.assertEqual(self.sends, 1)

    async def test_requests_that_did_not_run_go_to_another_target(self):
        for status in ("503 Busy", "429 Busy", "421 Other", "400 Bad"):
            with self.subTest(status):
                script = _writes(
                    lambda seen, status=status: answer(
                        seen, status=status, extra=_NOT_RUN, seal=False
                    )
                )
                router = await self.router(
                    script, _good, kind=RouteKind.UNSAFE, max_attempts=1
                )
                for _ in range(2):
                    self.assertEqual((await router.call()).status, 200)

    async def test_a_refusal_of_all_targets_says_not_run(self):
        script = _writes(
            lambda seen: answer(seen, status="503 Busy", extra=_NOT_RUN)
        )
        router = await self.router(script, script, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual(reply.status, 503)
        self.assertIn(b'"run_state":"not_run"', reply.body)
        self.assertNotIn("x-crowwinch-server-seal", reply.headers)
        self.assertIn("retry-after", reply.headers)

    async def test_unreachable_targets_are_left(self):
        router = await self.router(_good, _good, kind=RouteKind.UNSAFE)
        await self.targets[0].stop()
        for _ in range(4):
            self.assertEqual((await router.call()).status, 200)

    async def test_failures_of_targets_are_passed_on_with_their_seal(self):
        failing = _writes(
            lambda seen: answer(seen, b"oops", status="500 Failed"), True
        )
        router = await self.router(failing, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (500, b"oops"))
        self.assertEqual(reply.headers["x-crowwinch-server-seal"], "seal")

    async def test_safe_requests_leave_a_failing_target(self):
        failing = _writes(
            lambda seen: answer(seen, b"oops", status="500 Failed"), True
        )
        router = await self.router(failing, _good)
        for _ in range(3):
            self.assertEqual((await router.call()).status, 200)

    async def test_max_attempts_limits_runs(self):
        router = await self.router(_reset, _reset, _reset, max_attempts=2)
        self.assertEqual((await router.call()).status, 502)
        self.assertEqual(self.sends, 2)

    async def test_extra_answers_are_not_passed_on(self):
        async def twice(seen, writer):
            writer.write(answer(seen) + answer(seen, b"extra"))
            return True

        async def late(seen, writer):
            writer.write(answer(seen))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(answer(seen, b"extra"))
            return True

        for name, script in (("at once", twice), ("late", late)):
            with self.subTest(name):
                router = await self.router(script, kind=RouteKind.UNSAFE)
                caller = await router.connect()
                for number in range(4):
                    await caller.send(attempt_id=f"a{number}")
                    reply = await caller.receive()
                    self.assertEqual(
                        (reply.status, reply.body), (200, b"hello")
                    )
                    await asyncio.sleep(0.04)

    async def test_crossed_answer_is_skipped(self):
        """The answer of an earlier request comes where the next is due."""

        async def crossed(seen, writer):
            old = answer(seen, b"old", attempt_id="earlier")
            writer.write(old + answer(seen, b"mine"))
            return True

        router = await self.router(crossed, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (200, b"mine"))

    async def test_answer_without_length_ends_with_its_connection(self):
        def unframed(seen):
            head = answer(seen, b"").replace(b"Content-Length: 0\r\n", b"")
            return head + b"whole"

        router = await self.router(_writes(unframed), kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (200, b"whole"))

    async def test_answer_without_length_that_is_reset_is_not_complete(self):
        async def script(seen, writer):
            head = answer(seen, b"").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head + b"par")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)
            return False

        router = await self.router(script, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual(reply.status, 502)

    async def test_early_answer_to_a_long_body(self):
        early = _writes(
            lambda seen: answer(seen, b"no", status="413 Large"), True
        )
        router = await self.router(early, kind=RouteKind.UNSAFE)
        reply = await router.call(body=b"x" * 500_000)
        self.assertEqual((reply.status, reply.body), (413, b"no"))

    async def test_a_crashing_request_is_refused_after_three_crashes(self):
        router = await self.router(_good)
        for _ in range(3):
            router.crashes.note_crash("x")
        self.assertEqual((await router.call()).status, 200)
        digests = []
        router.crashes.is_refused = lambda digest: (
            digests.append(digest) or True
        )
        reply = await router.call(attempt_id="second")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"crash_suspect", reply.body)
        self.assertEqual(len(digests), 1)


class DeadlineTest(_RouterTest):
    """Guards against callers that are kept waiting, and against leaks."""

    async def test_final_answer_at_the_time_limit_of_the_route(self):
        router = await self.router(_silent, timeout_s=0.3)
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await router.call()
        self.assertEqual(reply.status, 504)
        self.assertLess(loop.time() - started, 0.6)
        self.assertGreater(loop.time() - started, 0.25)

    async def test_the_caller_s_deadline_goes_to_the_target(self):
        router = await self.router(_good)
        await router.call(extra="X-Crowwinch-Deadline-Ms: 700\r\n")
        deadline = int(
            self.targets[0].seen[0].headers["x-crowwinch-deadline-ms"]
        )
        self.assertLessEqual(deadline, 700)
        self.assertGreater(deadline, 600)

    async def test_the_target_is_left_when_the_caller_leaves(self):
        router = await self.router(_silent)
        caller = await router.connect()
        await caller.send()
        await asyncio.sleep(0.1)
        self.assertEqual((self.sends, self.targets[0].closed), (1, 0))
        caller.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.targets[0].closed, 1)
        self.assertEqual(router.loads.own_active("i-0"), 0)

    async def test_a_waiting_request_whose_caller_leaves_is_withdrawn(self):
        router = await self.router()
        caller = await router.connect()
        await caller.send()
        await asyncio.sleep(0.05)
        self.assertEqual(router.sharing.admission.waiting, 1)
        caller.close()
        await asyncio.sleep(0.05)
        self.assertEqual(router.sharing.admission.waiting, 0)

    async def test_a_stopping_router_refuses_and_closes(self):
        router = await self.router(_good)
        caller = await router.connect()
        router.server.close_after_answers()
        await caller.send()
        reply = await caller.receive()
        self.assertEqual((reply.status, reply.is_kept), (200, False))
        self.assertTrue(await caller.is_closed())
        router.server.refuse_new()
        reply = await router.call()
        self.assertEqual((reply.status, reply.is_kept), (503, False))
        self.assertIn(b'"run_state":"not_run"', reply.body)


class StreamTest(_RouterTest):
    """Guards against events that are lost, doubled, joined or held back."""

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

    async def test_events_pass_as_they_come(self):
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

    async def test_broken_streams_are_resumed(self):
        whole = b"".join(event(number) for number in range(1, 7))
        breaks = {
            "reset": self._stream(range(1, 4), then=None),
            "inside an event": self._stream(
                range(1, 4), then=chunk(b"id: 4\nda") + b"0\r\n\r\n"
            ),
            "before the first event": self._stream((), then=None),
            "no terminal chunk": self._stream(range(1, 4), then=b""),
        }
        for name, broken in breaks.items():
            with self.subTest(name):
                router = await self.router(
                    broken, kind=RouteKind.RESUMABLE_STREAM, is_engine=True
                )
                target = self.targets[0]
                good = ScriptedTarget(self._stream(range(1, 7)))
                await good.start()
                self.addAsyncCleanup(good.stop)

                async def switch(seen, writer, broken=broken, good=good):
                    if len(self.targets[0].seen) > 1:
                        return await good.script(seen, writer)
                    return await broken(seen, writer)

                target.script = switch
                # One target would be excluded after its failure.
                second = ScriptedTarget(self._stream(range(1, 7)))
                await second.start()
                self.addAsyncCleanup(second.stop)
                self._add(router, second)
                reply = await router.call()
                self.assertEqual(reply.status, 200)
                self.assertTrue(reply.is_complete)
                self.assertEqual(reply.body, whole)

    def _add(self, router, target):
        from crowwinch.forwarding import Target

        entries = [
            Target(f"i-{number}", 0, "s", each.address, "az", 8)
            for number, each in enumerate([*self.targets, target])
        ]
        router.target_set.update(entries, router.routing)

    async def test_streams_that_may_not_be_resumed_end_incomplete(self):
        broken = self._stream(range(1, 4), then=None)
        router = await self.router(
            broken, broken, kind=RouteKind.STREAM, is_engine=True
        )
        reply = await router.call()
        self.assertEqual(reply.status, 200)
        self.assertFalse(reply.is_complete)
        self.assertEqual(self.sends, 1)

    async def test_only_whole_events_of_a_broken_stream_pass(self):
        broken = self._stream(
            range(1, 3), then=chunk(b"id: 3\ndata: to") + b"0\r\n\r\n"
        )
        router = await self.router(
            broken, kind=RouteKind.STREAM, is_engine=True
        )
        reply = await router.call()
        self.assertFalse(reply.is_complete)
        self.assertEqual(reply.body, event(1) + event(2))

    async def test_the_engine_is_left_when_the_caller_leaves(self):
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
        self.assertEqual(self.sends, 1)

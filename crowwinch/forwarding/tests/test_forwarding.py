"""Requests through a router to targets that answer in every way."""

import asyncio

from crowwinch.forwarding import RequestLimits, RouteKind
from crowwinch.forwarding.tests.support import (
    RouterTest,
    answer,
    chunk,
    good,
    reset,
    stream_head,
)

_NOT_RUN = "X-Crowwinch-Not-Executed: 1\r\n"


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


class ForwardTest(RouterTest):
    """Guards against requests and answers that are changed on the way."""

    async def test_request_and_answer_are_unchanged(self):
        router = await self.router(good)
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

    async def test_paths_arrive_as_they_were_written(self):
        """Guards against a path that the URL of the HTTP library rewrites."""
        paths = (
            "/a/x?",
            "/a/?",
            "/a//x/../y?a=%2f&b",
            "/a/%7e%E4?q=?&",
            "/a/x??",
        )
        router = await self.router(good)
        for path in paths:
            with self.subTest(path):
                self.assertEqual((await router.call(path=path)).status, 200)
                self.assertEqual(self.targets[0].seen[-1].path, path)

    async def test_chunked_bodies_arrive_whole(self):
        router = await self.router(good)
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
        router = await self.router(good)
        caller = await router.connect()
        for number in range(5):
            await caller.send(attempt_id=f"a{number}")
            self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.targets[0].connections, 1)

    async def test_requests_decided_together_are_spread(self):
        """Guards against a herd: one poll may decide many waiting requests.

        All of them were sent to the target that was best before the first.
        """
        router = await self.router(good, good)
        slots = [
            router.loads.reserve(target, 0.0)
            for target in ("i-0", "i-1")
            for _ in range(8)
        ]
        callers = [await router.connect() for _ in range(12)]
        for number, caller in enumerate(callers):
            await caller.send(attempt_id=f"a{number}")
        while router.sharing.admission.waiting < len(callers):
            await asyncio.sleep(0.01)
        for slot in slots:
            slot.finish()
        router.sharing.admission.poll()
        replies = [await caller.receive() for caller in callers]
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual([len(each.seen) for each in self.targets], [6, 6])

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
                router = await self.router(good)
                caller = await router.connect()
                await caller.send(raw=request.encode())
                await asyncio.sleep(0.1)
                caller.close()
                self.assertEqual(
                    [seen.path for seen in self.targets[0].seen], []
                )

    async def test_refusals_before_a_target(self):
        router = await self.router(good, limits=RequestLimits(max_body_bytes=9))
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
        router = await self.router(good, limits=limits)
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

    async def test_connections_end_when_many_are_open(self):
        """Guards against a crowd that uses up all descriptors.

        Refused callers came back on new connections and left idle ones open;
        then no connection could be accepted or made.
        """
        router = await self.router(good, max_descriptors=10)
        callers = [await router.connect() for _ in range(7)]
        kept = []
        for number, caller in enumerate(callers):
            await caller.send(attempt_id=f"a{number}")
            reply = await caller.receive()
            self.assertEqual(reply.status, 200)
            kept.append(reply.is_kept)
            await asyncio.sleep(0.01)
        self.assertEqual(kept, [False] * 3 + [True] * 4)

    async def test_large_answers_pass(self):
        body = bytes(range(256)) * 8192
        router = await self.router(
            _writes(lambda seen: answer(seen, body), keeps=True)
        )
        reply = await router.call()
        self.assertTrue(reply.is_complete)
        self.assertEqual(reply.body, body)


class FaultyTargetTest(RouterTest):
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
                router = await self.router(loss, good)
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
                    script, good, kind=RouteKind.UNSAFE, max_attempts=1
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
        router = await self.router(good, good, kind=RouteKind.UNSAFE)
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
        router = await self.router(failing, good)
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
        router = await self.router(good)
        for _ in range(3):
            router.crashes.record_crash("x")
        self.assertEqual((await router.call()).status, 200)
        digests = []
        router.crashes.is_refused = lambda digest: (
            digests.append(digest) or True
        )
        reply = await router.call(attempt_id="second")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"crash_suspect", reply.body)
        self.assertEqual(len(digests), 1)

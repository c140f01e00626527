"""Tests of forwarding with well-behaved targets."""

import asyncio

from crowwinch.forwarding import RequestLimits
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    make_response,
    respond_ok,
    write_response,
)


class ForwardTest(RouterTest):
    """Guards against requests and responses that are altered in transit."""

    async def test_request_and_response_are_unchanged(self):
        router = await self.router(respond_ok)
        reply = await router.call(
            method="PUT", path="/a/%7Ex//y?q=%20&r=a+b", body=b"\x00bytes"
        )
        self.assertEqual((reply.status, reply.body), (200, b"hello"))
        self.assertEqual(reply.headers["x-crowwinch-server-seal"], "seal")
        request = self.targets[0].requests[0]
        self.assertEqual(
            (request.method, request.path, request.body),
            ("PUT", "/a/%7Ex//y?q=%20&r=a+b", b"\x00bytes"),
        )
        self.assertEqual(request.headers["x-crowwinch-expect-instance"], "i-0")
        self.assertEqual(request.headers["x-crowwinch-tenant"], "tenant")
        self.assertNotIn("x-api-key", request.headers)

    async def test_paths_are_forwarded_verbatim(self):
        """Guards against path normalization by the HTTP library."""
        paths = (
            "/a/x?",
            "/a/?",
            "/a//x/../y?a=%2f&b",
            "/a/%7e%E4?q=?&",
            "/a/x??",
        )
        router = await self.router(respond_ok)
        for path in paths:
            with self.subTest(path):
                self.assertEqual((await router.call(path=path)).status, 200)
                self.assertEqual(self.targets[0].requests[-1].path, path)

    async def test_chunked_bodies_are_complete(self):
        router = await self.router(respond_ok)
        caller = await router.connect()
        head = (
            b"POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
            b"X-Crowwinch-Attempt-Id: attempt-1\r\nX-Api-Key: key-1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        data = chunk(b"one") + chunk(b"two") + b"0\r\n\r\n"
        await caller.send(raw=head + data)
        self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.targets[0].requests[0].body, b"onetwo")

    async def test_caller_and_target_connections_are_reused(self):
        router = await self.router(respond_ok)
        caller = await router.connect()
        for number in range(5):
            await caller.send(attempt_id=f"a{number}")
            self.assertEqual((await caller.receive()).status, 200)
        self.assertEqual(self.targets[0].connections, 1)

    async def test_requests_admitted_by_one_poll_are_distributed(self):
        """Guards against sending all requests of one poll to one target.

        One poll may admit many waiting requests. If the load of each is not
        reserved before the next decision, all go to the target that was best
        before the first one.
        """
        router = await self.router(respond_ok, respond_ok)
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
        self.assertEqual([len(each.requests) for each in self.targets], [6, 6])

    async def test_pipelined_responses_are_in_order(self):
        router = await self.router(
            write_response(
                lambda request: make_response(request, request.body),
                keep_open=True,
            )
        )
        caller = await router.connect()
        for number in range(3):
            await caller.send(
                attempt_id=f"a{number}", body=str(number).encode()
            )
        bodies = [(await caller.receive()).body for _ in range(3)]
        self.assertEqual(bodies, [b"0", b"1", b"2"])

    async def test_smuggled_requests_are_not_forwarded(self):
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
        for name, raw_request in requests.items():
            with self.subTest(name):
                router = await self.router(respond_ok)
                caller = await router.connect()
                await caller.send(raw=raw_request.encode())
                await asyncio.sleep(0.1)
                caller.close()
                self.assertEqual(
                    [request.path for request in self.targets[0].requests], []
                )

    async def test_refused_requests_reach_no_target(self):
        router = await self.router(
            respond_ok, limits=RequestLimits(max_body_bytes=9)
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
        self.assertEqual(self.attempt_count, 0)

    async def test_slow_headers_time_out(self):
        """Guards against connections held open by incomplete headers."""
        limits = RequestLimits(header_timeout_s=0.2, idle_timeout_s=0.3)
        loop = asyncio.get_running_loop()
        router = await self.router(respond_ok, limits=limits)
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

    async def test_connections_close_when_many_are_open(self):
        """Guards against running out of file descriptors.

        Refused callers retried on new connections and left idle ones open,
        until no connection could be accepted or opened.
        """
        router = await self.router(respond_ok, max_descriptors=10)
        callers = [await router.connect() for _ in range(7)]
        kept = []
        for number, caller in enumerate(callers):
            await caller.send(attempt_id=f"a{number}")
            reply = await caller.receive()
            self.assertEqual(reply.status, 200)
            kept.append(reply.is_keep_alive)
            await asyncio.sleep(0.01)
        self.assertEqual(kept, [False] * 3 + [True] * 4)

    async def test_large_responses_are_complete(self):
        body = bytes(range(256)) * 8192
        router = await self.router(
            write_response(
                lambda request: make_response(request, body), keep_open=True
            )
        )
        reply = await router.call()
        self.assertTrue(reply.is_complete)
        self.assertEqual(reply.body, body)

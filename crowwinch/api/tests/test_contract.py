"""What callers may send and what they get back, with malformed inputs."""

import asyncio
import gzip
import json
import unittest

from crowwinch.errors import RefusalReason
from crowwinch.routing.tests.support import (
    MAX_BODY_BYTES,
    Router,
    start_targets,
)
from standins.scripted_target import (
    ScriptedTarget,
    raw,
    whole,
)

_CHAT = "/v1/chat/completions"
_SERVICE = "/services/name/x"
_BAD = (400, "malformed_body", "not_run")
_NOT_FOUND = (404, "not_found", "not_run")
_OK = b'{"model":"name"}'
_HEAD = b"POST /services/name/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
_KEY = b"Authorization: Bearer alpha\r\n"


class MalformedCallerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against inputs that end in a crash or reach a target."""

    async def test_refusals(self):
        deep = b'{"model":"name","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        too_large = (413, "body_too_large", "not_run")
        cases = (
            ("not JSON", _CHAT, b"{", {}, _BAD),
            ("empty", _CHAT, b"", {}, _BAD),
            ("not an object", _CHAT, b"[]", {}, _BAD),
            ("model is a number", _CHAT, b'{"model":1}', {}, _BAD),
            ("not UTF-8", _CHAT, b'{"model":"\xff"}', {}, _BAD),
            ("nested deeply", _CHAT, deep, {}, _BAD),
            (
                "no tokens",
                _CHAT,
                b'{"model":"name","max_tokens":0}',
                {},
                _BAD,
            ),
            (
                "compressed",
                _CHAT,
                gzip.compress(_OK),
                {"Content_Encoding": "gzip"},
                _BAD,
            ),
            (
                "said to be compressed",
                _CHAT,
                _OK,
                {"Content_Encoding": "gzip"},
                _BAD,
            ),
            ("deadline", _CHAT, _OK, {"X_Deadline_Ms": "soon"}, _BAD),
            ("negative", _CHAT, _OK, {"X_Deadline_Ms": "-1"}, _BAD),
            ("long", _CHAT, _OK, {"X_Deadline_Ms": "9" * 5000}, _BAD),
            ("class", _CHAT, _OK, {"X_Request_Class": "vip"}, _BAD),
            ("path", "/v1/nothing", _OK, {}, _NOT_FOUND),
            (
                "service",
                "/services/none/x",
                b"",
                {},
                (404, "unknown_service", "not_run"),
            ),
            (
                "body over the limit",
                _SERVICE,
                b"x" * (MAX_BODY_BYTES + 1),
                {},
                too_large,
            ),
            (
                "declared body over the limit",
                _SERVICE,
                b"",
                {"Content_Length": str(MAX_BODY_BYTES + 1)},
                too_large,
            ),
            (
                "deadline that has passed",
                _CHAT,
                _OK,
                {"X_Deadline_Ms": "0"},
                (504, "deadline_exceeded", "not_run"),
            ),
        )
        targets = await start_targets(ScriptedTarget())
        async with Router(targets) as router:
            for name, path, body, headers, expected in cases:
                with self.subTest(name):
                    reply = await asyncio.wait_for(
                        router.send("POST", path, body, **headers), 2
                    )
                    self.assertEqual(reply.error, expected)
            self.assertEqual(targets[0].seen, [])
            self.assertEqual(router.api.active, 0)
            self.assertEqual((await router.send_chat_completion()).status, 200)

    async def test_malformed_http(self):
        chunked = _HEAD + _KEY + b"Transfer-Encoding: chunked\r\n\r\n"
        cases = (
            ("not HTTP", b"hello\r\n\r\n", 400),
            ("huge header", _HEAD + b"X: " + b"x" * 99999 + b"\r\n\r\n", 431),
            (
                "two lengths",
                _HEAD + b"Content-Length: 1\r\n" * 2 + b"\r\n",
                400,
            ),
            (
                "length and chunks",
                _HEAD
                + _KEY
                + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"0\r\n\r\n",
                400,
            ),
            ("bad chunk", chunked + b"zz\r\nx\r\n0\r\n\r\n", 400),
            ("good chunk", chunked + b"1\r\nx\r\n0\r\n\r\n", 200),
        )
        targets = await start_targets(ScriptedTarget())
        async with Router(targets, "service") as router:
            for name, data, status in cases:
                with self.subTest(name):
                    reply = await asyncio.wait_for(router.send_raw(data), 2)
                    self.assertEqual(reply.status, status)
            self.assertEqual([seen.body for seen in targets[0].seen], [b"x"])

    async def test_body_that_never_ends_is_refused_at_the_deadline(self):
        head = _HEAD + _KEY + b"X-Deadline-Ms: 300\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx"
        late = (504, "deadline_exceeded", "not_run")
        cases = (
            # Known to be unservable, so refused at once.
            ("bad chunk", chunked, b"\r\nzz\r\n", _BAD),
            ("no more chunks", chunked, b"", late),
            ("short", head + b"Content-Length: 9\r\n\r\nx", b"", late),
        )
        targets = await start_targets(ScriptedTarget())
        async with Router(targets, "service") as router:
            for name, data, later, expected in cases:
                with self.subTest(name):
                    reply = await asyncio.wait_for(
                        router.send_raw(data, delayed_data=later), 2
                    )
                    self.assertEqual(reply.error, expected)
            self.assertEqual(targets[0].seen, [])


class PassThroughTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers and requests that are changed on the way."""

    async def _ask(self, behaviour, method="POST", path=_SERVICE, **more):
        targets = await start_targets(ScriptedTarget(behaviour))
        async with Router(targets, "service") as router:
            reply = await router.send(method, path, **more)
            self.gone = router.refusals(RefusalReason.CALLER_GONE)
            return reply, targets[0].seen[0]

    async def test_request(self):
        packed = gzip.compress(b"hello")
        reply, seen = await self._ask(
            whole(b"ok"),
            "PUT",
            "/services/n%61me/a%2Fb%41/..%2f?q=%20&r=a+b",
            body=packed,
            Content_Encoding="gzip",
            TE="trailers",
            Keep_Alive="1",
            Connection="close, X-Private",
            X_Private="secret",
            X_Kept="kept",
            Cookie="a=b",
            Idempotency_Key="k",
        )
        self.assertEqual(reply.body, b"ok")
        self.assertEqual(seen.path, "/a%2Fb%41/..%2f?q=%20&r=a+b")
        self.assertEqual((seen.method, seen.body), ("PUT", packed))
        for name, value in (
            ("content-encoding", "gzip"),
            ("x-kept", "kept"),
            ("cookie", "a=b"),
            ("te", None),
            ("keep-alive", None),
            ("x-private", None),
            ("authorization", None),
            ("accept-encoding", None),
            ("user-agent", None),
        ):
            self.assertEqual(seen.headers.get(name), value, name)

    async def test_service_that_requires_a_key_refuses_calls_without(self):
        targets = await start_targets(ScriptedTarget(whole(b"ok")))
        options = {"group": {"requires_idempotency_key": True}}
        async with Router(targets, "service", **options) as router:
            for name, headers in (
                ("none", {}),
                ("foreign", {"Idempotency_Key": "k"}),
            ):
                with self.subTest(name):
                    reply = await router.send("POST", _SERVICE, **headers)
                    self.assertEqual(
                        reply.error,
                        (400, "idempotency_key_required", "not_run"),
                    )
            self.assertEqual(targets[0].seen, [])

    async def test_answers(self):
        packed = gzip.compress(b"hello" * 100)
        chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = (
            (
                "gzip",
                "GET",
                whole(packed, headers=("Content-Encoding: gzip",)),
                200,
                packed,
                {"content-encoding": "gzip"},
            ),
            (
                "HEAD",
                "HEAD",
                whole(b"", length=12345),
                200,
                b"",
                {"content-length": "12345"},
            ),
            ("204", "POST", whole(b"", "204 None"), 204, b"", {}),
            ("304", "GET", whole(b"", "304 Same"), 304, b"", {"etag": None}),
            ("500", "POST", whole(b"oops", "500 Bad"), 500, b"oops", {}),
            (
                "hop-by-hop",
                "POST",
                whole(
                    b"x",
                    headers=(
                        "Connection: close, X-Hop",
                        "X-Hop: 1",
                        "Keep-Alive: 5",
                        "Set-Cookie: a=1",
                        "Set-Cookie: b=2",
                    ),
                ),
                200,
                b"x",
                {"x-hop": None, "keep-alive": None, "set-cookie": "a=1|b=2"},
            ),
            (
                "chunked",
                "POST",
                raw(chunks + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
                200,
                b"abcde",
                {"content-length": "5"},
            ),
        )
        for name, method, behaviour, status, body, headers in cases:
            with self.subTest(name):
                reply, _ = await self._ask(behaviour, method)
                self.assertEqual((reply.status, reply.body), (status, body))
                for key, value in headers.items():
                    self.assertEqual(reply.headers.get(key), value, key)

    async def test_large_answers_are_complete_or_cut(self):
        body = bytes(range(256)) * 8000
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunked += b"%x\r\n%s\r\n" % (len(body), body)
        cases = (
            ("declared", whole(body), body),
            ("chunked", raw(chunked + b"0\r\n\r\n"), body),
            ("short", whole(body, length=len(body) + 1), None),
            ("chunked short", raw(chunked), None),
        )
        for name, behaviour, expected in cases:
            with self.subTest(name):
                reply, _ = await self._ask(behaviour)
                self.assertTrue(reply.body == expected)
                # Whom the router cuts off has not gone by itself.
                self.assertEqual(self.gone, 0)

    async def test_largest_body(self):
        reply, seen = await self._ask(whole(b"ok"), body=b"x" * MAX_BODY_BYTES)
        self.assertEqual((reply.status, len(seen.body)), (200, MAX_BODY_BYTES))

    async def test_cookie_of_a_target_stays_with_its_caller(self):
        cookie = whole(headers=("Set-Cookie: session=alpha",))
        targets = await start_targets(ScriptedTarget(cookie))
        async with Router(targets, "service") as router:
            await router.send("POST", _SERVICE)
            await router.send("POST", _SERVICE, key="beta")
            self.assertNotIn("cookie", targets[0].seen[1].headers)


class CrossedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that get each other's answers (I3)."""

    async def test_answer_that_is_sent_twice(self):
        async def twice(seen, writer):
            await whole(seen.body)(seen, writer)
            await asyncio.sleep(0.05)
            await whole(seen.body)(seen, writer)
            return True

        for kind, path in (("engine", _CHAT), ("service", _SERVICE)):
            with self.subTest(kind):
                targets = await start_targets(ScriptedTarget(*[twice] * 9))
                async with Router(targets, kind) as router:
                    for index in range(3):
                        body = b'{"model":"name","n":%d}' % index
                        reply = await router.send("POST", path, body)
                        self.assertEqual(reply.body, body)
                        await asyncio.sleep(0.1)

    async def test_late_answers_in_reverse_order(self):
        async def late(seen, writer):
            await asyncio.sleep(json.loads(seen.body)["wait"] / 1000)
            await whole(seen.body)(seen, writer)

        targets = await start_targets(ScriptedTarget(*[late] * 9))
        async with Router(targets, slots=9) as router:
            bodies = [
                b'{"model":"name","wait":%d}' % (200 - 20 * index)
                for index in range(9)
            ]
            replies = await asyncio.gather(
                *(router.send("POST", _CHAT, body) for body in bodies)
            )
            self.assertEqual([reply.body for reply in replies], bodies)


class BackPressureTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a slow caller whose answer fills the memory."""

    async def test_target_is_not_read_ahead(self):
        total = 64_000_000
        written = 0

        async def endless(seen, writer):
            nonlocal written
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total
            )
            while written < total:
                writer.write(b"x" * 100_000)
                await writer.drain()
                written += 100_000

        targets = await start_targets(ScriptedTarget(endless))
        async with Router(targets, "service") as router:
            _, writer = await asyncio.open_connection(
                "127.0.0.1", router.port, limit=1
            )
            writer.write(_HEAD + _KEY + b"Content-Length: 0\r\n\r\n")
            await asyncio.sleep(0.5)
            # Kernel buffers of two loopback connections take a few MB each.
            self.assertTrue(0 < written < total / 2, written)
            writer.transport.abort()
            await asyncio.wait_for(targets[0].closed.wait(), 2)
            await asyncio.sleep(0.1)
            self.assertEqual(len(router.dispatcher.slot_outcomes), 1)

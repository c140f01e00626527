"""Tests of targets that fail, leave, crash or answer wrongly."""

import asyncio
import dataclasses
import functools

import xxhash

from crowwinch.forwarding import RouteKind, Target
from crowwinch.forwarding.tests.support import (
    RouterTest,
    make_response,
    reset,
    respond_ok,
    stream_head,
    write_response,
)
from crowwinch.sharing import RequestFeatures

_NOT_RUN_HEADER = "X-Crowwinch-Not-Executed: 1\r\n"


async def _reset_connection(request, writer):
    reset(writer)
    return False


class FaultyTargetTest(RouterTest):
    """Guards against wrong responses and against forbidden retries."""

    _FAULTS = {
        "reset": _reset_connection,
        "closed": write_response(lambda request: b""),
        "short body": write_response(
            lambda request: make_response(request, length=99)
        ),
        "not HTTP": write_response(lambda request: b"garbage\r\n\r\n"),
        "response to another request": write_response(
            lambda request: make_response(request, attempt_id="other")
        ),
        "no seal": write_response(
            lambda request: make_response(request, seal=False)
        ),
        "status 000": write_response(
            lambda request: make_response(request, status="000 None")
        ),
        "status 101": write_response(
            lambda request: make_response(request, status="101 Switching")
        ),
        "status 600": write_response(
            lambda request: make_response(request, status="600 Other")
        ),
        "broken chunk": write_response(
            lambda request: stream_head(request) + b"zz\r\n"
        ),
    }

    async def test_safe_requests_are_retried(self):
        for name, fault in self._FAULTS.items():
            with self.subTest(name):
                router = await self.router(fault, respond_ok)
                for _ in range(3):
                    reply = await router.call()
                    self.assertEqual(
                        (reply.status, reply.body), (200, b"hello")
                    )

    async def test_unsafe_requests_are_not_retried(self):
        for kind in (RouteKind.UNSAFE, RouteKind.STREAM):
            for name, fault in self._FAULTS.items():
                with self.subTest(name, kind=kind):
                    router = await self.router(fault, fault, kind=kind)
                    reply = await router.call()
                    self.assertEqual(reply.status, 502)
                    self.assertIn(b'"run_state":"unknown"', reply.body)
                    self.assertEqual(self.attempt_count, 1)

    async def test_requests_that_did_not_run_are_retried(self):
        for status in ("503 Busy", "429 Busy", "421 Other", "400 Bad"):
            with self.subTest(status):
                script = write_response(
                    lambda request, status=status: make_response(
                        request,
                        status=status,
                        extra=_NOT_RUN_HEADER,
                        seal=False,
                    )
                )
                router = await self.router(
                    script, respond_ok, kind=RouteKind.UNSAFE, max_attempts=1
                )
                for _ in range(2):
                    self.assertEqual((await router.call()).status, 200)

    async def test_refusal_by_all_targets_reports_not_run(self):
        script = write_response(
            lambda request: make_response(
                request, status="503 Busy", extra=_NOT_RUN_HEADER
            )
        )
        router = await self.router(script, script, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual(reply.status, 503)
        self.assertIn(b'"run_state":"not_run"', reply.body)
        self.assertNotIn("x-crowwinch-server-seal", reply.headers)
        self.assertIn("retry-after", reply.headers)

    async def test_unreachable_targets_are_avoided(self):
        router = await self.router(
            respond_ok, respond_ok, kind=RouteKind.UNSAFE
        )
        await self.targets[0].stop()
        for _ in range(4):
            self.assertEqual((await router.call()).status, 200)

    async def test_error_responses_of_targets_keep_their_seal(self):
        failing = write_response(
            lambda request: make_response(
                request, b"oops", status="500 Failed"
            ),
            True,
        )
        router = await self.router(failing, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (500, b"oops"))
        self.assertEqual(reply.headers["x-crowwinch-server-seal"], "seal")

    async def test_safe_requests_are_retried_after_a_server_error(self):
        failing = write_response(
            lambda request: make_response(
                request, b"oops", status="500 Failed"
            ),
            True,
        )
        router = await self.router(failing, respond_ok)
        for _ in range(3):
            self.assertEqual((await router.call()).status, 200)

    async def test_max_attempts_limits_retries(self):
        router = await self.router(
            _reset_connection,
            _reset_connection,
            _reset_connection,
            max_attempts=2,
        )
        self.assertEqual((await router.call()).status, 502)
        self.assertEqual(self.attempt_count, 2)

    async def test_surplus_responses_are_discarded(self):
        async def twice(request, writer):
            writer.write(
                make_response(request) + make_response(request, b"extra")
            )
            return True

        async def late(request, writer):
            writer.write(make_response(request))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(make_response(request, b"extra"))
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

    async def test_response_to_an_earlier_request_is_skipped(self):
        """Guards against a late response taken for that of the next request."""

        async def late_response(request, writer):
            old = make_response(request, b"old", attempt_id="earlier")
            writer.write(old + make_response(request, b"mine"))
            return True

        router = await self.router(late_response, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (200, b"mine"))

    async def test_response_without_length_ends_at_connection_close(self):
        def unframed(request):
            head = make_response(request, b"").replace(
                b"Content-Length: 0\r\n", b""
            )
            return head + b"whole"

        router = await self.router(
            write_response(unframed), kind=RouteKind.UNSAFE
        )
        reply = await router.call()
        self.assertEqual((reply.status, reply.body), (200, b"whole"))

    async def test_response_without_length_is_incomplete_after_a_reset(self):
        async def script(request, writer):
            head = make_response(request, b"").replace(
                b"Content-Length: 0\r\n", b""
            )
            writer.write(head + b"par")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)
            return False

        router = await self.router(script, kind=RouteKind.UNSAFE)
        reply = await router.call()
        self.assertEqual(reply.status, 502)

    async def test_early_response_to_a_large_body(self):
        early = write_response(
            lambda request: make_response(request, b"no", status="413 Large"),
            True,
        )
        router = await self.router(early, kind=RouteKind.UNSAFE)
        reply = await router.call(body=b"x" * 500_000)
        self.assertEqual((reply.status, reply.body), (413, b"no"))

    async def test_target_that_says_it_leaves_gets_no_more_requests(self):
        """Guards against requests to a leaving target listed as ready."""
        leaving = write_response(
            lambda request: make_response(
                request, extra="Server-Leaving: 1\r\n"
            ),
            True,
        )
        router = await self.router(leaving, leaving)
        for number in range(2):
            reply = await router.call(attempt_id=f"attempt-{number}")
            self.assertEqual(reply.status, 200)
        entries = [
            Target(f"i-{number}", 0, "s", each.address, "az", 8)
            for number, each in enumerate(self.targets)
        ]
        router.target_set.update(entries, router.routing)
        self.assertEqual([len(each.requests) for each in self.targets], [1, 1])
        self.assertIsNone(router.target_set.get("i-0"))
        restarted = dataclasses.replace(entries[0], life=1)
        router.target_set.update([restarted, entries[1]], router.routing)
        reply = await router.call(attempt_id="attempt-3")
        self.assertEqual(reply.status, 200)
        self.assertEqual([len(each.requests) for each in self.targets], [2, 1])

    async def test_target_that_asks_for_a_pause_gets_no_requests(self):
        """Guards against requests to an overloaded target that refuses them."""
        refuse = write_response(
            lambda request: make_response(
                request,
                b"",
                "503 Full",
                _NOT_RUN_HEADER + "Retry-After: 2\r\n",
                seal=False,
            ),
            True,
        )
        router = await self.router(refuse, timeout_s=0.5)
        replies = [await router.call(attempt_id="attempt-0")]
        replies += await asyncio.gather(
            *(router.call(attempt_id=f"attempt-{n}") for n in range(1, 5))
        )
        self.assertEqual([reply.status for reply in replies], [503] * 5)
        self.assertEqual(self.attempt_count, 1)
        self.assertGreater(float(replies[1].headers["retry-after"]), 1.0)
        self.targets[0].script = respond_ok
        await asyncio.sleep(2.0)
        reply = await router.call(attempt_id="attempt-5")
        self.assertEqual(reply.status, 200)

    async def test_refusal_that_does_not_say_not_run_is_not_passed_on(self):
        """Guards against "not run" for a request that a target may have run."""
        for status in ("503 Busy", "429 Busy", "408 Slow"):
            for kind in (RouteKind.UNSAFE, RouteKind.STREAM):
                with self.subTest(status, kind=kind):
                    router = await self.router(
                        write_response(
                            functools.partial(make_response, status=status)
                        ),
                        kind=kind,
                    )
                    reply = await router.call()
                    self.assertEqual(reply.status, 502)
                    self.assertNotIn("x-crowwinch-server-seal", reply.headers)
                    self.assertEqual(self.attempt_count, 1)

    async def test_earlier_refusal_that_is_repeated_is_not_trusted(self):
        """Guards against "not run" for a request that a target runs."""
        cases = {
            "id of the earlier request": ("attempt-1", 200),
            "no id": (None, 502),
        }
        for name, (repeated_id, status) in cases.items():
            with self.subTest(name):
                router = await self.router(
                    _repeat_refusal(repeated_id),
                    kind=RouteKind.UNSAFE,
                    timeout_s=0.5,
                )
                self.assertEqual((await router.call()).status, 503)
                reply = await router.call(attempt_id="attempt-2")
                self.assertEqual(self.targets[0].connections, 1)
                self.assertEqual(reply.status, status)

    async def test_requests_with_a_part_that_crashes_targets_are_refused(self):
        """Guards against targets that crash one after the other."""
        router = await self.router(respond_ok)
        features = RequestFeatures("other", (_digest("bad"),))
        now = router.clock.monotonic()
        for number in range(3):
            router.crashes.record_crash(
                f"crash-{number}", features, now - 1 - number
            )
        cases = {
            "sound": ("first:5,own:7", 200),
            "part": ("first:5,bad:6,own:8", 503),
            "last part": ("first:5,bad:6", 200),
        }
        for name, (parts, status) in cases.items():
            with self.subTest(name):
                reply = await router.call(
                    attempt_id=name,
                    extra=f"X-Crowwinch-Prefix-Hash: {parts}\r\n",
                )
                self.assertEqual(reply.status, status)
        self.assertEqual(self.attempt_count, 2)

    async def test_crash_of_a_target_is_found_by_one_lost_request(self):
        """Guards against crashes that a router with few requests misses."""

        async def crash(request, writer):
            await self.targets[0].stop()
            writer.write(stream_head(request))
            await writer.drain()
            reset(writer)
            return False

        router = await self.router(crash, kind=RouteKind.STREAM)
        await router.call(extra="X-Crowwinch-Prefix-Hash: a:1,b:2,own:3\r\n")
        await asyncio.sleep(0.2)
        reports = {
            report.feature: list(report.crash_ages_s)
            for report in router.crashes.reports()
            if report.is_part
        }
        self.assertEqual(set(reports), {_digest("a"), _digest("b")})
        self.assertTrue(router.health.is_blocked("i-0"))

    async def test_lost_connections_of_a_live_target_are_no_crash(self):
        """Guards against refusals because of connections that are reset."""

        async def lose(request, writer):
            reset(writer)
            return False

        router = await self.router(lose, kind=RouteKind.STREAM)
        for number in range(4):
            await router.call(
                attempt_id=f"lost-{number}",
                extra=f"X-Crowwinch-Prefix-Hash: a:1,own-{number}:3\r\n",
            )
            await asyncio.sleep(0.1)
        self.assertTrue(router.crashes.is_empty)


def _repeat_refusal(repeated_id):
    """Returns a script that writes its first refusal again before an answer."""
    refusals = []

    async def script(request, writer):
        if not refusals:
            refusals.append(request)
            writer.write(
                make_response(
                    request, b"", "503 Full", _NOT_RUN_HEADER, seal=False
                )
            )
            return True
        refusal = make_response(
            request,
            b"",
            "503 Full",
            _NOT_RUN_HEADER,
            seal=False,
            attempt_id=repeated_id or "",
        )
        if repeated_id is None:
            refusal = refusal.replace(b"X-Crowwinch-Attempt-Id: \r\n", b"")
        writer.write(refusal)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(make_response(request))
        return True

    return script


def _digest(part):
    return xxhash.xxh3_64_hexdigest(part.encode())

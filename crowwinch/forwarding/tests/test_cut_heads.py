"""Tests of answers that are cut after each of their bytes."""

from crowwinch.forwarding import RouteKind
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    event,
    make_response,
    stream_head,
)

_BODY = b"hello"


def _closed_body(request):
    """Returns a response that ends with its connection."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Crowwinch-Attempt-Id: {request.attempt_id}\r\n"
        "X-Crowwinch-Server-Seal: seal\r\nConnection: close\r\n\r\n"
    ).encode() + _BODY


def _chunked_body(request):
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Crowwinch-Attempt-Id: {request.attempt_id}\r\n"
        "X-Crowwinch-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + chunk(_BODY) + chunk(b"")


def _stream(request):
    return stream_head(request) + chunk(event(1)) + chunk(b"")


def _closed_stream(request):
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Crowwinch-Attempt-Id: {request.attempt_id}\r\n"
        "X-Crowwinch-Server-Seal: seal\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + event(1)


class CutHeadTest(RouterTest):
    """Guards against the start of an answer that is passed on as a whole."""

    async def _play(self, answer, kind, whole_body):
        cut = 0

        async def script(request, writer):
            nonlocal sent
            data = answer(request)
            sent = data[:cut]
            writer.write(sent)
            await writer.drain()
            return False

        sent = b""
        router = await self.router(
            script, kind=kind, max_attempts=1, is_engine=kind.is_stream
        )
        length = None
        while length is None or cut < length:
            router.health.remove_target("i-0")
            reply = await router.call(attempt_id="attempt-1")
            head, _, _ = answer(self.targets[0].requests[0]).partition(
                b"\r\n\r\n"
            )
            length = len(answer(self.targets[0].requests[0]))
            with self.subTest(answer=answer.__name__, cut=cut, sent=sent):
                if cut < len(head) + 4:
                    self.assertNotEqual(reply.status, 200)
                elif reply.status == 200:
                    self.assertFalse(
                        reply.is_complete and reply.body != whole_body
                    )
            cut += 1

    async def test_answers_with_an_end_of_their_own(self):
        for answer in (make_response, _chunked_body):
            for kind in (RouteKind.SAFE, RouteKind.UNSAFE):
                await self._play(answer, kind, _BODY)

    async def test_streams(self):
        for kind in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM):
            await self._play(_stream, kind, event(1))

    async def test_heads_of_answers_that_end_with_their_connection(self):
        """Cuts only the head, since the end of such a body is not marked."""
        for answer, kind in (
            (_closed_body, RouteKind.UNSAFE),
            (_closed_stream, RouteKind.STREAM),
        ):
            await self._play_heads(answer, kind)

    async def test_stream_that_ends_before_its_first_event(self):
        """Guards against an empty stream that looks whole."""

        async def script(request, writer):
            data = _closed_stream(request)
            writer.write(data.removesuffix(event(1)))
            await writer.drain()
            return False

        router = await self.router(
            script, kind=RouteKind.STREAM, max_attempts=1, is_engine=True
        )
        reply = await router.call()
        self.assertEqual(reply.status, 502)

    async def _play_heads(self, answer, kind):
        def head_only(request):
            return answer(request).partition(b"\r\n\r\n")[0] + b"\r\n\r"

        await self._play(head_only, kind, b"")

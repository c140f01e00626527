"""Tests of streams that end early, in each framing and at each point."""

import asyncio

from crowwinch.forwarding import RouteKind, StreamOrigin
from crowwinch.forwarding.tests.support import (
    RouterTest,
    chunk,
    event,
    reset,
    stream_head,
)

_EVENTS = [event(number) for number in range(1, 6)]
_BREAK_AFTER = 2
_FRAMINGS = ("chunks", "length", "connection")
_BREAKS = ("close", "reset")
# Events that are sent before the break, and bytes of the next one.
_POINTS = ((0, 0), (0, 5), (1, 0), (1, 5))


def _head(request, framing, size):
    head = stream_head(request)
    if framing == "chunks":
        return head
    new = b"Connection: close" if framing == "connection" else None
    return head.replace(
        b"Transfer-Encoding: chunked", new or b"Content-Length: %d" % size
    )


class StreamEndTest(RouterTest):
    """Guards against streams that look whole before their end (ORDER)."""

    def _script(self, framing, how, count, extra):
        """Returns a script whose answers all break off.

        Args:
            framing: What tells the end of the body.
            how: How the connection ends.
            count: Complete events of each answer after the first.
            extra: Bytes of the next event.
        """

        async def script(seen, writer):
            after = int(seen.headers.get("last-event-id", 0))
            rest = _EVENTS[after:]
            sent = rest[: _BREAK_AFTER if not after else count]
            data = b"".join(sent) + rest[len(sent)][:extra]
            head = _head(seen, framing, len(b"".join(rest)))
            if framing == "chunks" and data:
                data = chunk(data)
            writer.write(head + data)
            await writer.drain()
            await asyncio.sleep(0.03)
            if how == "reset":
                reset(writer)
            return False

        return script

    async def test_answer_that_breaks_off_is_not_whole(self):
        for framing in _FRAMINGS:
            for how in _BREAKS:
                for count, extra in _POINTS:
                    is_unmarked = (framing, how) == ("connection", "close")
                    if is_unmarked and (count or not extra):
                        # The end between two events is not marked.
                        continue
                    with self.subTest(
                        framing=framing, how=how, count=count, extra=extra
                    ):
                        await self._play(framing, how, count, extra)

    async def test_resumed_answer_that_ends_before_its_first_event(self):
        """The first answer breaks off inside an event; the others are empty."""
        calls = 0

        async def script(seen, writer):
            nonlocal calls
            calls += 1
            head = _head(seen, "connection", 0)
            if calls == 1:
                writer.write(head + _EVENTS[0] + _EVENTS[1][:5])
            else:
                writer.write(head)
            await writer.drain()
            return False

        for attempts in (1, 2, 3):
            with self.subTest(attempts=attempts):
                calls = 0
                router = await self.router(
                    *[script] * 3,
                    kind=RouteKind.RESUMABLE_STREAM,
                    is_engine=True,
                    max_attempts=attempts,
                )
                reply = await router.call()
                self.assertEqual(reply.body, _EVENTS[0])
                self.assertFalse(reply.is_complete)

    async def test_taken_up_answer_that_ends_before_its_first_event(self):
        async def script(seen, writer):
            writer.write(_head(seen, "connection", 0))
            await writer.drain()
            return False

        router = await self.router(
            script, kind=RouteKind.RESUMABLE_STREAM, is_engine=True
        )
        router.streams.record("first", StreamOrigin("s", ""))
        reply = await router.call(
            attempt_id="second", extra="Last-Event-Id: 2\r\nResumes: first\r\n"
        )
        self.assertFalse(reply.status == 200 and reply.is_complete)

    async def _play(self, framing, how, count, extra):
        script = self._script(framing, how, count, extra)
        router = await self.router(
            *[script] * 3,
            kind=RouteKind.RESUMABLE_STREAM,
            is_engine=True,
            max_attempts=3,
        )
        reply = await router.call()
        received = [each for each in _EVENTS if each in reply.body]
        self.assertFalse(reply.is_complete and len(received) < len(_EVENTS))
        self.assertEqual(reply.body, b"".join(_EVENTS[: len(received)]))

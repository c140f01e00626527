"""Polls over connections that stay open."""

import asyncio
import unittest

from crowwinch.coordination import ManualClock, TimerService
from crowwinch.targets import (
    AnswerTimeoutError,
    ConnectionLostError,
    IncompleteAnswerError,
    NotSentError,
    TargetLoad,
    TargetPoller,
)

_BODY = b'{"running": 1, "waiting": 2}'
_HEAD = b"HTTP/1.1 200 OK\r\n"
_WHOLE = _HEAD + b"Content-Length: %d\r\n\r\n" % len(_BODY) + _BODY
_CHUNKS = b"5\r\n%s\r\n17;x=y\r\n%s\r\n" % (_BODY[:5], _BODY[5:])
_CHUNKED = _HEAD + b"transfer-encoding: Chunked\r\n\r\n" + _CHUNKS
_UNTIL_END = _HEAD + b"\r\n" + _BODY
_CLOSING = _WHOLE.replace(b"\r\nCon", b"\r\nConnection: close\r\nCon")
_LOAD = TargetLoad(running=1, waiting=2)
_LOST, _BAD = ConnectionLostError, IncompleteAnswerError


class TargetPollerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against targets that wrongly count as lost or as alive."""

    async def _poll(self, script, polls):
        """Returns results, used connections and the URLs reported lost.

        Each connection answers with its strings in turn and is then closed;
        None is no answer.
        """
        connections = iter(script)
        used, requests = [], []

        async def serve(reader, writer):
            answers = next(connections)
            used.append(answers)
            for answer in answers:
                request = b""
                while not request.endswith(b"\r\n\r\n"):
                    if not (part := await reader.read(500)):
                        return writer.close()
                    request += part
                requests.append(request.partition(b"\r\n")[0])
                if answer is None:
                    await reader.read()
                # Small pieces, so that any part of an answer may come alone.
                size = len(answer or b"") // 50 + 1
                for index in range(0, len(answer or b""), size):
                    writer.write(answer[index : index + size])
                    await asyncio.sleep(0)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        lost = []
        poller = TargetPoller(TimerService(ManualClock()), None, lost.append)
        results = []
        for index in range(polls):
            if index == polls - 1 and not script[len(used) :]:
                server.close()
            try:
                results.append(
                    await poller.fetch(f"http://127.0.0.1:{port}/a/")
                )
            except Exception as error:
                results.append(type(error))
            await asyncio.sleep(0.02)
        await poller.stop()
        server.close()
        self.assertLessEqual(set(requests), {b"GET /a/load HTTP/1.1"})
        return results, len(used), len(lost)

    async def test_table(self):
        two = [_WHOLE, _WHOLE]
        cases = (
            ("kept for two polls", [two, two], [_LOAD] * 3, 2, 0),
            ("says that it closes", [[_CLOSING], two], [_LOAD] * 2, 2, 0),
            ("closes without a word", [[_WHOLE], two], [_LOAD] * 2, 2, 1),
            ("breaks a kept one", [[_WHOLE, b""], two], [_LOAD] * 2, 2, 0),
            ("half an answer", [[_WHOLE, _WHOLE[:30]], two], [_LOAD] * 2, 2, 0),
            ("one repeat only", [[_WHOLE, b""], [b""]], [_LOAD, _LOST], 2, 0),
            ("refuses", [[_WHOLE]], [_LOAD, NotSentError], 1, 1),
            ("chunks", [[_CHUNKED + b"0\r\n\r\n"] * 2], [_LOAD] * 2, 1, 0),
            ("trailers", [[_CHUNKED + b"0\r\na: b\r\n\r\n"]], [_LOAD], 1, 1),
            ("cut chunks", [[_CHUNKED]], [_LOST], 1, 0),
            ("bad chunk", [[_CHUNKED + b"?\r\n"]], [_LOST], 1, 0),
            ("no length", [[_UNTIL_END], two], [_LOAD] * 2, 2, 0),
            ("status", [[_WHOLE.replace(b"200", b"503")]], [_BAD], 1, 1),
            ("not JSON", [[_WHOLE.replace(b"{", b"[")]], [_BAD], 1, 1),
            ("not HTTP", [[b"SSH-2.0\r\n\r\n"]], [_LOST], 1, 0),
            ("too long", [[_HEAD + b"a" * 70_000]], [_LOST], 1, 0),
            ("silent", [[None]], [AnswerTimeoutError], 1, 0),
        )
        for name, script, results, connections, lost in cases:
            with self.subTest(name):
                self.assertEqual(
                    await self._poll(script, len(results)),
                    (results, connections, lost),
                )

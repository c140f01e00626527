"""Tests of answers that come and break off while an upload is sent."""

import asyncio
import unittest

from crowwinch.forwarding import RouteKind
from crowwinch.forwarding.tests.support import (
    ReceivedRequest,
    Router,
    ScriptedTarget,
    make_response,
    read_head,
    reset,
)
from crowwinch.targets import ConnectionLostError, TargetCall, TargetClient

_UPLOAD = bytes(4_000_000)
_PART = b"a part of the body"
# Time in seconds from the answer to the reset.
_DELAYS_S = (0.0, 0.05)
_KINDS = (RouteKind.UNSAFE, RouteKind.SAFE, RouteKind.STREAM)
_ATTEMPT = f"{1:032x}-1"


class _HastyTarget(ScriptedTarget):
    """Answers without reading the body, and resets the connection.

    The answer has no length, so the end of the connection is its end.
    """

    def __init__(self, delay_s):
        super().__init__(None)
        self._delay_s = delay_s

    async def _serve(self, reader, writer):
        lines = await read_head(reader)
        method, path, _ = lines[0].split(" ", 2)
        fields = (line.partition(":") for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in fields}
        request = ReceivedRequest(method, path, headers, b"")
        self.requests.append(request)
        answer = make_response(request, _PART)
        writer.write(
            answer.replace(
                b"Content-Length: %d" % len(_PART), b"Connection: close"
            )
        )
        await writer.drain()
        await asyncio.sleep(self._delay_s)
        reset(writer)


class UnreadUploadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a part of an answer that callers take for all of it."""

    async def test_router_behind_the_balancer(self):
        for kind in _KINDS:
            for delay_s in _DELAYS_S:
                with self.subTest(kind=kind, delay_s=delay_s):
                    target = _HastyTarget(delay_s)
                    router = Router([target], kind=kind, max_attempts=1)
                    await router.start()
                    reply = await router.call(body=_UPLOAD)
                    await router.stop()
                    self.assertGreaterEqual(len(target.requests), 1)
                    self.assertEqual(reply.status, 502)
                    self.assertIn(b'"run_state":"unknown"', reply.body)

    async def test_client_of_the_other_targets(self):
        client = TargetClient()
        await client.start()
        self.addAsyncCleanup(client.stop)
        for size in (0, len(_UPLOAD)):
            for delay_s in _DELAYS_S:
                with self.subTest(size=size, delay_s=delay_s):
                    target = _HastyTarget(delay_s)
                    await target.start()
                    call = TargetCall(
                        _ATTEMPT,
                        f"http://{target.address}",
                        "POST",
                        "/x",
                        {},
                        _UPLOAD[:size],
                        5.0,
                    )
                    with self.assertRaises(ConnectionLostError):
                        answer = await client.open(call)
                        try:
                            await answer.read()
                        finally:
                            answer.close()
                    await target.stop()


if __name__ == "__main__":
    unittest.main()

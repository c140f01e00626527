"""Tests of the status of responses of targets."""

import asyncio
import unittest

import aiohttp
from multidict import CIMultiDict

from crowwinch.forwarding._target_client import TargetClient
from crowwinch.response_handler import InvalidStatusError
from crowwinch.targets import ConnectionLostError, TargetCall
from crowwinch.targets import TargetClient as PooledClient

_ATTEMPT = "attempt-1"
_ATTEMPT_HEADER = "X-Crowwinch-Attempt-Id"
_END = f"\r\n{_ATTEMPT_HEADER}: {_ATTEMPT}\r\nContent-Length: 0\r\n\r\n"
_NOT_STATUSES = ("20", "0200", "1000", "-20", "+200", "200x", "", "OK")


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes that callers get as an answer.

    The HTTP library takes any three digits for a status.
    """

    async def asyncSetUp(self):
        self.status = ""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                head = f"HTTP/1.1 {self.status} Any"
                if self.status[:1] == "1" and self.status != "101":
                    head = f"{head}\r\n\r\nHTTP/1.1 200 OK"
                writer.write((head + _END).encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _check(self, status, ask, errors):
        """Checks what a client returns for a status line."""
        self.status = status
        is_status = len(status) == 3 and status.isdecimal()
        code = int(status) if is_status else 0
        if 200 <= code <= 599:
            self.assertEqual(await ask(), code)
        elif 100 <= code <= 199 and code != 101:
            self.assertEqual(await ask(), 200)
        else:
            with self.assertRaises(errors):
                await ask()

    async def test_client_of_targets_behind_the_balancer(self):
        client = TargetClient(_ATTEMPT_HEADER)
        await client.start()
        self.addAsyncCleanup(client.stop)

        async def ask():
            headers = CIMultiDict({_ATTEMPT_HEADER: _ATTEMPT})
            answer = await client.send(
                "POST", self.address, "/x", headers, b"body"
            )
            status = answer.status
            answer.release()
            return status

        for code in range(1000):
            with self.subTest(code):
                await self._check(f"{code:03}", ask, InvalidStatusError)
        for status in _NOT_STATUSES:
            with self.subTest(status):
                await self._check(status, ask, aiohttp.ClientError)

    async def test_client_of_other_targets(self):
        client = PooledClient()
        await client.start()
        self.addAsyncCleanup(client.stop)

        async def ask():
            call = TargetCall(
                _ATTEMPT,
                f"http://{self.address}",
                "POST",
                "/x",
                {},
                b"body",
                5.0,
            )
            answer = await client.open(call)
            status = answer.status
            answer.close()
            return status

        for code in range(1000):
            with self.subTest(code):
                await self._check(f"{code:03}", ask, ConnectionLostError)
        for status in _NOT_STATUSES:
            with self.subTest(status):
                await self._check(status, ask, ConnectionLostError)


if __name__ == "__main__":
    unittest.main()

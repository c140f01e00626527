"""Tests of refusing requests without parsing them."""

import asyncio
import json
import socket
import unittest
from unittest import mock

import uvloop

from crowwinch.forwarding import _early_refusals
from crowwinch.forwarding._early_refusals import EarlyRefusals
from crowwinch.forwarding.tests.support import refusal
from crowwinch.observability import Metrics

_LOGGER = "crowwinch.forwarding._early_refusals"
_HEAD = (
    b"POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
    b"X-Attempt: attempt-1\r\nContent-Length: %d\r\n\r\n"
)


class EarlyRefusalsTest(unittest.TestCase):
    """Guards against refusals that callers cannot read or rely on."""

    def setUp(self):
        self.metrics = Metrics()
        self.refusals = EarlyRefusals("X-Attempt", refusal, self.metrics)
        self.caller, self.connection = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.addCleanup(self.connection.close)
        self.caller.settimeout(5.0)
        self.connection.setblocking(False)

    def _refuse(self):
        return self.refusals.refuse(self.connection, 0.06)

    def _run(self, check):
        async def run():
            try:
                await check()
            finally:
                self.refusals.stop()

        uvloop.run(run())

    async def _read(self):
        """Reads until the router closes its side of the connection."""
        return await asyncio.to_thread(self._read_all)

    def _read_all(self):
        parts = []
        while part := self.caller.recv(65_536):
            parts.append(part)
        return b"".join(parts)

    async def _wait_closed(self):
        async with asyncio.timeout(2.0):
            while self.connection.fileno() >= 0:
                await asyncio.sleep(0.01)

    def test_the_response_has_a_reason_and_a_retry_delay(self):
        async def check():
            self.caller.sendall(_HEAD % 4 + b"body")
            with self.assertLogs(_LOGGER, "INFO") as logs:
                self.assertTrue(self._refuse())
            head, _, body = (await self._read()).partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            self.assertEqual(lines[0], "HTTP/1.1 503 Service Unavailable")
            self.assertIn("Retry-After: 0.05", lines)
            self.assertIn("Connection: close", lines)
            self.assertIn(f"Content-Length: {len(body)}", lines)
            error = json.loads(body)["error"]
            self.assertEqual(error["code"], "router_overloaded")
            self.assertEqual(error["run_state"], "not_run")
            self.assertEqual(error["request_id"], "attempt-1")
            self.assertEqual(logs.records[0].request_id, "attempt-1")
            self.caller.close()
            await self._wait_closed()

        self._run(check)
        reason = ("refusals", "reason", "router_overloaded")
        self.assertEqual(self.metrics.value(*reason), 1)

    def test_a_caller_that_is_sending_its_body_gets_the_response(self):
        """Guards against a reset before the caller has read the response."""

        async def check():
            self.caller.sendall(_HEAD % 300_000)
            self.assertTrue(self._refuse())
            for _ in range(300):
                await asyncio.to_thread(self.caller.sendall, b"x" * 1_000)
            self.assertIn(b" 503 ", await self._read())

        self._run(check)

    def test_keeps_a_connection_without_a_request(self):
        self.assertFalse(self._refuse())
        self.assertGreaterEqual(self.connection.fileno(), 0)

    def test_closes_the_connection_of_a_disconnected_caller(self):
        self.caller.close()
        self.assertTrue(self._refuse())
        self.assertEqual(self.connection.fileno(), -1)

    def test_closes_the_connection_of_a_caller_that_keeps_sending(self):
        """Guards against refused callers that occupy file descriptors."""

        async def check():
            self.caller.sendall(_HEAD % 1_000_000_000)
            self.assertTrue(self._refuse())
            with self.assertRaises(OSError):
                while True:
                    await asyncio.to_thread(self.caller.sendall, b"x" * 1_000)
            self.assertEqual(self.connection.fileno(), -1)

        with mock.patch.object(_early_refusals, "_LINGER_S", 0.2):
            self._run(check)

    def test_limits_lingering_connections(self):
        async def check():
            self.caller.sendall(_HEAD % 4 + b"body")
            self.assertTrue(self._refuse())
            self.assertEqual(self.connection.fileno(), -1)

        with mock.patch.object(
            _early_refusals, "_MAX_LINGERING_CONNECTIONS", 0
        ):
            self._run(check)
        self.assertIn(b" 503 ", self._read_all())


if __name__ == "__main__":
    unittest.main()

"""Tests of accepting, opening and refusing connections."""

import asyncio
import errno
import socket
import time
import unittest
from unittest import mock

import uvloop

from crowwinch.coordination import SystemClock
from crowwinch.forwarding import SocketAddress
from crowwinch.forwarding._early_refusals import EarlyRefusals
from crowwinch.forwarding._listener import ConnectionListener
from crowwinch.forwarding._overload import OverloadDetector
from crowwinch.forwarding.tests.support import (
    KEY,
    Router,
    ScriptedTarget,
    refusal,
    respond_ok,
)
from crowwinch.observability import Metrics

_LISTENER = "crowwinch.forwarding._listener"
_CONNECTIONS = 100
# Duration of an event loop iteration of a router that lacks processor time.
_ITERATION_S = 0.005
_LONG_ITERATION_S = 0.02
# All waiting connections must be opened or refused within this time.
_MAX_REFUSAL_DELAY_S = 0.2
# Event loop iterations from an accepted connection to its protocol.
_MAX_ITERATIONS = 10


def _is_refused(caller):
    caller.setblocking(False)
    try:
        return caller.recv(12) == b"HTTP/1.1 503"
    except BlockingIOError:
        return False


class _RecordingProtocol(asyncio.Protocol):
    def __init__(self, transports):
        self._transports = transports

    def connection_made(self, transport):
        self._transports.append(transport)


class ConnectionListenerTest(unittest.TestCase):
    """Guards against callers that wait long for an accept or a refusal."""

    def setUp(self):
        self.transports = []
        self.metrics = Metrics()
        self.refusals = EarlyRefusals("X-Attempt", refusal, self.metrics)
        self.overload = OverloadDetector(SystemClock(), lambda: 0.0)

    def _connect(self, port):
        caller = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.addCleanup(caller.close)
        return caller

    def _connections(self, outcome):
        return self.metrics.value("connections", "outcome", outcome)

    def _run(self, check, was_late=False):
        async def run():
            address = SocketAddress("127.0.0.1", 0)
            listener = ConnectionListener(
                SystemClock(),
                address,
                lambda: _RecordingProtocol(self.transports),
                self.refusals,
                self.overload,
                self.metrics,
                lambda: was_late,
            )
            await listener.start()
            try:
                await check(listener)
            finally:
                await listener.stop()
                for transport in self.transports:
                    transport.abort()
                await asyncio.sleep(0)

        uvloop.run(run())

    def test_accepts_many_connections_in_few_iterations(self):
        """Guards against one accepted connection per event loop iteration.

        Under load an iteration took 20 to 50 ms. Requests were read 1.5 s
        late, some after their callers had disconnected.
        """

        async def check(listener):
            for _ in range(_CONNECTIONS):
                self._connect(listener.port)
            for _ in range(_MAX_ITERATIONS):
                await asyncio.sleep(0)
            self.assertEqual(len(self.transports), _CONNECTIONS)

        self._run(check)

    def test_opens_few_connections_without_processor_time(self):
        """Guards against opening more connections than can be served.

        A router with half a core and 600 requests per second served 20 per
        second when it opened all connections at once, and 120 per second with
        one per event loop iteration.
        """

        async def check(listener):
            for _ in range(_CONNECTIONS):
                self._connect(listener.port)
            for _ in range(_MAX_ITERATIONS):
                await asyncio.sleep(0)
            self.assertLessEqual(len(self.transports), _MAX_ITERATIONS)

        self._run(check, was_late=True)

    def test_opens_or_refuses_all_waiting_connections(self):
        """Guards against callers that wait until they time out.

        Connections waited in the accept queue of the kernel behind those of
        callers that had disconnected.
        """

        async def check(listener):
            callers = [
                self._connect(listener.port) for _ in range(_CONNECTIONS)
            ]
            for caller in callers:
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            started = time.monotonic()
            while sum(map(self._connections, ("opened", "refused"))) < 100:
                await asyncio.sleep(0)
                time.sleep(_ITERATION_S)
            self.assertLess(time.monotonic() - started, _MAX_REFUSAL_DELAY_S)
            self.assertGreater(self._connections("refused"), 0)
            refused = [caller for caller in callers if _is_refused(caller)]
            self.assertEqual(len(refused), self._connections("refused"))

        self._run(check, was_late=True)

    def test_limits_refusals_per_iteration(self):
        """Guards against refusals that take all processor time.

        Connections that cannot be refused in time are closed unread.
        """

        async def check(listener):
            started = time.monotonic()
            iterations = 0
            while time.monotonic() - started < 1.0:
                for _ in range(30):
                    self._connect(listener.port).sendall(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(0)
                iterations += 1
                time.sleep(_LONG_ITERATION_S)
            self.assertGreater(self._connections("refused"), 0)
            self.assertLessEqual(self._connections("refused"), 16 * iterations)
            self.assertGreater(self._connections("closed_unread"), 0)
            self.assertGreater(self._connections("opened"), 5)

        self._run(check, was_late=True)

    def test_opens_few_connections_between_long_iterations(self):
        """Guards against a router that serves every request late."""

        async def check(listener):
            started = time.monotonic()
            while time.monotonic() - started < 1.0:
                for _ in range(5):
                    self._connect(listener.port).sendall(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(0)
                time.sleep(_LONG_ITERATION_S)
            self.assertGreater(self._connections("opened"), 5)
            self.assertLess(self._connections("opened"), 25)

        self._run(check, was_late=True)

    def test_opens_all_connections_at_a_low_rate(self):
        """Guards against refusals when there is time to serve the requests."""

        async def check(listener):
            for _ in range(20):
                self._connect(listener.port).sendall(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(_ITERATION_S)
            await asyncio.sleep(0.1)
            self.assertEqual(len(self.transports), 20)
            self.assertEqual(self._connections("refused"), 0)

        self._run(check, was_late=True)

    def test_refuses_waiting_connections_on_stop(self):
        """Guards against connections that a stop closes without a response."""

        async def check(listener):
            callers = [self._connect(listener.port) for _ in range(20)]
            for caller in callers:
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            while not self._connections("opened"):
                await asyncio.sleep(0)
            await listener.stop()
            self.assertGreater(self._connections("refused"), 0)
            self.assertTrue(_is_refused(callers[-1]))

        self._run(check, was_late=True)

    def test_counts_callers_that_disconnected(self):
        """Guards against disconnected callers that no log or metric shows."""

        async def check(listener):
            for _ in range(3):
                self._connect(listener.port)
            for _ in range(2):
                self._connect(listener.port).close()
            with self.assertLogs(_LISTENER, "WARNING") as logs:
                await asyncio.sleep(1.1)
            self.assertEqual(len(logs.records), 1)
            self.assertEqual(logs.records[0].accepted, 5)
            self.assertEqual(logs.records[0].left, 2)
            self.assertEqual(self._connections("opened"), 3)
            self.assertEqual(self._connections("caller_left"), 2)

        self._run(check)

    def test_accepts_again_after_descriptor_exhaustion(self):
        async def check(listener):
            no_descriptors = OSError(errno.EMFILE, "Too many open files")
            with (
                mock.patch.object(
                    socket.socket, "accept", side_effect=no_descriptors
                ),
                self.assertLogs(_LISTENER, "ERROR"),
            ):
                self._connect(listener.port)
                await asyncio.sleep(0.05)
            self.assertEqual(self.transports, [])
            await asyncio.sleep(0.2)
            self.assertEqual(len(self.transports), 1)

        self._run(check)

    def test_refuses_connections_after_stop(self):
        async def check(listener):
            port = listener.port
            await listener.stop()
            with self.assertRaises(ConnectionRefusedError):
                self._connect(port)

        self._run(check)


class DisconnectedCallerTest(unittest.TestCase):
    """Guards against forwarding requests of disconnected callers."""

    def test_does_not_forward_if_the_caller_left_before_the_read(self):
        """Guards against reading a request before the end of its connection.

        Both were pending in the socket, and the request was sent to a target
        before the router noticed that the caller had disconnected.
        """
        target = ScriptedTarget(respond_ok)

        async def run():
            router = Router([target], was_late=True)
            await router.start()
            # Leaves an open connection to the target, so that the next request
            # could be sent without waiting for a new one.
            await router.call(attempt_id="attempt-0")
            caller = socket.create_connection(("127.0.0.1", router.server.port))
            caller.sendall(
                b"POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
                b"X-Crowwinch-Attempt-Id: attempt-1\r\n"
                b"X-Api-Key: " + KEY.encode() + b"\r\n"
                b"Content-Length: 4\r\n\r\nbody"
            )
            caller.close()
            await asyncio.sleep(0.2)
            await router.stop()

        uvloop.run(run())
        self.assertEqual(
            [
                seen.headers["x-crowwinch-attempt-id"]
                for seen in target.requests
            ],
            ["attempt-0"],
        )


if __name__ == "__main__":
    unittest.main()

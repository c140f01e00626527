"""Connections of callers."""

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
# A turn of a late router, and when none of its connections may wait any more.
_TURN_S = 0.005
_LONG_TURN_S = 0.02
_LATEST_REFUSAL_S = 0.2
# Turns of the event loop from an accepted connection to a protocol.
_MOST_TURNS = 10


def _has_refusal(caller):
    caller.setblocking(False)
    try:
        return caller.recv(12) == b"HTTP/1.1 503"
    except BlockingIOError:
        return False


class _Protocol(asyncio.Protocol):
    def __init__(self, made):
        self._made = made

    def connection_made(self, transport):
        self._made.append(transport)


class ConnectionListenerTest(unittest.TestCase):
    """Guards against callers that wait for their connection to be accepted."""

    def setUp(self):
        self.made = []
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
                lambda: _Protocol(self.made),
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
                for transport in self.made:
                    transport.abort()
                await asyncio.sleep(0)

        uvloop.run(run())

    def test_a_crowd_is_accepted_in_few_turns(self):
        """Guards against one connection a turn of the event loop.

        Under load a turn took 20 to 50 ms and requests were read 1.5 s late,
        some of them after their callers had left.
        """

        async def check(listener):
            for _ in range(_CONNECTIONS):
                self._connect(listener.port)
            for _ in range(_MOST_TURNS):
                await asyncio.sleep(0)
            self.assertEqual(len(self.made), _CONNECTIONS)

        self._run(check)

    def test_a_late_process_ends_what_it_has_begun(self):
        """Guards against a crowd that leaves no time for any of its requests.

        A router with half a core that got 600 requests a second served 20 a
        second when all connections were accepted at once, 120 with one a turn.
        """

        async def check(listener):
            for _ in range(_CONNECTIONS):
                self._connect(listener.port)
            for _ in range(_MOST_TURNS):
                await asyncio.sleep(0)
            self.assertLessEqual(len(self.made), _MOST_TURNS)

        self._run(check, was_late=True)

    def test_a_late_process_opens_or_refuses_what_waits(self):
        """Guards against callers that wait until they give up.

        All connections waited in the queue of the kernel, where those of
        callers that had left came first.
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
                time.sleep(_TURN_S)
            self.assertLess(time.monotonic() - started, _LATEST_REFUSAL_S)
            self.assertGreater(self._connections("refused"), 0)
            refused = [caller for caller in callers if _has_refusal(caller)]
            self.assertEqual(len(refused), self._connections("refused"))

        self._run(check, was_late=True)

    def test_refusals_leave_time_for_answers(self):
        """Guards against a crowd whose refusals take all processor time.

        What cannot be refused in time is closed before it was read.
        """

        async def check(listener):
            started = time.monotonic()
            turns = 0
            while time.monotonic() - started < 1.0:
                for _ in range(30):
                    self._connect(listener.port).sendall(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(0)
                turns += 1
                time.sleep(_LONG_TURN_S)
            self.assertGreater(self._connections("refused"), 0)
            self.assertLessEqual(self._connections("refused"), 16 * turns)
            self.assertGreater(self._connections("closed_unread"), 0)
            self.assertGreater(self._connections("opened"), 5)

        self._run(check, was_late=True)

    def test_a_late_process_opens_few_connections_between_long_turns(self):
        """Guards against requests that are served late, all of them."""

        async def check(listener):
            started = time.monotonic()
            while time.monotonic() - started < 1.0:
                for _ in range(5):
                    self._connect(listener.port).sendall(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(0)
                time.sleep(_LONG_TURN_S)
            self.assertGreater(self._connections("opened"), 5)
            self.assertLess(self._connections("opened"), 25)

        self._run(check, was_late=True)

    def test_a_late_process_opens_all_that_come_slowly(self):
        """Guards against refusals by a router that has time again."""

        async def check(listener):
            for _ in range(20):
                self._connect(listener.port).sendall(b"GET / HTTP/1.1\r\n")
                await asyncio.sleep(_TURN_S)
            await asyncio.sleep(0.1)
            self.assertEqual(len(self.made), 20)
            self.assertEqual(self._connections("refused"), 0)

        self._run(check, was_late=True)

    def test_what_waits_at_the_end_is_refused(self):
        """Guards against connections that end without a word at a stop."""

        async def check(listener):
            callers = [self._connect(listener.port) for _ in range(20)]
            for caller in callers:
                caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            while not self._connections("opened"):
                await asyncio.sleep(0)
            await listener.stop()
            self.assertGreater(self._connections("refused"), 0)
            self.assertTrue(_has_refusal(callers[-1]))

        self._run(check, was_late=True)

    def test_callers_that_left_are_counted(self):
        """Guards against a queue of callers that left, seen by nobody."""

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

    def test_connections_are_accepted_again_after_descriptors_ran_out(self):
        async def check(listener):
            full = OSError(errno.EMFILE, "Too many open files")
            with (
                mock.patch.object(socket.socket, "accept", side_effect=full),
                self.assertLogs(_LISTENER, "ERROR"),
            ):
                self._connect(listener.port)
                await asyncio.sleep(0.05)
            self.assertEqual(self.made, [])
            await asyncio.sleep(0.2)
            self.assertEqual(len(self.made), 1)

        self._run(check)

    def test_a_closed_port_refuses_connections(self):
        async def check(listener):
            port = listener.port
            await listener.stop()
            with self.assertRaises(ConnectionRefusedError):
                self._connect(port)

        self._run(check)


class LateRouterTest(unittest.TestCase):
    """Guards against requests that are sent on after their callers left."""

    def test_a_caller_that_left_before_it_was_read(self):
        """Guards against a request that is read before the end of its caller.

        Both waited in the socket; the request went to a target first.
        """
        target = ScriptedTarget(respond_ok)

        async def run():
            router = Router([target], was_late=True)
            await router.start()
            # Leaves a connection to the target, which needs no turn to open.
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

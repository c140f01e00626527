"""Connections of callers."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

import uvloop

from crowwinch.forwarding import SocketAddress
from crowwinch.forwarding._listener import ConnectionListener

_CONNECTIONS = 100
# Turns of the event loop from an accepted connection to a protocol.
_MOST_TURNS = 10


class _Protocol(asyncio.Protocol):
    def __init__(self, made):
        self._made = made

    def connection_made(self, transport):
        self._made.append(transport)


class ConnectionListenerTest(unittest.TestCase):
    """Guards against callers that wait for their connection to be accepted."""

    def setUp(self):
        self.made = []

    def _connect(self, port):
        caller = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.addCleanup(caller.close)

    def _run(self, check):
        async def run():
            address = SocketAddress("127.0.0.1", 0)
            listener = ConnectionListener(address, lambda: _Protocol(self.made))
            await listener.start()
            try:
                await check(listener)
            finally:
                await listener.stop()

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

    def test_connections_are_accepted_again_after_descriptors_ran_out(self):
        async def check(listener):
            full = OSError(errno.EMFILE, "Too many open files")
            with (
                mock.patch.object(socket.socket, "accept", side_effect=full),
                self.assertLogs("crowwinch.forwarding._listener", "ERROR"),
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


if __name__ == "__main__":
    unittest.main()

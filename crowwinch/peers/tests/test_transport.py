"""Tests of the transport on loopback."""

import asyncio
import os
import time
import unittest

import uvloop
import zmq

from crowwinch.errors import PeerRejection
from crowwinch.peers import (
    FRAMING_BYTES,
    CurveKeys,
    PeerIdentity,
    PeerTransport,
)


def _new_keys():
    public, secret = zmq.curve_keypair()
    return CurveKeys(public.decode(), secret.decode())


class End:
    """A transport that keeps what it receives."""

    def __init__(self, name, keys=None, life=1, port=0):
        self.got, self.rejected = [], []
        self.transport = PeerTransport(
            PeerIdentity(name, life),
            "127.0.0.1",
            port,
            lambda *message: self.got.append(message),
            self.rejected.append,
            keys,
        )

    def know(self, **ports):
        self.transport.set_peers(
            {name: f"127.0.0.1:{port}" for name, port in ports.items()}
        )

    async def send(self, peer, content, timeout_s=3.0):
        end = time.monotonic() + timeout_s
        while not self.transport.send(peer, content):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        return True


def _count_descriptors():
    return len(os.listdir("/proc/self/fd"))


async def _until(condition, timeout_s=3.0):
    end = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(0.01)


class TransportTest(unittest.TestCase):
    """Guards against lost, forged and blocking messages."""

    def run_pair(self, scenario, keys_a=None, keys_b=None):
        async def run():
            a, b = End("a", keys_a), End("b", keys_b)
            await a.transport.start()
            await b.transport.start()
            a.know(b=b.transport.port)
            b.know(a=a.transport.port)
            try:
                await asyncio.wait_for(scenario(a, b), 20)
            finally:
                await a.transport.stop()
                await b.transport.stop()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())

    async def _burst(self, a, b):
        self.assertTrue(await a.send("b", b"0"))
        for index in range(1, 200):
            self.assertTrue(a.transport.send("b", b"%d" % index))
        await _until(lambda: len(b.got) == 200)
        expected = [(PeerIdentity("a", 1), b"%d" % i) for i in range(200)]
        self.assertEqual(b.got, expected)
        size = sum(len(content) for _, content in expected)
        size += 200 * FRAMING_BYTES
        self.assertEqual(a.transport.sent_bytes, size)
        self.assertEqual(b.transport.received_bytes, size)
        self.assertTrue(await b.send("a", b"back"))
        await _until(lambda: a.got)
        self.assertEqual(a.got, [(PeerIdentity("b", 1), b"back")])

    def test_messages_arrive_with_and_without_encryption(self):
        keys = _new_keys()
        for name, value in (("plain", None), ("curve", keys)):
            with self.subTest(name):
                self.run_pair(self._burst, value, value)

    def test_other_key_is_refused(self):
        keys, other = _new_keys(), _new_keys()
        # Knows the fleet's public key, but not its secret key.
        forged = CurveKeys(keys.public, other.secret)
        for name, value in (("other", other), ("forged", forged)):

            async def scenario(a, b):
                await a.send("b", b"x", 0.5)
                await asyncio.sleep(0.3)
                self.assertEqual(b.got, [])

            with self.subTest(name):
                self.run_pair(scenario, value, keys)

    def test_client_key_outside_the_fleet_is_refused(self):
        keys = _new_keys()

        async def scenario(a, b):
            context = zmq.Context()
            socket = context.socket(zmq.DEALER)
            socket.linger = 0
            socket.routing_id = b"a/1"
            public, secret = zmq.curve_keypair()
            socket.curve_publickey, socket.curve_secretkey = public, secret
            socket.curve_serverkey = keys.public.encode()
            socket.connect(f"tcp://127.0.0.1:{b.transport.port}")
            socket.send(b"x")
            await asyncio.sleep(0.5)
            socket.close()
            context.term()
            self.assertEqual(b.got, [])
            self.assertGreater(b.transport.refused_connections, 0)

        self.run_pair(scenario, keys, keys)

    def test_unlisted_peer_is_refused_and_counted(self):
        async def scenario(a, b):
            b.know()
            await a.send("b", b"x")
            await _until(lambda: b.rejected)
            self.assertEqual(b.rejected, [PeerRejection.UNKNOWN_PEER])
            self.assertEqual(b.got, [])

        self.run_pair(scenario)

    def test_reconnects_to_a_restarted_peer(self):
        async def scenario(a, b):
            self.assertTrue(await a.send("b", b"1"))
            # A message that still waits may go to the next life.
            await _until(lambda: b.got)
            self.assertEqual(b.got, [(PeerIdentity("a", 1), b"1")])
            port = b.transport.port
            await b.transport.stop()
            again = End("b", life=2, port=port)
            await again.transport.start()
            again.know(a=a.transport.port)
            end = time.monotonic() + 3
            while not again.got and time.monotonic() < end:
                a.transport.send("b", b"2")
                await asyncio.sleep(0.05)
            await again.send("a", b"3")
            await _until(lambda: a.got)
            await again.transport.stop()
            self.assertEqual(again.got[0][1], b"2")
            self.assertEqual(a.got, [(PeerIdentity("b", 2), b"3")])

        self.run_pair(scenario)

    def test_send_never_blocks_and_queues_are_bounded(self):
        async def scenario(a, b):
            self.assertFalse(a.transport.send("nobody", b"x"))
            self.assertTrue(await a.send("b", b"x"))
            started = time.monotonic()
            # Nothing runs on this loop, so `b` does not read.
            for _ in range(8000):
                a.transport.send("b", bytes(2000))
            self.assertLess(time.monotonic() - started, 2)
            self.assertGreater(a.transport.dropped, 1)

        self.run_pair(scenario)

    def test_idle_connections_close_at_both_ends_and_open_again(self):
        async def scenario(a, b):
            descriptors = _count_descriptors()
            for count, content in enumerate((b"1", b"2"), 1):
                self.assertTrue(a.transport.send("b", content))
                await _until(lambda count=count: len(b.got) == count)
                # The answer takes the connection that the message came on.
                self.assertTrue(b.transport.send("a", content))
                await _until(lambda count=count: len(a.got) == count)
                self.assertEqual(b.transport.opened_connections, 0)
                for end in (a, b):
                    # The figure of control traffic left handshakes out.
                    self.assertEqual(
                        end.transport.handshake_bytes, count * 1572
                    )
                a.transport.close_idle(60)
                self.assertEqual(a.transport.connections, 1)
                a.transport.close_idle(0)
                self.assertEqual(a.transport.connections, 0)
                await _until(lambda: _count_descriptors() == descriptors)
                self.assertEqual(_count_descriptors(), descriptors)
            self.assertEqual([each for _, each in b.got], [b"1", b"2"])
            self.assertEqual(a.got[1], (PeerIdentity("b", 1), b"2"))
            # Nothing is lost when the peer has closed its connection.
            self.assertTrue(b.transport.send("a", b"3"))
            await _until(lambda: len(a.got) == 3)
            self.assertEqual(a.got[2], (PeerIdentity("b", 1), b"3"))

        self.run_pair(scenario, *[_new_keys()] * 2)

    def test_message_waits_for_a_connection_within_a_bound(self):
        async def scenario(a, b):
            port = b.transport.port
            await b.transport.stop()
            for _ in range(300):
                a.transport.send("b", b"old")
            self.assertEqual(a.transport.waiting, 256)
            self.assertEqual(a.transport.dropped, 44)
            await asyncio.sleep(1.1)
            again = End("b", life=2, port=port)
            await again.transport.start()
            again.know(a=a.transport.port)
            self.assertTrue(a.transport.send("b", b"new"))
            self.assertEqual(a.transport.dropped, 300)
            await _until(lambda: again.got)
            await again.transport.stop()
            self.assertEqual(again.got, [(PeerIdentity("a", 1), b"new")])

        self.run_pair(scenario)

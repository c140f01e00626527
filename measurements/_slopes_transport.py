"""Slopes of the encrypted connections between routers, on loopback."""

import asyncio
import gc
import multiprocessing
import os
import time
from collections.abc import Iterator
from multiprocessing.connection import Connection
from typing import Any

import zmq

from crowwinch.peers import CurveKeys, PeerIdentity, PeerTransport
from measurements._fit import slope_of

_PEERS = (20, 60, 180)
_MESSAGES = (2_000, 6_000, 18_000)
_CONTENT = b"x" * 120
_SETTLE_S = 1.5


def _resident() -> float:
    with open("/proc/self/status", encoding="ascii") as file:
        line = next(each for each in file if each.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def _descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


class _Peers:
    """Sockets of all other routers, in a process of their own."""

    def __init__(self, count: int, keys: CurveKeys) -> None:
        self._context = zmq.Context()
        self._keys = keys
        self.routers = [self._socket(zmq.ROUTER) for _ in range(count)]
        for socket in self.routers:
            socket.curve_server = True
            socket.bind("tcp://127.0.0.1:0")
        self.addresses = {
            f"peer-{index}": each.getsockopt(zmq.LAST_ENDPOINT)
            .rstrip(b"\0")
            .decode()
            .removeprefix("tcp://")
            for index, each in enumerate(self.routers)
        }
        self._dealers: list[zmq.Socket] = []

    def connect(self, port: int) -> None:
        """Connects to the measured router."""
        for index in range(len(self.routers)):
            dealer = self._socket(zmq.DEALER)
            identity = PeerIdentity(f"peer-{index}", 1)
            dealer.setsockopt(zmq.ROUTING_ID, identity.to_bytes())
            dealer.curve_serverkey = self._keys.public.encode()
            dealer.connect(f"tcp://127.0.0.1:{port}")
            self._dealers.append(dealer)

    def exchange(self, messages: int) -> None:
        """Sends messages to the measured router and drops those it sent."""
        for index in range(messages):
            self._dealers[index % len(self._dealers)].send(_CONTENT)
            if index % 500 == 0:
                time.sleep(0.01)
        for router in self.routers:
            while router.poll(0):
                router.recv_multipart()

    def close(self) -> None:
        """Closes all sockets."""
        self._context.destroy(linger=0)

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_secretkey = self._keys.secret.encode()
        socket.sndhwm = socket.rcvhwm = 0
        return socket


def _serve_peers(pipe: Connection, count: int, keys: CurveKeys) -> None:
    peers = _Peers(count, keys)
    pipe.send(peers.addresses)
    peers.connect(pipe.recv())
    while messages := pipe.recv():
        peers.exchange(messages)
        pipe.send(True)
    peers.close()


async def _measure(pipe: Connection, keys: CurveKeys) -> dict[str, Any]:
    """Connects to all peers and exchanges messages with them."""
    received = 0

    def receive(sender: PeerIdentity, content: bytes) -> None:
        nonlocal received
        received += 1

    addresses = pipe.recv()
    transport = PeerTransport(
        PeerIdentity("own", 1),
        "127.0.0.1",
        0,
        receive,
        lambda reason: None,
        keys,
    )
    await transport.start()
    gc.collect()
    memory, files = _resident(), _descriptors()
    processor = time.process_time()
    transport.set_peers(addresses)
    pipe.send(transport.port)
    await asyncio.sleep(_SETTLE_S)
    result: dict[str, Any] = {
        "connect_ms": (time.process_time() - processor) * 1e3,
        "memory": _resident() - memory,
        "files": _descriptors() - files,
        "exchange_ms": [],
    }
    names = list(addresses)
    for messages in _MESSAGES:
        processor, received = time.process_time(), 0
        pipe.send(messages)
        for index in range(messages):
            transport.send(names[index % len(names)], _CONTENT)
            if index % 500 == 0:
                await asyncio.sleep(0.01)
        while received < messages or not pipe.poll():
            await asyncio.sleep(0.01)
        pipe.recv()
        result["exchange_ms"].append((time.process_time() - processor) * 1e3)
    pipe.send(0)
    await transport.stop()
    return result


def _run(pipe: Connection, keys: CurveKeys) -> None:
    pipe.send(asyncio.run(_measure(pipe.recv(), keys)))


def transport() -> Iterator[dict[str, Any]]:
    """Yields memory, files and processor time of connections and messages."""
    public, secret = (each.decode() for each in zmq.curve_keypair())
    keys = CurveKeys(public, secret)
    context = multiprocessing.get_context("spawn")
    results = []
    for count in _PEERS:
        own, other = context.Pipe()
        peers = context.Process(target=_serve_peers, args=(other, count, keys))
        ours, child = context.Pipe()
        subject = context.Process(target=_run, args=(child, keys))
        peers.start()
        subject.start()
        ours.send(own)
        results.append(ours.recv())
        for process in (subject, peers):
            process.join()
    for key, unit in (
        ("memory", "bytes"),
        ("files", "files"),
        ("connect_ms", "ms"),
    ):
        yield slope_of(
            f"connection_{key}",
            unit,
            "other routers",
            _PEERS,
            [each[key] for each in results],
            7,
            339,
        )
    yield slope_of(
        "message_processor",
        "ms",
        "messages sent and as many received",
        _MESSAGES,
        results[1]["exchange_ms"],
        1,
        1_000,
    )

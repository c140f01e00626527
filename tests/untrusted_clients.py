"""Clients that try to exhaust the memory or descriptors of a process."""

import asyncio
import itertools
import os
import pathlib
import signal
import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import uvloop

from standins.processes import Process
from tests.platform_fleet import HOST, KEY

Address = tuple[str, int]

# Small enough for fields within `MaxHeaderBytes`, and above the size from which
# the HTTP library keeps a field in pieces.
_FIELD_BYTES = 15_000
# Targets of the tests take fields up to 8,190 bytes.
_TARGET_FIELD_BYTES = 6_000
# The HTTP library takes at most 128 fields.
_FIELDS = 120
_BODY_BYTES = 100_000
_ANNOUNCED_BYTES = 4_000_000
_EMPTY_LINES = b"\r\n" * 4_096
_TINY_FIELDS = b"a:b\r\n" * 1_000
# Pauses between pieces of data: within a flood, and of clients that only keep
# their connection in use.
_FLOOD_PAUSE_S = 0.002
_TRICKLE_PAUSE_S = 0.05
_RECONNECT_PAUSE_S = 0.05
# A small receive window, so that responses stay at the server.
_WINDOW_BYTES = 4_096
_SAMPLE_S = 0.02

_START = (
    f"POST /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n".encode()
)
_CHUNKED = _START + b"Transfer-Encoding: chunked\r\n\r\n"


def _fields() -> Iterator[bytes]:
    for number in range(_FIELDS):
        yield b"x-%d: %s\r\n" % (number, b"a" * _FIELD_BYTES)
    yield b"x"
    while True:
        yield b""


def _large_fields() -> Iterator[bytes]:
    return itertools.chain((_START,), _fields())


def _endless_field() -> Iterator[bytes]:
    piece = b"a" * _FIELD_BYTES
    return itertools.chain((_START + b"x: ",), itertools.repeat(piece))


def _endless_request_line() -> Iterator[bytes]:
    piece = b"a" * _FIELD_BYTES
    return itertools.chain((b"GET /",), itertools.repeat(piece))


def _endless_trailers() -> Iterator[bytes]:
    start = _CHUNKED + b"4\r\nbody\r\n0\r\n"
    return itertools.chain((start,), _fields())


def _empty_lines() -> Iterator[bytes]:
    return itertools.repeat(_EMPTY_LINES)


def _tiny_fields() -> Iterator[bytes]:
    return itertools.chain((_START,), itertools.repeat(_TINY_FIELDS))


def _chunk_extensions() -> Iterator[bytes]:
    piece = b"a" * _FIELD_BYTES
    return itertools.chain((_CHUNKED + b"4;",), itertools.repeat(piece))


def _unread_responses() -> Iterator[bytes]:
    request = (
        _START
        + b"x: %s\r\n" % (b"a" * _TARGET_FIELD_BYTES)
        + b"y: %s\r\n" % (b"a" * _TARGET_FIELD_BYTES)
        + b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
        + b"b" * _BODY_BYTES
    )
    return itertools.repeat(request)


def _announced_body() -> Iterator[bytes]:
    start = _START + b"Content-Length: %d\r\n\r\n" % _ANNOUNCED_BYTES
    return itertools.chain((start,), itertools.repeat(b""))


def _endless_body() -> Iterator[bytes]:
    start = _START + b"Content-Length: 1000000000\r\n\r\n"
    return itertools.chain((start,), itertools.repeat(b"a" * _FIELD_BYTES))


def _silence() -> Iterator[bytes]:
    return itertools.repeat(b"")


FORMS: dict[str, Callable[[], Iterator[bytes]]] = {
    "large fields": _large_fields,
    "endless field": _endless_field,
    "endless request line": _endless_request_line,
    "endless trailers": _endless_trailers,
    "empty lines": _empty_lines,
    "tiny fields": _tiny_fields,
    "chunk extensions": _chunk_extensions,
    "unread responses": _unread_responses,
    "announced body": _announced_body,
    "endless body": _endless_body,
    "silence": _silence,
}


async def _attack(
    address: Address, form: Callable[[], Iterator[bytes]]
) -> None:
    """Plays one form without reading; connects again when closed."""
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES
            )
            try:
                await loop.sock_connect(connection, address)
                for piece in form():
                    if piece:
                        await loop.sock_sendall(connection, piece)
                    await asyncio.sleep(
                        _FLOOD_PAUSE_S if piece else _TRICKLE_PAUSE_S
                    )
            except OSError:
                await asyncio.sleep(_RECONNECT_PAUSE_S)


async def _crowd(
    addresses: Sequence[Address],
    forms: Sequence[str],
    clients: int,
    seconds: float,
) -> None:
    tasks = [
        asyncio.ensure_future(
            _attack(
                addresses[number // len(forms) % len(addresses)],
                FORMS[forms[number % len(forms)]],
            )
        )
        for number in range(clients)
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run_untrusted_clients(
    addresses: Sequence[Address],
    forms: Sequence[str],
    clients: int,
    seconds: float,
) -> None:
    """Lets clients play forms against addresses in turn, for some seconds."""
    uvloop.run(_crowd(addresses, forms, clients, seconds))


@dataclass(slots=True)
class Peak:
    """Highest figures of a process.

    Attributes:
        memory_bytes: Resident memory.
        descriptors: Open file descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0


class ResourceWatch:
    """Records what a process uses, and ends it above its memory.

    The operators' platform ends a process that exceeds its memory in the same
    way, which also protects the machine that runs the test.
    """

    def __init__(self, process: Process, memory_bytes: int) -> None:
        """Stores which process may use how much memory."""
        self.peak = Peak()
        self._process = process
        self._memory_bytes = memory_bytes
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "ResourceWatch":
        """Starts to watch."""
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        """Takes the last figures."""
        self._is_over.set()
        self._thread.join()
        self._sample()

    def _run(self) -> None:
        while not self._is_over.wait(_SAMPLE_S):
            self._sample()
            if self.peak.memory_bytes > self._memory_bytes:
                self._process.signal(signal.SIGKILL)

    def _sample(self) -> None:
        folder = pathlib.Path(f"/proc/{self._process.handle.pid}")
        try:
            status = (folder / "status").read_text()
            descriptors = len(os.listdir(folder / "fd"))
        except OSError:
            # The process has ended.
            return
        for line in status.splitlines():
            # The kernel's own record of the highest resident memory.
            if line.startswith("VmHWM:"):
                self.peak.memory_bytes = int(line.split()[1]) * 1024
        self.peak.descriptors = max(self.peak.descriptors, descriptors)

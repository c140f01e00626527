"""Datagrams between routers."""

import asyncio
import logging
import socket
from collections.abc import Callable

import msgspec

from crowwinch.errors import PeerRejection
from crowwinch.generated.fleet_messages import FleetUpdate

_LOGGER = logging.getLogger(__name__)

# First byte of each datagram; another version of the format gets another one.
_FORMAT = b"\x02"
_LARGEST_BYTES = 60_000
# Largest payload of a datagram, rounded up.
_BUFFER_BYTES = 65_536
# Datagrams read without a turn of the event loop in between; four times as many
# as a router gets in one period.
_MOST_AT_ONCE = 64
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetUpdate)


class FleetEndpoint:
    """Sends and receives updates; a lost one is replaced by the next.

    It reads a plain socket, since the transport of the event loop took ten
    times the processor time for each datagram.
    """

    def __init__(
        self,
        host: str,
        port: int,
        receive: Callable[[FleetUpdate], None],
        count_rejection: Callable[[PeerRejection], None],
    ) -> None:
        """Stores where to listen and what to call."""
        self._host = host
        self._port = port
        self._receive = receive
        self._count_rejection = count_rejection
        self._socket: socket.socket | None = None
        self._is_polled = False

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: If the port is taken.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self._host, self._port))
        asyncio.get_running_loop().add_reader(self._socket, self.poll)

    async def stop(self) -> None:
        """Closes the port."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def set_polled(self, is_polled: bool) -> None:
        """Chooses whether updates wait in the socket until the next `poll`.

        Otherwise they are passed on as they come, which wakes the process for
        each of them.
        """
        if self._socket is None or is_polled == self._is_polled:
            return
        self._is_polled = is_polled
        loop = asyncio.get_running_loop()
        if is_polled:
            loop.remove_reader(self._socket)
        else:
            loop.add_reader(self._socket, self.poll)

    def poll(self) -> None:
        """Passes on the updates that wait in the socket."""
        for _ in range(_MOST_AT_ONCE):
            if self._socket is None:
                return
            try:
                datagram = self._socket.recv(_BUFFER_BYTES)
            except OSError:
                # Nothing is left, or an earlier datagram was not deliverable.
                return
            self.take(datagram)

    def send(self, update: FleetUpdate, hosts: list[str]) -> None:
        """Sends an update to the same port of other VMs."""
        if self._socket is None:
            return
        datagram = _FORMAT + _ENCODER.encode(update)
        if len(datagram) > _LARGEST_BYTES:
            _LOGGER.error("update too large", extra={"bytes": len(datagram)})
            return
        for host in hosts:
            try:
                self._socket.sendto(datagram, (host, self._port))
            except OSError:
                # Unreachable or no buffer left: the next update tells the same.
                continue

    def take(self, datagram: bytes) -> None:
        """Decodes a datagram; a malformed one is counted and dropped."""
        if datagram[:1] != _FORMAT:
            self._count_rejection(PeerRejection.UNKNOWN_VERSION)
            return
        try:
            update = _DECODER.decode(memoryview(datagram)[1:])
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._count_rejection(PeerRejection.MALFORMED)
            return
        self._receive(update)

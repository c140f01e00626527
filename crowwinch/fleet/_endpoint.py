"""Datagrams between routers."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from crowwinch.errors import PeerRejection
from crowwinch.generated.fleet_messages import FleetUpdate

_LOGGER = logging.getLogger(__name__)

# First byte of each datagram; another version of the format gets another one.
_FORMAT = b"\x02"
_LARGEST_BYTES = 60_000
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FleetUpdate)


class FleetEndpoint(asyncio.DatagramProtocol):
    """Sends and receives updates; a lost one is replaced by the next."""

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
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Starts to listen."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )
        self._transport = transport

    async def stop(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()

    def send(self, update: FleetUpdate, hosts: list[str]) -> None:
        """Sends an update to the same port of other VMs."""
        if self._transport is None or self._transport.is_closing():
            return
        datagram = _FORMAT + _ENCODER.encode(update)
        if len(datagram) > _LARGEST_BYTES:
            _LOGGER.error("update too large", extra={"bytes": len(datagram)})
            return
        for host in hosts:
            self._transport.sendto(datagram, (host, self._port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decodes a datagram; a malformed one is counted and dropped."""
        if data[:1] != _FORMAT:
            self._count_rejection(PeerRejection.UNKNOWN_VERSION)
            return
        try:
            update = _DECODER.decode(memoryview(data)[1:])
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._count_rejection(PeerRejection.MALFORMED)
            return
        self._receive(update)

    def error_received(self, exc: Exception) -> None:
        """Ignores unreachable routers; silence tells the same."""
        del exc

"""UDP endpoint for updates between routers."""

import asyncio
import logging
import socket
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec

from crowwinch.errors import DECODE_ERRORS, PeerRejection
from crowwinch.fleet._update_size import shorten_update
from crowwinch.generated.fleet_messages import (
    FleetUpdate,
    HandoverReceipt,
    StreamHandover,
    StreamMessage,
)

_LOGGER = logging.getLogger(__name__)

# First byte of each datagram: the kind and version of the wire format, changed
# with each incompatible format.
_UPDATE_FORMAT = b"\x02"
_STREAM_FORMATS: Mapping[type, bytes] = {
    StreamMessage: b"\x03",
    StreamHandover: b"\x04",
    HandoverReceipt: b"\x05",
}
_MAX_UPDATE_BYTES = 60_000
# Largest UDP payload, rounded up to a power of two.
_RECEIVE_BUFFER_BYTES = 65_536
# Datagrams read per call before control returns to the event loop; four times
# the number that a router receives in one update period.
_MAX_DATAGRAMS_PER_POLL = 64
# Minimum interval between two log lines on updates that were shortened.
_SHORTENED_LOG_INTERVAL_S = 10.0
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {
    _UPDATE_FORMAT: msgspec.msgpack.Decoder(FleetUpdate),
    **{
        number: msgspec.msgpack.Decoder(kind)
        for kind, number in _STREAM_FORMATS.items()
    },
}
# What routers tell each other about streams.
StreamDatagram = StreamMessage | StreamHandover | HandoverReceipt


class FleetEndpoint:
    """Sends and receives updates over UDP.

    Lost datagrams are not resent, as the next update supersedes them. The
    endpoint reads a plain socket: the datagram transport of the event loop took
    ten times the processor time for each datagram.
    """

    def __init__(
        self,
        host: str,
        port: int,
        receive: Callable[[FleetUpdate], None],
        count_rejection: Callable[[PeerRejection], None],
        receive_stream: Callable[[StreamDatagram], None] = lambda message: None,
    ) -> None:
        """Creates an endpoint; the socket is opened by `start`.

        Args:
            host: Address to listen on.
            port: Port to listen on, and to which updates are sent.
            receive: Called with each decoded update.
            count_rejection: Called with the reason of each dropped datagram.
            receive_stream: Called with each decoded message about a stream.
        """
        self._host = host
        self._port = port
        self._receive = receive
        self._receive_stream = receive_stream
        self._count_rejection = count_rejection
        self._socket: socket.socket | None = None
        self._is_polled = False
        self._shortened_logged_at = float("-inf")

    async def start(self) -> None:
        """Opens the socket and starts to receive.

        Raises:
            OSError: If the socket cannot be bound, such as when the port is in
                use.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self._host, self._port))
        asyncio.get_running_loop().add_reader(self._socket, self.poll)

    async def stop(self) -> None:
        """Closes the socket."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def set_polled(self, is_polled: bool) -> None:
        """Chooses between polling and reading on arrival.

        Args:
            is_polled: Whether updates stay in the socket buffer until the next
                `poll`. Otherwise each one wakes the event loop on arrival.
        """
        if self._socket is None or is_polled == self._is_polled:
            return
        self._is_polled = is_polled
        loop = asyncio.get_running_loop()
        if is_polled:
            loop.remove_reader(self._socket)
        else:
            loop.add_reader(self._socket, self.poll)

    def poll(self) -> bool:
        """Reads and dispatches the datagrams in the socket buffer.

        Returns:
            Whether the buffer is empty.
        """
        for _ in range(_MAX_DATAGRAMS_PER_POLL):
            if self._socket is None:
                return False
            try:
                datagram = self._socket.recv(_RECEIVE_BUFFER_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                # An earlier send failed (ICMP error).
                continue
            self.handle_datagram(datagram)
        return False

    def send(self, update: FleetUpdate, hosts: list[str]) -> None:
        """Sends an update to the peer port of each host.

        An update over the size limit is shortened.
        """
        datagram = _UPDATE_FORMAT + _ENCODER.encode(update)
        if len(datagram) > _MAX_UPDATE_BYTES:
            size = len(datagram)
            shortened, left_out = shorten_update(update, _MAX_UPDATE_BYTES - 1)
            datagram = _UPDATE_FORMAT + _ENCODER.encode(shortened)
            self._log_shortened(size, left_out)
        self._send_datagram(datagram, hosts)

    def send_stream(
        self, message: StreamDatagram, hosts: Sequence[str]
    ) -> None:
        """Sends a message about streams to the peer port of each host."""
        datagram = _STREAM_FORMATS[type(message)] + _ENCODER.encode(message)
        self._send_datagram(datagram, hosts)

    def handle_datagram(self, datagram: bytes) -> None:
        """Decodes and dispatches a datagram; counts and drops invalid ones."""
        decoder = _DECODERS.get(datagram[:1])
        if decoder is None:
            self._count_rejection(PeerRejection.UNKNOWN_VERSION)
            return
        try:
            message = decoder.decode(memoryview(datagram)[1:])
        except DECODE_ERRORS:
            self._count_rejection(PeerRejection.MALFORMED)
            return
        if isinstance(message, FleetUpdate):
            self._receive(message)
        else:
            self._receive_stream(message)

    def _log_shortened(self, size: int, left_out: Mapping[str, int]) -> None:
        now = time.monotonic()
        if now - self._shortened_logged_at < _SHORTENED_LOG_INTERVAL_S:
            return
        self._shortened_logged_at = now
        _LOGGER.warning(
            "update exceeds the datagram size limit; shortened",
            extra={"bytes": size, "left_out": dict(left_out)},
        )

    def _send_datagram(self, datagram: bytes, hosts: Sequence[str]) -> None:
        if self._socket is None:
            return
        for host in hosts:
            try:
                self._socket.sendto(datagram, (host, self._port))
            except OSError:
                # Host unreachable or send buffer full. The next update
                # supersedes this one; records go to several hosts.
                continue

"""Sockets between routers."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import zmq

from crowwinch.errors import PeerRejection
from crowwinch.peers._authentication import FleetAuthenticator
from crowwinch.peers._codec import MAX_MESSAGE_BYTES
from crowwinch.peers._identity import PeerIdentity

_LOGGER = logging.getLogger(__name__)

# CURVE, ZMTP and TCP/IP headers of a message.
FRAMING_BYTES = 33 + 2 + 40
# Messages that wait for a connected peer. At 5 messages a second this is 50 s;
# what waits longer is out of date.
_SEND_QUEUE = 256
_RECEIVE_QUEUE = 4096
# Messages handled before other work of the event loop gets a turn.
_BATCH = 64
_RECONNECT_MS = 100
# A restarted router must be reached within a probe period.
_RECONNECT_MAX_MS = 800
_CONNECT_TIMEOUT_MS = 1000
# Without a bound, TCP retries with growing delay for minutes after a
# partition has healed.
_UNACKNOWLEDGED_MS = 3000


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Key pair of the fleet as Z85 text."""

    public: str
    secret: str


class PeerTransport:
    """One ROUTER socket that receives and one DEALER socket for each peer.

    Nothing blocks: a message to a peer that is not connected, or whose queue
    is full, is dropped and counted. The components above send again.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        host: str,
        port: int,
        on_message: Callable[[PeerIdentity, bytes], None],
        count: Callable[[PeerRejection], None],
        keys: CurveKeys | None = None,
    ) -> None:
        """Stores where to listen; nothing is opened before `start`.

        Args:
            identity: This router.
            host: Address to bind.
            port: Port to bind, 0 for a free one.
            on_message: Called with sender and content of each message.
            count: Called with the reason of each rejected message.
            keys: Key pair of the fleet, None for no encryption.
        """
        self._identity = identity
        self._host = host
        self._port = port
        self._on_message = on_message
        self._count = count
        self._keys = keys
        self._context: zmq.Context | None = None
        self._router: zmq.Socket | None = None
        self._authenticator: FleetAuthenticator | None = None
        self._peers: dict[str, tuple[str, zmq.Socket]] = {}
        self._continuation: asyncio.Handle | None = None
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0

    @property
    def port(self) -> int:
        """The port in use once started."""
        return self._port

    @property
    def sent_bytes(self) -> int:
        """Bytes sent, with framing."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes received, with framing, also of rejected messages."""
        return self._received_bytes

    @property
    def dropped(self) -> int:
        """Messages that were not sent."""
        return self._dropped

    @property
    def refused_connections(self) -> int:
        """Connections refused for their key."""
        return self._authenticator.refused if self._authenticator else 0

    async def start(self) -> None:
        """Binds the port and starts to receive."""
        self._context = zmq.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._router.linger = 0
        self._router.rcvhwm = _RECEIVE_QUEUE
        # The library closes the connection at this size; smaller oversized
        # messages are counted by the codec.
        self._router.setsockopt(zmq.MAXMSGSIZE, 2 * MAX_MESSAGE_BYTES)
        # A reconnecting peer replaces its half-open connection.
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        if self._keys is not None:
            self._authenticator = FleetAuthenticator(
                self._context, self._keys.public
            )
            self._authenticator.start()
            self._router.curve_server = True
            self._router.zap_domain = b"crowwinch"
            self._set_keys(self._router, self._keys)
        self._router.bind(f"tcp://{self._host}:{self._port}")
        endpoint = self._router.getsockopt(zmq.LAST_ENDPOINT)
        self._port = int(endpoint.rstrip(b"\0").rsplit(b":", 1)[1])
        loop = asyncio.get_running_loop()
        loop.add_reader(self._router.fileno(), self._receive)
        self._receive()

    async def stop(self) -> None:
        """Closes all sockets; messages that wait are dropped."""
        if self._context is None or self._router is None:
            return
        if self._continuation is not None:
            self._continuation.cancel()
        asyncio.get_running_loop().remove_reader(self._router.fileno())
        for _, socket in self._peers.values():
            socket.close()
        self._peers.clear()
        self._router.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        # Every socket is closed without linger, so this returns at once.
        self._context.term()
        self._context = None

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Connects to the routers in the VM list and to no others.

        Args:
            addresses: HOST:PORT by name; the own name is passed over.
        """
        for name, (address, socket) in list(self._peers.items()):
            if addresses.get(name) != address:
                socket.close()
                del self._peers[name]
        for name, address in addresses.items():
            if name == self._identity.name or name in self._peers:
                continue
            try:
                self._peers[name] = (address, self._connect(address))
            except zmq.ZMQError as error:
                _LOGGER.warning("address %s of %s: %s", address, name, error)

    def send(self, peer: str, content: bytes) -> bool:
        """Sends to a peer without blocking.

        Returns:
            Whether the message was queued; False if it was dropped.
        """
        entry = self._peers.get(peer)
        if entry is not None:
            try:
                entry[1].send(content, zmq.NOBLOCK)
            except zmq.ZMQError:
                entry = None
        if entry is None:
            self._dropped += 1
            return False
        self._sent_bytes += len(content) + FRAMING_BYTES
        return True

    def _connect(self, address: str) -> zmq.Socket:
        assert self._context is not None, "the transport was not started"
        socket = self._context.socket(zmq.DEALER)
        try:
            socket.linger = 0
            socket.sndhwm = _SEND_QUEUE
            socket.setsockopt(zmq.ROUTING_ID, self._identity.to_bytes())
            # Without a connection nothing is queued, so a peer that returns
            # is not sent what was meant for its earlier life.
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
            socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
            socket.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_MS)
            if self._keys is not None:
                self._set_keys(socket, self._keys)
                socket.curve_serverkey = self._keys.public.encode()
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        return socket

    @staticmethod
    def _set_keys(socket: zmq.Socket, keys: CurveKeys) -> None:
        socket.curve_publickey = keys.public.encode()
        socket.curve_secretkey = keys.secret.encode()

    def _receive(self) -> None:
        """Handles messages that wait.

        The descriptor is edge-triggered: the socket is read until it is
        empty, in batches.
        """
        if self._continuation is not None:
            self._continuation.cancel()
            self._continuation = None
        for _ in range(_BATCH):
            if self._context is None or self._router is None:
                return
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle(frames)
        loop = asyncio.get_running_loop()
        self._continuation = loop.call_soon(self._receive)

    def _handle(self, frames: list[bytes]) -> None:
        size = sum(len(frame) for frame in frames[1:])
        self._received_bytes += size + FRAMING_BYTES
        sender = PeerIdentity.from_bytes(frames[0])
        if sender is None or sender.name not in self._peers:
            self._count(PeerRejection.UNKNOWN_PEER)
            return
        if len(frames) != 2:
            self._count(PeerRejection.MALFORMED)
            return
        self._on_message(sender, frames[1])

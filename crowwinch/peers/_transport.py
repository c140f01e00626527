"""Sockets between routers."""

import asyncio
import logging
from collections.abc import Callable, Mapping

import zmq

from crowwinch.errors import PeerRejection
from crowwinch.peers._authentication import FleetAuthenticator
from crowwinch.peers._codec import MAX_MESSAGE_BYTES
from crowwinch.peers._connection import (
    BATCH,
    SEND_QUEUE,
    UNACKNOWLEDGED_MS,
    CurveKeys,
    PeerConnection,
    set_keys,
)
from crowwinch.peers._identity import PeerIdentity

_LOGGER = logging.getLogger(__name__)

# CURVE, ZMTP and TCP/IP headers of a message.
FRAMING_BYTES = 33 + 2 + 40
_RECEIVE_QUEUE = 4096
# Bytes of opening and closing a CURVE connection in both directions: 892 of
# the protocols, counted by a relay, and about 17 TCP/IP headers.
HANDSHAKE_BYTES = 892 + 17 * 40
# A connection without a message in either direction for this long is closed:
# more than a cycle of probes over 340 routers. Opening one for each probe made
# and answered takes 3.1 KB/s.
IDLE_S = 400.0
# A fleet of at most this many peers keeps all connections. In a larger one the
# first few are kept and others close after a shorter time: with 60 in each
# direction an idle router with 340 members took 63.4 of 64 MB. Probes go in
# cycles, so those used last would be the wrong ones to keep.
_MOST_PEERS = 101
_KEPT_OF_MANY = 50
SPARE_IDLE_S = 10.0
# An incoming connection carries messages back only this long after the last
# message from the peer. This is well below the idle time, so the peer does not
# close the connection while a message is on its way.
RETURN_S = 5.0
# The system asks a silent peer of an incoming connection whether it still
# exists: a peer that was cut off cannot close the connection.
_KEEPALIVE_IDLE_S = 60
_KEEPALIVE_INTERVAL_S = 5
_KEEPALIVE_COUNT = 3
# Prefix of a message back over a connection that the peer opened: the life of
# the sender in ms, which an incarnation shifts by 16 of 64 bits.
LIFE_BYTES = 6


def kept_connections(peers: int) -> int:
    """Returns how many connections are kept in a fleet with some peers."""
    return peers if peers <= _MOST_PEERS else _KEPT_OF_MANY


class PeerTransport:
    """One ROUTER socket that accepts connections, and connections to peers.

    A connection to a peer is opened on first use and closed when it is idle.
    A peer that sent a message a short time ago is answered over the connection
    on which the message came. Nothing blocks: a message that cannot be sent
    within a bound is dropped and counted. The components above send again.
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
        self._peers: dict[str, str] = {}
        self._connections: dict[str, PeerConnection] = {}
        # Routing id and time of the last message over an incoming connection.
        self._incoming: dict[str, tuple[bytes, float]] = {}
        self._continuation: asyncio.Handle | None = None
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0
        self._opened = 0

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
    def connections(self) -> int:
        """Connections that this router opened and has not closed."""
        return len(self._connections)

    @property
    def opened_connections(self) -> int:
        """Connections that this router has opened since its start."""
        return self._opened

    @property
    def handshake_bytes(self) -> int:
        """Bytes sent and received to open and close encrypted connections."""
        if self._authenticator is None:
            return 0
        connections = self._opened + self._authenticator.asked
        return connections * HANDSHAKE_BYTES

    @property
    def waiting(self) -> int:
        """Messages that wait until a connection is open."""
        return sum(each.waiting for each in self._connections.values())

    @property
    def refused_connections(self) -> int:
        """Connections refused for their key."""
        return self._authenticator.refused if self._authenticator else 0

    async def start(self) -> None:
        """Binds the port and starts to receive."""
        self._context = zmq.Context()
        self._router = self._open_router(self._context)
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
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
        self._peers.clear()
        self._router.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        # Every socket is closed without linger, so this returns at once.
        self._context.term()
        self._context = None

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Allows messages from and to the routers in the VM list only.

        Args:
            addresses: HOST:PORT by name; the own name is passed over.
        """
        for name, address in self._peers.items():
            if addresses.get(name) != address:
                self._incoming.pop(name, None)
                self._close(name)
        self._peers = {
            name: address
            for name, address in addresses.items()
            if name != self._identity.name
        }

    def send(self, peer: str, content: bytes) -> bool:
        """Sends to a peer without blocking, once a connection is open.

        Returns:
            Whether the message was accepted; False if it was dropped.
        """
        accepted = peer in self._peers and self._context is not None
        if accepted and peer not in self._connections:
            if self._send_back(peer, content):
                return True
            accepted = self._connect(peer)
        accepted = accepted and self._connections[peer].send(content)
        if not accepted:
            self._count_dropped(1)
        return accepted

    def close_idle(self, idle_s: float = IDLE_S) -> None:
        """Closes connections that were not used for some time.

        To be called every few seconds.

        Args:
            idle_s: Seconds without a message in either direction.
        """
        now = asyncio.get_running_loop().time()
        kept = kept_connections(len(self._peers))
        for index, (name, connection) in enumerate(
            list(self._connections.items())
        ):
            connection.expire(now)
            is_spare = index >= kept
            limit = min(idle_s, SPARE_IDLE_S) if is_spare else idle_s
            if now - connection.used_at >= limit:
                self._close(name)
        for name, (_, heard_at) in list(self._incoming.items()):
            if now - heard_at >= RETURN_S:
                del self._incoming[name]

    def _open_router(self, context: zmq.Context) -> zmq.Socket:
        router = context.socket(zmq.ROUTER)
        router.linger = 0
        router.rcvhwm = _RECEIVE_QUEUE
        router.sndhwm = SEND_QUEUE
        # The library closes the connection at this size; smaller oversized
        # messages are counted by the codec.
        router.setsockopt(zmq.MAXMSGSIZE, 2 * MAX_MESSAGE_BYTES)
        # A reconnecting peer replaces its half-open connection.
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        # A message back over a closed connection fails instead of vanishing.
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        router.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        router.setsockopt(zmq.TCP_KEEPALIVE, 1)
        router.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _KEEPALIVE_IDLE_S)
        router.setsockopt(zmq.TCP_KEEPALIVE_INTVL, _KEEPALIVE_INTERVAL_S)
        router.setsockopt(zmq.TCP_KEEPALIVE_CNT, _KEEPALIVE_COUNT)
        if self._keys is not None:
            self._authenticator = FleetAuthenticator(context, self._keys.public)
            self._authenticator.start()
            router.curve_server = True
            router.zap_domain = b"crowwinch"
            set_keys(router, self._keys)
        return router

    def _connect(self, peer: str) -> bool:
        assert self._context is not None, "the transport was not started"
        address = self._peers[peer]
        try:
            self._connections[peer] = PeerConnection(
                self._context,
                self._identity,
                address,
                self._keys,
                lambda frames: self._handle_returned(peer, frames),
                self._count_sent,
                self._count_dropped,
            )
        except zmq.ZMQError as error:
            _LOGGER.warning("address %s of %s: %s", address, peer, error)
            return False
        self._opened += 1
        return True

    def _close(self, peer: str) -> None:
        connection = self._connections.pop(peer, None)
        if connection is not None:
            connection.close()

    def _send_back(self, peer: str, content: bytes) -> bool:
        """Sends over the connection that a peer opened, if it is in use.

        The message starts with the life of this router, which the peer does
        not know from the connection. In a frame of its own it would take 35
        bytes of CURVE and ZMTP more.
        """
        assert self._router is not None, "the transport was not started"
        loop = asyncio.get_running_loop()
        routing_id, heard_at = self._incoming.get(peer, (b"", 0.0))
        if not routing_id or loop.time() - heard_at >= RETURN_S:
            return False
        life = self._identity.life.to_bytes(LIFE_BYTES, "big")
        try:
            self._router.send_multipart(
                [routing_id, life + content], zmq.NOBLOCK
            )
        except zmq.ZMQError:
            del self._incoming[peer]
            return False
        finally:
            # Sending can consume an edge.
            if self._continuation is None:
                self._continuation = loop.call_soon(self._receive)
        self._count_sent(len(content) + LIFE_BYTES)
        return True

    def _count_sent(self, size: int) -> None:
        self._sent_bytes += size + FRAMING_BYTES

    def _count_dropped(self, messages: int) -> None:
        self._dropped += messages

    def _receive(self) -> None:
        """Handles messages that wait.

        The descriptor is edge-triggered: the socket is read until it is
        empty, in batches.
        """
        if self._continuation is not None:
            self._continuation.cancel()
            self._continuation = None
        for _ in range(BATCH):
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
        now = asyncio.get_running_loop().time()
        self._incoming[sender.name] = (frames[0], now)
        self._on_message(sender, frames[1])

    def _handle_returned(self, peer: str, frames: list[bytes]) -> None:
        """Handles a message over a connection that this router opened."""
        size = sum(len(frame) for frame in frames)
        self._received_bytes += size + FRAMING_BYTES
        if len(frames) != 1 or len(frames[0]) < LIFE_BYTES:
            self._count(PeerRejection.MALFORMED)
            return
        life = int.from_bytes(frames[0][:LIFE_BYTES], "big")
        self._on_message(PeerIdentity(peer, life), frames[0][LIFE_BYTES:])

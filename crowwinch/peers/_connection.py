"""A connection to one router."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import zmq

from crowwinch.peers._identity import PeerIdentity

# Messages that wait for a connected peer. At 5 messages a second this is 50 s;
# what waits longer is out of date.
SEND_QUEUE = 256
# Messages handled before other work of the event loop gets a turn.
BATCH = 64
# Messages wait for an open connection at most one probe period, so that a peer
# that returns is not sent what was meant for its earlier life.
_WAITING_S = 1.0
_RECONNECT_MS = 100
# A restarted router must be reached within a probe period.
_RECONNECT_MAX_MS = 800
_CONNECT_TIMEOUT_MS = 1000
# Without a bound, TCP retries with growing delay for minutes after a
# partition has healed.
UNACKNOWLEDGED_MS = 3000


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Key pair of the fleet as Z85 text."""

    public: str
    secret: str


def set_keys(socket: zmq.Socket, keys: CurveKeys) -> None:
    """Sets the own key pair of a socket."""
    socket.curve_publickey = keys.public.encode()
    socket.curve_secretkey = keys.secret.encode()


class PeerConnection:
    """DEALER socket to one address; opened at once, used without blocking."""

    def __init__(
        self,
        context: zmq.Context,
        identity: PeerIdentity,
        address: str,
        keys: CurveKeys | None,
        on_frames: Callable[[list[bytes]], None],
        on_sent: Callable[[int], None],
        on_dropped: Callable[[int], None],
    ) -> None:
        """Starts to connect.

        Args:
            context: Owner of the socket.
            identity: This router.
            address: HOST:PORT of the peer.
            keys: Key pair of the fleet, None for no encryption.
            on_frames: Called with each received message.
            on_sent: Called with the size of each message that was sent.
            on_dropped: Called with the number of messages that were accepted
                but not sent.

        Raises:
            zmq.ZMQError: If the address is malformed or descriptors ran out.
        """
        self._loop = asyncio.get_running_loop()
        self._on_frames = on_frames
        self._on_sent = on_sent
        self._on_dropped = on_dropped
        self._waiting: deque[tuple[float, bytes]] = deque()
        self._continuation: asyncio.Handle | None = None
        self._used_at = self._loop.time()
        self._socket = _open(context, identity, address, keys)
        self._loop.add_reader(self._socket.fileno(), self._progress)

    @property
    def used_at(self) -> float:
        """Time of the event loop at which a message was sent or received."""
        return self._used_at

    @property
    def waiting(self) -> int:
        """Messages that wait until the connection is open."""
        return len(self._waiting)

    def send(self, content: bytes) -> bool:
        """Sends a message now or once connected, in order.

        Returns:
            Whether the message was accepted.
        """
        now = self._loop.time()
        self._used_at = now
        self.expire(now)
        accepted = not self._waiting and self._try_send(content)
        if not accepted and len(self._waiting) < SEND_QUEUE:
            self._waiting.append((now + _WAITING_S, content))
            accepted = True
        self._continue()
        return accepted

    def expire(self, now: float) -> None:
        """Drops messages that waited too long."""
        count = 0
        while self._waiting and self._waiting[0][0] <= now:
            self._waiting.popleft()
            count += 1
        if count:
            self._on_dropped(count)

    def close(self) -> None:
        """Closes the socket; messages that wait are dropped."""
        if self._socket.closed:
            return
        if self._continuation is not None:
            self._continuation.cancel()
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()
        if self._waiting:
            self._on_dropped(len(self._waiting))
            self._waiting.clear()

    def _try_send(self, content: bytes) -> bool:
        try:
            self._socket.send(content, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._on_sent(len(content))
        return True

    def _continue(self) -> None:
        """Goes on soon if there is more to do.

        Sending and reading the state consume an edge of the descriptor.
        """
        wanted = zmq.POLLIN | (zmq.POLLOUT if self._waiting else 0)
        if self._continuation is None and self._socket.events & wanted:
            self._continuation = self._loop.call_soon(self._progress)

    def _progress(self) -> None:
        """Receives, then sends what waits.

        The descriptor is edge-triggered, and becomes readable also when the
        connection is open.
        """
        if self._continuation is not None:
            self._continuation.cancel()
            self._continuation = None
        for _ in range(BATCH):
            if self._socket.closed:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                break
            self._used_at = self._loop.time()
            self._on_frames(frames)
        if self._socket.closed:
            return
        self.expire(self._loop.time())
        while self._waiting and self._try_send(self._waiting[0][1]):
            self._waiting.popleft()
        self._continue()


def _open(
    context: zmq.Context,
    identity: PeerIdentity,
    address: str,
    keys: CurveKeys | None,
) -> zmq.Socket:
    socket = context.socket(zmq.DEALER)
    try:
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE
        socket.setsockopt(zmq.ROUTING_ID, identity.to_bytes())
        # Without a connection the library queues nothing; what waits here
        # expires.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        if keys is not None:
            set_keys(socket, keys)
            socket.curve_serverkey = keys.public.encode()
        socket.connect(f"tcp://{address}")
    except zmq.ZMQError:
        socket.close()
        raise
    return socket

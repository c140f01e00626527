"""In-order, exactly-once delivery over a transport that loses frames."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from crowwinch.coordination._timers import Subscription, TimerService

# A timer that fires later than this shows that the process was paused.
_PAUSE_S = 0.5


class LinkFullError(Exception):
    """The link holds as many unacknowledged payloads as it may."""


@dataclass(frozen=True, slots=True)
class Frame:
    """What two links exchange.

    Attributes:
        sender_epoch: Incarnation of the sender, above 0.
        receiver_epoch: Incarnation that the sender addresses, 0 if unknown.
        sequence: Number of the payload from 1, or 0 without a payload.
        acknowledged: Highest number received without a gap.
        payload: The content, empty without a payload.
    """

    sender_epoch: int
    receiver_epoch: int
    sequence: int
    acknowledged: int
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Times and bounds of a link.

    Attributes:
        acknowledge_delay_s: Longest wait for a payload that carries the
            acknowledgement. An acknowledgement of its own costs as much as a
            message; at 0.1 s they were a fifth of the traffic.
        retransmit_s: First wait for an acknowledgement; doubles each time.
            Above the acknowledgement delay plus a round trip.
        retransmit_max_s: Longest wait for an acknowledgement.
        retransmit_burst: Most frames sent again at one time, so that a peer
            that resumes is not flooded.
        silence_s: Time without a frame from the peer, while one is due, after
            which the owner is told.
        capacity: Most unacknowledged payloads, and most payloads held out of
            order.
    """

    acknowledge_delay_s: float = 0.5
    retransmit_s: float = 0.8
    retransmit_max_s: float = 2.0
    retransmit_burst: int = 8
    silence_s: float = 1.0
    capacity: int = 1024


class ReliableLink:
    """One end of a link between two peers.

    A payload counts only in the session of one pair of epochs. A link that
    does not know the epoch of its peer asks with an empty frame first; sending
    payloads to an unknown epoch would let two lives of the peer deliver them.
    """

    def __init__(
        self,
        epoch: int,
        timers: TimerService,
        send: Callable[[Frame], None],
        deliver: Callable[[bytes], None],
        *,
        on_reset: Callable[[int], None] = lambda epoch: None,
        on_silent: Callable[[float], None] = lambda seconds: None,
        peer_epoch: int = 0,
        options: LinkOptions | None = None,
    ) -> None:
        """Creates a link without payloads.

        Args:
            epoch: Incarnation of this end, above 0.
            timers: Drives retransmission.
            send: Hands a frame to the transport.
            deliver: Called with each payload of the peer, once, in order.
            on_reset: Called with the new epoch after the peer restarted.
                Payloads that were not acknowledged are dropped before.
            on_silent: Called with the seconds without a frame, once for each
                silence.
            peer_epoch: Incarnation of the peer if known, else 0.
            options: Times and bounds.
        """
        self._epoch = epoch
        self._timers = timers
        self._send_frame = send
        self._deliver = deliver
        self._on_reset = on_reset
        self._on_silent = on_silent
        self._options = options or LinkOptions()
        self._peer_epoch = peer_epoch
        self._unacknowledged: deque[tuple[int, bytes]] = deque()
        self._last_sequence = 0
        self._received = 0
        self._early: dict[int, bytes] = {}
        self._backoff = self._options.retransmit_s
        self._retransmit_timer: Subscription | None = None
        self._acknowledge_timer: Subscription | None = None
        self._silence_timer: Subscription | None = None
        self._waiting_since = 0.0
        self._reported_silent = False
        self._retransmissions = 0
        self._closed = False

    @property
    def peer_epoch(self) -> int:
        """Incarnation of the peer, 0 if unknown."""
        return self._peer_epoch

    @property
    def received(self) -> int:
        """Highest number received without a gap."""
        return self._received

    @property
    def acknowledged(self) -> int:
        """Highest number that the peer has acknowledged."""
        return self._last_sequence - len(self._unacknowledged)

    @property
    def unacknowledged(self) -> int:
        """Payloads that the peer has not acknowledged."""
        return len(self._unacknowledged)

    @property
    def retransmissions(self) -> int:
        """Frames that were sent again."""
        return self._retransmissions

    def send(self, payload: bytes) -> None:
        """Queues a payload and sends it.

        Raises:
            LinkFullError: If too many payloads are unacknowledged.
            ValueError: If the link is closed.
        """
        if self._closed:
            raise ValueError("the link is closed")
        if len(self._unacknowledged) >= self._options.capacity:
            raise LinkFullError(
                f"{self._options.capacity} payloads are unacknowledged"
            )
        self._last_sequence += 1
        self._unacknowledged.append((self._last_sequence, payload))
        if self._peer_epoch:
            self._transmit(self._last_sequence, payload)
        elif len(self._unacknowledged) == 1:
            self._transmit(0, b"")
        self._arm()

    def receive(self, frame: Frame) -> None:
        """Processes a frame of the peer."""
        if self._closed or frame.sender_epoch < max(self._peer_epoch, 1):
            return
        first = self._adopt(frame.sender_epoch)
        self._waiting_since = self._timers.clock.monotonic()
        self._reported_silent = False
        self._arm()
        if frame.receiver_epoch == self._epoch:
            self._acknowledge(frame.acknowledged)
            if frame.sequence:
                self._accept(frame.sequence, frame.payload)
        else:
            # The peer addresses an unknown or an earlier life of this end.
            self._transmit(0, b"")
        if first:
            self._flush()

    def close(self) -> None:
        """Stops all timers; payloads that are held are dropped."""
        self._closed = True
        for timer in (
            self._retransmit_timer,
            self._acknowledge_timer,
            self._silence_timer,
        ):
            if timer is not None:
                timer.cancel()

    def _adopt(self, epoch: int) -> bool:
        """Takes a newer epoch; returns whether it was the first known one."""
        if epoch == self._peer_epoch:
            return False
        first = not self._peer_epoch
        self._peer_epoch = epoch
        self._received = 0
        self._early.clear()
        self._backoff = self._options.retransmit_s
        if not first:
            self._unacknowledged.clear()
            self._last_sequence = 0
            self._disarm()
            self._on_reset(epoch)
        return first

    def _acknowledge(self, acknowledged: int) -> None:
        progress = False
        while (
            self._unacknowledged and self._unacknowledged[0][0] <= acknowledged
        ):
            self._unacknowledged.popleft()
            progress = True
        if progress:
            self._backoff = self._options.retransmit_s
            self._disarm()
            self._arm()

    def _accept(self, sequence: int, payload: bytes) -> None:
        ahead = sequence - self._received
        if ahead > self._options.capacity:
            return
        if ahead > 0:
            self._early.setdefault(sequence, payload)
        # A duplicate is acknowledged too: its acknowledgement may be lost.
        if self._acknowledge_timer is None:
            self._acknowledge_timer = self._timers.call_later(
                self._options.acknowledge_delay_s, self._acknowledge_now
            )
        epoch = self._peer_epoch
        while self._received + 1 in self._early and epoch == self._peer_epoch:
            self._received += 1
            self._deliver(self._early.pop(self._received))

    def _acknowledge_now(self) -> None:
        if self._acknowledge_timer is not None:
            self._transmit(0, b"")

    def _transmit(self, sequence: int, payload: bytes) -> None:
        if self._peer_epoch and self._acknowledge_timer is not None:
            self._acknowledge_timer.cancel()
            self._acknowledge_timer = None
        self._send_frame(
            Frame(
                self._epoch,
                self._peer_epoch,
                sequence,
                self._received,
                payload,
            )
        )

    def _flush(self) -> None:
        for sequence, payload in list(self._unacknowledged):
            self._transmit(sequence, payload)
        self._disarm()
        self._arm()

    def _arm(self) -> None:
        if not self._unacknowledged:
            return
        if self._retransmit_timer is None:
            self._retransmit_timer = self._timers.call_later(
                self._backoff, self._retransmit
            )
        if self._silence_timer is None and not self._reported_silent:
            self._waiting_since = self._timers.clock.monotonic()
            self._silence_timer = self._timers.call_later(
                self._options.silence_s, self._check_silence
            )

    def _disarm(self) -> None:
        if self._retransmit_timer is not None:
            self._retransmit_timer.cancel()
            self._retransmit_timer = None
        if not self._unacknowledged and self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None

    def _retransmit(self) -> None:
        self._retransmit_timer = None
        if not self._unacknowledged:
            return
        frames = (
            list(self._unacknowledged)[: self._options.retransmit_burst]
            if self._peer_epoch
            else [(0, b"")]
        )
        self._retransmissions += len(frames)
        self._backoff = min(self._backoff * 2, self._options.retransmit_max_s)
        for sequence, payload in frames:
            self._transmit(sequence, payload)
        self._arm()

    def _check_silence(self) -> None:
        timer, self._silence_timer = self._silence_timer, None
        if not self._unacknowledged or timer is None:
            return
        now = self._timers.clock.monotonic()
        if now - timer.due > _PAUSE_S:
            # This process was paused; frames of the peer may be waiting.
            self._arm()
            return
        silent = now - self._waiting_since
        if silent + 1e-9 >= self._options.silence_s:
            self._reported_silent = True
            self._on_silent(silent)
            return
        self._silence_timer = self._timers.call_later(
            self._options.silence_s - silent, self._check_silence
        )

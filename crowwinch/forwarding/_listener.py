"""Accepts connections from callers."""

import asyncio
import logging
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.forwarding._early_refusals import EarlyRefusals
from crowwinch.forwarding._model import SocketAddress
from crowwinch.forwarding._overload import OverloadDetector
from crowwinch.observability import Metrics

_LOGGER = logging.getLogger(__name__)

# Length of the kernel's accept queue.
_BACKLOG = 1024
# Connections accepted per event loop iteration. Requests on open connections
# are delayed by these few milliseconds at most.
_MAX_ACCEPTS_PER_ITERATION = 64
# Connections refused per event loop iteration. Refusing them takes about as
# long as one response, so half of the time remains for responses regardless of
# the number of callers.
_MAX_REFUSALS_PER_ITERATION = 16
# A process that lacks processor time refuses connections that it has not opened
# within this time. The shortest latency targets are 0.125 s; the remainder is
# left for a retry at another router.
_MAX_WAIT_S = 0.05
# A request takes about six event loop iterations. A process that lacks
# processor time opens no connection after an iteration longer than this, so
# that requests on open connections finish in time. It still opens one
# connection after each _MAX_OPEN_INTERVAL_S.
_MAX_ITERATION_S = 0.01
_MAX_OPEN_INTERVAL_S = 0.1
# Connections that could not be refused within this time are closed unread,
# which takes a tenth of the time of a refusal. Callers may then resend their
# requests.
_CLOSE_UNREAD_AFTER_S = 0.25
# When the oldest connection has waited longer than this, the newest is opened
# first. In arrival order, every connection would be opened only after most of
# its time had passed.
_NEWEST_FIRST_WAIT_S = 0.025
# Delay before accepting again after accept() failed, for example for lack of a
# free file descriptor.
_ACCEPT_RETRY_S = 0.1
# Connections that ended unread are logged in one summary line per period.
_SUMMARY_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class _Waiting:
    """An accepted connection that is not yet served by a protocol.

    Attributes:
        connection: The connection.
        since: Monotonic time at which it was accepted.
    """

    connection: socket.socket
    since: float


class ConnectionListener:
    """Accepts pending connections in batches per event loop iteration.

    The server of the event loop accepts one connection per iteration. An
    iteration of a busy router takes up to 50 ms, so callers on new connections
    waited for seconds.

    A process that lacks processor time opens one connection per iteration, so
    that it finishes the requests it has started; when it opened all of them at
    once, it completed hardly any. The others are refused once they have waited
    too long. If they were left in the accept queue of the kernel, connections
    whose callers have disconnected would keep it full, and no caller that still
    waits would be served.
    """

    def __init__(
        self,
        clock: Clock,
        address: SocketAddress,
        make_protocol: Callable[[], asyncio.Protocol],
        refusals: EarlyRefusals,
        overload: OverloadDetector,
        metrics: Metrics,
        was_late: Callable[[], bool] = lambda: False,
        has_room: Callable[[int], bool] = lambda pending: True,
    ) -> None:
        """Initializes the listener without opening the port.

        Args:
            clock: Monotonic time.
            address: Where to listen.
            make_protocol: Creates the protocol of a connection.
            refusals: Refuses requests that have waited too long.
            overload: Records connections that have waited too long.
            metrics: Counts accepted connections.
            was_late: Returns whether the process recently lacked processor
                time.
            has_room: Returns whether one more connection may be opened, beside
                the given number that are accepted and not yet opened.
        """
        self._clock = clock
        self._address = address
        self._make_protocol = make_protocol
        self._refusals = refusals
        self._overload = overload
        self._metrics = metrics
        self._was_late = was_late
        self._has_room = has_room
        self._waiting: deque[_Waiting] = deque()
        # Monotonic times of the last iteration and of the last opening.
        self._last_iteration_at = float("-inf")
        self._last_open_at = float("-inf")
        # Connections counted since the last summary.
        self._accepted = 0
        self._left = 0
        self._closed = 0
        self._summary: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None
        self._next_iteration: asyncio.Handle | None = None
        self._openings: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port in use once started."""
        assert self._socket is not None, "the listener was not started"
        return self._socket.getsockname()[1]

    async def start(self) -> None:
        """Starts listening; port 0 selects a free port.

        Raises:
            OSError: If the port is in use.
        """
        address = (self._address.host, self._address.port)
        self._socket = socket.create_server(address, backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._resume()

    async def stop(self) -> None:
        """Closes the port; open connections stay open."""
        if self._socket is None:
            return
        for handle in (self._retry, self._summary, self._next_iteration):
            if handle is not None:
                handle.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        while self._waiting:
            self._refuse(self._waiting.popleft())
        self._refusals.stop()

    def _resume(self) -> None:
        self._retry = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_ITERATION):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                break
            except OSError as error:
                self._pause(error)
                break
            if self._is_alive(connection) and self._is_kept(connection):
                connection.setblocking(False)
                since = self._clock.monotonic()
                self._waiting.append(_Waiting(connection, since))
        if self._next_iteration is None:
            self._open_waiting()

    def _pause(self, error: OSError) -> None:
        _LOGGER.error(
            "connections are not accepted",
            extra={"cause": str(error), "retry_s": _ACCEPT_RETRY_S},
        )
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._retry = loop.call_later(_ACCEPT_RETRY_S, self._resume)

    def _is_alive(self, connection: socket.socket) -> bool:
        """Returns whether the caller is connected; closes the socket if not."""
        self._accepted += 1
        if not _is_closed_by_peer(connection):
            return True
        connection.close()
        self._left += 1
        self._metrics.count("connections", "outcome", "caller_left")
        self._schedule_summary()
        return False

    def _is_kept(self, connection: socket.socket) -> bool:
        """Returns whether there is room; closes the socket if not."""
        if self._has_room(
            len(self._waiting) + len(self._openings) + self._refusals.lingering
        ):
            return True
        connection.close()
        self._closed += 1
        self._metrics.count("connections", "outcome", "no_room")
        self._schedule_summary()
        return False

    def _schedule_summary(self) -> None:
        if self._summary is None:
            self._summary = asyncio.get_running_loop().call_later(
                _SUMMARY_PERIOD_S, self._log_summary
            )

    def _log_summary(self) -> None:
        self._summary = None
        _LOGGER.warning(
            "connections ended before they were read",
            extra={
                "accepted": self._accepted,
                "left": self._left,
                "closed": self._closed,
            },
        )
        self._accepted = self._left = self._closed = 0

    def _open_waiting(self) -> None:
        """Opens connections as time allows; expires those past their wait."""
        self._next_iteration = None
        if not self._was_late():
            while self._waiting:
                self._open(self._waiting.popleft())
            return
        now = self._clock.monotonic()
        has_time = now - self._last_iteration_at <= _MAX_ITERATION_S
        is_open_due = now - self._last_open_at > _MAX_OPEN_INTERVAL_S
        if self._waiting and (has_time or is_open_due):
            self._last_open_at = now
            oldest_s = now - self._waiting[0].since
            is_backlogged = oldest_s > _NEWEST_FIRST_WAIT_S
            take = self._waiting.pop if is_backlogged else self._waiting.popleft
            self._open(take())
        self._expire_waiting(now)
        if self._waiting:
            self._last_iteration_at = self._clock.monotonic()
            loop = asyncio.get_running_loop()
            self._next_iteration = loop.call_soon(self._open_waiting)

    def _expire_waiting(self, now: float) -> None:
        """Refuses connections that waited too long, or closes them unread."""
        refusals = 0
        while self._waiting:
            waited_s = now - self._waiting[0].since
            if waited_s > _CLOSE_UNREAD_AFTER_S:
                self._close(self._waiting.popleft())
            elif (
                waited_s > _MAX_WAIT_S
                and refusals < _MAX_REFUSALS_PER_ITERATION
            ):
                refusals += 1
                self._refuse(self._waiting.popleft())
            else:
                break

    def _close(self, waiting: _Waiting) -> None:
        self._overload.note_refusal()
        self._closed += 1
        self._metrics.count("connections", "outcome", "closed_unread")
        self._schedule_summary()
        waiting.connection.close()

    def _refuse(self, waiting: _Waiting) -> None:
        self._overload.note_refusal()
        waited_s = self._clock.monotonic() - waiting.since
        if self._refusals.refuse(waiting.connection, waited_s):
            self._metrics.count("connections", "outcome", "refused")
        elif self._socket is None:
            waiting.connection.close()
        else:
            self._open(waiting)

    def _open(self, waiting: _Waiting) -> None:
        self._metrics.count("connections", "outcome", "opened")
        opening = asyncio.ensure_future(self._connect(waiting.connection))
        self._openings.add(opening)
        opening.add_done_callback(self._openings.discard)

    async def _connect(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError as error:
            # The caller has closed the connection in the meantime.
            _LOGGER.debug("connection not opened", extra={"cause": str(error)})
            connection.close()


def _is_closed_by_peer(connection: socket.socket) -> bool:
    """Returns whether the peer has closed the connection."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))

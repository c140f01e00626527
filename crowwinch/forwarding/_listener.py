"""Accepts connections of callers."""

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

# Connections that wait to be accepted.
_BACKLOG = 1024
# Connections accepted in one turn of the event loop; requests on open ones wait
# for these few milliseconds at most.
_MOST_PER_TURN = 64
# Connections refused in one turn. They take about the time of one answer, so
# that half of it is left to answers however many callers there are.
_MOST_REFUSALS = 16
# A late process refuses connections that it has not opened by then. The
# shortest goals for answers are 0.125 s; the rest is left to another router.
_LONGEST_WAIT_S = 0.05
# A request takes about six turns of the event loop. A late process opens no
# connection after a longer turn, so that those it has opened end in time, but
# one after this pause in any case.
_LONGEST_TURN_S = 0.01
_LONGEST_PAUSE_S = 0.1
# What could not even be refused by then is closed unread, for a tenth of the
# time that a refusal takes. Callers may send their requests again after it.
_LONGEST_UNANSWERED_S = 0.25
# Above this wait of the oldest, the newest is opened first: the oldest would
# only be opened when most of its time is gone, and all after it too.
_NEWEST_FIRST_S = 0.025
# Without a free descriptor nothing is accepted for this long.
_RETRY_S = 0.1
# Connections that ended unread are summed up in one line each second.
_SUMMARY_PERIOD_S = 1.0


@dataclass(frozen=True, slots=True)
class _Waiting:
    """An accepted connection that is not open yet.

    Attributes:
        connection: The connection.
        since: Monotonic time at which it was accepted.
    """

    connection: socket.socket
    since: float


class ConnectionListener:
    """Accepts all connections that wait in each turn of the event loop.

    The server of the event loop accepts one a turn. A turn of a busy router
    takes up to 50 ms, so callers on new connections waited for seconds.

    A process that lacks processor time opens one a turn, so that it ends what
    it has begun; with all of them at once it hardly served any. The others are
    refused when they have waited too long. Left in the queue of the kernel they
    would keep it full of callers that have left, and no caller that still waits
    would ever be served.
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
    ) -> None:
        """Stores where to listen and what handles a connection.

        Args:
            clock: Monotonic time.
            address: Where to listen.
            make_protocol: Returns what handles a connection.
            refusals: Refuses requests that have waited too long.
            overload: Is told of connections that have waited too long.
            metrics: Counts accepted connections.
            was_late: Returns whether the process lacked processor time lately.
        """
        self._clock = clock
        self._address = address
        self._make_protocol = make_protocol
        self._refusals = refusals
        self._overload = overload
        self._metrics = metrics
        self._was_late = was_late
        self._waiting: deque[_Waiting] = deque()
        # Monotonic times of the last turn and of the last opening in one.
        self._turned_at = float("-inf")
        self._opened_at = float("-inf")
        # Connections since the first of a summary.
        self._accepted = 0
        self._left = 0
        self._closed = 0
        self._summary: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None
        self._next_turn: asyncio.Handle | None = None
        self._openings: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port in use once started."""
        assert self._socket is not None, "the listener was not started"
        return self._socket.getsockname()[1]

    async def start(self) -> None:
        """Starts to listen; port 0 takes a free one.

        Raises:
            OSError: If the port is taken.
        """
        address = (self._address.host, self._address.port)
        self._socket = socket.create_server(address, backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._resume()

    async def stop(self) -> None:
        """Closes the port; open connections stay open."""
        if self._socket is None:
            return
        for handle in (self._retry, self._summary, self._next_turn):
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
        for _ in range(_MOST_PER_TURN):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                break
            except OSError as error:
                self._pause(error)
                break
            if self._is_alive(connection):
                connection.setblocking(False)
                since = self._clock.monotonic()
                self._waiting.append(_Waiting(connection, since))
        if self._next_turn is None:
            self._open_waiting()

    def _pause(self, error: OSError) -> None:
        _LOGGER.error(
            "connections are not accepted",
            extra={"cause": str(error), "retry_s": _RETRY_S},
        )
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._retry = loop.call_later(_RETRY_S, self._resume)

    def _is_alive(self, connection: socket.socket) -> bool:
        """Closes a connection whose caller has left; returns whether not."""
        self._accepted += 1
        if not _has_left(connection):
            return True
        connection.close()
        self._left += 1
        self._metrics.count("connections", "outcome", "caller_left")
        self._plan_summary()
        return False

    def _plan_summary(self) -> None:
        if self._summary is None:
            self._summary = asyncio.get_running_loop().call_later(
                _SUMMARY_PERIOD_S, self._summarize
            )

    def _summarize(self) -> None:
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
        """Opens what this turn has time for; refuses what waited too long."""
        self._next_turn = None
        if not self._was_late():
            while self._waiting:
                self._open(self._waiting.popleft())
            return
        now = self._clock.monotonic()
        has_time = now - self._turned_at <= _LONGEST_TURN_S
        is_pausing = now - self._opened_at > _LONGEST_PAUSE_S
        if self._waiting and (has_time or is_pausing):
            self._opened_at = now
            oldest_s = now - self._waiting[0].since
            is_standing = oldest_s > _NEWEST_FIRST_S
            take = self._waiting.pop if is_standing else self._waiting.popleft
            self._open(take())
        self._end_waits(now)
        if self._waiting:
            self._turned_at = self._clock.monotonic()
            loop = asyncio.get_running_loop()
            self._next_turn = loop.call_soon(self._open_waiting)

    def _end_waits(self, now: float) -> None:
        """Refuses what has waited too long, or closes it unread."""
        refusals = 0
        while self._waiting:
            waited_s = now - self._waiting[0].since
            if waited_s > _LONGEST_UNANSWERED_S:
                self._close(self._waiting.popleft())
            elif waited_s > _LONGEST_WAIT_S and refusals < _MOST_REFUSALS:
                refusals += 1
                self._refuse(self._waiting.popleft())
            else:
                break

    def _close(self, waiting: _Waiting) -> None:
        self._overload.note_refusal()
        self._closed += 1
        self._metrics.count("connections", "outcome", "closed_unread")
        self._plan_summary()
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
            # The caller has closed it meanwhile.
            _LOGGER.debug("connection not opened", extra={"cause": str(error)})
            connection.close()


def _has_left(connection: socket.socket) -> bool:
    """Returns whether the other side of a connection has closed it."""
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))

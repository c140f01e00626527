"""Accepts connections of callers."""

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from crowwinch.forwarding._model import SocketAddress
from crowwinch.observability import Metrics

_LOGGER = logging.getLogger(__name__)

# Connections that wait to be accepted.
_BACKLOG = 1024
# Connections accepted in one turn of the event loop; requests on open ones wait
# for these few milliseconds at most.
_MOST_PER_TURN = 64
# Without a free descriptor nothing is accepted for this long.
_RETRY_S = 0.1
# Callers that left unread are summed up in one line each second.
_SUMMARY_PERIOD_S = 1.0


class ConnectionListener:
    """Accepts all connections that wait in each turn of the event loop.

    The server of the event loop accepts one a turn. A turn of a busy router
    takes up to 50 ms, so callers on new connections waited for seconds. Only a
    process that lacks processor time accepts one a turn, so that it ends what
    it has begun; with all of them at once it hardly served any.
    """

    def __init__(
        self,
        address: SocketAddress,
        make_protocol: Callable[[], asyncio.Protocol],
        metrics: Metrics,
        was_late: Callable[[], bool] = lambda: False,
    ) -> None:
        """Stores where to listen and what handles a connection.

        Args:
            address: Where to listen.
            make_protocol: Returns what handles a connection.
            metrics: Counts accepted connections.
            was_late: Returns whether the process lacked processor time lately.
        """
        self._address = address
        self._make_protocol = make_protocol
        self._metrics = metrics
        self._was_late = was_late
        self._accepted = 0
        self._left = 0
        self._summary: asyncio.TimerHandle | None = None
        self._socket: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None
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
        """Closes the port; accepted connections stay open."""
        if self._socket is None:
            return
        for timer in (self._retry, self._summary):
            if timer is not None:
                timer.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def _resume(self) -> None:
        self._retry = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        for _ in range(1 if self._was_late() else _MOST_PER_TURN):
            try:
                connection, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                _LOGGER.error(
                    "connections are not accepted",
                    extra={"cause": str(error), "retry_s": _RETRY_S},
                )
                loop = asyncio.get_running_loop()
                loop.remove_reader(self._socket)
                self._retry = loop.call_later(_RETRY_S, self._resume)
                return
            connection.setblocking(False)
            self._count(connection)
            opening = asyncio.ensure_future(self._open(connection))
            self._openings.add(opening)
            opening.add_done_callback(self._openings.discard)

    def _count(self, connection: socket.socket) -> None:
        self._accepted += 1
        has_left = _has_left(connection)
        self._left += has_left
        outcome = "caller_left" if has_left else "opened"
        self._metrics.count("connections", "outcome", outcome)
        if has_left and self._summary is None:
            self._summary = asyncio.get_running_loop().call_later(
                _SUMMARY_PERIOD_S, self._summarize
            )

    def _summarize(self) -> None:
        self._summary = None
        _LOGGER.warning(
            "callers left before their connections were accepted",
            extra={"accepted": self._accepted, "left": self._left},
        )
        self._accepted = self._left = 0

    async def _open(self, connection: socket.socket) -> None:
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

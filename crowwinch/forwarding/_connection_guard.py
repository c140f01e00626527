"""Limits on the connections of a server and on the memory that they hold."""

import asyncio
import enum
import logging
from collections import Counter
from typing import Protocol

from crowwinch.forwarding._memory import MemoryPool
from crowwinch.observability import Metrics

_LOGGER = logging.getLogger(__name__)

# Closed connections are logged in one summary line per period.
_SUMMARY_PERIOD_S = 1.0
# Part of the capacity that is freed at once, so that the connections are not
# searched for each one that arrives while the capacity is used up.
_FREED_SHARE = 1 / 16
# Time without progress after which a connection is closed that does not read
# its response.
_UNREAD_TIMEOUT_S = 15.0
_SWEEP_PERIOD_S = 1.0
# After a search that found nothing to close, the next one waits this long. A
# search among 5,000 connections takes about 2 ms.
_SEARCH_PAUSE_S = 0.05


class CloseReason(enum.IntEnum):
    """Why the server closed a connection before its client did."""

    HEAD_TOO_LARGE = 1
    MALFORMED_HEAD = 2
    HEADER_TIMEOUT = 3
    IDLE = 4
    MEMORY_FULL = 5
    CONNECTIONS_FULL = 6
    RESPONSE_UNREAD = 7


class GuardedConnection(Protocol):
    """A connection that the guard may close."""

    @property
    def is_idle(self) -> bool:
        """Whether it has no request and no part of one."""
        ...

    @property
    def has_served(self) -> bool:
        """Whether it has had a complete request."""
        ...

    @property
    def waiting_since(self) -> float:
        """Event loop time since which it has waited for its client."""
        ...

    def reclaimable_bytes(self, now: float) -> int:
        """Returns the memory that is freed if the connection is closed.

        It is 0 while the router works on the request of the connection.

        Args:
            now: Event loop time.
        """
        ...

    def write_buffer_bytes(self) -> int:
        """Returns the size of responses that the client has not read."""
        ...

    def drop(self, reason: CloseReason) -> None:
        """Closes the connection without a response."""
        ...


class ConnectionGuard:
    """Keeps connections within the descriptors and memory of the process.

    Load: clients that send heads without end, requests whose responses they do
    not read, bodies that they announce and never send, or nothing at all. Each
    holds little, but all together would exhaust the process. Closed first are
    those that hold most and have waited longest.
    """

    def __init__(
        self,
        pool: MemoryPool,
        max_connections: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Creates a guard without connections.

        Args:
            pool: Account of the received bytes.
            max_connections: Maximum number of open connections.
            metrics: Counts closed connections; None counts nothing.
        """
        self.pool = pool
        self._max_connections = max_connections
        self._metrics = metrics
        if metrics is not None:
            metrics.declare_reasons("connections_closed", CloseReason)
        self._connections: set[GuardedConnection] = set()
        # Connections with unread responses: bytes at the last progress and the
        # event loop time of it.
        self._unread: dict[GuardedConnection, tuple[int, float]] = {}
        # Event loop time of the next search for each resource.
        self._next_memory_search = 0.0
        self._next_connection_search = 0.0
        self._sweep: asyncio.TimerHandle | None = None
        self._closed: Counter[CloseReason] = Counter()
        self._summary: asyncio.TimerHandle | None = None
        pool.set_reclaim(self.free_memory)

    @property
    def open_connections(self) -> int:
        """Number of connections, including those that are being closed."""
        return len(self._connections)

    def add(self, connection: GuardedConnection) -> None:
        """Adds a connection that was opened."""
        self._connections.add(connection)

    def remove(self, connection: GuardedConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)
        self._unread.pop(connection, None)

    def stop(self) -> None:
        """Cancels all timers."""
        for timer in (self._sweep, self._summary):
            if timer is not None:
                timer.cancel()

    def has_room(self, pending: int = 0) -> bool:
        """Returns whether one more connection may be opened.

        Connections that wait for their clients are closed to make room.

        Args:
            pending: Accepted connections that were not added yet.
        """
        used = len(self._connections) + pending
        if used < self._max_connections:
            return True
        self._free_connections()
        used = len(self._connections) + pending
        return used < self._max_connections

    def count_close(self, reason: CloseReason) -> None:
        """Counts a connection that is closed and logs a summary later."""
        if self._metrics is not None:
            self._metrics.count_reason("connections_closed", reason)
        self._closed[reason] += 1
        if self._summary is None:
            self._summary = asyncio.get_running_loop().call_later(
                _SUMMARY_PERIOD_S, self._log_summary
            )

    def free_memory(self, size_bytes: int) -> bool:
        """Closes connections that hold memory for clients.

        Args:
            size_bytes: Memory that is needed.

        Returns:
            Whether so much was freed, or will be as soon as the requests of the
            closed connections have ended.
        """
        wanted = size_bytes + int(self.pool.capacity_bytes * _FREED_SHARE)
        now = asyncio.get_running_loop().time()
        if now < self._next_memory_search:
            return False
        holders = [
            (held * (now - connection.waiting_since), held, connection)
            for connection in self._connections
            if (held := connection.reclaimable_bytes(now))
        ]
        if not holders:
            self._next_memory_search = now + _SEARCH_PAUSE_S
        holders.sort(key=lambda holder: holder[:2], reverse=True)
        freed = 0
        for _, held, connection in holders:
            if freed >= wanted:
                break
            connection.drop(CloseReason.MEMORY_FULL)
            freed += held
        return freed >= size_bytes

    def watch_response(self, connection: GuardedConnection) -> None:
        """Closes a connection later if its client does not read."""
        now = asyncio.get_running_loop().time()
        self._unread[connection] = connection.write_buffer_bytes(), now
        self._schedule_sweep()

    def _free_connections(self) -> None:
        """Closes connections that wait for their clients.

        Those that have not had a request go first, then the longest wait: a
        flood of new connections does not end those of usual callers.
        """
        now = asyncio.get_running_loop().time()
        if now < self._next_connection_search:
            return
        waiting = [
            connection
            for connection in self._connections
            if connection.is_idle or connection.reclaimable_bytes(now)
        ]
        if not waiting:
            self._next_connection_search = now + _SEARCH_PAUSE_S
        waiting.sort(
            key=lambda connection: (
                connection.has_served,
                connection.waiting_since,
            )
        )
        count = max(int(self._max_connections * _FREED_SHARE), 1)
        for connection in waiting[:count]:
            connection.drop(CloseReason.CONNECTIONS_FULL)

    def _schedule_sweep(self) -> None:
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(
                _SWEEP_PERIOD_S, self._sweep_unread
            )

    def _sweep_unread(self) -> None:
        self._sweep = None
        now = asyncio.get_running_loop().time()
        for connection, (size, since) in tuple(self._unread.items()):
            left = connection.write_buffer_bytes()
            if not left:
                del self._unread[connection]
            elif left != size:
                self._unread[connection] = left, now
            elif now - since > _UNREAD_TIMEOUT_S:
                del self._unread[connection]
                connection.drop(CloseReason.RESPONSE_UNREAD)
        if self._unread:
            self._schedule_sweep()

    def _log_summary(self) -> None:
        self._summary = None
        _LOGGER.warning(
            "connections closed",
            extra={
                "open": len(self._connections),
                **{
                    reason.name.lower(): count
                    for reason, count in self._closed.items()
                },
            },
        )
        self._closed.clear()

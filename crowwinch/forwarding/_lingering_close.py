"""Closes connections so that clients can read the last response."""

import asyncio
from collections.abc import Callable

# Closing a connection with unread bytes resets it, and the client may lose the
# response. So what it still sends is discarded for a moment.
_LINGER_S = 1.0
_MAX_DISCARDED_BYTES = 1_048_576


class LingeringClose:
    """Ends one side of a connection, and the other one when the client does.

    It does not wait longer than a moment, nor for more than some bytes.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, close: Callable[[], None]
    ) -> None:
        """Initializes the close of an open connection.

        Args:
            loop: Event loop.
            close: Closes the connection.
        """
        self._loop = loop
        self._close = close
        self._discarded_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._ended: asyncio.Future[None] | None = None

    def begin(self, transport: asyncio.Transport) -> None:
        """Ends the own side; the last response was written."""
        if transport.can_write_eof():
            transport.write_eof()
        self._timer = self._loop.call_later(_LINGER_S, self._close)

    async def wait(self, transport: asyncio.Transport) -> None:
        """Ends the own side and waits until the connection is closed."""
        self._ended = self._loop.create_future()
        self.begin(transport)
        await self._ended

    def discard(self, size: int) -> None:
        """Counts bytes that are not processed."""
        self._discarded_bytes += size
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            self._close()

    def end(self) -> None:
        """Ends the wait, since the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)

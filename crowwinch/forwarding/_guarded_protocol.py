"""HTTP protocol whose connections hold a bounded amount of memory."""

import asyncio
import socket

from aiohttp import hdrs, web
from aiohttp.http import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler

from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding._connection_guard import CloseReason, ConnectionGuard
from crowwinch.forwarding._lingering_close import LingeringClose
from crowwinch.forwarding._model import RequestLimits
from crowwinch.forwarding._refusals import render
from crowwinch.forwarding._request_framing import RequestFraming

# Idle connections stay open this much longer than callers may be idle.
_IDLE_MARGIN_S = 2.0
_MAX_HEADERS = 128
# Body bytes that the HTTP library keeps until they are read; it pauses reading
# at twice this size.
_BODY_BUFFER_BYTES = 65_536
# Receive buffer of a connection. It bounds the size of one read, which is up to
# 250 KB otherwise.
_RECEIVE_BUFFER_BYTES = 65_536
# Size of heads that are kept while the account is full.
_FREE_BYTES = 8_192
# Delay before a retry when there is no memory for a head.
_MEMORY_RETRY_S = 0.5
# A body of which nothing has arrived for so long, or a response that was not
# read for so long, may be given up when memory is short.
_STALLED_S = 1.0
# Messages of the HTTP library quote the data that it could not parse.
_MAX_ERROR_CHARACTERS = 200


class GuardedProtocol(RequestHandler):
    """Limits what one connection makes the process keep.

    - A head has a maximum size and time; trailers have the same size.
    - One request is parsed at a time. What follows it is kept as it was
      received, and reading pauses when that exceeds the size of a head.
    - The next request is not parsed before the client has read the response.
    """

    def __init__(
        self,
        manager: web.Server,
        guard: ConnectionGuard,
        limits: RequestLimits,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Initializes the protocol of a connection.

        Args:
            manager: Server that handles its requests.
            guard: Account of its memory.
            limits: Limits on its requests.
            loop: Event loop.
        """
        super().__init__(
            manager,
            loop=loop,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s + _IDLE_MARGIN_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=_MAX_HEADERS,
            read_bufsize=_BODY_BUFFER_BYTES,
            auto_decompress=False,
            lingering_time=1.0,
        )
        self._guard = guard
        self._pool = guard.pool
        self._limits = limits
        self._framing = RequestFraming(limits.max_header_bytes)
        self._timer: asyncio.TimerHandle | None = None
        # The library clears its reference before the connection has ended.
        self._connection: asyncio.Transport | None = None
        self._is_in_head = False
        # Whether a request has no complete response.
        self._is_serving = False
        # Whether further bytes of the client are not processed.
        self._is_discarding = False
        self._closing: LingeringClose | None = None
        # Bytes behind the current request, not parsed.
        self._pending = b""
        self._is_held = False
        # Bytes charged to the account.
        self._charged = 0
        self._payload: StreamReader | None = None
        self._body_bytes = 0
        # Size of a response whose client has yet to read it.
        self._unread_bytes = 0
        self._since = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether it has no request and no part of one."""
        if self._is_serving:
            return False
        return self._is_discarding or not (
            self._charged or self._framing.is_in_body
        )

    @property
    def has_served(self) -> bool:
        """Whether it has had a complete request."""
        return self._request_count > 0

    @property
    def waiting_since(self) -> float:
        """Event loop time since which it has waited for its client."""
        return self._since

    def reclaimable_bytes(self, now: float) -> int:
        """Returns the memory that is freed if the connection is closed."""
        if self._connection is None:
            return 0
        is_stalled = now - self._since > _STALLED_S
        if self._is_serving:
            held = len(self._pending)
            if is_stalled and self._unread_bytes:
                held = self._charged
            elif is_stalled and self._framing.is_in_body:
                held = self._charged + self._body_bytes
        else:
            held = self._charged
        # A usual head whose next part is on its way gives way to nothing.
        return held if is_stalled or held > _FREE_BYTES else 0

    def write_buffer_bytes(self) -> int:
        """Returns the size of responses that the client has not read."""
        if self._connection is None:
            return 0
        return self._connection.get_write_buffer_size()

    def drop(self, reason: CloseReason) -> None:
        """Closes the connection without a response."""
        self._guard.count_close(reason)
        # It has ended in the next iteration of the event loop.
        self._guard.remove(self)
        self._is_discarding = True
        self._set_pending(b"")
        if not self._is_serving:
            self._release()
        self._abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle time-out for the first request."""
        super().connection_made(transport)
        self._connection = transport
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        self._since = self._loop.time()
        has_room = self._guard.has_room()
        self._guard.add(self)
        if has_room:
            self._start_timer(self._limits.idle_timeout_s, CloseReason.IDLE)
        else:
            self.drop(CloseReason.CONNECTIONS_FULL)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Returns all memory to the account."""
        self._connection = None
        self._guard.remove(self)
        self._stop_timer()
        if self._closing is not None:
            self._closing.end()
        # The references of these objects to the protocol would keep it, and
        # what it has received, until the next full collection.
        self._closing = self._payload = None
        self._pending = b""
        self._release()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Passes one request at a time to the HTTP library."""
        start, size = 0, len(data)
        if not size:
            # The library resumes parsing what it has kept.
            super().data_received(data)
            return
        if self._force_close or self._close:
            return
        try:
            while start < size:
                if self._is_discarding:
                    if self._closing is not None:
                        self._closing.discard(size - start)
                    return
                if self._framing.is_in_body:
                    start = self._feed_body(data, start)
                elif self._is_serving or self._reading_paused or self._pending:
                    self._set_pending(self._pending + data[start:])
                    return
                else:
                    start = self._feed_head(data, start)
        except RefusalError as refusal:
            self._reject(refusal)

    def _feed_head(self, data: bytes, start: int) -> int:
        """Passes on a head or a part of it; returns the index after it."""
        end = self._framing.find_head_end(data, start)
        stop = len(data) if end < 0 else end
        size = stop - start
        self._charged += size
        if not self._pool.add(size):
            self._make_room(size)
            if self._is_discarding:
                # This connection was among those that were closed.
                return stop
        whole = start == 0 and stop == len(data)
        super().data_received(data if whole else data[start:stop])
        if self._messages:
            self._begin_request(end)
        elif end >= 0:
            # The library sees no end where the framing does.
            self.drop(CloseReason.MALFORMED_HEAD)
        elif not self._is_in_head:
            self._is_in_head = True
            self._since = self._loop.time()
            self._start_timer(
                self._limits.header_timeout_s, CloseReason.HEADER_TIMEOUT
            )
        return stop

    def _begin_request(self, end: int) -> None:
        self._stop_timer()
        self._is_in_head = False
        self._is_serving = True
        message, payload = self._messages[-1]
        if end < 0 or not hasattr(message, "headers"):
            # The library responds with 400. It would add an error for each
            # further piece of data. The traceback refers to the data.
            message.exc.__traceback__ = None
            self._is_discarding = True
            return
        if payload is EMPTY_PAYLOAD or payload.is_eof():
            return
        self._payload = payload
        length = message.headers.get(hdrs.CONTENT_LENGTH)
        is_chunked = message.chunked or length is None
        self._body_bytes = 0 if is_chunked else int(length)
        self._framing.begin_body(None if is_chunked else self._body_bytes)

    def _feed_body(self, data: bytes, start: int) -> int:
        """Passes on a part of a body; returns the index after it."""
        end = self._framing.find_body_end(data, start)
        whole = start == 0 and end == len(data)
        self._since = self._loop.time()
        super().data_received(data if whole else data[start:end])
        if not self._framing.is_in_body:
            self._payload = None
        return end

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Continues after the body was read."""
        super().resume_reading(resume_parser)
        self._schedule_pending()

    def _resume_reading_if_drained(self) -> None:
        if not self._is_held:
            super()._resume_reading_if_drained()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Waits until most of the response was read, then goes on."""
        if isinstance(resp, BaseException):
            # Its traceback refers to a frame that refers to it. Such cycles
            # kept the heads of requests until the next full collection.
            resp.__traceback__ = None
        result = await super().finish_response(request, resp, start_time)
        unread = self.write_buffer_bytes()
        if unread:
            self._guard.watch_response(self)
            if self._paused:
                await self._wait_read(unread)
        self._is_serving = False
        self._since = self._loop.time()
        self._release()
        if self._is_discarding and self.transport is not None:
            self._closing = LingeringClose(self._loop, self._abort)
            await self._closing.wait(self.transport)
        self._schedule_pending()
        return result

    async def _wait_read(self, unread: int) -> None:
        """Waits until most of a response was read.

        Args:
            unread: Its size in bytes.
        """
        self._since = self._loop.time()
        self._unread_bytes = unread
        self._charged += unread
        if not self._pool.add(unread):
            self._guard.free_memory(unread)
        try:
            await self._drain_helper()
        finally:
            self._unread_bytes = 0

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Responds to a malformed head without logging what it holds."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        self._guard.count_close(CloseReason.MALFORMED_HEAD)
        text = (message or "")[:_MAX_ERROR_CHARACTERS]
        response = web.Response(status=status, text=text)
        response.force_close()
        return response

    def _schedule_pending(self) -> None:
        if self._pending:
            self._loop.call_soon(self._feed_pending)

    def _feed_pending(self) -> None:
        """Parses what followed the request that has ended."""
        if self._is_serving or self._reading_paused or not self._pending:
            return
        data = self._pending
        self._set_pending(b"")
        # Some clients send an empty line behind a body.
        if data.strip(b"\r\n"):
            self.data_received(data)

    def _set_pending(self, data: bytes) -> None:
        """Keeps bytes; pauses reading while they exceed a head."""
        growth = len(data) - len(self._pending)
        self._pending = data
        self._charged += growth
        if not self._pool.add(growth) and growth > 0:
            self._make_room(growth)
        is_held = len(self._pending) > self._limits.max_header_bytes
        if is_held == self._is_held:
            return
        self._is_held = is_held
        if is_held:
            self._pause_reading_for_buffer()
        else:
            self._resume_reading_for_buffer()

    def _make_room(self, size: int) -> None:
        """Frees memory for bytes that were charged.

        Raises:
            RefusalError: If there is none and the connection holds more than a
                usual head.
        """
        if not self._guard.free_memory(size) and self._charged > _FREE_BYTES:
            raise RefusalError(
                RefusalReason.QUEUE_FULL,
                "too many requests in memory",
                retry_after_s=_MEMORY_RETRY_S,
            )

    def _release(self) -> None:
        """Returns the memory of the request to the account."""
        released = self._charged - len(self._pending)
        self._charged -= released
        self._pool.subtract(released)
        self._body_bytes = 0

    def _reject(self, refusal: RefusalError) -> None:
        """Refuses the request whose head or trailers are too large."""
        self._is_discarding = True
        if self._is_serving:
            if self._payload is not None:
                # Whoever reads the body refuses the request. The library would
                # read on and find the exception again.
                self._payload.set_exception(refusal)
                self._lingering_time = 0.0
            else:
                self.drop(CloseReason.MEMORY_FULL)
            return
        is_large = refusal.reason is RefusalReason.HEAD_TOO_LARGE
        reason = (
            CloseReason.HEAD_TOO_LARGE if is_large else CloseReason.MEMORY_FULL
        )
        if self._framing.is_in_body:
            # The response was sent before the body had ended.
            self.drop(reason)
            return
        self._guard.count_close(reason)
        self._release()
        self._stop_timer()
        if self.transport is None:
            return
        self.transport.write(render(refusal, ""))
        self._closing = LingeringClose(self._loop, self._abort)
        self._closing.begin(self.transport)

    def _abort(self) -> None:
        """Closes the connection; what the client has not read is lost."""
        self.force_close()
        if self._connection is not None:
            self._connection.abort()

    def _start_timer(self, timeout_s: float, reason: CloseReason) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(timeout_s, self.drop, reason)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

"""HTTP server for callers."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding._call import Call, read_body
from crowwinch.forwarding._early_refusals import EarlyRefusals
from crowwinch.forwarding._forwarder import Forwarder
from crowwinch.forwarding._listener import ConnectionListener
from crowwinch.forwarding._messages import WireCodec
from crowwinch.forwarding._model import RequestLimits, SocketAddress
from crowwinch.forwarding._overload import OverloadDetector
from crowwinch.observability import Metrics

_LOGGER = logging.getLogger(__name__)

# A body that takes longer than this is refused; its connection is likely dead.
_BODY_TIMEOUT_S = 15.0
# Connections are kept a little longer than callers may stay idle.
_IDLE_MARGIN_S = 2.0
# The HTTP library waits this long twice for requests that are not answered when
# the server stops. A stopping router has waited for them before.
_SHUTDOWN_TIMEOUT_S = 0.02
_MAX_HEADERS = 128
# Share of the process's memory that request bodies may occupy.
_BODY_MEMORY_SHARE = 0.2
_MEMORY_RETRY_S = 0.5
# Callers that come back on new connections leave idle ones behind; above this
# part of the descriptors, connections end with their answers. Without it a
# crowd used up all of them, and requests were read seconds late.
_KEPT_SHARE = 0.4
# Another router takes the request at once.
_OTHER_ROUTER_RETRY_S = 0.05
# Never sent: the caller disconnected before the response.
_CALLER_GONE_STATUS = 499


class _CallerProtocol(RequestHandler):
    """A connection that is closed if the head of a request takes too long.

    The HTTP library limits the time between two requests only.
    """

    def __init__(
        self,
        factory: "_CallerProtocolFactory",
        limits: RequestLimits,
        **options: Any,
    ) -> None:
        super().__init__(factory, **options)
        self._factory = factory
        self._limits = limits
        self._head_timer: asyncio.TimerHandle | None = None
        self._is_in_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Expects the first request within the idle time."""
        super().connection_made(transport)
        self._factory.open += 1
        self._expect_head(self._limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Expects the rest of an incomplete head within the head's time."""
        super().data_received(data)
        if self._current_request is not None or self._messages:
            self._stop_timer()
            self._is_in_head = False
        elif not self._is_in_head:
            self._stop_timer()
            self._is_in_head = True
            self._expect_head(self._limits.header_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the wait."""
        self._factory.open -= 1
        self._stop_timer()
        super().connection_lost(exc)

    def _expect_head(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(seconds, self.force_close)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class _CallerProtocolFactory(web.Server):
    """Makes connections with the limits that are in force."""

    def __init__(
        self, handler: Any, limits: Callable[[], RequestLimits]
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits
        self.open = 0

    def __call__(self) -> RequestHandler:
        limits = self._limits()
        return _CallerProtocol(
            self,
            limits,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s + _IDLE_MARGIN_S,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
            lingering_time=1.0,
        )


class CallerServer:
    """Reads requests of callers and hands them to the forwarder."""

    def __init__(
        self,
        clock: Clock,
        address: SocketAddress,
        codec: WireCodec,
        forwarder: Forwarder,
        limits: Callable[[], RequestLimits],
        metrics: Metrics,
        memory_bytes: int,
        max_descriptors: int,
        was_late: Callable[[], bool] = lambda: False,
    ) -> None:
        """Stores the parts; call `start` inside the event loop.

        Args:
            clock: Monotonic time.
            address: Where to listen.
            codec: Translates headers.
            forwarder: Serves requests.
            limits: Returns what callers may send.
            metrics: Counters and gauges.
            memory_bytes: Memory of the process.
            max_descriptors: Limit of open files and sockets of the process.
            was_late: Returns whether the process lacked processor time lately.
        """
        self._clock = clock
        self._address = address
        self._codec = codec
        self._forwarder = forwarder
        self._limits = limits
        self._metrics = metrics
        metrics.gauge("open_connections", lambda: self._open_connections)
        self._was_late = was_late
        self._overload = OverloadDetector(clock, random.random)
        self._kept_connections = int(max_descriptors * _KEPT_SHARE)
        self._body_capacity = int(memory_bytes * _BODY_MEMORY_SHARE)
        self._body_bytes = 0
        self._active = 0
        self._closes = False
        self._refuses = False
        self._factory: _CallerProtocolFactory | None = None
        self._runner: web.ServerRunner | None = None
        self._listener: ConnectionListener | None = None

    @property
    def active(self) -> int:
        """Requests that are not answered yet."""
        return self._active

    @property
    def is_overloaded(self) -> bool:
        """Whether other routers should take new connections."""
        return self._overload.is_overloaded

    @property
    def port(self) -> int:
        """The port in use once started."""
        assert self._listener is not None, "the server was not started"
        return self._listener.port

    @property
    def _open_connections(self) -> int:
        return 0 if self._factory is None else self._factory.open

    async def start(self) -> None:
        """Starts to listen; port 0 takes a free one."""
        factory = _CallerProtocolFactory(self._handle, self._limits)
        self._factory = factory
        self._runner = web.ServerRunner(
            factory,
            handle_signals=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        self._listener = ConnectionListener(
            self._clock,
            self._address,
            factory,
            EarlyRefusals(
                self._codec.attempt_header, self._no_time, self._metrics
            ),
            self._overload,
            self._metrics,
            self._was_late,
        )
        await self._listener.start()

    async def stop(self) -> None:
        """Closes the port and all connections."""
        if self._listener is not None:
            await self._listener.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def close_after_answers(self) -> None:
        """Ends each connection with its next answer."""
        self._closes = True

    def refuse_new(self) -> None:
        """Refuses requests that arrive from now on."""
        self._refuses = True

    def _is_closing(self) -> bool:
        """Returns whether connections end with their next answer."""
        if self._closes:
            return True
        return self._open_connections > self._kept_connections

    def _no_time(self) -> RefusalError:
        return RefusalError(
            RefusalReason.ROUTER_OVERLOADED,
            "the router has no time for new connections",
            retry_after_s=self._overload.retry_after_s(),
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = self._clock.monotonic()
        self._active += 1
        size = request.content_length or 0
        self._body_bytes += size
        try:
            return await self._serve(request, arrived)
        finally:
            self._body_bytes -= size
            self._active -= 1

    async def _serve(
        self, request: web.BaseRequest, arrived: float
    ) -> web.StreamResponse:
        head = self._codec.decode_request(request.headers)
        call = Call(request, head, b"", arrived, self._is_closing)
        if self._refuses:
            return await self._refuse(
                call,
                RefusalError(
                    RefusalReason.SHUTTING_DOWN,
                    "the router is stopping",
                    retry_after_s=_OTHER_ROUTER_RETRY_S,
                ),
            )
        if self._body_bytes > self._body_capacity:
            return await self._refuse(
                call,
                RefusalError(
                    RefusalReason.QUEUE_FULL,
                    "too many bodies in memory",
                    retry_after_s=_MEMORY_RETRY_S,
                ),
            )
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        limit = self._limits().max_body_bytes
        try:
            body = await read_body(request, limit, _BODY_TIMEOUT_S)
        except TimeoutError:
            return await self._refuse(
                call,
                RefusalError(
                    RefusalReason.MALFORMED_BODY, "the body is incomplete"
                ),
            )
        if body is None:
            return await self._refuse(
                call,
                RefusalError(
                    RefusalReason.BODY_TOO_LARGE, f"over {limit} bytes"
                ),
            )
        call = Call(request, head, body, arrived, self._is_closing)
        await self._forwarder.serve(call)
        if not call.is_started:
            return web.Response(status=_CALLER_GONE_STATUS)
        return call.response

    async def _refuse(
        self, call: Call, refusal: RefusalError
    ) -> web.StreamResponse:
        _LOGGER.info(
            "request",
            extra={
                "request_id": call.head.attempt_id,
                "code": refusal.code,
                "status": refusal.status,
            },
        )
        self._metrics.count_reason("refusals", refusal.reason)
        self._metrics.count("requests", "code", refusal.code)
        try:
            await call.refuse(refusal)
        except ConnectionError:
            # The caller left before its refusal.
            self._metrics.count("callers_gone")
        call.response.force_close()
        return call.response

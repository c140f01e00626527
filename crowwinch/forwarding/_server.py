"""HTTP server for callers."""

import logging
import random
from collections.abc import Callable

from aiohttp import web

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding._call import Call, read_body
from crowwinch.forwarding._connection_guard import ConnectionGuard
from crowwinch.forwarding._early_refusals import EarlyRefusals
from crowwinch.forwarding._forwarder import Forwarder
from crowwinch.forwarding._guarded_server import GuardedServer
from crowwinch.forwarding._listener import ConnectionListener
from crowwinch.forwarding._load_shedding import LoadShedding
from crowwinch.forwarding._memory import Allocation, MemoryPool
from crowwinch.forwarding._messages import WireCodec
from crowwinch.forwarding._model import RequestLimits, SocketAddress
from crowwinch.forwarding._overload import OverloadDetector
from crowwinch.forwarding._shutdown import shutdown_refusal
from crowwinch.observability import Metrics

_LOGGER = logging.getLogger(__name__)

# A body that takes longer than this is refused; its connection is likely dead.
_BODY_TIMEOUT_S = 15.0
# On shutdown the HTTP library waits this long, twice, for pending requests. The
# router has already waited for them before it stops the server.
_SHUTDOWN_TIMEOUT_S = 0.02
# Maximum share of the process memory that heads and bodies of requests, and
# received bytes that were not parsed, may occupy.
_BODY_MEMORY_SHARE = 0.2
# Bodies up to this size are always kept.
_FREE_BODY_BYTES = 8_192
# Callers that reconnect leave idle connections behind. Above this share of the
# file descriptors, connections are closed after their next response. Without
# this limit, many reconnecting callers exhausted the descriptors, and requests
# were read seconds late.
_KEEP_ALIVE_DESCRIPTOR_SHARE = 0.4
# Maximum share of the file descriptors for connections of callers. Above it,
# those are closed that have waited longest for their callers. The router needs
# the others for targets, peers, the store and operators.
_CONNECTION_DESCRIPTOR_SHARE = 0.6
# Maximum share of the process memory for open connections, and the memory that
# one takes: 7 to 8 KB without a complete head, and some more with a request.
_CONNECTION_MEMORY_SHARE = 0.3
_CONNECTION_BYTES = 12_000
# Lower bound, for tests with few descriptors.
_MIN_CONNECTIONS = 16
# Status of a response that is never sent because the caller disconnected.
_CALLER_GONE_STATUS = 499


def _max_connections(memory_bytes: int, max_descriptors: int) -> int:
    descriptors = int(max_descriptors * _CONNECTION_DESCRIPTOR_SHARE)
    memory = int(memory_bytes * _CONNECTION_MEMORY_SHARE) // _CONNECTION_BYTES
    return max(min(descriptors, memory), _MIN_CONNECTIONS)


class CallerServer:
    """Reads requests from callers and passes them to the forwarder."""

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
        lag_s: Callable[[], float] = lambda: 0.0,
        has_relief: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initializes the server without opening the port.

        Args:
            clock: Monotonic time.
            address: Where to listen.
            codec: Translates headers.
            forwarder: Serves requests.
            limits: Returns the limits on requests.
            metrics: Counters and gauges.
            memory_bytes: Memory limit of the process in bytes.
            max_descriptors: Maximum number of file descriptors of the process.
            was_late: Returns whether the process recently lacked processor
                time.
            lag_s: Returns for how many seconds the event loop recently did not
                run.
            has_relief: Returns whether a peer that callers may reach instead
                has processor time to spare.
        """
        self._clock = clock
        self._address = address
        self._codec = codec
        self._forwarder = forwarder
        self._limits = limits
        self._metrics = metrics
        metrics.gauge("open_connections", lambda: self._open_connections)
        self._was_late = was_late
        self._overload = OverloadDetector(clock, random.random, lag_s)
        self._shedding = LoadShedding(clock, self._overload, lag_s, has_relief)
        metrics.gauge("overloaded", lambda: self._shedding.is_short)
        self._max_keep_alive_connections = int(
            max_descriptors * _KEEP_ALIVE_DESCRIPTOR_SHARE
        )
        self._body_memory = MemoryPool(
            int(memory_bytes * _BODY_MEMORY_SHARE), _FREE_BODY_BYTES
        )
        metrics.gauge(
            "request_memory_bytes", lambda: self._body_memory.used_bytes
        )
        self._guard = ConnectionGuard(
            self._body_memory,
            _max_connections(memory_bytes, max_descriptors),
            metrics,
        )
        self._active = 0
        self._is_draining = False
        self._refuses_requests = False
        self._runner: web.ServerRunner | None = None
        self._listener: ConnectionListener | None = None

    @property
    def active(self) -> int:
        """Number of requests without a complete response."""
        return self._active

    @property
    def is_overloaded(self) -> bool:
        """Whether other routers should take new connections."""
        return self._overload.is_overloaded

    @property
    def is_short(self) -> bool:
        """Whether the router lacks processor time, which peers must know."""
        return self._shedding.is_short

    @property
    def port(self) -> int:
        """The port in use once started."""
        assert self._listener is not None, "the server was not started"
        return self._listener.port

    @property
    def _open_connections(self) -> int:
        return self._guard.open_connections

    async def start(self) -> None:
        """Starts listening; port 0 selects a free port.

        Raises:
            OSError: If the port is in use.
        """
        factory = GuardedServer(
            self._handle, self._guard, self._limits, handler_cancellation=True
        )
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
                self._codec.attempt_header,
                self._overload_refusal,
                self._metrics,
            ),
            self._overload,
            self._metrics,
            self._was_late,
            self._guard.has_room,
        )
        await self._listener.start()

    async def stop(self) -> None:
        """Closes the port and all connections."""
        if self._listener is not None:
            await self._listener.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        self._guard.stop()

    def close_after_responses(self) -> None:
        """Closes each connection after its next response."""
        self._is_draining = True

    def set_shutdown_deadline(self, deadline: float) -> None:
        """Sets when open requests are ended.

        Args:
            deadline: Monotonic time.
        """
        self._forwarder.shutdown.set_deadline(deadline)

    def end_requests(self) -> None:
        """Answers all open requests now, as at their deadlines."""
        self._forwarder.shutdown.end_requests()

    def refuse_new_requests(self) -> None:
        """Refuses requests that arrive from now on."""
        self._refuses_requests = True

    def _closes_connection(self) -> bool:
        """Returns whether connections are closed after the next response."""
        if self._is_draining:
            return True
        if self._open_connections > self._max_keep_alive_connections:
            return True
        is_shed = self._shedding.take_connection(self._open_connections)
        if is_shed:
            self._metrics.count("shed_connections")
        return is_shed

    def _overload_refusal(self) -> RefusalError:
        return RefusalError(
            RefusalReason.ROUTER_OVERLOADED,
            "the router has no time for new connections",
            retry_after_s=self._overload.retry_after_s(),
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = self._clock.monotonic()
        self._active += 1
        memory = self._body_memory.allocate()
        try:
            return await self._serve(request, arrived, memory)
        finally:
            memory.release()
            self._active -= 1

    async def _serve(
        self, request: web.BaseRequest, arrived: float, memory: Allocation
    ) -> web.StreamResponse:
        head = self._codec.decode_request(request.headers)
        call = Call(request, head, b"", arrived, self._closes_connection)
        if self._refuses_requests:
            return await self._refuse(call, shutdown_refusal())
        try:
            body = await read_body(
                request, self._limits().max_body_bytes, _BODY_TIMEOUT_S, memory
            )
        except RefusalError as refusal:
            # What is left of the body is not read.
            call = Call(request, head, b"", arrived, lambda: True)
            return await self._refuse(call, refusal)
        call = Call(request, head, body, arrived, self._closes_connection)
        # The shutdown may have gone on while the body arrived.
        if self._refuses_requests:
            return await self._refuse(call, shutdown_refusal())
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
            # The caller disconnected before the refusal was sent.
            self._metrics.count("callers_gone")
        call.response.force_close()
        return call.response

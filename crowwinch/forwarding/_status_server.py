"""HTTP server for operators and other routers, with small limits."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from crowwinch.errors import RefusalError
from crowwinch.forwarding._connection_guard import ConnectionGuard
from crowwinch.forwarding._guarded_server import GuardedServer
from crowwinch.forwarding._memory import MemoryPool
from crowwinch.forwarding._model import RequestLimits, SocketAddress
from crowwinch.observability import Metrics

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_SHUTDOWN_TIMEOUT_S = 0.1
_LIMITS = RequestLimits(
    max_header_bytes=8_192,
    max_body_bytes=65_536,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
# Heads and unread responses of all connections of one server together.
_MEMORY_BYTES = 4_000_000
# Share of the file descriptors of the process, and bounds on it. A balancer and
# a collector of metrics have a few connections each; routers that have just
# started all fetch a directory at once.
_DESCRIPTOR_SHARE = 0.05
_MIN_CONNECTIONS = 8
_MAX_CONNECTIONS = 64
# Peers wait for a directory for at most 2.4 s.
_HANDLER_TIMEOUT_S = 10.0


def max_status_connections(max_descriptors: int) -> int:
    """Returns how many connections a status server may have.

    Args:
        max_descriptors: Maximum number of file descriptors of the process.
    """
    share = int(max_descriptors * _DESCRIPTOR_SHARE)
    return min(max(share, _MIN_CONNECTIONS), _MAX_CONNECTIONS)


class StatusServer:
    """Serves small requests on one address.

    Heads, bodies, connections and time are limited, so that clients of the
    address cannot exhaust the process.
    """

    def __init__(
        self,
        address: SocketAddress,
        handler: Handler,
        max_connections: int = _MAX_CONNECTIONS,
        metrics: Metrics | None = None,
    ) -> None:
        """Initializes the server without opening the port.

        Args:
            address: Where to listen.
            handler: Returns the response to a request.
            max_connections: Maximum number of open connections.
            metrics: Counts closed connections; None counts nothing.
        """
        self._address = address
        self._handler = handler
        self._guard = ConnectionGuard(
            MemoryPool(_MEMORY_BYTES), max_connections, metrics
        )
        self._runner: web.ServerRunner | None = None

    @property
    def port(self) -> int:
        """The port in use once started."""
        assert self._runner is not None, "the server was not started"
        return self._runner.addresses[0][1]

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._runner = web.ServerRunner(
            GuardedServer(
                self._handle,
                self._guard,
                lambda: _LIMITS,
                request_factory=self._make_request,
            ),
            handle_signals=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        address = self._address
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Closes the port and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._guard.stop()

    def _make_request(self, *arguments: object) -> web.BaseRequest:
        return web.BaseRequest(
            *arguments,
            asyncio.get_running_loop(),
            client_max_size=_LIMITS.max_body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if (request.content_length or 0) > _LIMITS.max_body_bytes:
            response = web.Response(status=413)
            response.force_close()
            return response
        try:
            async with asyncio.timeout(_HANDLER_TIMEOUT_S):
                return await self._handler(request)
        except TimeoutError:
            return web.Response(status=503)
        except RefusalError as refusal:
            # The trailers of the body are too large, or it is malformed.
            response = web.Response(status=refusal.status)
            response.force_close()
            return response

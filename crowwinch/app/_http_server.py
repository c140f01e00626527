"""An HTTP server as a component of the application."""

import asyncio
import resource
import ssl

from aiohttp import web

from crowwinch.forwarding import (
    ConnectionGuard,
    GuardedServer,
    MemoryPool,
    RequestLimits,
)

# Idle connections stay open for as long as the HTTP library keeps them.
_LIMITS = RequestLimits(
    max_header_bytes=16_384, header_timeout_s=3.0, idle_timeout_s=3_628.0
)
# Heads, and received bytes that were not parsed, of all connections together.
# The process has 64 MB.
_MEMORY_BYTES = 4_000_000
# Share of the file descriptors for the connections of one address, and its
# bound: 1,000 connections take about 12 MB.
_DESCRIPTOR_SHARE = 0.4
_MAX_CONNECTIONS = 1_000
_SHUTDOWN_TIMEOUT_S = 1.0
# Requests follow their connection within a few milliseconds, or within tens on
# a busy machine.
_LAST_REQUESTS_S = 0.1


class _GuardedRunner(web.AppRunner):
    """Serves an application on guarded connections."""

    __slots__ = ("guard",)

    def __init__(self, application: web.Application, **options: object) -> None:
        super().__init__(application, **options)
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.guard = ConnectionGuard(
            MemoryPool(_MEMORY_BYTES),
            min(int(descriptors * _DESCRIPTOR_SHARE), _MAX_CONNECTIONS),
        )

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return GuardedServer(
            server.request_handler,
            self.guard,
            lambda: _LIMITS,
            request_factory=server.request_factory,
            handler_cancellation=True,
        )


class HttpServer:
    """Listens on one address."""

    def __init__(
        self,
        application: web.Application,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Stores where to listen; port 0 takes a free one."""
        # Compressed bodies are passed on with their Content-Encoding.
        self._runner = _GuardedRunner(
            application,
            handle_signals=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        self._host = host
        self._port = port
        self._ssl = ssl_context

    @property
    def port(self) -> int:
        """The port in use once started."""
        return self._port

    async def start(self) -> None:
        """Starts to listen."""
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, self._host, self._port, ssl_context=self._ssl
        )
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Closes the port, answers what was sent before, closes connections.

        A connection that was accepted a moment ago may not have delivered its
        request yet; closed at once, it would be reset.
        """
        for site in list(self._runner.sites):
            await site.stop()
        await asyncio.sleep(_LAST_REQUESTS_S)
        await self._runner.cleanup()
        self._runner.guard.stop()

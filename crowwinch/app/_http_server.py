"""An HTTP server as a component of the application."""

import asyncio
import ssl

from aiohttp import web

_MAX_HEADER_BYTES = 16384
_SHUTDOWN_TIMEOUT_S = 1.0
# Requests follow their connection within a few milliseconds, or within tens on
# a busy machine.
_LAST_REQUESTS_S = 0.1


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
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            # Compressed bodies are passed on with their Content-Encoding.
            auto_decompress=False,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
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

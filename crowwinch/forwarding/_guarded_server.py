"""HTTP server with limits on its connections."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from crowwinch.forwarding._connection_guard import ConnectionGuard
from crowwinch.forwarding._guarded_protocol import GuardedProtocol
from crowwinch.forwarding._model import RequestLimits


class GuardedServer(web.Server):
    """Creates protocols with the limits currently in force."""

    def __init__(
        self,
        handler: Any,
        guard: ConnectionGuard,
        limits: Callable[[], RequestLimits],
        **options: Any,
    ) -> None:
        """Initializes the server.

        Args:
            handler: Handles requests.
            guard: Account of the connections.
            limits: Returns the limits on requests.
            **options: Options of the HTTP library.
        """
        super().__init__(handler, **options)
        self._guard = guard
        self._limits = limits

    def __call__(self) -> RequestHandler:
        return GuardedProtocol(self, self._guard, self._limits(), self._loop)

"""HTTP server for operators, on a port that callers cannot reach."""

from collections.abc import Callable, Mapping

import msgspec
from aiohttp import web

from crowwinch.observability import Metrics


class OperatorApi:
    """Routes of the operators' port."""

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        state: Callable[[], dict[str, object]],
        documents: Callable[[], Mapping[str, bytes]] = dict,
    ) -> None:
        """Stores what the routes show."""
        self._metrics = metrics
        self._is_ready = is_ready
        self._state = state
        self._documents = documents

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._ready)
        application.router.add_get("/metrics", self._render_metrics)
        application.router.add_get("/v1/state", self._render_state)
        application.router.add_get(
            "/v1/configuration", self._render_configuration
        )
        return application

    async def _health(self, request: web.Request) -> web.Response:
        del request
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        del request
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _render_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.Response(text=self._metrics.render())

    async def _render_state(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=msgspec.json.encode(self._state()),
            content_type="application/json",
        )

    async def _render_configuration(self, request: web.Request) -> web.Response:
        """Returns the documents in force as text by name."""
        del request
        documents = self._documents()
        return web.Response(
            body=msgspec.json.encode(
                {name: value.decode() for name, value in documents.items()}
            ),
            content_type="application/json",
        )

"""HTTP server for callers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from crowwinch.api._errors import error_event, error_response
from crowwinch.api._parsing import (
    authenticate,
    deadline_of,
    engine_request,
    forwarded_headers,
    new_request_id,
    read_body,
    service_request,
)
from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.observability import Metrics
from crowwinch.routing import (
    CallerRequest,
    RequestHandler,
    StreamAnswer,
    WholeAnswer,
)

_LOGGER = logging.getLogger(__name__)

Parse = Callable[[web.Request, bytes, int, Snapshot, str, float], CallerRequest]


class CallerApi:
    """Routes of the callers' port."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        handler: RequestHandler,
        metrics: Metrics,
        region: str,
        max_body_bytes: int,
        request_timeout_s: float,
    ) -> None:
        """Stores the parts that the routes need."""
        self._clock = clock
        self._snapshot = snapshot
        self._handler = handler
        self._metrics = metrics
        self._region = region
        self._max_body_bytes = max_body_bytes
        self._request_timeout_s = request_timeout_s
        self._draining = False
        self._active = 0

    @property
    def active(self) -> int:
        """Requests that have not been answered completely."""
        return self._active

    def drain(self) -> None:
        """Refuses new requests from now on."""
        self._draining = True

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application(client_max_size=self._max_body_bytes)
        application.router.add_get("/v1/models", self._models)
        for path in ("/v1/chat/completions", "/v1/completions"):
            application.router.add_post(path, self._engine)
        for path in ("/services/{service}", "/services/{service}/{rest:.*}"):
            application.router.add_route("*", path, self._service)
        application.router.add_route("*", "/{rest:.*}", self._not_found)
        return application

    async def _engine(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, engine_request)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, service_request)

    async def _models(self, request: web.Request) -> web.StreamResponse:
        return await self._guard(request, self._list_models(request))

    async def _not_found(self, request: web.Request) -> web.StreamResponse:
        refusal = RefusalError(RefusalReason.NOT_FOUND, "no such path")
        return self._refuse(refusal, new_request_id(), None)

    async def _list_models(self, request: web.Request) -> web.Response:
        snapshot = self._snapshot()
        authenticate(request, snapshot)
        names = sorted(
            {
                group.model or group.name
                for group in snapshot.groups.values()
                if group.kind == "engine"
            }
        )
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in names
        ]
        return web.json_response({"object": "list", "data": models})

    async def _serve(
        self, request: web.Request, parse: Parse
    ) -> web.StreamResponse:
        self._active += 1
        try:
            return await self._guard(request, self._answer(request, parse))
        finally:
            self._active -= 1

    async def _guard(
        self, request: web.Request, answer: Awaitable[web.StreamResponse]
    ) -> web.StreamResponse:
        try:
            return await answer
        except RefusalError as refusal:
            return self._refuse(refusal, new_request_id(), request)

    async def _answer(
        self, request: web.Request, parse: Parse
    ) -> web.StreamResponse:
        snapshot = self._snapshot()
        if self._draining:
            raise RefusalError(
                RefusalReason.SHUTTING_DOWN,
                "the router is stopping",
                retry_after_s=1,
            )
        if snapshot.revision == 0:
            raise RefusalError(
                RefusalReason.NOT_READY, "no configuration", retry_after_s=1
            )
        now = self._clock.monotonic()
        workspace = authenticate(request, snapshot)
        deadline = deadline_of(request, now, self._request_timeout_s)
        body = await read_body(request)
        parsed = parse(
            request, body, workspace, snapshot, self._region, deadline
        )
        try:
            answer = await self._handler.handle(parsed)
        except RefusalError as refusal:
            return self._refuse(refusal, parsed.request_id, request)
        except asyncio.CancelledError:
            self._metrics.count_reason("refusals", RefusalReason.CALLER_GONE)
            raise
        if isinstance(answer, WholeAnswer):
            response = self._whole(answer, parsed)
        else:
            response = await self._stream(request, answer, parsed)
        self._metrics.observe("request", self._clock.monotonic() - now)
        return response

    def _whole(
        self, answer: WholeAnswer, parsed: CallerRequest
    ) -> web.StreamResponse:
        headers = forwarded_headers(answer.headers)
        headers["X-Request-Id"] = parsed.request_id
        self._metrics.count("answers", "kind", "whole")
        return web.Response(
            status=answer.status, headers=headers, body=answer.body
        )

    async def _stream(
        self, request: web.Request, answer: StreamAnswer, parsed: CallerRequest
    ) -> web.StreamResponse:
        headers = forwarded_headers(answer.headers)
        headers["X-Request-Id"] = parsed.request_id
        response = web.StreamResponse(status=answer.status, headers=headers)
        await response.prepare(request)
        try:
            async for event in answer.events:
                await response.write(event)
            self._metrics.count("answers", "kind", "stream")
        except RefusalError as refusal:
            self._count_refusal(refusal, parsed.request_id)
            await response.write(error_event(refusal, parsed.request_id))
        except (asyncio.CancelledError, ConnectionError):
            self._metrics.count_reason("refusals", RefusalReason.CALLER_GONE)
            raise
        finally:
            await answer.events.aclose()
        await response.write_eof()
        return response

    def _refuse(
        self,
        refusal: RefusalError,
        request_id: str,
        request: web.Request | None,
    ) -> web.Response:
        del request
        self._count_refusal(refusal, request_id)
        return error_response(refusal, request_id)

    def _count_refusal(self, refusal: RefusalError, request_id: str) -> None:
        self._metrics.count_reason("refusals", refusal.reason)
        _LOGGER.info(
            "request refused",
            extra={
                "request_id": request_id,
                "reason": refusal.code,
                "run_state": refusal.run_state.name.lower(),
            },
        )

"""HTTP server for callers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from crowwinch.api._delivery import is_closed, is_delivered
from crowwinch.api._errors import error_event, error_response
from crowwinch.api._parsing import (
    authenticate,
    deadline_of,
    engine_request,
    forwarded_headers,
    new_request_id,
    offset_of,
    read_body,
    resume_request,
    service_request,
)
from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.observability import Metrics
from crowwinch.routing import (
    Answer,
    BodyAnswer,
    CallerRequest,
    KeyedRequestHandler,
    RequestHandler,
    StreamAnswer,
    WholeAnswer,
)

_LOGGER = logging.getLogger(__name__)
# Only large answers to slow readers are polled, and all while the router stops.
_DELIVERY_POLL_S = 0.01

Parse = Callable[[web.Request, bytes, int, Snapshot, str, float], CallerRequest]


class CallerApi:
    """Routes of the callers' port."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        handler: RequestHandler,
        keyed: KeyedRequestHandler,
        metrics: Metrics,
        region: str,
        max_body_bytes: int,
        request_timeout_s: float,
    ) -> None:
        """Stores the parts that the routes need."""
        self._clock = clock
        self._snapshot = snapshot
        self._handler = handler
        self._keyed = keyed
        self._metrics = metrics
        self._region = region
        self._max_body_bytes = max_body_bytes
        self._request_timeout_s = request_timeout_s
        self._stopping = False
        self._draining = False
        self._active = 0

    @property
    def active(self) -> int:
        """Requests whose callers have not received the whole answer."""
        return self._active + self._keyed.running

    def begin_stop(self) -> None:
        """Counts answers as active until their callers have received them."""
        self._stopping = True

    def drain(self) -> None:
        """Refuses new requests from now on."""
        self._draining = True

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application(client_max_size=self._max_body_bytes)
        application.router.add_get("/v1/models", self._models)
        application.router.add_get(
            "/v1/streams/{stream}", self._resume, allow_head=False
        )
        application.router.add_post("/v1/idempotency-keys", self._issue_key)
        application.router.add_get(
            "/v1/idempotency-keys/{key}", self._fetch_answer
        )
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

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, resume_request)

    async def _issue_key(self, request: web.Request) -> web.StreamResponse:
        return await self._guard(request, self._issue(request))

    async def _fetch_answer(self, request: web.Request) -> web.StreamResponse:
        return await self._guard(request, self._fetch(request))

    async def _issue(self, request: web.Request) -> web.Response:
        authenticate(request, self._admit())
        key = await self._keyed.issue()
        return web.json_response({"idempotency_key": str(key)}, status=201)

    async def _fetch(self, request: web.Request) -> web.Response:
        workspace = authenticate(request, self._admit())
        now = self._clock.monotonic()
        answer = await self._keyed.fetch(
            workspace,
            request.match_info["key"],
            deadline_of(request, now, self._request_timeout_s),
        )
        return web.Response(
            status=answer.status,
            headers=forwarded_headers(answer.headers),
            body=answer.body,
        )

    async def _models(self, request: web.Request) -> web.StreamResponse:
        return await self._guard(request, self._list_models(request))

    async def _not_found(self, request: web.Request) -> web.StreamResponse:
        del request
        refusal = RefusalError(RefusalReason.NOT_FOUND, "no such path")
        return self._refuse(refusal, new_request_id())

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
        return await self._guard(request, self._answer(request, parse))

    async def _guard(
        self, request: web.Request, answer: Awaitable[web.StreamResponse]
    ) -> web.StreamResponse:
        # A planned stop waits for every request, also those without a slot:
        # a fetch waits while its call runs at another router.
        self._active += 1
        try:
            try:
                response = await answer
            except RefusalError as refusal:
                response = self._refuse(refusal, new_request_id())
            await self._deliver(request, response)
            return response
        finally:
            self._active -= 1

    async def _deliver(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Writes an answer and waits until a slow reader has it.

        The server's own write ends with up to 64 KB in the process, which
        would be lost when the process ends.
        """
        if is_closed(request.transport):
            return
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError:
            self._metrics.count_reason("refusals", RefusalReason.CALLER_GONE)
            return
        while not is_delivered(request.transport, self._stopping):
            await asyncio.sleep(_DELIVERY_POLL_S)

    async def _answer(
        self, request: web.Request, parse: Parse
    ) -> web.StreamResponse:
        snapshot = self._admit()
        now = self._clock.monotonic()
        workspace = authenticate(request, snapshot)
        deadline = deadline_of(request, now, self._request_timeout_s)
        body = await read_body(request, deadline - now)
        parsed = parse(
            request, body, workspace, snapshot, self._region, deadline
        )
        try:
            answer = await self._handle(request, parsed)
        except RefusalError as refusal:
            return self._refuse(refusal, parsed.request_id)
        except asyncio.CancelledError:
            self._metrics.count_reason("refusals", RefusalReason.CALLER_GONE)
            raise
        if isinstance(answer, WholeAnswer):
            response = self._whole(request, answer, parsed)
        else:
            response = await self._pass_on(request, answer, parsed)
        self._metrics.observe("request", self._clock.monotonic() - now)
        return response

    def _admit(self) -> Snapshot:
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
        return snapshot

    async def _handle(
        self, request: web.Request, parsed: CallerRequest
    ) -> Answer:
        stream_id = request.match_info.get("stream")
        if stream_id is None:
            return await self._keyed.handle(parsed)
        return await self._handler.resume(parsed, stream_id, offset_of(request))

    def _whole(
        self, request: web.Request, answer: WholeAnswer, parsed: CallerRequest
    ) -> web.StreamResponse:
        headers = forwarded_headers(answer.headers)
        headers["X-Request-Id"] = parsed.request_id
        self._metrics.count("answers", "kind", "whole")
        if request.method == "HEAD" and "Content-Length" in answer.headers:
            headers["Content-Length"] = answer.headers["Content-Length"]
            return web.StreamResponse(status=answer.status, headers=headers)
        return web.Response(
            status=answer.status, headers=headers, body=answer.body
        )

    async def _pass_on(
        self,
        request: web.Request,
        answer: StreamAnswer | BodyAnswer,
        parsed: CallerRequest,
    ) -> web.StreamResponse:
        """Passes an answer on as it arrives.

        Writing waits while the caller reads slowly, which in turn stops the
        reading from the target.
        """
        is_stream = isinstance(answer, StreamAnswer)
        parts = answer.events if is_stream else answer.chunks
        headers = forwarded_headers(answer.headers)
        headers["X-Request-Id"] = parsed.request_id
        if is_stream:
            headers["X-Stream-Id"] = answer.stream_id
        elif answer.length is not None:
            headers["Content-Length"] = str(answer.length)
        response = web.StreamResponse(status=answer.status, headers=headers)
        try:
            await response.prepare(request)
            async for part in parts:
                await response.write(part)
            self._metrics.count(
                "answers", "kind", "stream" if is_stream else "body"
            )
        except RefusalError as refusal:
            self._count_refusal(refusal, parsed.request_id)
            if not is_stream:
                return _cut(request, response)
            await response.write(error_event(refusal, parsed.request_id))
        except (asyncio.CancelledError, ConnectionError):
            self._metrics.count_reason("refusals", RefusalReason.CALLER_GONE)
            raise
        finally:
            await parts.aclose()
        await response.write_eof()
        return response

    def _refuse(self, refusal: RefusalError, request_id: str) -> web.Response:
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


def _cut(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    """Closes the connection, so that no caller takes the body as complete."""
    if request.transport is not None:
        request.transport.abort()
    return response

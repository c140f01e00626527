"""Turns HTTP requests of callers into requests of the router."""

import uuid
from collections.abc import Mapping
from typing import Annotated

import msgspec
from aiohttp import web

from crowwinch.configuration import Snapshot
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.routing import CallerRequest, estimate_engine_cost
from crowwinch.scheduling import RequestClass

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "x-request-id",
        "expect",
    }
)
_DEADLINE_HEADER = "X-Deadline-Ms"
_CLASS_HEADER = "X-Request-Class"
_SERVICE_ESTIMATE_UNITS = 100


class _EngineBody(msgspec.Struct):
    model: str
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None


_DECODER = msgspec.json.Decoder(_EngineBody)


def new_request_id() -> str:
    """Returns a request identifier that is unique in the fleet."""
    return uuid.uuid4().hex


def authenticate(request: web.Request, snapshot: Snapshot) -> int:
    """Returns the workspace of the bearer key.

    Raises:
        RefusalError: If the key is missing or unknown.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    workspace = None
    if scheme.lower() == "bearer":
        workspace = snapshot.workspace_of_key(key.strip())
    if workspace is None:
        raise RefusalError(
            RefusalReason.UNKNOWN_KEY, "the bearer key is unknown"
        )
    return workspace


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns headers without those that concern one connection only."""
    named = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    dropped = _HOP_BY_HOP | named
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped
    }


async def read_body(request: web.Request) -> bytes:
    """Returns the body.

    Raises:
        RefusalError: If the body is larger than the limit.
    """
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RefusalError(
            RefusalReason.BODY_TOO_LARGE, "the body is too large"
        ) from error


def engine_request(
    request: web.Request,
    body: bytes,
    workspace: int,
    snapshot: Snapshot,
    region: str,
    deadline: float,
) -> CallerRequest:
    """Parses a chat or text completion.

    Raises:
        RefusalError: If the body is malformed or the model unknown.
    """
    try:
        parsed = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RefusalError(RefusalReason.MALFORMED_BODY, str(error)) from error
    groups = snapshot.groups_of_model(parsed.model, region)
    if not groups:
        raise RefusalError(
            RefusalReason.UNKNOWN_MODEL,
            f"the model {parsed.model!r} does not exist",
        )
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens
    return CallerRequest(
        request_id=new_request_id(),
        workspace=workspace,
        groups=tuple(groups),
        method="POST",
        path=request.path,
        headers=forwarded_headers(request.headers),
        body=body,
        stream=parsed.stream,
        request_class=_request_class(request, workspace, snapshot),
        estimate=estimate_engine_cost(
            snapshot.groups[groups[0]], len(body), max_tokens
        ),
        deadline=deadline,
    )


def service_request(
    request: web.Request,
    body: bytes,
    workspace: int,
    snapshot: Snapshot,
    region: str,
    deadline: float,
) -> CallerRequest:
    """Parses a call of a plain service.

    Raises:
        RefusalError: If the service is unknown.
    """
    name = request.match_info["service"]
    groups = snapshot.groups_of_service(name, region)
    if not groups:
        raise RefusalError(
            RefusalReason.UNKNOWN_SERVICE,
            f"the service {name!r} does not exist",
        )
    path = request.raw_path.removeprefix(f"/services/{name}") or "/"
    return CallerRequest(
        request_id=new_request_id(),
        workspace=workspace,
        groups=tuple(groups),
        method=request.method,
        path=path if path.startswith("/") else f"/{path}",
        headers=forwarded_headers(request.headers),
        body=body,
        stream=False,
        request_class=_request_class(request, workspace, snapshot),
        estimate=_SERVICE_ESTIMATE_UNITS,
        deadline=deadline,
        idempotency_key=request.headers.get("Idempotency-Key", ""),
    )


def deadline_of(request: web.Request, now: float, timeout_s: float) -> float:
    """Returns the monotonic deadline in seconds of a request.

    Raises:
        RefusalError: If the deadline header is malformed.
    """
    text = request.headers.get(_DEADLINE_HEADER)
    if text is None:
        return now + timeout_s
    if not text.isdecimal():
        raise RefusalError(
            RefusalReason.MALFORMED_BODY,
            f"{_DEADLINE_HEADER} is not a number of milliseconds",
        )
    return now + min(int(text) / 1000, timeout_s)


def _request_class(
    request: web.Request, workspace: int, snapshot: Snapshot
) -> RequestClass:
    name = request.headers.get(
        _CLASS_HEADER, snapshot.workspaces[workspace].request_class
    )
    return RequestClass.BULK if name == "bulk" else RequestClass.INTERACTIVE

"""Turns HTTP requests of callers into requests of the router."""

import asyncio
import os
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Annotated

import msgspec
from aiohttp import web
from multidict import CIMultiDict, MultiMapping

from crowwinch.configuration import Snapshot
from crowwinch.errors import DECODE_ERRORS, RefusalError, RefusalReason
from crowwinch.idempotency import parse_key
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
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})
_DEADLINE_HEADER = "X-Deadline-Ms"
_CLASS_HEADER = "X-Request-Class"
_CLASS_NAMES = ("interactive", "bulk")
_SERVICE_ESTIMATE_UNITS = 100
_MAX_COUNT_DIGITS = 15
# 4 MiB over a link of 1 Mbit/s take 34 s.
_BODY_TIMEOUT_S = 60.0


class _EngineBody(msgspec.Struct):
    model: str
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()


_DECODER = msgspec.json.Decoder(_EngineBody)


def new_request_id() -> str:
    """Returns a request identifier that is unique in the fleet."""
    return os.urandom(16).hex()


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


def forwarded_headers(headers: MultiMapping[str]) -> CIMultiDict[str]:
    """Returns headers without those that concern one connection only.

    Headers that occur several times are kept, for instance `Set-Cookie`.
    """
    dropped = _HOP_BY_HOP
    connection = headers.getall("Connection", ())
    if connection:
        dropped = dropped | {
            name.strip().lower()
            for value in connection
            for name in value.split(",")
        }
    return CIMultiDict(
        [item for item in headers.items() if item[0].lower() not in dropped]
    )


async def read_body(request: web.Request, timeout_s: float) -> bytes:
    """Returns the body.

    Args:
        request: The request of a caller.
        timeout_s: Seconds until the deadline of the request.

    Raises:
        RefusalError: If the body is malformed, larger than the limit or late.
            A body that declares its length is refused before it is read.
    """
    if (request.content_length or 0) > request.client_max_size:
        raise _too_large()
    try:
        if request.content.is_eof():
            # A small body arrives with its headers and needs no time limit.
            return await request.read()
        # The server does not report a malformed chunk to a pending read, so
        # without a limit such a request would stay open.
        async with asyncio.timeout(min(timeout_s, _BODY_TIMEOUT_S)):
            return await request.read()
    except TimeoutError as error:
        raise RefusalError(
            RefusalReason.DEADLINE_EXCEEDED, "the body is late"
        ) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise _too_large() from error
    except web.RequestPayloadError as error:
        raise RefusalError(
            RefusalReason.MALFORMED_BODY, "the body is malformed"
        ) from error


def _too_large() -> RefusalError:
    return RefusalError(RefusalReason.BODY_TOO_LARGE, "the body is too large")


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
    if request.headers.get("Content-Encoding", "identity") != "identity":
        raise RefusalError(
            RefusalReason.MALFORMED_BODY, "the body must not be compressed"
        )
    try:
        parsed = _DECODER.decode(body)
    except DECODE_ERRORS as error:
        raise RefusalError(RefusalReason.MALFORMED_BODY, str(error)) from error
    groups = snapshot.groups_of_model(parsed.model, region)
    if not groups:
        raise RefusalError(
            RefusalReason.UNKNOWN_MODEL,
            f"the model {parsed.model!r} does not exist",
        )
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens
    return _caller_request(
        request,
        workspace,
        snapshot,
        deadline,
        groups=groups,
        path=request.path,
        headers=forwarded_headers(request.headers),
        body=body,
        stream=parsed.stream,
        estimate=estimate_engine_cost(
            snapshot.groups[groups[0]], len(body), max_tokens
        ),
        idempotency_key=_fleet_key(request),
        prompt=parsed.messages if len(parsed.messages) else parsed.prompt,
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
    return _caller_request(
        request,
        workspace,
        snapshot,
        deadline,
        groups=groups,
        path=_service_path(request),
        headers=forwarded_headers(request.headers),
        body=body,
        estimate=_SERVICE_ESTIMATE_UNITS,
        idempotency_key=_fleet_key(request),
    )


def resume_request(
    request: web.Request,
    body: bytes,
    workspace: int,
    snapshot: Snapshot,
    region: str,
    deadline: float,
) -> CallerRequest:
    """Returns the request to resume a stream; it has no body and no group."""
    del body, region
    return _caller_request(request, workspace, snapshot, deadline, stream=True)


def deadline_of(request: web.Request, now: float, timeout_s: float) -> float:
    """Returns the monotonic deadline in seconds of a request.

    Raises:
        RefusalError: If the deadline header is malformed.
    """
    text = request.headers.get(_DEADLINE_HEADER)
    if text is None:
        return now + timeout_s
    if not _is_count(text):
        raise RefusalError(
            RefusalReason.MALFORMED_BODY,
            f"{_DEADLINE_HEADER} is not a number of milliseconds",
        )
    return now + min(int(text) / 1000, timeout_s)


def offset_of(request: web.Request) -> int:
    """Returns the number of token events that the caller already has.

    Raises:
        RefusalError: If the offset is malformed.
    """
    text = request.query.get("offset", "0")
    if not _is_count(text):
        raise RefusalError(
            RefusalReason.MALFORMED_BODY, "offset is not a number of events"
        )
    return int(text)


def _is_count(text: str) -> bool:
    # Longer numbers are no sensible count, and int() rejects very long ones.
    return text.isdecimal() and len(text) <= _MAX_COUNT_DIGITS


def _caller_request(
    request: web.Request,
    workspace: int,
    snapshot: Snapshot,
    deadline: float,
    *,
    groups: Sequence[int] = (),
    path: str = "",
    headers: Mapping[str, str] = _NO_HEADERS,
    body: bytes = b"",
    stream: bool = False,
    estimate: int = 1,
    idempotency_key: str = "",
    prompt: bytes | msgspec.Raw = b"",
) -> CallerRequest:
    """Returns a request with a new identifier.

    Raises:
        RefusalError: If the class of the request is malformed.
    """
    return CallerRequest(
        new_request_id(),
        workspace,
        tuple(groups),
        request.method,
        path,
        headers,
        body,
        stream,
        _request_class(request, workspace, snapshot),
        estimate,
        deadline,
        idempotency_key,
        prompt,
    )


def _service_path(request: web.Request) -> str:
    """Returns path and query at the service, with its encoding unchanged."""
    raw = request.raw_path
    if not raw.startswith("/"):
        raw = request.rel_url.raw_path_qs
    path, question, query = raw.partition("?")
    rest = path.split("/", 3)[3:]
    return "/" + "".join(rest) + question + query


def _request_class(
    request: web.Request, workspace: int, snapshot: Snapshot
) -> RequestClass:
    name = request.headers.get(
        _CLASS_HEADER, snapshot.workspaces[workspace].request_class
    )
    if name not in _CLASS_NAMES:
        raise RefusalError(
            RefusalReason.MALFORMED_BODY,
            f"{_CLASS_HEADER} is neither interactive nor bulk",
        )
    return RequestClass.BULK if name == "bulk" else RequestClass.INTERACTIVE


def _fleet_key(request: web.Request) -> str:
    """Returns the key of a request if the fleet issued it, or "".

    Other keys have a meaning only for the target, which gets them unchanged.
    """
    text = request.headers.get("Idempotency-Key", "")
    return text if parse_key(text) is not None else ""

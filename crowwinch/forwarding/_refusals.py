"""Answers of the router itself to requests that it refuses."""

import http

import msgspec

from crowwinch.errors import RefusalError, RefusalReason, RunState

JSON_TYPE = "application/json"
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
# Statuses by which callers know that a request has not run.
_NOT_RUN = frozenset((429, _UNAVAILABLE))


def status_of(refusal: RefusalError) -> int:
    """Returns the status of a refusal.

    A crash suspect is no mistake of its caller, so it gets no 4xx status. 429
    and 503 promise that the request did not run; after a run that gave no
    answer, a request that finds no place for its repeat gets 502.
    """
    status = refusal.status
    if refusal.reason is RefusalReason.CRASH_SUSPECT:
        status = _UNAVAILABLE
    if refusal.run_state is not RunState.NOT_RUN and status in _NOT_RUN:
        return _BAD_GATEWAY
    return status


def headers_of(refusal: RefusalError) -> list[tuple[str, str]]:
    """Returns the headers of a refusal, apart from those of the connection."""
    headers = [("Content-Type", JSON_TYPE)]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
    return headers


def body_of(refusal: RefusalError, request_id: str) -> bytes:
    """Returns the body of a refusal: its reason and whether the request ran."""
    document = {
        "error": {
            "message": str(refusal),
            "type": "crowwinch_error",
            "code": refusal.code,
            "run_state": refusal.run_state.name.lower(),
            "request_id": request_id,
        }
    }
    return msgspec.json.encode(document)


def render(refusal: RefusalError, request_id: str) -> bytes:
    """Returns a whole HTTP answer that ends its connection."""
    status = http.HTTPStatus(status_of(refusal))
    body = body_of(refusal, request_id)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        *(f"{name}: {value}" for name, value in headers_of(refusal)),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

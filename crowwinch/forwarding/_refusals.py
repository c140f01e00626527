"""HTTP responses to requests that the router refuses."""

import http

import msgspec

from crowwinch.errors import RefusalError, RefusalReason, RunState

_JSON_CONTENT_TYPE = "application/json"
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
# Statuses that guarantee to callers that the request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, _UNAVAILABLE))


def status_of(refusal: RefusalError) -> int:
    """Returns the HTTP status of a refusal.

    A request suspected of crashing targets is not an error of its caller, so
    the status is not 4xx. 429 and 503 guarantee that the request did not run. A
    request that may have run and cannot be retried gets 502.
    """
    status = refusal.status
    if refusal.reason is RefusalReason.CRASH_SUSPECT:
        status = _UNAVAILABLE
    if refusal.run_state is not RunState.NOT_RUN and status in NOT_RUN_STATUSES:
        return _BAD_GATEWAY
    return status


def headers_of(refusal: RefusalError) -> list[tuple[str, str]]:
    """Returns the headers of a refusal, without hop-by-hop headers."""
    headers = [("Content-Type", _JSON_CONTENT_TYPE)]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
    return headers


def body_of(refusal: RefusalError, request_id: str) -> bytes:
    """Returns the JSON body of a refusal with its reason and run state."""
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
    """Returns a complete HTTP response that closes its connection."""
    status = http.HTTPStatus(status_of(refusal))
    body = body_of(refusal, request_id)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        *(f"{name}: {value}" for name, value in headers_of(refusal)),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

"""Error bodies in the OpenAI form."""

import math

import msgspec
from aiohttp import web

from crowwinch.errors import RefusalError


def error_document(refusal: RefusalError, request_id: str) -> dict[str, object]:
    """Returns the error body of a refusal."""
    return {
        "error": {
            "message": str(refusal),
            "type": "crowwinch_error",
            "code": refusal.code,
            "run_state": refusal.run_state.name.lower(),
            "request_id": request_id,
        }
    }


def error_response(refusal: RefusalError, request_id: str) -> web.Response:
    """Returns the HTTP answer to a refused request."""
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode(error_document(refusal, request_id)),
        content_type="application/json",
        headers=headers,
    )


def error_event(refusal: RefusalError, request_id: str) -> bytes:
    """Returns the server-sent event that ends a broken stream."""
    document = msgspec.json.encode(error_document(refusal, request_id))
    return b"event: error\ndata: " + document + b"\n\n"

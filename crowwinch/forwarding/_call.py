"""A request from a caller and the response to it."""

import asyncio
from collections.abc import Callable, Iterable

from aiohttp import web
from multidict import CIMultiDict

from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding._memory import Allocation
from crowwinch.forwarding._messages import RequestHead
from crowwinch.forwarding._refusals import body_of, headers_of, status_of

# Delay before a retry when the bodies of requests take too much memory.
_MEMORY_RETRY_S = 0.5
# Time in which the requests of connections that were closed to free memory end.
_RECLAIM_S = 0.01


class Call:
    """A request whose body was read, and its response."""

    def __init__(
        self,
        request: web.BaseRequest,
        head: RequestHead,
        body: bytes,
        arrived: float,
        closes_connection: Callable[[], bool],
    ) -> None:
        """Initializes the call without a response.

        Args:
            request: The HTTP request.
            head: Decoded headers of the request.
            body: The complete body.
            arrived: Monotonic time at which its head was read.
            closes_connection: Returns whether the connection must be closed
                after the response.
        """
        self._request = request
        self._head = head
        self._body = body
        self._arrived = arrived
        self._closes_connection = closes_connection
        self._response: web.StreamResponse | None = None
        self._status = 0

    @property
    def head(self) -> RequestHead:
        """Decoded headers of the request."""
        return self._head

    @property
    def body(self) -> bytes:
        """The complete body."""
        return self._body

    @property
    def arrived(self) -> float:
        """Monotonic time at which the head was read."""
        return self._arrived

    @property
    def method(self) -> str:
        """HTTP method."""
        return self._request.method

    @property
    def raw_path(self) -> str:
        """Path and query as the caller sent them."""
        return self._request.raw_path

    @property
    def host(self) -> str:
        """Value of the Host header."""
        return self._request.headers.get("Host", "")

    @property
    def headers(self) -> Iterable[tuple[str, str]]:
        """All headers."""
        return self._request.headers.items()

    @property
    def response(self) -> web.StreamResponse:
        """The response, which must have been started."""
        assert self._response is not None, "the response was not started"
        return self._response

    @property
    def is_started(self) -> bool:
        """Whether the response was started."""
        return self._response is not None

    @property
    def status(self) -> int:
        """HTTP status of the response, 0 until it is started."""
        return self._status

    async def start(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Starts a response of unknown length."""
        response = web.StreamResponse(
            status=status, reason=reason, headers=CIMultiDict(headers)
        )
        self._prepare(response)
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a part of the response body."""
        await self.response.write(data)

    async def finish(self) -> None:
        """Marks the response as complete."""
        await self.response.write_eof()

    async def send_response(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Sends a complete response."""
        response = web.Response(
            status=status,
            reason=reason,
            headers=CIMultiDict(headers),
            body=body,
        )
        self._prepare(response)
        await response.prepare(self._request)
        await response.write_eof()

    async def refuse(self, refusal: RefusalError) -> None:
        """Sends a refusal with its reason and the run state of the request."""
        await self.send_response(
            status_of(refusal),
            "",
            headers_of(refusal),
            body_of(refusal, self._head.attempt_id),
        )

    def abort(self) -> None:
        """Closes the connection, so that the response is seen as incomplete."""
        transport = self._request.transport
        if transport is not None:
            transport.close()

    def _prepare(self, response: web.StreamResponse) -> None:
        if self._closes_connection():
            response.force_close()
        self._response = response
        self._status = response.status


async def read_body(
    request: web.BaseRequest, limit: int, timeout_s: float, memory: Allocation
) -> bytes:
    """Reads the complete body of a request.

    Args:
        request: The HTTP request.
        limit: Maximum size in bytes.
        timeout_s: Maximum time in seconds.
        memory: Allocation for the body. One with a length takes its whole
            memory at once, one in chunks as they arrive.

    Raises:
        RefusalError: If the body exceeds the limit, is incomplete after
            `timeout_s`, or does not fit into memory.
    """
    size = request.content_length or 0
    await _take_memory(size, limit, memory)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    if not request.can_read_body:
        return b""
    if request.content.is_eof():
        # Most bodies arrive with their heads and need no time limit.
        data = request.content.read_nowait()
        await _take_memory(max(size, len(data)), limit, memory)
        return data
    body = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            while data := await request.content.readany():
                size = max(size, len(body) + len(data))
                await _take_memory(size, limit, memory)
                body += data
    except TimeoutError as error:
        raise RefusalError(
            RefusalReason.MALFORMED_BODY, "the body is incomplete"
        ) from error
    return bytes(body)


async def _take_memory(size: int, limit: int, memory: Allocation) -> None:
    """Takes memory for a body.

    Raises:
        RefusalError: If the body is too large, or there is no memory left.
    """
    if size > limit:
        raise RefusalError(RefusalReason.BODY_TOO_LARGE, f"over {limit} bytes")
    if memory.resize(size):
        return
    if memory.reclaim(size - memory.size_bytes):
        await asyncio.sleep(_RECLAIM_S)
        if memory.resize(size):
            return
    raise RefusalError(
        RefusalReason.QUEUE_FULL,
        "too many bodies in memory",
        retry_after_s=_MEMORY_RETRY_S,
    )

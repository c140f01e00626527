"""HTTP client for targets."""

import asyncio
import contextlib
import re
import ssl
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
)
from dataclasses import dataclass

import aiohttp
import yarl

from crowwinch.errors import CrowwinchError
from crowwinch.response_handler import StrictResponseHandler

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_READ_CHUNK_BYTES = 65536
# Far larger than a completion of 100,000 tokens. Limits the memory that a
# faulty target can consume.
_MAX_BODY_BYTES = 16_777_216
# The client adds none of these headers itself: a caller that did not send
# Accept-Encoding must not receive a compressed answer.
_SUPPRESSED_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "User-Agent",
)
_ECHO_HEADER = "X-Request-Id"
_ATTEMPT_PATTERN = re.compile(r"[0-9a-f]{32}-[0-9]+")


class TargetError(CrowwinchError):
    """An attempt at a target failed."""


class NotSentError(TargetError):
    """The attempt failed before any byte of the request was written.

    Attributes:
        refused: Whether the target refused the connection.
    """

    def __init__(self, message: str, refused: bool = False) -> None:
        """Initializes the error with the cause of the failure."""
        super().__init__(message)
        self.refused = refused


class ConnectionLostError(TargetError):
    """The connection was lost after the request was written."""


class IncompleteAnswerError(ConnectionLostError):
    """The answer is shorter than its declared length."""


class MismatchedAnswerError(ConnectionLostError):
    """The answer belongs to another attempt."""


class AnswerTimeoutError(ConnectionLostError):
    """The answer was not complete before the timeout."""


@dataclass(frozen=True, slots=True)
class TargetCall:
    """HTTP request for one attempt.

    Attributes:
        attempt: Identifier of the attempt, echoed in `X-Request-Id`.
        base_url: Base URL of the target.
        path: Path and query, appended to the base URL.
        timeout_s: Timeout in seconds for the whole exchange.
        requires_echo: Whether an answer without the echoed identifier is
            rejected.
        reuse_connection: Whether a pooled connection may be used. If a faulty
            target sends an answer twice, the second copy stays buffered on the
            idle connection and would be read as the answer to the next call.
    """

    attempt: str
    base_url: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    requires_echo: bool = False
    reuse_connection: bool = False


class _TrackedRequest(aiohttp.ClientRequest):
    """A request that records whether any byte may have been written."""

    is_written = False

    async def send(self, conn: object) -> aiohttp.ClientResponse:
        """Writes the request to an established connection."""
        self.is_written = True
        return await super().send(conn)


class _SendTracker:
    """Client middleware that tracks the sending of one attempt."""

    __slots__ = ("_request",)

    def __init__(self) -> None:
        """Initializes the tracker before a connection exists."""
        self._request: _TrackedRequest | None = None

    @property
    def is_written(self) -> bool:
        """Whether any byte of the request may have been written."""
        return self._request is not None and self._request.is_written

    async def __call__(
        self,
        request: _TrackedRequest,
        handler: Callable[[_TrackedRequest], Awaitable[aiohttp.ClientResponse]],
    ) -> aiohttp.ClientResponse:
        """Prevents the session from resending PUT or DELETE on its own.

        After a lost connection the session resends requests with a method
        that HTTP defines as idempotent, although the target may have executed
        the first copy.
        """
        self._request = request
        try:
            return await handler(request)
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError):
            raise
        except (
            aiohttp.ClientOSError,
            aiohttp.ServerDisconnectedError,
        ) as error:
            raise aiohttp.ClientPayloadError(str(error)) from error


@contextlib.contextmanager
def _convert_read_errors() -> Iterator[None]:
    """Converts errors of the HTTP library into target errors."""
    try:
        yield
    except TimeoutError as error:
        raise AnswerTimeoutError(
            "the answer was not complete before the timeout"
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise IncompleteAnswerError(
            f"the connection was lost while the answer was read: {error}"
        ) from error


class TargetAnswer:
    """The answer to one attempt.

    The body can be read only once. The answer must be closed afterwards.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Wraps a response whose headers have arrived."""
        self._response = response

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the answer."""
        return self._response.headers

    @property
    def length(self) -> int | None:
        """Declared length of the body in bytes, or None."""
        return self._response.content_length

    async def read(self, limit: int = _MAX_BODY_BYTES) -> bytes:
        """Reads and returns the whole body.

        Args:
            limit: Maximum length of the body in bytes.

        Raises:
            IncompleteAnswerError: If the connection was closed too early or
                the body is longer than the limit.
            AnswerTimeoutError: If the attempt timed out.
        """
        body = bytearray()
        with _convert_read_errors():
            while chunk := await self._response.content.readany():
                body += chunk
                if len(body) > limit:
                    raise IncompleteAnswerError(
                        f"the answer is longer than {limit} bytes"
                    )
        return bytes(body)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as they arrive.

        Raises:
            IncompleteAnswerError: If the connection was closed too early.
            AnswerTimeoutError: If the attempt timed out.
        """
        with _convert_read_errors():
            async for chunk in self._response.content.iter_any():
                yield chunk

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished attempt."""
        self._response.close()


class TargetClient:
    """HTTP client with one connection pool for all targets."""

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        """Creates a client; call `start` inside the event loop."""
        self._ssl = ssl_context
        self._pooled_session: aiohttp.ClientSession | None = None
        self._unpooled_session: aiohttp.ClientSession | None = None
        self._cancellations: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Creates the HTTP sessions."""
        self._pooled_session = self._create_session(force_close=False)
        self._unpooled_session = self._create_session(force_close=True)

    async def stop(self) -> None:
        """Waits for cancellations to be sent and closes all connections."""
        if self._cancellations:
            await asyncio.wait(self._cancellations, timeout=_CANCEL_TIMEOUT_S)
        for session in (self._pooled_session, self._unpooled_session):
            if session is not None:
                await session.close()

    async def open(self, call: TargetCall) -> TargetAnswer:
        """Sends an attempt and waits for the headers of its answer.

        Raises:
            NotSentError: If no byte of the request was written.
            ConnectionLostError: If the request was written at least in part
                but no valid answer arrived, so that its outcome is unknown.
        """
        session = (
            self._pooled_session
            if call.reuse_connection
            else self._unpooled_session
        )
        assert session is not None, "the client was not started"
        if session.closed:
            raise NotSentError("the target client is closed")
        tracker = _SendTracker()
        try:
            response = await session.request(
                call.method,
                yarl.URL(call.base_url.rstrip("/") + call.path, encoded=True),
                data=call.body or None,
                headers=call.headers,
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
                middlewares=(tracker,),
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise _target_error(error, tracker.is_written) from error
        _check_echo(call, response)
        return TargetAnswer(response)

    def cancel(self, base_url: str, attempt: str) -> None:
        """Requests cancellation of an attempt, without waiting for it.

        Closing the connection does not suffice, because an engine keeps a
        disconnected stream for some time so that it can be resumed.
        """
        task = asyncio.ensure_future(self._cancel(base_url, attempt))
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    async def _cancel(self, base_url: str, attempt: str) -> None:
        path = f"/v1/streams/{attempt}"
        call = TargetCall(
            attempt, base_url, "DELETE", path, {}, b"", _CANCEL_TIMEOUT_S
        )
        try:
            (await self.open(call)).close()
        except TargetError:
            return

    def _create_session(self, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            ssl=self._ssl if self._ssl else True,
            force_close=force_close,
        )
        loop = asyncio.get_running_loop()
        connector._factory = lambda: StrictResponseHandler(loop)
        return aiohttp.ClientSession(
            connector=connector,
            # A shared cookie jar would send cookies of one workspace with
            # requests of another.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=_READ_CHUNK_BYTES,
            skip_auto_headers=_SUPPRESSED_HEADERS,
            request_class=_TrackedRequest,
        )


def _target_error(error: Exception, is_written: bool) -> TargetError:
    message = str(error) or type(error).__name__
    if not is_written:
        refused = isinstance(
            getattr(error, "os_error", None), ConnectionRefusedError
        )
        return NotSentError(message, refused)
    if isinstance(error, TimeoutError):
        return AnswerTimeoutError(
            "the target did not answer before the timeout"
        )
    return ConnectionLostError(message)


def _check_echo(call: TargetCall, response: aiohttp.ClientResponse) -> None:
    echo = response.headers.get(_ECHO_HEADER, "")
    if echo == call.attempt or not (
        call.requires_echo or _ATTEMPT_PATTERN.fullmatch(echo)
    ):
        return
    response.close()
    raise MismatchedAnswerError("the answer belongs to another attempt")

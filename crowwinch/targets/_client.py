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

_CONNECT_TIMEOUT_S = 1.0
_CANCEL_TIMEOUT_S = 2.0
_READ_CHUNK_BYTES = 65536
# Far more than a completion of 100,000 tokens; bounds the memory that a
# faulty target can take.
_MAX_WHOLE_BYTES = 16_777_216
# A caller that sends no Accept-Encoding must not get a compressed answer, so
# the client adds no header of its own.
_AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_ATTEMPT_HEADER = "X-Request-Id"
_ATTEMPT_PATTERN = re.compile(r"[0-9a-f]{32}-[0-9]+")


class TargetError(CrowwinchError):
    """An attempt at a target failed."""


class NotSentError(TargetError):
    """The attempt failed before any byte of it was written.

    Attributes:
        refused: Whether the target refused the connection.
    """

    def __init__(self, message: str, refused: bool = False) -> None:
        """Initializes the error with the cause of the failure."""
        super().__init__(message)
        self.refused = refused


class ConnectionLostError(TargetError):
    """The connection was lost after the attempt was written."""


class IncompleteAnswerError(ConnectionLostError):
    """The answer is shorter than its declared length."""


class MismatchedAnswerError(ConnectionLostError):
    """The answer belongs to another attempt."""


class AnswerTimeoutError(ConnectionLostError):
    """The answer did not arrive completely in time."""


@dataclass(frozen=True, slots=True)
class TargetCall:
    """One attempt of a request.

    Attributes:
        attempt: Identifier that the target echoes.
        base_url: URL of the target.
        path: Path and query below the base URL.
        timeout_s: Longest duration in seconds.
        echoed: Whether the target must echo the attempt.
        reuse: Whether an open connection may be used again. An answer that a
            faulty target sends twice stays in an idle connection and would
            be read as the answer to the next call.
    """

    attempt: str
    base_url: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    echoed: bool = False
    reuse: bool = False


class _Request(aiohttp.ClientRequest):
    """A request that records whether any byte may have been written."""

    is_written = False

    async def send(self, conn: object) -> aiohttp.ClientResponse:
        """Writes the request to an established connection."""
        self.is_written = True
        return await super().send(conn)


class _Sending:
    """Client middleware that tracks the sending of one attempt."""

    __slots__ = ("_request",)

    def __init__(self) -> None:
        """Initializes the tracker before a connection exists."""
        self._request: _Request | None = None

    @property
    def is_written(self) -> bool:
        """Whether a byte of the attempt may have been written."""
        return self._request is not None and self._request.is_written

    async def __call__(
        self,
        request: _Request,
        handler: Callable[[_Request], Awaitable[aiohttp.ClientResponse]],
    ) -> aiohttp.ClientResponse:
        """Prevents the session from resending PUT or DELETE on its own.

        The session repeats methods that HTTP calls idempotent after a lost
        connection, although the first copy may have run.
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
def _reading() -> Iterator[None]:
    """Converts errors of the HTTP library into target errors."""
    try:
        yield
    except TimeoutError as error:
        raise AnswerTimeoutError("the answer is late") from error
    except (aiohttp.ClientError, OSError) as error:
        raise IncompleteAnswerError(f"the connection broke: {error}") from error


class TargetAnswer:
    """The answer to one attempt; read it once, then close it."""

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

    async def read(self, limit: int = _MAX_WHOLE_BYTES) -> bytes:
        """Reads and returns the whole body.

        Raises:
            IncompleteAnswerError: If the connection ended too early or the
                body is longer than the limit in bytes.
            AnswerTimeoutError: If the time of the attempt is over.
        """
        body = bytearray()
        with _reading():
            while chunk := await self._response.content.readany():
                body += chunk
                if len(body) > limit:
                    raise IncompleteAnswerError("the answer is too long")
        return bytes(body)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            IncompleteAnswerError: If the connection ended too early.
            AnswerTimeoutError: If the time of the attempt is over.
        """
        with _reading():
            async for chunk in self._response.content.iter_any():
                yield chunk

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished attempt."""
        self._response.close()


class TargetClient:
    """Sends attempts, with one connection pool for all targets."""

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        """Creates a client; call `start` inside the event loop."""
        self._ssl = ssl_context
        self._pooled: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None
        self._cancellations: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens the connection pool."""
        self._pooled = self._session(force_close=False)
        self._single = self._session(force_close=True)

    async def stop(self) -> None:
        """Closes all connections."""
        if self._cancellations:
            await asyncio.wait(self._cancellations, timeout=_CANCEL_TIMEOUT_S)
        for session in (self._pooled, self._single):
            if session is not None:
                await session.close()

    async def open(self, call: TargetCall) -> TargetAnswer:
        """Sends an attempt and waits for the headers of its answer.

        Raises:
            NotSentError: If no byte of the attempt was written.
            ConnectionLostError: If the outcome of the attempt is unknown.
        """
        session = self._pooled if call.reuse else self._single
        assert session is not None, "the client was not started"
        if session.closed:
            raise NotSentError("the client was stopped")
        sending = _Sending()
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
                middlewares=(sending,),
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise _failure(error, sending.is_written) from error
        _check_attempt(call, response)
        return TargetAnswer(response)

    def cancel(self, base_url: str, attempt: str) -> None:
        """Requests cancellation of an attempt, without waiting for it.

        Closing the connection is not enough: an engine keeps a stream for a
        while so that it can be resumed.
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

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                ssl=self._ssl if self._ssl else True,
                force_close=force_close,
            ),
            # A shared jar would send one workspace's cookies for another.
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            read_bufsize=_READ_CHUNK_BYTES,
            skip_auto_headers=_AUTOMATIC_HEADERS,
            request_class=_Request,
        )


def _failure(error: Exception, is_written: bool) -> TargetError:
    message = str(error) or type(error).__name__
    if not is_written:
        refused = isinstance(
            getattr(error, "os_error", None), ConnectionRefusedError
        )
        return NotSentError(message, refused)
    if isinstance(error, TimeoutError):
        return AnswerTimeoutError("no answer in time")
    return ConnectionLostError(message)


def _check_attempt(call: TargetCall, response: aiohttp.ClientResponse) -> None:
    echo = response.headers.get(_ATTEMPT_HEADER, "")
    if echo == call.attempt or not (
        call.echoed or _ATTEMPT_PATTERN.fullmatch(echo)
    ):
        return
    response.close()
    raise MismatchedAnswerError("the answer belongs to another attempt")

"""HTTP client for targets."""

import ssl
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp

from crowwinch.errors import CrowwinchError

_CONNECT_TIMEOUT_S = 1.0
_READ_CHUNK_BYTES = 65536


class TargetError(CrowwinchError):
    """An attempt at a target failed."""


class NotSentError(TargetError):
    """The attempt failed before any byte of it was written."""


class ConnectionLostError(TargetError):
    """The connection broke after the attempt was written."""


class IncompleteAnswerError(ConnectionLostError):
    """The answer is shorter than it declares."""


@dataclass(frozen=True, slots=True)
class TargetCall:
    """One attempt of a request.

    Attributes:
        attempt: Identifier that the target echoes.
        base_url: URL of the target.
        path: Path and query below the base URL.
        timeout_s: Longest duration in seconds.
    """

    attempt: str
    base_url: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


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

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            IncompleteAnswerError: If the connection ended too early.
        """
        try:
            return await self._response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise IncompleteAnswerError(str(error)) from error

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            IncompleteAnswerError: If the connection ended too early.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise IncompleteAnswerError(str(error)) from error

    def close(self) -> None:
        """Drops the connection, which cancels an unfinished attempt."""
        self._response.close()


class TargetClient:
    """Opens attempts; one connection pool for all targets."""

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        """Creates a client; call `start` inside the event loop."""
        self._ssl = ssl_context
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, ssl=self._ssl if self._ssl else True
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            read_bufsize=_READ_CHUNK_BYTES,
        )

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def open(self, call: TargetCall) -> TargetAnswer:
        """Sends an attempt and waits for the headers of its answer.

        Raises:
            NotSentError: If no connection was made.
            ConnectionLostError: If the outcome of the attempt is unknown.
        """
        assert self._session is not None, "the client was not started"
        try:
            response = await self._session.request(
                call.method,
                call.base_url.rstrip("/") + call.path,
                data=call.body,
                headers=call.headers,
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSentError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLostError(str(error)) from error
        return TargetAnswer(response)

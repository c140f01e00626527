"""HTTP client for targets, which may send incomplete or unexpected data."""

import asyncio
import contextvars
import http
import socket
from collections import Counter
from collections.abc import Mapping
from typing import Any

import aiohttp
from aiohttp import ClientRequest
from aiohttp.client_exceptions import ClientOSError
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

from crowwinch.response_handler import StrictResponseHandler

# Targets accept connections within a few milliseconds; unreachable ones never
# do.
_CONNECT_TIMEOUT_S = 0.4
# Idle connections are closed after this share of the target's keep-alive
# time-out. If the target closed one while a request is being sent, it would be
# unknown whether the request ran.
_IDLE_TIMEOUT_SHARE = 0.7
_DEFAULT_IDLE_TIMEOUT_S = 4.0
# A connection is closed if the target does not acknowledge data for this long.
_USER_TIMEOUT_MS = 2_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_MAX_HEADER_BYTES = 65_536
# Received bytes are parsed in pieces of this size. Each head takes about a
# hundred times its size in memory once it is parsed.
_MAX_PARSED_BYTES = 16_384
# A connection is closed when more responses than this wait to be read, or come
# before the expected one: late responses to earlier requests, and interim ones.
_MAX_EXTRA_RESPONSES = 16
# Size of all bodies that are skipped before the expected response.
_MAX_SKIPPED_BYTES = 1_048_576
_REPORT_TIMEOUT_S = 0.5
_MAX_REPORT_BYTES = 262_144

# Path and query of the request that the current task sends.
_raw_path: contextvars.ContextVar[str] = contextvars.ContextVar("raw_path")


class OversizedResponseError(aiohttp.ClientError):
    """A target sent more than a router reads before the expected response."""


class _TargetProtocol(StrictResponseHandler):
    """Returns only responses that match the last request of the connection.

    A faulty target may send a second response or other bytes after a complete
    response. They would be read as the response to the next request.
    """

    attempt_header = ""
    # Open connections by address of the target.
    open_connections: Counter[str] = Counter()

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expected_attempt_id = ""
        self._idle_timeout_s = _DEFAULT_IDLE_TIMEOUT_S
        self._idle_close: asyncio.TimerHandle | None = None
        self._has_responded = False
        # Interim responses to the last request.
        self._interim_responses = 0
        self._address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")[:2]
        self._address = f"{host}:{port}"
        self.open_connections[self._address] += 1

    def expect(self, attempt_id: str) -> None:
        """Sets the request to match and cancels the idle time-out."""
        self._expected_attempt_id = attempt_id
        self._interim_responses = 0
        if self._idle_close is not None:
            self._idle_close.cancel()
            self._idle_close = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and ends a connection with too many responses.

        The library keeps all responses until they are read.
        """
        super().data_received(data[:_MAX_PARSED_BYTES])
        for start in range(_MAX_PARSED_BYTES, len(data), _MAX_PARSED_BYTES):
            if self.transport is None or self.exception() is not None:
                return
            super().data_received(data[start : start + _MAX_PARSED_BYTES])
            if len(self._buffer) > _MAX_EXTRA_RESPONSES:
                break
        if len(self._buffer) > _MAX_EXTRA_RESPONSES:
            self._buffer.clear()
            self._fail(f"more than {_MAX_EXTRA_RESPONSES} unread responses")

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resumes reading if it was paused.

        The library calls this for each read of a body, and runs its parser
        without data each time, which took a tenth of the time of an event.
        """
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    async def read(self) -> Any:
        """Returns the head and the payload of the matching response.

        Raises:
            ClientOSError: If a response does not say which request it belongs
                to, and may belong to an earlier one of this connection.
            OversizedResponseError: If too much comes before the response.
        """
        skipped_bytes = 0
        for _ in range(_MAX_EXTRA_RESPONSES - self._interim_responses):
            message, payload = await super().read()
            if message.code < 200:
                self._interim_responses += 1
            else:
                attempt_id = message.headers.get(self.attempt_header)
                if attempt_id is None and self._has_responded:
                    self.close()
                    raise ClientOSError(
                        "response without an attempt id on a connection that "
                        "was used before"
                    )
                if (
                    attempt_id is not None
                    and attempt_id != self._expected_attempt_id
                ):
                    skipped_bytes += await self._skip(payload, skipped_bytes)
                    continue
                self._has_responded = True
                self._update_idle_timeout(message.headers)
                payload.on_eof(self._schedule_idle_close)
            return message, payload
        raise self._fail(f"more than {_MAX_EXTRA_RESPONSES} extra responses")

    async def _skip(self, payload: Any, skipped_bytes: int) -> int:
        """Reads a body that belongs to no request; returns its size.

        Args:
            payload: The body.
            skipped_bytes: Size of the bodies that were skipped before it.

        Raises:
            OversizedResponseError: If all of them together are too large.
        """
        size = 0
        while data := await payload.readany():
            size += len(data)
            if skipped_bytes + size > _MAX_SKIPPED_BYTES:
                raise self._fail(
                    f"over {_MAX_SKIPPED_BYTES} bytes in responses to other "
                    "requests"
                )
        return size

    def _fail(self, cause: str) -> OversizedResponseError:
        """Ends the connection; returns the error of the current request."""
        error = OversizedResponseError(cause)
        transport = self.transport
        if transport is not None:
            transport.abort()
        self.set_exception(error)
        return error

    def connection_lost(self, exc: BaseException | None) -> None:
        """Counts the connection as closed."""
        if self._idle_close is not None:
            self._idle_close.cancel()
        self.open_connections[self._address] -= 1
        if not self.open_connections[self._address]:
            del self.open_connections[self._address]
        super().connection_lost(exc)

    def _update_idle_timeout(self, headers: Mapping[str, str]) -> None:
        for parameter in headers.get("Keep-Alive", "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self._idle_timeout_s = (
                    max(int(value), 0.5) * _IDLE_TIMEOUT_SHARE
                )

    def _schedule_idle_close(self) -> None:
        if self._idle_close is None:
            self._idle_close = self._loop.call_later(
                self._idle_timeout_s, self._close_idle
            )

    def _close_idle(self) -> None:
        self._idle_close = None
        self.close()


class _UnnormalizedUrl:
    """A URL with the path and query exactly as the caller sent them.

    The URL class of the library drops a `?` that no query follows, which would
    change the request.
    """

    def __init__(self, url: URL, raw_path: str) -> None:
        self._url = url
        self.raw_path_qs = raw_path

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class _AttemptRequest(ClientRequest):
    """A request that sets the response its connection expects."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        protocol = conn.protocol
        assert isinstance(protocol, _TargetProtocol)
        protocol.expect(self.headers.get(protocol.attempt_header, ""))
        self.url = _UnnormalizedUrl(self.url, _raw_path.get())
        return await super().send(conn)


async def _read_up_to(
    response: aiohttp.ClientResponse, limit: int
) -> bytes | None:
    """Returns the body of a response, None if it exceeds a limit in bytes."""
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > limit:
            return None
    return bytes(body)


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    return sock


class TargetClient:
    """Sends single attempts to targets over persistent connections."""

    def __init__(self, attempt_header: str) -> None:
        """Initializes the client without opening connections.

        Args:
            attempt_header: Name of the header that matches responses to
                requests.
        """
        self._attempt_header = attempt_header
        self._open_connections: Counter[str] = Counter()
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Creates the connection pool."""
        protocol = type(
            "_Protocol",
            (_TargetProtocol,),
            {
                "attempt_header": self._attempt_header,
                "open_connections": self._open_connections,
            },
        )
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=60.0, socket_factory=_open_socket
        )
        loop = asyncio.get_running_loop()
        connector._factory = lambda: protocol(loop)
        self._session = aiohttp.ClientSession(
            connector=connector,
            request_class=_AttemptRequest,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            skip_auto_headers=(
                "Accept",
                "Accept-Encoding",
                "User-Agent",
                "Content-Type",
            ),
        )
        # By default the library retries requests with idempotent methods. Here
        # the route decides whether a request may be retried, not the method.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    def connections(self, address: str) -> int:
        """Returns the number of open connections to a target.

        Args:
            address: `IP:PORT` of the target.
        """
        return self._open_connections[address]

    async def read_report(self, address: str, path: str) -> bytes | None:
        """Returns what a target reports of itself, None if it does not.

        It has a connection of its own, as its response names no request.

        Args:
            address: `IP:PORT` of the target.
            path: Path of the report.
        """
        timeout = aiohttp.ClientTimeout(
            total=_REPORT_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
        )
        connector = aiohttp.TCPConnector(force_close=True)
        try:
            async with (
                aiohttp.ClientSession(
                    connector=connector, timeout=timeout
                ) as session,
                session.get(
                    f"http://{address}{path}", allow_redirects=False
                ) as response,
            ):
                if response.status != http.HTTPStatus.OK:
                    return None
                return await _read_up_to(response, _MAX_REPORT_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def can_connect(self, address: str) -> bool:
        """Returns whether a target accepts connections.

        Args:
            address: `IP:PORT` of the target.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def send(
        self,
        method: str,
        address: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the head of the response.

        Args:
            method: HTTP method.
            address: `IP:PORT` of the target.
            raw_path: Path and query as the caller sent them.
            headers: All headers except hop-by-hop headers.
            body: The complete body.

        Raises:
            aiohttp.ClientConnectorError: If the connection failed; nothing was
                sent.
            aiohttp.ConnectionTimeoutError: If connecting timed out; nothing was
                sent.
            aiohttp.ClientError: If the connection broke or the response cannot
                be parsed.
        """
        assert self._session is not None, "the client was not started"
        _raw_path.set(raw_path)
        return await self._session.request(
            method,
            URL(f"http://{address}{raw_path}", encoded=True),
            headers=headers,
            data=body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
        )

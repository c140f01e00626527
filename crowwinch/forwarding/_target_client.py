"""HTTP client for targets that may send too little, too much or too late."""

import asyncio
import contextvars
import socket
from collections.abc import Mapping
from typing import Any

import aiohttp
from aiohttp import ClientRequest
from aiohttp.client_exceptions import ClientOSError
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

# The targets answer connections in a few milliseconds; a dark one never does.
_CONNECT_TIMEOUT_S = 0.4
# Idle connections are closed before the target closes them; a request that
# crosses the close of its connection may have run.
_IDLE_SHARE = 0.7
_DEFAULT_IDLE_S = 4.0
# Data that a target does not acknowledge for this long is lost with it.
_USER_TIMEOUT_MS = 2_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_MAX_HEADER_BYTES = 65_536

# Path and query of the request that the current task sends.
_raw_path: contextvars.ContextVar[str] = contextvars.ContextVar("raw_path")


class _TargetProtocol(ResponseHandler):
    """A connection that passes on only answers to the request sent last.

    A faulty target may send another answer or other bytes after a complete
    answer; they arrive where the next answer is expected.
    """

    attempt_header = ""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expected = ""
        self._idle_s = _DEFAULT_IDLE_S
        self._idle_close: asyncio.TimerHandle | None = None
        self._answer_payload: Any = None

    def expect(self, attempt_id: str) -> None:
        """Prepares for a request that is about to be sent."""
        self._expected = attempt_id
        if self._idle_close is not None:
            self._idle_close.cancel()
            self._idle_close = None

    async def read(self) -> Any:
        """Returns the head and the body of the expected answer."""
        while True:
            message, payload = await super().read()
            if message.code >= 200:
                answered = message.headers.get(self.attempt_header)
                if answered is not None and answered != self._expected:
                    await payload.read()
                    continue
                self._note_idle_limit(message.headers)
                self._answer_payload = payload
                payload.on_eof(self._schedule_idle_close)
            return message, payload

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails an answer that is cut by a reset.

        An answer without a length ends with its connection; after a reset it
        would look complete.
        """
        payload = self._answer_payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientOSError(*exc.args))
        if self._idle_close is not None:
            self._idle_close.cancel()
        super().connection_lost(exc)

    def _note_idle_limit(self, headers: Mapping[str, str]) -> None:
        for parameter in headers.get("Keep-Alive", "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self._idle_s = max(int(value), 0.5) * _IDLE_SHARE

    def _schedule_idle_close(self) -> None:
        if self._idle_close is None:
            self._idle_close = self._loop.call_later(
                self._idle_s, self._close_idle
            )

    def _close_idle(self) -> None:
        self._idle_close = None
        self.close()


class _ExactUrl:
    """A URL with the path and query as the caller wrote them.

    The library's URL leaves out a `?` without a query, and such a request
    would arrive changed.
    """

    def __init__(self, url: URL, raw_path: str) -> None:
        self._url = url
        self.raw_path_qs = raw_path

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class _AttemptRequest(ClientRequest):
    """A request that tells its connection which answer to wait for."""

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        protocol = conn.protocol
        assert isinstance(protocol, _TargetProtocol)
        protocol.expect(self.headers.get(protocol.attempt_header, ""))
        self.url = _ExactUrl(self.url, _raw_path.get())
        return await super().send(conn)


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
    """Sends single attempts to targets over kept connections."""

    def __init__(self, attempt_header: str) -> None:
        """Stores the header by which answers are matched."""
        self._attempt_header = attempt_header
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the connection pool."""
        protocol = type(
            "_Protocol",
            (_TargetProtocol,),
            {"attempt_header": self._attempt_header},
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
        # The library repeats idempotent methods by itself; what may be
        # repeated is decided by the route, not by the method.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        method: str,
        address: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns the head of its answer.

        Args:
            method: Method of the request.
            address: `IP:PORT` of the target.
            raw_path: Path and query as the caller sent them.
            headers: All headers but those of the connection.
            body: The whole body.

        Raises:
            aiohttp.ClientConnectorError: If no connection could be made, so
                that nothing was sent.
            aiohttp.ClientError: If the connection broke or the answer cannot
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

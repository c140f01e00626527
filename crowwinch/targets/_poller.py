"""Reads of loads and states over connections that stay open."""

import asyncio
import functools
import ssl
from collections.abc import Callable

import aiohttp
import yarl

from crowwinch.coordination import Subscription, TimerService
from crowwinch.targets._client import (
    AnswerTimeoutError,
    ConnectionLostError,
    NotSentError,
)
from crowwinch.targets._load import LOAD_TIMEOUT_S, TargetLoad, decode_load
from crowwinch.targets._poll_answers import PollAnswer, parse_answer

# A target may stop to listen and still serve open connections. A new
# connection every 2 s finds it within the 3 s after which it may receive no
# new work.
_POLLS_OF_A_CONNECTION = 2
_IDLE_LIMIT_S = 5.0
_SWEEP_PERIOD_S = 5.0


class _Connection(asyncio.Protocol):
    """One connection to a target, for one poll at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[["_Connection"], None],
    ) -> None:
        self._loop = loop
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._data = b""
        self._answer: asyncio.Future[PollAnswer] | None = None
        self.polls = 0
        self.used_at = 0.0

    def ask(self, request: bytes) -> asyncio.Future[PollAnswer]:
        """Writes a request; the future gets its answer."""
        self.polls += 1
        self._data = b""
        self._answer = self._loop.create_future()
        if self._transport is None:
            self._fail("the connection is closed")
        else:
            self._transport.write(request)
        return self._answer

    def close(self) -> None:
        """Closes the connection."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Completes the answer when its last byte is there."""
        if self._answer is None or self._answer.done():
            # What nobody asked for would be read as the next answer.
            self.close()
        else:
            self._data += data
            self._parse(False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends an answer without a length, or fails the poll."""
        self._transport = None
        if self._answer is None or self._answer.done():
            self._on_lost(self)
        else:
            self._parse(True)
            self._fail(f"the connection broke: {exc}")

    def _parse(self, at_end: bool) -> None:
        try:
            answer = parse_answer(self._data, at_end)
        except ValueError as error:
            self._fail(f"the answer is malformed: {error}")
            return
        if answer is not None:
            self._answer.set_result(answer)

    def _fail(self, message: str) -> None:
        self.close()
        if not self._answer.done():
            self._answer.set_exception(ConnectionLostError(message))


class TargetPoller:
    """Reads loads and states of targets with little processor time.

    The client session of aiohttp spends most of a poll on the set-up of the
    connection and on objects that this one request does not need.
    """

    def __init__(
        self,
        timers: TimerService,
        ssl_context: ssl.SSLContext | None = None,
        on_lost: Callable[[str], None] = lambda base_url: None,
    ) -> None:
        """Opens nothing before the first poll.

        Args:
            timers: Drives the close of unused connections.
            ssl_context: Trust for `https` targets, None for the default.
            on_lost: Called with the URL of a target that closed a connection
                between two polls, which a target that crashed does.
        """
        self._timers = timers
        self._ssl = ssl_context
        self._on_lost = on_lost
        self._idle: dict[str, list[_Connection]] = {}
        self._timer: Subscription | None = None

    async def start(self) -> None:
        """Starts to close unused connections."""
        self._timer = self._timers.call_every(_SWEEP_PERIOD_S, self._sweep)

    async def stop(self) -> None:
        """Closes all connections."""
        if self._timer is not None:
            self._timer.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def fetch(self, base_url: str) -> TargetLoad:
        """Asks a target for its load.

        Raises:
            TargetError: If the target does not answer or the answer is
                malformed.
        """
        answer = await self.get(base_url, "/load", LOAD_TIMEOUT_S)
        return decode_load(answer.status, answer.body)

    async def get(
        self, base_url: str, path: str, timeout_s: float
    ) -> PollAnswer:
        """Reads from a target what a read does not change.

        If a kept connection breaks, the read is repeated once over a new one.

        Raises:
            TargetError: If the target does not answer.
        """
        url, request = _request(base_url, path)
        kept = self._idle.pop(base_url, [])
        connection = kept.pop() if kept else None
        if kept:
            self._idle[base_url] = kept
        try:
            async with asyncio.timeout(timeout_s):
                if connection is not None:
                    try:
                        return await self._ask(base_url, connection, request)
                    except ConnectionLostError:
                        connection = None
                connection = await self._connect(base_url, url)
                return await self._ask(base_url, connection, request)
        except TimeoutError as error:
            if connection is None:
                raise NotSentError("no connection in time") from error
            raise AnswerTimeoutError("no answer in time") from error

    async def _ask(
        self, base_url: str, connection: _Connection, request: bytes
    ) -> PollAnswer:
        try:
            answer = await connection.ask(request)
        except BaseException:
            # Its answer may still come; the connection is of no more use.
            connection.close()
            raise
        if answer.keeps_open and connection.polls < _POLLS_OF_A_CONNECTION:
            connection.used_at = self._timers.clock.monotonic()
            self._idle.setdefault(base_url, []).append(connection)
        else:
            connection.close()
        return answer

    async def _connect(self, base_url: str, url: yarl.URL) -> _Connection:
        loop = asyncio.get_running_loop()
        context = (self._ssl or True) if url.scheme == "https" else None
        try:
            _, connection = await loop.create_connection(
                lambda: _Connection(
                    loop, lambda lost: self._forget(base_url, lost)
                ),
                url.host,
                url.port,
                ssl=context,
            )
        except (OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise NotSentError(str(error), refused) from error
        return connection

    def _forget(self, base_url: str, connection: _Connection) -> None:
        kept = self._idle.get(base_url, [])
        if connection in kept:
            kept.remove(connection)
            self._on_lost(base_url)

    def _sweep(self) -> None:
        oldest = self._timers.clock.monotonic() - _IDLE_LIMIT_S
        for base_url, kept in list(self._idle.items()):
            for connection in kept:
                if connection.used_at < oldest:
                    connection.close()
            self._idle[base_url] = [
                each for each in kept if each.used_at >= oldest
            ]
            if not self._idle[base_url]:
                del self._idle[base_url]


# A region of the plan has 375 targets, with two paths each.
@functools.lru_cache(1024)
def _request(base_url: str, path: str) -> tuple[yarl.URL, bytes]:
    """Returns a URL and the request for it.

    Raises:
        NotSentError: If the URL is malformed.
    """
    try:
        url = yarl.URL(base_url.rstrip("/") + path, encoded=True)
        lines = [f"GET {url.raw_path_qs} HTTP/1.1", ""]
        lines[1] = f"Host: {url.host_port_subcomponent}"
        if url.user is not None:
            token = aiohttp.BasicAuth(url.user, url.password or "").encode()
            lines.append(f"Authorization: {token}")
        return url, "\r\n".join([*lines, "", ""]).encode("ascii")
    except ValueError as error:
        raise NotSentError(f"{base_url}: {error}") from error

"""Serves this router's directory to others and fetches theirs."""

import aiohttp
import msgspec
from aiohttp import web

from crowwinch.directory import DirectoryState
from crowwinch.errors import CrowwinchError
from crowwinch.forwarding import SocketAddress
from crowwinch.generated.fleet_messages import (
    DirectoryItem,
    DirectoryPage,
    DirectoryRemoval,
)

_PATH = "/v1/directory"
_AFTER = "after"
_FETCH_TIMEOUT_S = 0.6
_SHUTDOWN_TIMEOUT_S = 0.1
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(DirectoryPage)


class DirectoryFetchError(CrowwinchError):
    """Another router did not answer with its directory."""


class DirectoryExchange:
    """Reads and serves directories over HTTP."""

    def __init__(self, state: DirectoryState, address: SocketAddress) -> None:
        """Stores the state to serve and where to listen."""
        self._state = state
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Starts to serve the directory."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=_FETCH_TIMEOUT_S),
        )
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None),
            handle_signals=False,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self._address.host, self._address.port
        ).start()

    async def stop(self) -> None:
        """Closes the port and all connections."""
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def fetch(self, control: str, after: int) -> DirectoryPage:
        """Returns what another router knows beyond a revision.

        Args:
            control: Where its directory can be read.
            after: Revision up to which all is known; 0 for everything.

        Raises:
            DirectoryFetchError: If there is no answer or a malformed one.
        """
        assert self._session is not None, "the service was not started"
        try:
            async with self._session.get(
                f"http://{control}{_PATH}", params={_AFTER: str(after)}
            ) as answer:
                return _DECODER.decode(await answer.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            raise DirectoryFetchError(f"{control}: {error!r}") from error

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "GET" or request.path != _PATH:
            return web.Response(status=404)
        after = request.query.get(_AFTER, "")
        page = build_page(self._state, int(after) if after.isdecimal() else 0)
        return web.Response(
            body=_ENCODER.encode(page), content_type="application/msgpack"
        )


def build_page(state: DirectoryState, after: int) -> DirectoryPage:
    """Returns what a router needs that knows all up to a revision."""
    changes = state.changes_since(after)
    known = state.listing() if changes is None else changes
    return DirectoryPage(
        known.revision,
        changes is None,
        [
            DirectoryItem(item.key, item.revision, text)
            for item in known.items
            if (text := _text(item.value)) is not None
        ],
        [
            # Bytes that are no text replace a readable value by none.
            DirectoryRemoval(item.key, item.revision)
            for item in known.items
            if _text(item.value) is None
        ],
    )


def _text(value: bytes | None) -> str | None:
    """Returns a value as text, None if it is none, which no decoder takes."""
    try:
        return None if value is None else value.decode()
    except UnicodeDecodeError:
        return None

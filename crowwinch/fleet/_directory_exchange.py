"""HTTP server and client for directories of routers."""

from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from crowwinch.directory import DirectoryState
from crowwinch.errors import DECODE_ERRORS, CrowwinchError
from crowwinch.forwarding import SocketAddress, StatusServer
from crowwinch.generated.fleet_messages import (
    DirectoryItem,
    DirectoryPage,
    DirectoryRemoval,
)

_PATH = "/v1/directory"
_AFTER_PARAMETER = "after"
_ERA_PARAMETER = "era"
# Asks the peer to read the store before it answers.
_SYNC_PARAMETER = "sync"
# Pages from this size on are compressed. A table of 1,500 routes takes half a
# second on a link of 10 Mbit/s, for each peer that fetches it.
_MIN_COMPRESSED_BYTES = 16_384
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(DirectoryPage)


class DirectoryFetchError(CrowwinchError):
    """A peer did not return a valid directory page in time."""


class DirectoryExchange:
    """Serves this router's directory over HTTP and fetches those of peers."""

    def __init__(self, state: DirectoryState, address: SocketAddress) -> None:
        """Creates an exchange; nothing is served until `start`.

        Args:
            state: Directory to serve.
            address: Address to listen on.
        """
        self._state = state
        self._server = StatusServer(address, self._serve)
        self._session: aiohttp.ClientSession | None = None
        self._sync: Callable[[], Awaitable[bool]] | None = None

    def set_sync(self, sync: Callable[[], Awaitable[bool]]) -> None:
        """Sets how the directory is brought up to date for a peer.

        Args:
            sync: Returns whether the directory includes all changes that the
                store had when it was called.
        """
        self._sync = sync

    async def start(self) -> None:
        """Opens the client session and starts the server.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
        )
        await self._server.start()

    async def stop(self) -> None:
        """Stops the server and closes all connections."""
        if self._session is not None:
            await self._session.close()
        await self._server.stop()

    async def fetch(
        self,
        control: str,
        after: int,
        era: int,
        timeout_s: float,
        *,
        is_synced: bool = False,
    ) -> DirectoryPage:
        """Fetches the changes of a peer's directory after a revision.

        A peer in another era of the store returns its whole directory.

        Args:
            control: Control address of the peer.
            after: Last known revision; 0 requests the whole directory.
            era: Era of the store to which the revision belongs.
            timeout_s: Maximum time in seconds until the page is complete.
            is_synced: Whether the peer reads the store before it answers; the
                page says whether that succeeded.

        Raises:
            DirectoryFetchError: If the peer does not answer within the timeout
                or the response is malformed.
        """
        assert self._session is not None, "the exchange was not started"
        try:
            async with self._session.get(
                f"http://{control}{_PATH}",
                params={
                    _AFTER_PARAMETER: str(after),
                    _ERA_PARAMETER: str(era),
                    _SYNC_PARAMETER: str(int(is_synced)),
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return _DECODER.decode(await response.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *DECODE_ERRORS,
        ) as error:
            raise DirectoryFetchError(f"{control}: {error!r}") from error

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "GET" or request.path != _PATH:
            return web.Response(status=404)
        is_synced = False
        if request.query.get(_SYNC_PARAMETER) == "1" and self._sync is not None:
            is_synced = await self._sync()
        page = build_page(
            self._state,
            _parse_count(request.query.get(_AFTER_PARAMETER, "")),
            _parse_count(request.query.get(_ERA_PARAMETER, "")),
        )
        page = msgspec.structs.replace(page, is_synced=is_synced)
        body = _ENCODER.encode(page)
        response = web.Response(body=body, content_type="application/msgpack")
        if len(body) >= _MIN_COMPRESSED_BYTES:
            response.enable_compression()
        return response


def _parse_count(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0


def build_page(
    state: DirectoryState, after: int, era: int = 0
) -> DirectoryPage:
    """Builds the page for a peer that knows all changes up to a revision.

    The page is a complete listing if the history does not reach back to the
    revision, or the peer is in another era of the store.

    Args:
        state: Directory to read.
        after: Last revision that the peer knows.
        era: Era of the store to which that revision belongs.
    """
    changes = state.changes_since(after) if era == state.era else None
    content = state.listing() if changes is None else changes
    return DirectoryPage(
        content.revision,
        changes is None,
        [
            DirectoryItem(item.key, item.revision, text)
            for item in content.items
            if (text := _decode_text(item.value)) is not None
        ],
        [
            # A value that is not valid UTF-8 is sent as a removal, so that an
            # earlier readable value does not stay in force.
            DirectoryRemoval(item.key, item.revision)
            for item in content.items
            if _decode_text(item.value) is None
        ],
        content.era,
    )


def _decode_text(value: bytes | None) -> str | None:
    """Decodes a value as UTF-8; returns None if it is absent or invalid.

    No document decoder accepts a value that is not valid UTF-8.
    """
    try:
        return None if value is None else value.decode()
    except UnicodeDecodeError:
        return None

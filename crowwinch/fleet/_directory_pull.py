"""Serves this router's directory to others and reads theirs."""

import asyncio
import logging

import aiohttp
import msgspec
from aiohttp import web

from crowwinch.coordination import Clock
from crowwinch.directory import DirectoryState, Item, Listing
from crowwinch.forwarding import SocketAddress
from crowwinch.generated.fleet_messages import DirectoryItem, DirectoryPage

_LOGGER = logging.getLogger(__name__)

_PATH = "/v1/directory"
# A router that reads the store itself gets a change at the same time as the
# others; only one that is turned away asks them.
_PATIENCE_S = 0.15
_PULL_TIMEOUT_S = 0.6
_SHORTEST_PERIOD_S = 0.05
_SHUTDOWN_TIMEOUT_S = 0.1
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(DirectoryPage)


class DirectoryPull:
    """Catches up with routers whose directory is newer."""

    def __init__(
        self, clock: Clock, state: DirectoryState, address: SocketAddress
    ) -> None:
        """Stores the state to serve and to update."""
        self._clock = clock
        self._state = state
        self._address = address
        self._behind_since: float | None = None
        self._pulled_at = float("-inf")
        self._task: asyncio.Task[None] | None = None
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Starts to serve the directory."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=_PULL_TIMEOUT_S),
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
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def note_revision(self, control: str, revision: int, version: int) -> None:
        """Takes the revision that another router tells.

        Args:
            control: Where its directory can be read.
            revision: Revision of its directory.
            version: Version of its configuration.
        """
        state = self._state
        if revision <= state.revision and version <= state.version:
            self._behind_since = None
            return
        now = self._clock.monotonic()
        if self._behind_since is None:
            self._behind_since = now
        is_patient = state.is_connected and state.version > 0
        if is_patient and now - self._behind_since < _PATIENCE_S:
            return
        is_running = self._task is not None and not self._task.done()
        if is_running or now - self._pulled_at < _SHORTEST_PERIOD_S:
            return
        self._pulled_at = now
        self._task = asyncio.ensure_future(self._pull(control))

    async def _pull(self, control: str) -> None:
        assert self._session is not None, "the service was not started"
        try:
            async with self._session.get(f"http://{control}{_PATH}") as answer:
                page = _DECODER.decode(await answer.read())
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            _LOGGER.warning(
                "directory not read",
                extra={"peer": control, "cause": repr(error)},
            )
            return
        self._behind_since = None
        _LOGGER.info(
            "directory read from a peer",
            extra={
                "peer": control,
                "revision": page.revision,
                "known": self._state.revision,
            },
        )
        self._state.apply_listing(
            Listing(
                page.revision,
                tuple(
                    Item(item.key, item.revision, item.value.encode())
                    for item in page.items
                ),
            )
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "GET" or request.path != _PATH:
            return web.Response(status=404)
        listing = self._state.listing()
        page = DirectoryPage(
            listing.revision,
            [
                DirectoryItem(item.key, item.revision, text)
                for item in listing.items
                if (text := _text(item.value)) is not None
            ],
        )
        return web.Response(
            body=_ENCODER.encode(page), content_type="application/msgpack"
        )


def _text(value: bytes | None) -> str | None:
    """Returns a value as text, None if it is none, which no decoder takes."""
    try:
        return None if value is None else value.decode()
    except UnicodeDecodeError:
        return None

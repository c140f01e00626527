"""A TCP relay whose two directions can be cut, held, delayed and healed.

A cut direction swallows the bytes, as a network does that drops packets: the
connections stay open and neither end gets an error. Connections that were cut
are closed when the direction heals, since bytes are missing in them. A held
direction keeps the bytes and passes them on, in order, when it is released.
A closed link resets its connections and each new one.
"""

import argparse
import asyncio
import contextlib

from aiohttp import web

from standins._server import run_standin

_CHUNK = 65536


class Relay:
    """Links by name, each from a port of its own to one address."""

    def __init__(self) -> None:
        """Creates a relay without links."""
        self._servers: dict[str, asyncio.Server] = {}
        self._cut: dict[str, frozenset[str]] = {}
        self._damaged: dict[str, set[asyncio.StreamWriter]] = {}
        self._held: dict[str, frozenset[str]] = {}
        self._holding: set[str] = set()
        self._released = asyncio.Event()
        self._delays: dict[str, float] = {}
        self._closed: set[str] = set()
        self._open: dict[str, set[asyncio.StreamWriter]] = {}

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application()
        application.router.add_put("/links/{link}", self._add_link)
        application.router.add_put("/cuts", self._set_cuts)
        application.router.add_put("/holds", self._set_holds)
        application.router.add_get("/holds", self._list_holding)
        application.router.add_put("/delays", self._set_delays)
        application.router.add_put("/closed", self._set_closed)
        return application

    async def _add_link(self, request: web.Request) -> web.Response:
        """Takes {"port": number}; answers with the port of the link."""
        link = request.match_info["link"]
        port = (await request.json())["port"]
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(link, port, reader, writer),
            "127.0.0.1",
            0,
        )
        self._servers[link] = server
        self._damaged[link] = set()
        self._open[link] = set()
        return web.json_response({"port": server.sockets[0].getsockname()[1]})

    async def _set_cuts(self, request: web.Request) -> web.Response:
        """Takes {link: ["forward", "back"]}; other links are healed."""
        cuts = await request.json()
        self._cut = {link: frozenset(ways) for link, ways in cuts.items()}
        for link, writers in self._damaged.items():
            if not self._cut.get(link):
                for writer in writers:
                    writer.close()
                writers.clear()
        return web.Response(status=204)

    async def _set_holds(self, request: web.Request) -> web.Response:
        """Takes {link: ["forward", "back"]}; other links are released."""
        holds = await request.json()
        self._held = {link: frozenset(ways) for link, ways in holds.items()}
        self._holding.clear()
        self._released.set()
        self._released = asyncio.Event()
        return web.Response(status=204)

    async def _list_holding(self, request: web.Request) -> web.Response:
        """Returns the links that hold bytes."""
        del request
        return web.json_response(sorted(self._holding))

    async def _set_delays(self, request: web.Request) -> web.Response:
        """Takes {link: seconds} for each chunk, in both directions."""
        self._delays = await request.json()
        return web.Response(status=204)

    async def _set_closed(self, request: web.Request) -> web.Response:
        """Takes the links to close; other links are open."""
        self._closed = set(await request.json())
        for link in self._closed:
            for writer in self._open[link]:
                writer.transport.abort()
        return web.Response(status=204)

    async def _serve(
        self,
        link: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if link in self._closed:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", port
            )
        except OSError:
            writer.close()
            return
        writers = (writer, far_writer)
        self._open[link].update(writers)
        # When the relay ends, the stream protocol would log a task that ends
        # as cancelled as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(link, "forward", reader, far_writer, writers),
                self._copy(link, "back", far_reader, writer, writers),
            )

    async def _copy(
        self,
        link: str,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                if way in self._cut.get(link, ()):
                    self._damaged[link].update(writers)
                    continue
                if delay := self._delays.get(link):
                    await asyncio.sleep(delay)
                while way in self._held.get(link, ()):
                    self._holding.add(link)
                    await self._released.wait()
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            for each in writers:
                each.close()
            self._damaged[link].difference_update(writers)
            self._open[link].difference_update(writers)


def main() -> None:
    """Runs the stand-in."""

    def build(arguments: argparse.Namespace) -> web.Application:
        del arguments
        return Relay().application()

    run_standin("TCP relay with links that can be cut.", build)


if __name__ == "__main__":
    main()

"""Stopping an HTTP server of the product."""

import asyncio
import unittest

from aiohttp import web

from crowwinch.app._http_server import HttpServer

_REQUEST = b"GET / HTTP/1.1\r\nHost: router\r\n\r\n"
_ANSWER_S = 2.0


async def _answer(request):
    del request
    return web.Response(status=503, text="stopping")


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against planned stops that cut requests."""

    async def test_a_request_that_crosses_the_stop_is_answered(self):
        """Its connection was accepted, and was closed before it was read."""
        application = web.Application()
        application.router.add_get("/", _answer)
        server = HttpServer(application, "127.0.0.1", 0)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        # Lets the server accept the connection.
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(server.stop())
        await asyncio.sleep(0.02)
        writer.write(_REQUEST)
        line = await asyncio.wait_for(reader.readline(), _ANSWER_S)
        await stopping
        writer.close()
        self.assertEqual(line.split()[1:2], [b"503"])

    async def test_a_stopped_server_refuses_connections(self):
        server = HttpServer(web.Application(), "127.0.0.1", 0)
        await server.start()
        port = server.port
        await server.stop()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)

"""Start-up shared by all stand-ins."""

import argparse
import asyncio
import signal
from collections.abc import Callable

import uvloop
from aiohttp import web


def refusal() -> web.Response:
    """Returns the answer of a target that did not start a request."""
    error = {"message": "not accepted", "run_state": "not_run"}
    return web.json_response({"error": error}, status=503)


def run_standin(
    description: str,
    build: Callable[[argparse.Namespace], web.Application],
    add_arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> None:
    """Serves one stand-in until SIGTERM or SIGINT.

    Prints `listening on URL` once it accepts connections.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0)
    if add_arguments is not None:
        add_arguments(parser)
    arguments = parser.parse_args()

    async def serve() -> None:
        runner = web.AppRunner(
            build(arguments),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", arguments.port).start()
        port = runner.addresses[0][1]
        print(f"listening on http://127.0.0.1:{port}", flush=True)
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        await stopped.wait()
        await runner.cleanup()

    uvloop.run(serve())

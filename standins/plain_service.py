"""Stand-in for a plain service.

It counts how often it ran each body, so that a test can tell whether a call
ran twice.
"""

import argparse
import asyncio
import hashlib
import os
import time

from aiohttp import web

from standins._server import refusal, run_standin


class PlainService:
    """Echoes requests after a delay."""

    def __init__(self, seconds: float) -> None:
        """Creates a service that takes some seconds for each call."""
        self._seconds = seconds
        self._runs: dict[str, int] = {}
        self._running = 0
        self._incarnation = int(time.time() * 1000)
        self._faults: dict[str, object] = {}

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application(client_max_size=16_000_000)
        router = application.router
        router.add_get("/load", self._load)
        router.add_post("/control/faults", self._set_faults)
        router.add_get("/control/runs", self._list_runs)
        router.add_route("*", "/{path:.*}", self._call)
        return application

    async def _call(self, request: web.Request) -> web.StreamResponse:
        if self._faults.get("refuse"):
            return refusal()
        body = await request.read()
        marker = str(self._faults.get("crash_on") or "")
        if marker and marker.encode() in body:
            os._exit(1)
        name = body.decode(errors="replace")
        self._runs[name] = self._runs.get(name, 0) + 1
        self._running += 1
        try:
            seconds = self._faults.get("seconds", self._seconds)
            await asyncio.sleep(float(str(seconds)))
        finally:
            self._running -= 1
        if self._faults.get("break_after_run") and request.transport:
            request.transport.close()
        return web.json_response(
            {
                "method": request.method,
                "path": request.path_qs,
                "digest": hashlib.sha256(body).hexdigest(),
                "padding": "x" * int(request.query.get("padding", 0)),
            },
            headers={"X-Service": "stand-in"},
        )

    async def _load(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "running": self._running,
                "waiting": 0,
                "leaving": bool(self._faults.get("leaving")),
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults.update(await request.json())
        return web.Response(status=204)

    async def _list_runs(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"runs": self._runs})


def main() -> None:
    """Runs the stand-in."""

    def build(arguments: argparse.Namespace) -> web.Application:
        return PlainService(arguments.seconds).application()

    run_standin(
        "Stand-in for a plain service.",
        build,
        lambda parser: parser.add_argument(
            "--seconds", type=float, default=0.05
        ),
    )


if __name__ == "__main__":
    main()

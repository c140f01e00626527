"""Stand-in for the configuration service and the VM list.

Values are read and watched under /v1; tests change them and set faults under
/control, which real routers never call.
"""

import argparse
import asyncio
import hashlib
import time

from aiohttp import web

from standins._server import run_standin

_MAX_WATCH_S = 30.0


class PlatformService:
    """Values, the VM list, a call counter and faults."""

    def __init__(self, calls_per_second: float = 2000.0) -> None:
        """Creates a healthy service without values."""
        self._values: dict[str, bytes] = {}
        self._stale_values: dict[str, bytes] | None = None
        # By reader; readers without a list of their own get that of "".
        self._vms: dict[str, object] = {"": {"version": 0, "machines": []}}
        self._changed = asyncio.Event()
        self._down = False
        self._configuration_down = False
        self._calls = 0
        self._rejected = 0
        self._limit = calls_per_second
        self._window_start = 0.0
        self._window_calls = 0

    @property
    def _is_configuration_down(self) -> bool:
        return self._down or self._configuration_down

    def application(self) -> web.Application:
        """Returns the routes."""
        application = web.Application(client_max_size=4_000_000)
        router = application.router
        router.add_get("/v1/values/{name}", self._read)
        router.add_get("/v1/watch/{name}", self._watch)
        router.add_get("/v1/vms", self._read_vms)
        router.add_get("/views/{reader}/v1/vms", self._read_vms)
        router.add_put("/control/values/{name}", self._write)
        router.add_put("/control/vms", self._write_vms)
        router.add_put("/control/vms/{reader}", self._write_vms)
        router.add_post("/control/faults", self._set_faults)
        router.add_get("/control/calls", self._read_calls)
        return application

    def _admit(self, down: bool) -> web.Response | None:
        now = time.monotonic()
        if now - self._window_start >= 1.0:
            self._window_start, self._window_calls = now, 0
        self._calls += 1
        self._window_calls += 1
        if down:
            return web.Response(status=503, text="down")
        if self._window_calls > self._limit:
            self._rejected += 1
            return web.Response(status=429, text="rate limit")
        return None

    def _value(self, name: str) -> bytes | None:
        if self._stale_values is not None:
            return self._stale_values.get(name)
        return self._values.get(name)

    async def _read(self, request: web.Request) -> web.Response:
        if refused := self._admit(self._is_configuration_down):
            return refused
        value = self._value(request.match_info["name"])
        if value is None:
            return web.Response(status=404)
        return web.Response(body=value)

    async def _watch(self, request: web.Request) -> web.Response:
        if refused := self._admit(self._is_configuration_down):
            return refused
        name = request.match_info["name"]
        known = request.query.get("digest", "")
        timeout = min(float(request.query.get("timeout", "20")), _MAX_WATCH_S)
        end = time.monotonic() + timeout
        while True:
            if self._is_configuration_down:
                return web.Response(status=503, text="down")
            value = self._value(name)
            if value is not None and hashlib.sha256(value).hexdigest() != known:
                return web.Response(body=value)
            left = end - time.monotonic()
            if left <= 0:
                return web.Response(status=304)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _read_vms(self, request: web.Request) -> web.Response:
        reader = request.match_info.get("reader", "")
        vms = self._vms.get(reader, self._vms[""])
        return self._admit(self._down) or web.json_response(vms)

    async def _write(self, request: web.Request) -> web.Response:
        self._values[request.match_info["name"]] = await request.read()
        self._notify()
        return web.Response(status=204)

    async def _write_vms(self, request: web.Request) -> web.Response:
        reader = request.match_info.get("reader", "")
        self._vms[reader] = await request.json()
        return web.Response(status=204)

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Takes any of the faults.

        `down` (bool) covers both services, `configuration_down` (bool) leaves
        the VM list up, `stale` (bool) serves the values of this moment, and
        `calls_per_second` (number) is the rate limit.
        """
        faults = await request.json()
        self._down = bool(faults.get("down", self._down))
        self._configuration_down = bool(
            faults.get("configuration_down", self._configuration_down)
        )
        self._limit = float(faults.get("calls_per_second", self._limit))
        if "stale" in faults:
            stale = dict(self._values) if faults["stale"] else None
            self._stale_values = stale
        self._notify()
        return web.Response(status=204)

    async def _read_calls(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {"calls": self._calls, "rejected": self._rejected}
        )


def main() -> None:
    """Runs the stand-in."""

    def build(arguments: argparse.Namespace) -> web.Application:
        return PlatformService(arguments.calls_per_second).application()

    run_standin(
        "Stand-in for the configuration service and the VM list.",
        build,
        lambda parser: parser.add_argument(
            "--calls-per-second", type=float, default=2000.0
        ),
    )


if __name__ == "__main__":
    main()

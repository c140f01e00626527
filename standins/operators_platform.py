"""Stand-in for the operators' platform: their store and their targets.

The store serves lists, items and watches; tests write to it and break it over
HTTP. Targets register in the store of the same process, answer requests and
count what they ran.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import pathlib
import time

from aiohttp import web

from standins._server import run_standin

_EVENT_PAUSE_S = 0.01
_WORDS = 8


class Store:
    """Items with revisions, as the platform's store serves them."""

    def __init__(self) -> None:
        """Starts with no items."""
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._era = 1
        self._copy: tuple[dict[str, dict[str, object]], int] = ({}, 1)
        # Answers 503 to callers whose address starts with one of these.
        self.refused: list[str] = []
        self.calls = 0

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of readers and of tests."""
        return [
            web.get("/kv-range", self._range),
            web.get("/kv-watch", self._watch),
            web.post("/test/put", self._put),
            web.post("/test/delete", self._delete),
            web.post("/test/refuse", self._refuse),
            web.post("/test/compact", self._compact),
            web.post("/test/copy", self._take_copy),
            web.post("/test/restore", self._restore),
            web.get("/test/calls", self._calls),
        ]

    def put(self, key: str, value: bytes) -> None:
        """Writes an item."""
        self._revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._items[key] = item
        self._add(item)

    def _add(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_refused(self, request: web.Request) -> bool:
        self.calls += 1
        remote = request.remote or ""
        return any(remote.startswith(prefix) for prefix in self.refused)

    async def _range(self, request: web.Request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        prefix, after = request.query["Prefix"], request.query.get("After", "")
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        page = {
            "Items": items[:50],
            "Truncated": len(items) > 50,
            "CurrentRev": self._revision,
        }
        return self._answer(page)

    def _answer(self, body: object) -> web.Response:
        return web.json_response(body, headers={"Store-Era": str(self._era)})

    async def _watch(self, request: web.Request) -> web.Response:
        if self._is_refused(request):
            return web.Response(status=503)
        after = int(request.query["After"])
        prefix = request.query["Prefix"]
        end = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            is_compacted = (
                self._events and after < int(self._events[0]["Revision"]) - 1
            )
            if is_compacted or after > self._revision:
                return web.Response(status=410)
            changed = self._changed
            events = [
                event
                for event in self._events
                if int(event["Revision"]) > after
                and str(event["Key"]).startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return self._answer(
                    {"events": events, "CurrentRev": self._revision}
                )
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    async def _put(self, request: web.Request) -> web.Response:
        self.put(request.query["key"], await request.read())
        return web.Response()

    async def _delete(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        self._items.pop(key, None)
        self._revision += 1
        self._add({"Key": key, "Revision": self._revision, "Deleted": True})
        return web.Response()

    async def _refuse(self, request: web.Request) -> web.Response:
        self.refused = json.loads(await request.read())
        return web.Response()

    async def _compact(self, request: web.Request) -> web.Response:
        del request
        # A later event, so that every earlier revision is out of reach.
        self._events.clear()
        self._revision += 10
        self._add({"Key": "gap", "Revision": self._revision, "Deleted": True})
        return web.Response()

    async def _take_copy(self, request: web.Request) -> web.Response:
        del request
        self._copy = (dict(self._items), self._revision)
        return web.Response()

    async def _restore(self, request: web.Request) -> web.Response:
        """Returns to the copy; its revisions are given out again."""
        del request
        items, self._revision = self._copy
        self._items = dict(items)
        self._events.clear()
        self._era += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return web.Response()

    async def _calls(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self.calls)


class PlatformTarget:
    """A target that runs requests and counts the runs of each."""

    def __init__(self, name: str, is_engine: bool, run_log: str = "") -> None:
        """Stores what the target is.

        Args:
            name: Identifier of the target.
            is_engine: Whether it answers with a stream.
            run_log: File to which each run is added, which outlives the target.
        """
        self._name = name
        self._is_engine = is_engine
        self._run_log = pathlib.Path(run_log) if run_log else None
        self._runs: dict[str, int] = {}
        self._work_s = 0.02
        # What it says of itself: its start in Unix ms, and the version of its
        # software, which is in each event if it is set.
        self._started_ms = 0
        self._version = ""

    def application(self) -> web.Application:
        """Returns the routes of callers and of tests."""
        application = web.Application()
        application.router.add_get("/test/runs", self._show_runs)
        application.router.add_post("/test/work", self._set_work)
        application.router.add_post("/test/start", self._set_start)
        application.router.add_get("/report", self._report)
        application.router.add_route("*", "/{path:.*}", self._run)
        return application

    async def _show_runs(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(self._runs)

    async def _set_work(self, request: web.Request) -> web.Response:
        self._work_s = float(await request.text())
        return web.Response()

    async def _set_start(self, request: web.Request) -> web.Response:
        """Takes {"started_ms": number}, and {"version": text} if it changes."""
        values = await request.json()
        self._started_ms = values["started_ms"]
        self._version = values.get("version", self._version)
        return web.Response()

    async def _report(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"born": self._started_ms})

    async def _run(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get("X-Crowwinch-Expect-Instance")
        if expected != self._name:
            return web.Response(
                status=421, headers={"X-Crowwinch-Not-Executed": "1"}
            )
        body = await request.read()
        attempt = request.headers["X-Crowwinch-Attempt-Id"]
        self._runs[attempt] = self._runs.get(attempt, 0) + 1
        if self._run_log is not None:
            with self._run_log.open("a") as log:
                log.write(f"{time.time():.3f} {self._name} {attempt}\n")
        headers = {
            "X-Crowwinch-Attempt-Id": attempt,
            "X-Crowwinch-Server-Seal": f"seal-{self._name}",
        }
        if not self._is_engine:
            await asyncio.sleep(self._work_s)
            return web.Response(body=body, headers=headers)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        after = int(request.headers.get("Last-Event-Id", 0))
        # A router that is killed leaves its connections at any moment.
        with contextlib.suppress(ConnectionResetError):
            await response.prepare(request)
            for number in range(after + 1, _WORDS + 1):
                await asyncio.sleep(self._work_s)
                event = f"id: {number}\ndata: w{number}\n"
                if self._version:
                    event += f": {self._version}\n"
                event += "\n"
                await response.write(event.encode())
            await response.write_eof()
        return response


def _build(arguments: argparse.Namespace) -> web.Application:
    if arguments.target:
        return PlatformTarget(
            arguments.target, arguments.engine, arguments.run_log
        ).application()
    application = web.Application()
    application.add_routes(Store().routes())
    return application


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--target", default="", help="run a target, not a store"
    )
    parser.add_argument("--run-log", default="", help="file for the runs")
    parser.add_argument("--engine", action="store_true", help="stream events")


if __name__ == "__main__":
    run_standin(__doc__ or "", _build, _add_arguments)

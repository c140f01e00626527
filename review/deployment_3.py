"""A small deployment on loopback for the scripts of the third review.

Routers are processes of the deploy file. Store, workers, requesters and the
platform are stand-ins in the process of the script; they use the standard
library only. Addresses, ports and folders are new in each run.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "review.example"
KEY = "key-1"
HEARTBEAT_S = 1.2
HELD, BROKEN, NOT_RUN = 0, 1, 2
_READY_TIMEOUT_S = 20.0
_MAX_BODY_BYTES = 4_194_304
_MAX_PAGE_ITEMS = 500
_MAX_PAGE_BYTES = 1_000_000


class NotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, as lines with the time in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file of a case."""
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port(address: str) -> int:
    """Returns a TCP port of an address that is free now."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


@dataclasses.dataclass
class Request:
    """A request as a stand-in has read it."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    peer: str

    @property
    def attempt(self) -> str:
        """Identifier of the requester attempt."""
        return self.headers.get("x-crowwinch-attempt-id", "")


async def read_request(
    reader: asyncio.StreamReader, peer: str
) -> Request | None:
    """Reads a request with a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    parts = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body, peer)


def answer(
    status: str, body: bytes = b"", headers: Mapping[str, str] | None = None
) -> bytes:
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A stand-in that listens on one address and may end and start again."""

    def __init__(self, address: str) -> None:
        """Takes a free port of an address; `start` listens."""
        self.host = address
        self.port = free_port(address)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """`IP:PORT`."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._accept, self.host, self.port, limit=1 << 20
        )

    async def stop(self) -> None:
        """Ends as a process that is killed: port and connections close."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._connections):
            writer.transport.abort()

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._connections.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_request(reader, peer)
                if request is None:
                    break
                if not await self._serve_or_leave(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._connections.discard(writer)
            writer.close()

    async def _serve_or_leave(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serves a request, and drops it when its connection closes."""
        serving = asyncio.ensure_future(self.serve(request, writer))
        try:
            while not serving.done():
                await asyncio.wait({serving}, timeout=0.05)
                if reader.at_eof() and not serving.done():
                    return False
            return serving.result()
        finally:
            serving.cancel()


class Store(Server):
    """The platform's store: lists and watches, all that routers read."""

    def __init__(self, address: str) -> None:
        """Starts without items."""
        super().__init__(address)
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        # Connections that carry nothing more.
        self._silent: set[asyncio.StreamWriter] = set()

    def silence(self) -> None:
        """Lets all open connections go silent; new ones work."""
        self._silent |= self._connections

    def put(self, key: str, value: Mapping[str, object]) -> None:
        """Writes an item."""
        self._revision += 1
        self._items[key] = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(value).encode()).decode(),
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._add(self._items[key])

    def delete(self, key: str) -> None:
        """Deletes an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add({"Key": key, "Revision": self._revision, "Deleted": True})

    def _add(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a list or a watch."""
        if request.path == "/kv-range":
            document = self._range(request)
        else:
            document = {"events": await self._watch(request)}
        document["CurrentRev"] = self._revision
        if writer in self._silent:
            await asyncio.Event().wait()
        writer.write(
            answer("200 OK", json.dumps(document).encode(), {"Store-Era": "1"})
        )
        return True

    def _range(self, request: Request) -> dict[str, object]:
        """Returns a page of at most 500 items or about 1 MB."""
        after = request.query.get("After", "")
        items: list[dict[str, object]] = []
        size = 0
        for key in sorted(self._items):
            if key <= after:
                continue
            if len(items) == _MAX_PAGE_ITEMS or size > _MAX_PAGE_BYTES:
                return {"Items": items, "Truncated": True}
            items.append(self._items[key])
            size += len(str(self._items[key]["Value"]))
        return {"Items": items, "Truncated": False}

    async def _watch(self, request: Request) -> list[dict[str, object]]:
        after = int(request.query["After"])
        end = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                event for event in self._events if event["Revision"] > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return events
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


Behaviour = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[bool]]


class Worker(Server):
    """A worker of a service."""

    def __init__(
        self,
        address: str,
        name: str,
        service: str,
        record: Record,
        zone: str,
        work_s: float = 0.02,
        slots: int = 6,
    ) -> None:
        """Starts with software v1."""
        super().__init__(address)
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.version = "v1"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 1
        self.extra_headers: dict[str, str] = {}
        # Replaces the answer of a request.
        self.behaviour: Behaviour | None = None
        self.runs: list[tuple[float, str]] = []
        self.active = 0
        self._record = record

    def entry(self, state: str = "ready", **more: object) -> dict[str, object]:
        """Returns the entry of the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born_ms,
            **more,
        }

    def sealed(self, request: Request) -> dict[str, str]:
        """Returns the headers of an own answer."""
        return {
            "X-Crowwinch-Attempt-Id": request.attempt,
            "X-Crowwinch-Server-Seal": f"seal-{self.name}-{request.attempt}",
            **self.extra_headers,
        }

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs a request that names this worker."""
        if request.path == "/report":
            report = {"born": self.born_ms, "Stage": "both", "Sequence": 1}
            writer.write(answer("200 OK", json.dumps(report).encode()))
            return True
        expected = request.headers.get("x-crowwinch-expect-instance")
        if expected != self.name:
            writer.write(
                answer(
                    "421 Misdirected Request",
                    b"",
                    {
                        "X-Crowwinch-Not-Executed": "1",
                        "X-Crowwinch-Attempt-Id": request.attempt,
                    },
                )
            )
            return True
        self._record.write(
            f"worker {self.name} {self.version} gets {request.attempt} "
            f"from {request.peer}"
        )
        self.runs.append((self._record.now(), request.attempt))
        self.active += 1
        try:
            if self.behaviour is not None:
                return await self.behaviour(self, request, writer)
            return await self.run(request, writer)
        finally:
            self.active -= 1

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers with the body of the request."""
        await asyncio.sleep(self.work_s)
        writer.write(answer("200 OK", request.body, self.sealed(request)))
        return True

    async def restart(self, down_s: float, version: str | None = None) -> None:
        """Ends at once, and starts again under the same id and address."""
        self._record.write(f"worker {self.name} {self.version} ends")
        await self.stop()
        await asyncio.sleep(down_s)
        self.born_ms = int(time.time() * 1000)
        self.version = version or self.version
        self.sequence = 1
        await self.start()
        self._record.write(f"worker {self.name} {self.version} listens again")


class Engine(Worker):
    """A worker that answers with a stream of events."""

    events = 40
    # Events of a request to /tag/.
    short_events = 1
    event_s = 0.1

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Streams events that name the software version of their worker."""
        headers = self.sealed(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", 0)) + 1
        is_short = request.path.startswith("/tag/")
        events = self.short_events if is_short else self.events
        for number in range(first, events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {number} of {self.version}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


@dataclasses.dataclass
class Answer:
    """What a requester got: status 0 if the connection broke."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    seconds: float = 0.0
    # Whether the connection had brought a whole answer before.
    was_kept: bool = False
    error: str = ""


class Router:
    """One router process of the deploy file."""

    def __init__(
        self, index: int, address: str, settings: pathlib.Path
    ) -> None:
        """Describes a router that does not run yet."""
        self.index = index
        self.address = address
        self.settings = settings
        self.log = settings.with_suffix(".log")
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while it runs."""
        return None if self.process is None else self.process.returncode

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Returns the resident memory of the process in 10^6 bytes."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0


class Connection:
    """A connection of a requester to a router, opened when it is needed."""

    def __init__(
        self, deployment: "Deployment", router: Router, is_kept: bool = True
    ) -> None:
        """Describes a connection that is not open.

        Args:
            deployment: Gives attempt ids and addresses.
            router: The router.
            is_kept: Whether it stays open after an answer.
        """
        self._deployment = deployment
        self._router = router
        self._is_kept = is_kept
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Whole answers that came on it.
        self._answers = 0

    def close(self) -> None:
        """Closes it."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self._answers = 0

    async def ask(
        self,
        path: str,
        prefix: str,
        body: bytes = b"body",
        deadline_ms: int = 12000,
        headers: Mapping[str, str] | None = None,
        on_data: Callable[[bytes], None] | None = None,
        patience_s: float = 60.0,
    ) -> Answer:
        """Sends a request and reads its answer.

        Args:
            path: Path of the request.
            prefix: Beginning of its attempt id.
            body: Body of the request.
            deadline_ms: Time that the requester waits.
            headers: More headers.
            on_data: Called with each chunk of the answer.
            patience_s: Time without a byte after which the requester leaves.
        """
        deployment, index = self._deployment, self._router.index
        got = Answer(deployment.next_attempt(prefix))
        sent = {
            "Host": HOST,
            "X-Api-Key": KEY,
            "X-Crowwinch-Attempt-Id": got.attempt,
            "X-Crowwinch-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
            **({} if self._is_kept else {"Connection": "close"}),
            **(headers or {}),
        }
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items()]
        deployment.record.write(f"sent {got.attempt} {path} to router {index}")
        began = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                await self._open()
                got.was_kept = self._answers > 0
                self._writer.write(
                    ("\r\n".join(lines) + "\r\n\r\n").encode() + body
                )
                await _read_answer(self._reader, got, patience_s, on_data)
                self._answers += 1
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            got.error = type(error).__name__
        finally:
            is_closed = got.headers.get("connection", "").lower() == "close"
            if not (self._is_kept and got.is_whole) or is_closed:
                self.close()
        got.seconds = time.monotonic() - began
        end = "whole" if got.is_whole else f"cut by {got.error}"
        deployment.record.write(
            f"answered {got.attempt} {got.status} {end}, "
            f"{len(got.body)} bytes in {got.seconds:.3f} s"
        )
        return got

    async def _open(self) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._router.address, self._deployment.frontend, limit=1 << 20
            )


def route(
    name: str, kind: str, service: str, **more: object
) -> dict[str, object]:
    """Returns a route of the configuration at the prefix /NAME/."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 12000,
        "TargetLatencyMs": 300,
        "Service": service,
        "MaxAttempts": 2,
        **more,
    }


class Deployment:
    """Routers, store and workers of a small deployment."""

    def __init__(
        self,
        record: Record,
        routers: int,
        memory_mb: int = 150,
        zones: Sequence[str] = ("bne-north", "bne-south"),
    ) -> None:
        """Chooses addresses; `start` starts everything.

        Args:
            record: Gets what happens.
            routers: Number of routers.
            memory_mb: Memory limit of a machine in 10^6 bytes.
            zones: Zones over which the routers are spread.
        """
        self.record = record
        self.zones = zones
        self._memory_mb = memory_mb
        self._folder = tempfile.TemporaryDirectory()
        block = 16 + os.getpid() % 200
        self._net = f"127.{block}.{int(time.time()) % 200 + 1}"
        self.store = Store(f"{self._net}.200")
        self.workers: list[Worker] = []
        path = pathlib.Path(self._folder.name)
        self.routers = [
            Router(index, f"{self._net}.{index + 1}", path / f"r{index}.toml")
            for index in range(routers)
        ]
        ports = [free_port(self.routers[0].address) for _ in range(5)]
        (
            self.frontend,
            self._readiness,
            self._control,
            self._peer,
            self._metrics,
        ) = ports
        self._attempts = 0
        self.bounds = {"DrainMs": 2000, "GraceS": 8, "ReuseAfterS": 2}
        # What starts routers, from the deploy file.
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        self._command = shlex.split(role["run"])
        if self._command[0] == "python3":
            self._command[0] = sys.executable
        self._environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | dict(role.get("env", {}))
        self._environment["PYTHONPATH"] = str(ROOT / "target/deps")

    def add_worker(
        self, kind: type[Worker], name: str, service: str, **more: object
    ) -> Worker:
        """Adds a worker at an address of its own."""
        number = len(self.workers)
        worker = kind(
            f"{self._net}.{100 + number}",
            name,
            service,
            self.record,
            self.zones[number % len(self.zones)],
            **more,
        )
        self.workers.append(worker)
        return worker

    def configure(
        self,
        routes: Sequence[Mapping[str, object]],
        services: Sequence[Mapping[str, object]],
        version: int = 3,
        keys: Sequence[str] = (KEY,),
    ) -> None:
        """Writes a configuration with one tenant for each key."""
        self.store.put(
            "op/config",
            {
                "Version": version,
                "Routes": routes,
                "Services": services,
                "Tenants": [
                    {"Name": f"tenant-{number}", "ApiKeys": [key]}
                    for number, key in enumerate(keys, 1)
                ],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": _MAX_BODY_BYTES,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )

    def register(
        self, worker: Worker, state: str = "ready", **more: object
    ) -> None:
        """Writes the entry of a worker."""
        self.store.put(f"servers/{worker.name}", worker.entry(state, **more))

    async def start(self) -> None:
        """Starts store, workers and routers, and waits for them."""
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.register(worker)
        for router in self.routers:
            await self.start_router(router)
        for router in self.routers:
            await self.wait_ready(router)
        # All routers have found each other.
        await asyncio.sleep(1.0)

    def write_settings(self, router: Router, seeds: int = 2) -> None:
        """Writes the settings file of a router.

        Args:
            router: The router.
            seeds: Number of machines that it names.
        """
        address = router.address
        named = ", ".join(
            f'"{each.address}:{self._control}"' for each in self.routers[:seeds]
        )
        zones = "".join(f'{zone} = "qld-south"\n' for zone in self.zones)
        bounds = "".join(
            f"{name} = {value}\n" for name, value in self.bounds.items()
        )
        router.settings.write_text(
            f'NodeName = "edge-{router.index}"\nRole = "router"\n'
            f'MachineClass = "edge"\nIp = "{address}"\n'
            f'Zone = "{self.zones[router.index % len(self.zones)]}"\n'
            'Region = "qld-south"\n'
            f"PortRange = [{self._peer}, {self._metrics}]\n"
            f"Seeds = [{named}]\nHeartbeatMs = 1200\n"
            f"[Zones]\n{zones}"
            f'[Listen]\nFrontend = "{address}:{self.frontend}"\n'
            f'Readiness = "{address}:{self._readiness}"\n'
            f'Control = "{address}:{self._control}"\n'
            f"[Limits]\nCpuShare = 0.537\nCores = 2\n"
            f"MemoryMb = {self._memory_mb}\nMaxFds = 4100\n"
            "LinkMbps = 1000.0\nDiskMb = 0\n"
            f"[Bounds]\n{bounds}"
            "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nQuotaWindowS = 4\n"
            f'[Platform]\nAddress = "{self.store.address}"\n'
            'form = "read"\nReadsPerS = 2000\nHistoryS = 20\n'
        )

    async def start_router(self, router: Router) -> None:
        """Starts a router with the command of the deploy file."""
        self.write_settings(router)
        with router.log.open("ab") as log:
            router.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=self._environment
                | {"CROWWINCH_BOOT": str(router.settings)},
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, router: Router) -> None:
        """Waits until a router says that it is ready.

        Raises:
            NotRunError: If it does not.
        """
        end = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.is_ready(router):
                return
            await asyncio.sleep(0.05)
        raise NotRunError(f"router {router.index} is not ready")

    async def is_ready(self, router: Router) -> bool:
        """Asks a router as the platform's balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    router.address, self._readiness
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    def next_attempt(self, prefix: str) -> str:
        """Returns a new attempt id."""
        self._attempts += 1
        return f"{prefix}-{self._attempts}"

    async def ask(
        self, router: Router, path: str, prefix: str, **more: Any
    ) -> Answer:
        """Sends a request on a connection of its own; as `Connection.ask`."""
        connection = Connection(self, router, is_kept=False)
        return await connection.ask(path, prefix, **more)

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            self.record.write(f"logs in {self._folder.name}")
            self._folder._finalizer.detach()
        else:
            self._folder.cleanup()


async def _read_answer(
    reader: asyncio.StreamReader,
    got: Answer,
    patience_s: float,
    on_data: Callable[[bytes], None] | None,
) -> None:
    async with asyncio.timeout(patience_s):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        got.headers[name.strip().lower()] = value.strip()
    got.status = int(first.split(" ")[1])
    if got.headers.get("transfer-encoding", "") == "chunked":
        while True:
            async with asyncio.timeout(patience_s):
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
            got.body += data
            if on_data is not None:
                on_data(data)
    else:
        length = int(got.headers.get("content-length", 0))
        got.body = await reader.readexactly(length)
    got.is_whole = True


def run_case(
    folder: str, case: Callable[[Record, bool], Awaitable[int]]
) -> None:
    """Runs a case and ends with its exit code.

    Args:
        folder: Folder of the case.
        case: Gets the record and whether there is a disruption; returns the
            exit code.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> int:
        async with asyncio.timeout(118.0):
            return await case(record, has_trouble)

    try:
        code = asyncio.run(limited())
    except (NotRunError, TimeoutError, OSError) as error:
        record.write(f"not run: {error!r}")
        code = NOT_RUN
    record.write(f"exit code {code}")
    sys.exit(code)

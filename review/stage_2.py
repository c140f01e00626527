"""Stand-ins of the platform, of workers and of requesters, for review scripts.

They need nothing but Python. The store, the workers and the requesters live in
the process of the script; the routers are processes of their own, started with
the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "key-of-tenant-1"
OTHER_KEY = "key-of-tenant-2"
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_READY_S = 20.0
# Size of a page of the store: "about 500 items or 1 MB".
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_ZONES = ("bne-north", "bne-south", "gc-hall", "ipswich-hall")
_STARTED = time.monotonic()

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens `record.txt` in a folder."""
        self._file = (folder / "record.txt").open("w")

    def __call__(self, *words: object) -> None:
        """Writes a line."""
        seconds = time.monotonic() - _STARTED
        self._file.write(f"{seconds:8.3f} {' '.join(map(str, words))}\n")
        self._file.flush()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns free TCP ports below the range of outgoing connections."""
    found: list[int] = []
    port = 20_000 + os.getpid() * 13 % 9_000
    while len(found) < count:
        port = port + 1 if port < 31_000 else 20_000
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        found.append(port)
    return found


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Reads a request or status line and the headers, with names in lower case.

    Raises:
        EOFError: If the connection ends before.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Reads a body with a length, in chunks or until the connection ends.

    Raises:
        EOFError: If the connection ends before.
    """
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: items, and watches on their changes."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 1
        # The history holds the changes after this revision.
        self._kept_after = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        (port,) = free_ports(1)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.address = f"127.0.0.1:{port}"

    def put(self, key: str, value: object) -> None:
        """Writes an item as JSON."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
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
        self._note(item)

    def delete(self, key: str) -> None:
        """Removes an item."""
        self._items.pop(key, None)
        self._revision += 1
        self._note({"Key": key, "Revision": self._revision, "Deleted": True})

    def compact(self) -> None:
        """Discards the history and cuts the watches that wait."""
        self._kept_after = self._revision
        self._events.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def _note(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                first, _ = await read_head(reader)
                answer = await self._answer(first.split()[1])
                status = b"410 Gone" if answer is None else b"200 OK"
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %b\r\nContent-Type: application/json\r\n"
                    b"Store-Era: 1\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, object] | None:
        """Returns the body of an answer, None if the history is lost."""
        path, _, query = target.partition("?")
        given = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        prefix = given.get("Prefix", "")
        if path == "/kv-range":
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > given.get("After", "")
            ]
            count, size = 0, 0
            while count < min(len(items), _PAGE_ITEMS) and size < _PAGE_BYTES:
                size += len(str(items[count]["Value"]))
                count += 1
            return {
                "Items": items[:count],
                "Truncated": count < len(items),
                "CurrentRev": self._revision,
            }
        end = time.monotonic() + int(given["WaitMs"]) / 1000
        while True:
            changed = self._changed
            if int(given["After"]) < self._kept_after:
                return None
            events = [
                event
                for event in self._events
                if int(str(event["Revision"])) > int(given["After"])
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "CurrentRev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Request:
    """A request as a worker gets it, and the connection for its answer."""

    def __init__(
        self,
        worker: "Worker",
        first: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Stores the request."""
        self.worker = worker
        self.method, self.target, _ = first.split(" ")
        self.headers = headers
        self.body = body
        self.writer = writer
        self.attempt = headers.get("x-crowwinch-attempt-id", "")

    def head(self, status: str, *lines: str) -> bytes:
        """Returns the head of an answer of this worker."""
        return "\r\n".join(
            (
                f"HTTP/1.1 {status}",
                f"X-Crowwinch-Attempt-Id: {self.attempt}",
                f"X-Crowwinch-Server-Seal: seal.{self.worker.name}",
                "Keep-Alive: timeout=4",
                *lines,
                "",
                "",
            )
        ).encode()

    async def answer(self, status: str, body: bytes) -> None:
        """Sends a whole answer with a length."""
        self.writer.write(
            self.head(status, f"Content-Length: {len(body)}") + body
        )
        await self.writer.drain()


Behaviour = Callable[[Request], Awaitable[None]]


async def echo(request: Request) -> None:
    """Answers with the worker's name, as a sound worker does."""
    await request.answer("200 OK", f"done by {request.worker.name}\n".encode())


class Worker:
    """A worker: it writes its entry, and answers as its behaviour says."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        behaviour: Behaviour = echo,
        version: str = "v1",
        zone: str = "bne-north",
    ) -> None:
        """Creates a worker that does not run."""
        self._store, self._record = store, record
        self.name, self.service, self.behaviour = name, service, behaviour
        self.version, self.zone = version, zone
        self.born = 0
        self._written: dict[str, object] = {}
        self.address = ""
        self.runs: list[str] = []
        self._port = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self, first_beat_s: float = 0.0) -> None:
        """Listens, and writes its entry with its heartbeats.

        Args:
            first_beat_s: Time from its start to its first heartbeat.
        """
        if not self._port:
            (self._port,) = free_ports(1)
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self.address = f"127.0.0.1:{self._port}"
        self._beats = asyncio.ensure_future(self._beat(first_beat_s))
        self._record("worker", self.name, "starts, version", self.version)

    async def crash(self) -> None:
        """Ends at once: its connections are reset and its port is closed."""
        self._record("worker", self.name, "crashes")
        assert self._server is not None and self._beats is not None
        self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _beat(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            self._sequence += 1
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self, state: str = "ready") -> None:
        """Writes its entry to the store.

        The item changes only when more than `Sequence` does, as on the pages.
        """
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": 64,
            "State": state,
            "ColdRemainingMs": 0,
            "born": self.born,
        }
        if entry != self._written:
            self._written = entry
            self._record(
                "worker", self.name, "writes its entry, version", self.version
            )
            self._store.put(
                f"servers/{self.name}", entry | {"Sequence": self._sequence}
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(self, first, headers, body, writer)
                await self._take(request)
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _take(self, request: Request) -> None:
        if request.target == "/report":
            body = json.dumps({"born": self.born, "Active": 0}).encode()
            request.writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % len(body) + body
            )
            await request.writer.drain()
            return
        if request.headers.get("x-crowwinch-expect-instance") != self.name:
            request.writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"X-Crowwinch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            await request.writer.drain()
            return
        self.runs.append(request.attempt)
        self._record(
            "worker", self.name, "runs", request.attempt, request.target
        )
        await self.behaviour(request)


def configuration(version: int = 7, **changes: object) -> dict[str, object]:
    """Returns a configuration like that of the small deployments."""

    def route(
        name: str, kind: str, service: str, **more: object
    ) -> dict[str, object]:
        return {
            "Name": name,
            "Host": HOST,
            "Prefix": f"/{name}/",
            "RouteType": kind,
            "TimeoutMs": 12000,
            "TargetLatencyMs": 300,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": 2,
            "Anonymous": False,
            **more,
        }

    stream = {"SessionAffinity": True, "GapTargetMs": 250}
    return {
        "Version": version,
        "Routes": [
            route("unsafe", "unsafe", "lodge", MaxAttempts=1),
            route("safe", "safe", "lodge"),
            route("stream", "streaming", "triage", **stream),
            route("resume", "streaming", "triage", StreamResume=True, **stream),
        ],
        "Services": [
            {
                "Name": "triage",
                "HealthPath": "/healthz",
                "MaxConnections": 370,
                "Engine": {"Slots": 64, "KvCapacity": 431002},
            },
            {
                "Name": "lodge",
                "HealthPath": "/healthz",
                "MaxConnections": 110,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            "TokensPerS": 170000,
        },
        "Tenants": [
            {"Name": "tenant-1", "ApiKeys": [KEY], "Priority": 1},
            {"Name": "tenant-2", "ApiKeys": [OTHER_KEY], "Priority": 1},
        ],
    } | changes


class Router:
    """One router: a process with the command of the deploy file."""

    def __init__(
        self, fleet: "Fleet", number: int, ports: dict[str, int]
    ) -> None:
        """Writes its settings."""
        self._fleet, self._ports = fleet, ports
        self.zone = _ZONES[(number - 1) % len(_ZONES)]
        self.name = f"edge-{self.zone}-{number}"
        # Times of its last start, and of its last signal that disturbs it.
        self.disturbed_at = float("-inf")
        self.address = f"127.0.1.{number}"
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = fleet.folder / f"{self.name}.toml"
        self.log = fleet.folder / f"{self.name}.log"
        self.write_settings()

    def write_settings(self) -> None:
        """Writes the settings file, as of the pages' example."""
        address, ports = self.address, self._ports
        seeds = [f"127.0.1.{n}:{ports['control']}" for n in (1, 2, 3)]
        self._settings.write_text(
            f'NodeName = "{self.name}"\nRole = "router"\n'
            'MachineClass = "edge"\nServes = ["edge","control_plane"]\n'
            f'Ip = "{address}"\nZone = "{self.zone}"\nRegion = "qld-south"\n'
            f"PortRange = [{ports['first']},{ports['last']}]\n"
            f"Seeds = {json.dumps(seeds)}\nBootstrap = true\n"
            'LossCounts = false\nDiscovery = "platform"\nEntry = "vip"\n'
            f"HeartbeatMs = {int(HEARTBEAT_S * 1000)}\n"
            'Contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","tenants","platform"]\n'
            "[Zones]\n"
            + "".join(f'{zone} = "qld-south"\n' for zone in _ZONES)
            + f'[Listen]\nFrontend = "{address}:{ports["front"]}"\n'
            f'Readiness = "{address}:{ports["ready"]}"\n'
            f'Control = "{address}:{ports["control"]}"\n'
            "[Limits]\nCpuShare = 0.537\nCores = 2\nMemoryMb = 150\n"
            "MaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
            "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n"
            "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\n"
            "AckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 8\n"
            "LossSlackMs = 200\nConfigApplyMs = 2000\nRevertSlackMs = 250\n"
            "OuterMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n"
            "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 56\n"
            "RecoveryS = 12\nPassMs = 120\nReuseWindowS = 8.8\n"
            "QuotaWindowS = 4\n"
            f'[Platform]\nAddress = "{self._fleet.store.address}"\n'
            'form = "read"\nWritesPerS = 400\nReadsPerS = 2000\n'
            "HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n"
        )

    def start(self) -> None:
        """Starts the process."""
        self.disturbed_at = time.monotonic()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ("python3", "-m", "crowwinch", "gateway"),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CROWWINCH_BOOT": str(self._settings),
                    "SSL_CERT_FILE": "/dev/null",
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._fleet.record(
            "router", self.name, "starts as process", self.process.pid
        )

    @property
    def is_in_touch(self) -> bool:
        """Whether nothing has disturbed it for `ContactMs`."""
        calm_s = time.monotonic() - self.disturbed_at
        return calm_s > CONTACT_S and self.exit_code is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, None while it runs."""
        assert self.process is not None
        return self.process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.disturbed_at = time.monotonic()
        self._fleet.record("router", self.name, "gets", number.name)
        self.process.send_signal(number)

    async def connect(
        self, receive_bytes: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects as a requester.

        Args:
            receive_bytes: Size of the receive buffer, 0 for the usual one.
        """
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            connection, (self.address, self._ports["front"])
        )
        return await asyncio.open_connection(sock=connection, limit=2**16)

    async def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self._ports["ready"]
            )
            writer.write(
                b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            first = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in first


def request_bytes(
    path: str,
    attempt: str,
    body: bytes = b"",
    *lines: str,
    method: str = "POST",
    deadline_ms: int = 12000,
    key: str = KEY,
) -> bytes:
    """Returns a request as the requesters of the pages send it."""
    head = "\r\n".join(
        (
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Crowwinch-Attempt-Id: {attempt}",
            f"X-Crowwinch-Deadline-Ms: {deadline_ms}",
            f"X-Api-Key: {key}",
            f"Content-Length: {len(body)}",
            *lines,
            "",
            "",
        )
    )
    return head.encode("latin-1") + body


class Fleet:
    """A store, workers and routers; all end with the context."""

    def __init__(self, record: Record, routers: int) -> None:
        """Creates a fleet that does not run."""
        self.record = record
        self.store = Store()
        self.workers: list[Worker] = []
        self.routers: list[Router] = []
        self._count = routers
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    async def __aenter__(self) -> "Fleet":
        """Starts the store and writes the settings of the routers."""
        await self.store.start()
        names = ("front", "ready", "control", "first", "last")
        free = free_ports(len(names), "127.0.1.1")
        ports = dict(zip(names, free, strict=True))
        self.routers = [
            Router(self, number + 1, ports) for number in range(self._count)
        ]
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all processes."""
        for router in self.routers:
            if router.process is not None and router.exit_code is None:
                with contextlib.suppress(ProcessLookupError):
                    router.process.send_signal(signal.SIGCONT)
                    router.process.kill()
                router.process.wait()
        self._folder.cleanup()

    async def start(self, *workers: Worker) -> None:
        """Starts workers and routers, and waits until they are ready.

        Raises:
            TimeoutError: If they are not in time.
        """
        await self.start_platform(*workers)
        for router in self.routers:
            router.start()
        await self.wait_ready()

    async def start_platform(self, *workers: Worker) -> None:
        """Writes the configuration and starts workers."""
        self.store.put("op/config", configuration())
        self.workers.extend(workers)
        for worker in workers:
            await worker.start()

    async def wait_ready(self) -> None:
        """Waits until all routers are ready.

        Raises:
            TimeoutError: If they are not in time.
        """
        async with asyncio.timeout(_READY_S):
            for router in self.routers:
                while not await router.is_ready():
                    await asyncio.sleep(0.05)
        # Until each router has heard of all workers and of the others.
        await asyncio.sleep(1.0)


def run(
    folder: str, case: Callable[[Record], Awaitable[bool]], limit_s: float = 110
) -> None:
    """Plays a case and exits: 1 broken, 0 held, 2 if it could not run."""
    record = Record(pathlib.Path(folder).resolve())

    async def play() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        is_broken = asyncio.run(play())
    except BaseException as error:
        record("the case could not run:", repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record("broken" if is_broken else "held")
    print("broken" if is_broken else "held")
    sys.exit(int(is_broken))

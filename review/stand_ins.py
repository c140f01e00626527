"""Stand-ins for the operators' platform, its workers and its requesters.

They speak what the operators' pages say and need nothing but Python's library.
The gateways are the project's own processes, started as the deploy file says.
All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "host.example"
KEY = "key-1"
_ATTEMPT = "x-crowwinch-attempt-id"
_READY_TIMEOUT_S = 30.0
_UPLOAD_CHUNK = 32_768
_PORT_SPAN = 16
_MEMORY_POLL_S = 0.02
# A process that ended is started again after a short delay.
_RESTART_DELAY_S = 0.5
_REASONS = {200: "OK", 410: "Gone", 421: "Misdirected Request"}


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Empties the file."""
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()
        self.note("case", f"{folder.name}, TROUBLE={int(TROUBLE)}")

    def note(self, kind: str, text: str) -> None:
        """Adds a line with the seconds since the start."""
        at = time.monotonic() - self._started
        self._file.write(f"{at:8.3f} {kind:8} {text}\n")
        self._file.flush()

    def finish(self, broken: bool, text: str) -> int:
        """Adds the verdict and returns the exit code."""
        self.note("verdict", f"{'BROKEN' if broken else 'held'}: {text}")
        print(f"{'BROKEN' if broken else 'held'}: {text}")
        return int(broken)


@dataclass
class Head:
    """First line and headers of a message, names in lower case."""

    first: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads up to the empty line after the headers."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first, {n.strip().lower(): v.strip() for n, _, v in pairs})


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yields the chunks of a body; a body that is cut raises."""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Reads a body with a length or in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


def message(first: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def status_line(status: int) -> str:
    """Returns the first line of an answer."""
    return f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"


class Store:
    """The platform's store: items, watches and a history that may be short."""

    def __init__(self) -> None:
        """Starts without items."""
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 100
        # The changes after this revision are kept.
        self._kept_after = 100
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        # Ports that lead nowhere while their machine is cut off.
        self.cut: set[int] = set()

    async def open_port(self) -> int:
        """Returns a new port, one for each machine, so that it can be cut."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Closes all ports and connections."""
        for server in self._servers:
            server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, key: str, value: bytes) -> None:
        """Writes an item."""
        self._revision += 1
        known = self._items.get(key, {})
        self._items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": known.get("Created", self._revision),
            "Lease": 0,
        }
        self._add(self._items[key])

    def delete(self, key: str) -> None:
        """Removes an item."""
        self._revision += 1
        self._items.pop(key, None)
        self._add({"Key": key, "Revision": self._revision, "Deleted": True})

    def discard_history(self) -> None:
        """Forgets all changes up to now; waiting watches are cut."""
        self._events.clear()
        self._kept_after = self._revision

    def _add(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        port = writer.get_extra_info("sockname")[1]
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await read_head(reader)
                status, body = await self._answer(head.first.split(" ")[1])
                while port in self.cut:
                    await asyncio.sleep(0.05)
                headers = {"Content-Type": "application/json"}
                text = json.dumps(body).encode()
                writer.write(message(status_line(status), headers, text))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target: str) -> tuple[int, object]:
        path, _, query_text = target.partition("?")
        pairs = (part.partition("=") for part in query_text.split("&"))
        query = {name: value.replace("%2F", "/") for name, _, value in pairs}
        if path == "/kv-range":
            return 200, self._list(query.get("Prefix", ""))
        return await self._watch(
            query.get("Prefix", ""),
            int(query["After"]),
            int(query.get("WaitMs", 0)) / 1000,
        )

    def _list(self, prefix: str) -> object:
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        return {
            "Items": items,
            "Truncated": False,
            "CurrentRev": self._revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, object]:
        end = time.monotonic() + wait_s
        while True:
            if after < self._kept_after or after > self._revision:
                return 410, {}
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["Revision"] > after
                and str(event["Key"]).startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


@dataclass
class Run:
    """A request that a worker began to run."""

    worker: "Worker"
    attempt: str
    headers: Mapping[str, str]
    body_size: int
    began: float
    kept_connection: bool


Behaviour = Callable[["Worker", Run, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """A worker of a service; sound unless its behaviour is replaced."""

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        version: str = "v1",
        behaviour: Behaviour | None = None,
    ) -> None:
        """Creates a worker that doesn't listen yet."""
        self.name = name
        self.service = service
        self.version = version
        self.behaviour = behaviour or answer_plain
        self.work_s = 0.1
        self.events = 40
        self.event_s = 0.1
        self.leaving = False
        self.runs: list[Run] = []
        self._store = store
        self.record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listens and registers in the store."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=512
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.register()

    def register(self, state: str = "ready") -> None:
        """Writes the entry of this worker."""
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self._port}",
            "Zone": "zone-a",
            "Version": self.version,
            "Slots": 64,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self._born,
        }
        self._store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def unregister(self) -> None:
        """Removes the entry, as when the worker leaves without a notice."""
        self._store.delete(f"servers/{self.name}")

    def exit(self) -> None:
        """Ends the worker: its port and its connections are closed."""
        assert self._server is not None
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def answer_headers(self, run: Run) -> dict[str, str]:
        """Returns the headers of a sound answer."""
        headers = {
            "X-Crowwinch-Attempt-Id": run.attempt,
            "X-Crowwinch-Server-Seal": f"seal.{self.name}.{run.attempt}",
        }
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        kept = False
        try:
            while await self._serve_one(reader, writer, kept):
                kept = True
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        kept: bool,
    ) -> bool:
        head = await read_head(reader)
        body = await read_body(reader, head)
        if head.headers.get("x-crowwinch-expect-instance") != self.name:
            headers = {"X-Crowwinch-Not-Executed": "1"}
            writer.write(message(status_line(421), headers))
            return True
        run = Run(
            self,
            head.headers.get(_ATTEMPT, ""),
            head.headers,
            len(body),
            time.monotonic(),
            kept,
        )
        self.runs.append(run)
        self.record.note("run", f"{run.attempt} at {self.name}")
        return await self._run(run, reader, writer)

    async def _run(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a request until it is done or its connection closes."""
        work = asyncio.ensure_future(self.behaviour(self, run, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        keeps_open = work.done() and not work.exception() and work.result()
        for task in (work, gone):
            task.cancel()
        await asyncio.wait({work, gone})
        return bool(keeps_open)


async def answer_plain(
    worker: Worker, run: Run, writer: asyncio.StreamWriter
) -> bool:
    """Answers with a length; the work takes half to one and a half times."""
    await asyncio.sleep(worker.work_s * random.uniform(0.5, 1.5))
    body = b"done " + run.attempt.encode()
    headers = worker.answer_headers(run)
    writer.write(message(status_line(200), headers, body))
    await writer.drain()
    return True


async def answer_stream(
    worker: Worker, run: Run, writer: asyncio.StreamWriter
) -> bool:
    """Streams events; goes on after `Last-Event-Id`."""
    after = int(run.headers.get("last-event-id", 0))
    headers = worker.answer_headers(run) | {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = [status_line(200), *(f"{n}: {v}" for n, v in headers.items())]
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    for number in range(after + 1, worker.events + 1):
        await asyncio.sleep(worker.event_s)
        event = f"id: {number}\ndata: {worker.version} {number}\n\n".encode()
        writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
        head = b""
        await writer.drain()
    writer.write(head + b"0\r\n\r\n")
    await writer.drain()
    return True


def configuration(version: int = 3) -> bytes:
    """Returns a configuration with the four kinds of route."""
    kinds = (
        ("desk", "/desk/", "unsafe", "desk", False, 5_000, 1),
        ("look", "/look/", "safe", "desk", False, 5_000, 2),
        ("plan", "/plan/", "streaming", "llm", False, 15_000, 1),
        ("chat", "/chat/", "streaming", "llm", True, 12_000, 2),
    )
    routes = [
        {
            "Name": name,
            "Host": HOST,
            "Prefix": prefix,
            "RouteType": kind,
            "TimeoutMs": timeout_ms,
            "TargetLatencyMs": 600,
            "Priority": 1,
            "Service": service,
            "MaxAttempts": attempts,
            "StreamResume": resume,
            "GapTargetMs": 250,
        }
        for name, prefix, kind, service, resume, timeout_ms, attempts in kinds
    ]
    engine = {"Slots": 64, "KvCapacity": 431_002}
    return json.dumps(
        {
            "Version": version,
            "Routes": routes,
            "Services": [
                {"Name": "desk", "MaxConnections": 370},
                {"Name": "llm", "MaxConnections": 370, "Engine": engine},
            ],
            "Limits": {
                "MaxHeaderBytes": 16_384,
                "MaxBodyBytes": 4_194_304,
                "HeaderTimeoutMs": 3_000,
                "IdleTimeoutMs": 15_000,
                "TokensPerS": 170_000,
            },
            "Tenants": [{"Name": "tenant", "ApiKeys": [KEY], "Priority": 1}],
        }
    ).encode()


class Machine:
    """An edge machine with one gateway process.

    Its `Control` address is one of this stand-in, so that datagrams between
    machines pass a relay, which drops them while the machine is cut off.
    """

    def __init__(self, platform: "Platform", index: int) -> None:
        """Creates a machine without a process."""
        self.index = index
        self.address = f"127.0.1.{index + 1}"
        self.control = f"127.0.2.{index + 1}"
        self.is_cut = False
        self.ends = 0
        self.store_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self._platform = platform
        self._relay: asyncio.DatagramTransport | None = None

    @property
    def frontend(self) -> tuple[str, int]:
        """Address that the platform forwards requesters to."""
        return self.address, self._platform.port

    async def prepare(self) -> None:
        """Opens the relay and writes the settings file."""
        self.store_port = await self._platform.store.open_port()
        port = self._platform.port
        loop = asyncio.get_running_loop()
        self._relay, _ = await loop.create_datagram_endpoint(
            lambda: _Relay(self._platform, self),
            local_addr=(self.control, port + 5),
        )
        seeds = ", ".join(
            f'"{machine.control}:{port + 2}"'
            for machine in self._platform.machines[:3]
        )
        self._settings.write_text(
            f'NodeName = "edge-{self.index}"\nRole = "router"\n'
            'MachineClass = "edge"\nServes = ["edge", "control_plane"]\n'
            f'Ip = "{self.address}"\nZone = "zone-a"\nRegion = "south"\n'
            f"PortRange = [{port + 5}, {port + 15}]\nSeeds = [{seeds}]\n"
            "Bootstrap = true\nHeartbeatMs = 1200\n"
            f'[Listen]\nFrontend = "{self.address}:{port}"\n'
            f'Readiness = "{self.address}:{port + 1}"\n'
            f'Control = "{self.control}:{port + 2}"\n'
            "[Limits]\nCpuShare = 0.537\nCores = 2\n"
            f"MemoryMb = {self._platform.memory_mb}\nMaxFds = 4100\n"
            "LinkMbps = 1000.0\n"
            "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\n"
            "DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\n"
            "ConfigApplyMs = 2000\nRetryBudgetRatio = 0.2\n"
            "BudgetWindowS = 10\nRetrySlack = 56\nQuotaWindowS = 4\n"
            f'[Platform]\nAddress = "127.0.0.1:{self.store_port}"\n'
            'form = "read"\nReadsPerS = 2000\nHistoryS = 20\n'
            "ValueBytes = 1048576\n"
        )

    @property
    def _settings(self) -> pathlib.Path:
        return self._platform.folder / f"edge-{self.index}.toml"

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        role = self._platform.role
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["CROWWINCH_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log_path = self._platform.folder / f"edge-{self.index}.log"
        with log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Kills the process."""
        self.signal(signal.SIGKILL)

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Returns the memory that the process has written, in MB.

        Files that are mapped, such as libraries, are left out.
        """
        assert self.process is not None
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError, StopIteration, IndexError):
            lines = path.read_text().splitlines()
            line = next(each for each in lines if each.startswith("RssAnon"))
            return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def cut_off(self, is_cut: bool) -> None:
        """Cuts the machine off from the store and all other machines."""
        self.is_cut = is_cut
        cut = self._platform.store.cut
        (cut.add if is_cut else cut.discard)(self.store_port)

    async def is_ready(self) -> bool:
        """Returns whether the balancer's question is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self._platform.port + 1
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200 " in head.first

    async def watch_memory(self) -> None:
        """Kills the process above its limit and starts it again."""
        record = self._platform.record
        peak = 0.0
        while True:
            await asyncio.sleep(_MEMORY_POLL_S)
            assert self.process is not None
            if self.process.returncode is not None:
                continue
            used = self.memory_mb()
            if used > peak + 10:
                peak = used
                record.note("memory", f"edge-{self.index} {used:.0f} MB")
            if used > self._platform.memory_mb:
                self.ends += 1
                record.note(
                    "memory",
                    f"edge-{self.index} over {self._platform.memory_mb} MB, "
                    "killed by the platform",
                )
                self.kill()
                await self.process.wait()
                await asyncio.sleep(_RESTART_DELAY_S)
                await self.start()


class _Relay(asyncio.DatagramProtocol):
    """Passes datagrams on to a machine unless a link is cut."""

    def __init__(self, platform: "Platform", machine: Machine) -> None:
        self._platform = platform
        self._machine = machine
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = next(
            (m for m in self._platform.machines if m.address == addr[0]), None
        )
        if self._machine.is_cut or (sender is not None and sender.is_cut):
            return
        with contextlib.suppress(OSError):
            self._socket.sendto(
                data, (self._machine.address, self._platform.port + 5)
            )


class Platform:
    """A small deployment: the store, the machines and the workers."""

    def __init__(
        self, record: Record, machines: int, memory_mb: int = 150
    ) -> None:
        """Creates the deployment; nothing runs until `start`."""
        self.record = record
        self.memory_mb = memory_mb
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self.store = Store()
        self.workers: list[Worker] = []
        self.port = _free_ports()
        self.machines = [Machine(self, index) for index in range(machines)]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["router"]
        self._tasks: list[asyncio.Task[None]] = []

    async def add(
        self,
        name: str,
        service: str,
        version: str = "v1",
        behaviour: Behaviour | None = None,
    ) -> Worker:
        """Starts a worker."""
        sound = answer_stream if service == "llm" else answer_plain
        worker = Worker(
            self.store,
            self.record,
            name,
            service,
            version,
            behaviour or sound,
        )
        await worker.start()
        self.workers.append(worker)
        return worker

    async def start(self) -> None:
        """Starts the machines and waits until they serve."""
        self.store.put("op/config", configuration())
        for machine in self.machines:
            await machine.prepare()
        for machine in self.machines:
            await machine.start()
            self._tasks.append(asyncio.ensure_future(machine.watch_memory()))
        await self.wait_ready(self.machines)

    async def wait_ready(self, machines: list[Machine]) -> None:
        """Waits until machines are ready.

        Raises:
            TimeoutError: If one is not.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for machine in machines:
                while not await machine.is_ready():
                    await asyncio.sleep(0.05)
        # Machines that start find each other within this time.
        await asyncio.sleep(1.0)

    def runs(self) -> dict[str, list[Run]]:
        """Returns all runs by attempt."""
        runs: dict[str, list[Run]] = {}
        for worker in self.workers:
            for run in worker.runs:
                runs.setdefault(run.attempt, []).append(run)
        return runs

    async def stop(self) -> None:
        """Ends all processes."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
            if machine.process is not None:
                await machine.process.wait()
        for worker in self.workers:
            worker.exit()
        self.store.close()
        # Both ends of all connections see the ends of the processes.
        await asyncio.sleep(0.3)
        self._folder.cleanup()


def _free_ports() -> int:
    """Returns the first of some ports that are free on all machines."""
    while True:
        first = random.randrange(16_384, 32_000)
        try:
            for port in range(first, first + _PORT_SPAN):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("", port))
        except OSError:
            continue
        return first


@dataclass
class Answer:
    """What a requester got for one attempt.

    Attributes:
        status: HTTP status, 0 without an answer.
        body: What arrived of the body.
        is_whole: Whether the answer ended as the protocol says.
        headers: Headers of the answer.
        error: Why it ended early.
    """

    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    headers: Mapping[str, str] = field(default_factory=dict)
    error: str = ""


class Requester:
    """A requester with one connection, which it keeps."""

    def __init__(self, record: Record, machine: Machine) -> None:
        """Creates a requester without a connection."""
        self._record = record
        self.machine = machine
        self._reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.sent_on_connection = 0

    async def connect(self, receive_buffer: int = 0) -> None:
        """Opens the connection, with a small receive buffer if given."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.machine.frontend)
        limit = {"limit": receive_buffer} if receive_buffer else {}
        self._reader, self.writer = await asyncio.open_connection(
            sock=sock, **limit
        )
        self.sent_on_connection = 0

    async def send(
        self,
        path: str,
        attempt: str,
        body: bytes = b"body",
        headers: Mapping[str, str] | None = None,
        deadline_ms: int = 5_000,
    ) -> None:
        """Sends a request."""
        assert self.writer is not None
        values = {
            "Host": HOST,
            "X-Api-Key": KEY,
            "X-Crowwinch-Attempt-Id": attempt,
            "X-Crowwinch-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        self._record.note("send", f"{attempt} {path} edge-{self.machine.index}")
        self.sent_on_connection += 1
        self.writer.write(message(f"POST {path} HTTP/1.1", values, body))
        await self.writer.drain()

    async def upload(
        self,
        path: str,
        attempt: str,
        size: int,
        bytes_per_s: float,
        has_length: bool = False,
    ) -> None:
        """Sends a body at the rate of a link, in chunks or with a length."""
        assert self.writer is not None
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Api-Key: {KEY}",
            f"X-Crowwinch-Attempt-Id: {attempt}",
            "X-Crowwinch-Deadline-Ms: 15000",
            f"Content-Length: {size}"
            if has_length
            else "Transfer-Encoding: chunked",
        ]
        self._record.note("send", f"{attempt} {path} edge-{self.machine.index}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        loop = asyncio.get_running_loop()
        started = loop.time()
        for sent in range(0, size, _UPLOAD_CHUNK):
            chunk = b"x" * min(_UPLOAD_CHUNK, size - sent)
            self.writer.write(
                chunk if has_length else b"%x\r\n%s\r\n" % (len(chunk), chunk)
            )
            await self.writer.drain()
            due = started + (sent + len(chunk)) / bytes_per_s
            await asyncio.sleep(max(due - loop.time(), 0))
        if not has_length:
            self.writer.write(b"0\r\n\r\n")
            await self.writer.drain()

    async def receive(self, attempt: str) -> Answer:
        """Reads the answer and closes the connection if it says so."""
        assert self._reader is not None
        answer = Answer()
        try:
            head = await read_head(self._reader)
            answer.status = int(head.first.split(" ")[1])
            answer.headers = head.headers
            if "chunked" in head.headers.get("transfer-encoding", ""):
                async for chunk in read_chunks(self._reader):
                    answer.body += chunk
            else:
                answer.body = await read_body(self._reader, head)
            answer.is_whole = True
        except (asyncio.IncompleteReadError, OSError, ValueError) as error:
            answer.error = repr(error)[:80]
        if not answer.is_whole or (
            answer.headers.get("connection", "").lower() == "close"
        ):
            self.close()
        self._record.note(
            "answer",
            f"{attempt} status {answer.status} "
            f"{'whole' if answer.is_whole else 'cut ' + answer.error} "
            f"{len(answer.body)} bytes",
        )
        return answer

    async def ask(self, path: str, attempt: str, **options: object) -> Answer:
        """Sends a request, on the kept connection if there is one."""
        try:
            if self.writer is None:
                await self.connect()
            await self.send(path, attempt, **options)
        except OSError as error:
            self.close()
            return Answer(error=repr(error))
        return await self.receive(attempt)

    async def repeat(
        self, path: str, name: str, end: float, lost: list[str]
    ) -> None:
        """Sends requests on the kept connection, one after the other.

        Args:
            path: Path of the requests.
            name: Start of their ids.
            end: Time of the loop at which to stop.
            lost: Receives those whose kept connection was closed without an
                answer.
        """
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end:
            is_kept = self.writer is not None
            attempt = f"{name}-{number}"
            number += 1
            answer = await self.ask(path, attempt)
            if is_kept and not answer.status:
                lost.append(attempt)
            if not answer.is_whole:
                await asyncio.sleep(0.5)
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Returns number and software version of each whole event."""
    events = []
    for text in body.decode().split("\n\n")[:-1]:
        number, data = text.split("\n")
        version = data.removeprefix("data: ").split(" ")[0]
        events.append((int(number.removeprefix("id: ")), version))
    return events


def run_case(folder: str, case: Callable[[Record], Awaitable[int]]) -> None:
    """Runs a case; exits with 2 if it could not run."""
    record = Record(pathlib.Path(folder).resolve().parent)
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:
        record.note("error", repr(error))
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)

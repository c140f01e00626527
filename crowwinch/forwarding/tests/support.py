"""Test fixtures: in-process router, scripted targets and callers."""

import asyncio
import random
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import SystemClock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding import (
    CallerServer,
    Engine,
    Forwarder,
    LocalStreamOrigins,
    MemoryPool,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    SharingState,
    SocketAddress,
    Target,
    TargetClient,
    TargetLives,
    TargetSet,
    Workspace,
)
from crowwinch.observability import Metrics
from crowwinch.platform import HeaderCodec
from crowwinch.sharing import (
    Admission,
    CallerWaits,
    ColdTargets,
    CrashSuspects,
    EngineSpeeds,
    Placer,
    PrefixCacheTracker,
    SlidingWindowRetryBudget,
    StartPace,
    TargetHealth,
    TargetLimits,
    TargetLoads,
    TargetRateLimits,
    WorkspaceShares,
)

KEY = "key-1"
RESPONSE_MEMORY_BYTES = 8_000_000
_EOF_POLL_INTERVAL_S = 0.002
_ATTEMPT_HEADER = "x-crowwinch-attempt-id"


@dataclass
class ReceivedRequest:
    """A request as a target received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Value of the attempt id header, empty without one."""
        return self.headers.get(_ATTEMPT_HEADER, "")


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[bool]]


async def read_head(reader: asyncio.StreamReader) -> list[str]:
    """Returns the start line and the header lines of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head.decode("latin-1").split("\r\n")[:-2]


class ScriptedTarget:
    """A target that answers each request with a script.

    The script writes any bytes to the connection and returns whether to keep
    it open. It is cancelled if the router closes the connection.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.closed = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> SocketAddress:
        """Address that the target listens on."""
        return SocketAddress(*self._server.sockets[0].getsockname()[:2])

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                lines = await read_head(reader)
                method, path, _ = lines[0].split(" ", 2)
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:]
                    )
                }
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                request = ReceivedRequest(method, path, headers, body)
                self.requests.append(request)
                task = asyncio.ensure_future(self.script(request, writer))
                while not task.done():
                    if reader.at_eof():
                        task.cancel()
                        return
                    await asyncio.sleep(_EOF_POLL_INTERVAL_S)
                if not task.result():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def make_response(
    request: ReceivedRequest,
    body: bytes = b"hello",
    status: str = "200 OK",
    extra: str = "",
    length: int | None = None,
    attempt_id: str | None = None,
    seal: bool = True,
) -> bytes:
    """Returns the bytes of a response with a Content-Length header."""
    identifier = request.attempt_id if attempt_id is None else attempt_id
    lines = f"HTTP/1.1 {status}\r\nX-Crowwinch-Attempt-Id: {identifier}\r\n"
    if seal:
        lines += "X-Crowwinch-Server-Seal: seal\r\n"
    size = len(body) if length is None else length
    lines += f"Content-Length: {size}\r\n{extra}\r\n"
    return lines.encode() + body


def stream_head(request: ReceivedRequest) -> bytes:
    """Returns the headers of a chunked stream of server-sent events."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Crowwinch-Attempt-Id: {request.attempt_id}\r\n"
        "X-Crowwinch-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Returns one HTTP chunk; an empty one ends the response."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Returns one server-sent event."""
    return f"id: {number}\ndata: token{number}\n\n".encode()


@dataclass
class Reply:
    """A response as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    is_keep_alive: bool = field(default=True)


def make_sharing_state(
    clock,
    targets=lambda service: (),
    evacuated=lambda service: (),
    view=lambda identifier: None,
) -> SharingState:
    """Returns the sharing state of a router that has just started."""
    loads, health = TargetLoads(clock), TargetHealth(clock)
    prefixes, speeds = PrefixCacheTracker(clock), EngineSpeeds()
    shares = WorkspaceShares(clock, 4.0)
    rate_limits = TargetRateLimits(clock)
    cold = ColdTargets(clock, view)
    pace = StartPace(clock, loads, cold)
    limits = TargetLimits([rate_limits, cold, pace])
    return SharingState(
        admission=Admission(
            clock,
            Placer(loads, prefixes, speeds, health, limits),
            shares,
            targets,
            random.Random(1).random,
            evacuated,
        ),
        budget=SlidingWindowRetryBudget(clock, 5.0, 10.0),
        caller_waits=CallerWaits(clock),
        cold=cold,
        crashes=CrashSuspects(clock),
        health=health,
        loads=loads,
        pace=pace,
        prefixes=prefixes,
        limits=limits,
        rate_limits=rate_limits,
        shares=shares,
        speeds=speeds,
    )


class Router:
    """A forwarder and caller server in front of scripted targets."""

    def __init__(
        self,
        targets: list[ScriptedTarget],
        kind: RouteKind = RouteKind.SAFE,
        max_attempts: int = 2,
        timeout_s: float = 5.0,
        is_engine: bool = False,
        limits: RequestLimits | None = None,
        max_descriptors: int = 4_000,
        was_late: bool = False,
        versions: Sequence[str] = (),
        life: int = 0,
        cold_start_s: float = 0.0,
        cold_per_s: float = 0.0,
    ) -> None:
        self._life = life
        self._versions = versions or [""] * len(targets)
        self._scripted_targets = targets
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.target_set = TargetSet("az", lambda target: None)
        self.sharing = make_sharing_state(
            self.clock,
            self.target_set.views_of_service,
            self.target_set.evacuated_views_of_service,
            self.target_set.view,
        )
        self.sharing.cold.set_fleet("r", (), is_settled=True)
        self.loads = self.sharing.loads
        self.health = self.sharing.health
        self.crashes = self.sharing.crashes
        self.routing: RoutingTable | None = RoutingTable(
            1,
            (
                Route(
                    "r",
                    "host.example",
                    "/a/",
                    kind,
                    timeout_s,
                    0.5,
                    1,
                    {"s": 1.0},
                    max_attempts,
                    False,
                ),
            ),
            {
                "s": Service(
                    "s",
                    0,
                    Engine(8, 1e5) if is_engine else None,
                    cold_start_s,
                    cold_per_s,
                )
            },
            {KEY: Workspace("tenant")},
            limits or RequestLimits(),
        )
        self.streams = LocalStreamOrigins(self.clock)
        # By default the directory is in step with all restarts.
        self.synced_at = lambda: float("inf")
        self.response_memory = MemoryPool(RESPONSE_MEMORY_BYTES, 8_192)
        codec = HeaderCodec()
        self.client = TargetClient(codec.attempt_header)
        self.forwarder = Forwarder(
            self.clock,
            lambda: self.routing,
            self.target_set,
            self.sharing,
            self.client,
            codec,
            self.metrics,
            random.Random(1).random,
            self.streams,
            TargetLives(
                self.clock,
                self.client,
                codec,
                self.target_set,
                lambda: self.synced_at(),
                self.sharing.cold,
            ),
            self.response_memory,
            was_late=lambda: was_late,
        )
        self.server = CallerServer(
            self.clock,
            SocketAddress("127.0.0.1", 0),
            codec,
            self.forwarder,
            lambda: self.routing.limits if self.routing else RequestLimits(),
            self.metrics,
            100_000_000,
            max_descriptors,
            lambda: was_late,
        )

    async def start(self) -> None:
        """Starts the targets and the router."""
        for target in self._scripted_targets:
            await target.start()
        await self.client.start()
        await self.server.start()
        self.target_set.update(
            [
                Target(
                    f"i-{number}",
                    self._life,
                    "s",
                    target.address,
                    "az",
                    8,
                    version,
                )
                for number, (target, version) in enumerate(
                    zip(self._scripted_targets, self._versions, strict=True)
                )
            ],
            self.routing,
        )

    async def stop(self) -> None:
        """Stops the router and the targets."""
        await self.server.stop()
        await self.client.stop()
        for target in self._scripted_targets:
            await target.stop()

    async def connect(self) -> "Caller":
        """Opens a connection to the router."""
        return Caller(
            *await asyncio.open_connection("127.0.0.1", self.server.port)
        )

    async def call(self, **options) -> Reply:
        """Sends one request on a new connection and returns the response."""
        caller = await self.connect()
        await caller.send(**options)
        return await caller.receive()


class Caller:
    """A caller with one connection to the router."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    async def send(
        self,
        method: str = "POST",
        path: str = "/a/x",
        body: bytes = b"body",
        attempt_id: str = "attempt-1",
        key: str = KEY,
        extra: str = "",
        raw: bytes | None = None,
    ) -> None:
        """Sends a request, or the bytes `raw` if given."""
        if raw is None:
            raw = (
                f"{method} {path} HTTP/1.1\r\nHost: host.example\r\n"
                f"X-Crowwinch-Attempt-Id: {attempt_id}\r\n"
                f"X-Api-Key: {key}\r\n"
                f"Content-Length: {len(body)}\r\n{extra}\r\n"
            ).encode() + body
        self._writer.write(raw)
        await self._writer.drain()

    async def receive(self) -> Reply:
        """Reads one response."""
        lines = await read_head(self._reader)
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body, is_complete = b"", True
        try:
            if "content-length" in headers:
                body = await self._reader.readexactly(
                    int(headers["content-length"])
                )
            else:
                body, is_complete = await self._read_chunks()
        except asyncio.IncompleteReadError as error:
            body, is_complete = error.partial, False
        is_keep_alive = headers.get("connection", "").lower() != "close"
        return Reply(status, headers, body, is_complete, is_keep_alive)

    async def _read_chunks(self) -> tuple[bytes, bool]:
        body = b""
        try:
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                data = await self._reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += data[:-2]
        except asyncio.IncompleteReadError:
            return body, False

    async def is_closed(self) -> bool:
        """Waits for data or the end; returns whether the router closed it."""
        return not await self._reader.read(1)

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


def write_response(make_data, keep_open: bool = False) -> Script:
    """Returns a script that writes a response.

    Args:
        make_data: Returns the bytes of the response to a request.
        keep_open: Whether the connection stays open.
    """

    async def script(request, writer):
        writer.write(make_data(request))
        await writer.drain()
        return keep_open

    return script


async def respond_ok(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Sends a valid response."""
    writer.write(make_response(request))
    return True


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with one router in front of scripted targets."""

    async def router(self, *scripts, **options):
        self.targets = [ScriptedTarget(script) for script in scripts]
        router = Router(self.targets, **options)
        await router.start()
        self.addAsyncCleanup(router.stop)
        return router

    @property
    def attempt_count(self):
        return sum(len(target.requests) for target in self.targets)


def refusal():
    """Returns the refusal of a router that lacks processor time."""
    return RefusalError(
        RefusalReason.ROUTER_OVERLOADED, "no time", retry_after_s=0.05
    )

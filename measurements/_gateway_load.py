"""Store, targets, peers and callers of one router, in a process of their own.

Reads commands as JSON lines from standard input and answers each with a line.
Keeping this load apart leaves only the router's work in the router's process.
"""

import asyncio
import itertools
import json
import socket
import sys
import time

import msgspec
from aiohttp import web

from crowwinch.generated.fleet_messages import (
    FleetUpdate,
    TargetReport,
    VersionReport,
    WorkspaceReport,
)
from standins.operators_platform import Store

HOST = "host.example"
ENGINES = 45
PEERS = 76
SLOTS = 32
_WORKSPACES = 40
_PERIOD_S = 0.05
# Updates that a router of this fleet receives in one period.
_UPDATES_PER_PERIOD = 12
# Each update in this many carries the use of workspaces.
_SHARES_INTERVAL = 4
# Capacity of all engines, in service units per second.
_CAPACITY_PER_S = 1e7
_OVERLOAD_UNITS = 1e6
_EVENT_INTERVAL_S = 0.005
_PROMPT = ",".join(f"p{number}:150" for number in range(5)) + ",own:50"


def configuration() -> bytes:
    """Returns a configuration with a plain route and a streaming one."""
    routes = [
        {
            "Name": name,
            "Host": HOST,
            "Prefix": f"/{name}/",
            "RouteType": kind,
            "TimeoutMs": 8000,
            "TargetLatencyMs": 500,
            "Service": service,
            "MaxAttempts": 2,
        }
        for name, kind, service in (
            ("look", "safe", "desk"),
            ("chat", "streaming", "llm"),
        )
    ]
    services = [
        {"Name": "desk"},
        {"Name": "llm", "Engine": {"Slots": SLOTS, "KvCapacity": 500_000}},
    ]
    tenants = [
        {"Name": f"w{number}", "ApiKeys": [f"key-{number}"]}
        for number in range(_WORKSPACES)
    ]
    return json.dumps(
        {
            "Version": 3,
            "Routes": routes,
            "Services": services,
            "Tenants": tenants,
            "Limits": {"TokensPerS": _CAPACITY_PER_S},
        }
    ).encode()


class _Target(asyncio.Protocol):
    """Answers requests; streams have the number of events in the path."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._received = b""

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end or len(body) < int(_field(head, b"content-length") or 0):
            return
        self._received = b""
        path = head.split(b" ", 2)[1].decode()
        answer = (
            b"HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 10:00:00 GMT\r\n"
            b"X-Crowwinch-Server-Seal: seal\r\nX-Crowwinch-Attempt-Id: "
            + _field(head, b"x-crowwinch-attempt-id")
        )
        if path.startswith("/look/"):
            self._transport.write(
                answer + b"\r\nContent-Type: application/json\r\n"
                b"Content-Length: 200\r\n\r\n" + b"a" * 200
            )
            return
        self._transport.write(
            answer + b"\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self._send_event(1, int(path.rpartition("/")[2]))

    def _send_event(self, number: int, count: int) -> None:
        event = b'id: %d\ndata: {"text": "%s"}\n\n' % (number, b"t" * 60)
        self._transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        if number == count:
            self._transport.write(b"0\r\n\r\n")
            return
        asyncio.get_running_loop().call_later(
            _EVENT_INTERVAL_S, self._send_event, number + 1, count
        )


def _field(head: bytes, name: bytes) -> bytes:
    _, found, rest = head.lower().partition(b"\r\n" + name + b":")
    start = len(head) - len(rest)
    return head[start:].partition(b"\r\n")[0].strip() if found else b""


class _Peers:
    """Sends the updates that a router of a fleet of 77 receives."""

    def __init__(self, port: int, router: str) -> None:
        self._router = (router, port)
        self._numbers = itertools.count()
        self._controls = [f"127.0.9.{index + 1}" for index in range(PEERS)]
        self._sockets = []
        for control in self._controls:
            peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            peer.bind((control, port))
            self._sockets.append(peer)
        self._life = int(time.time() * 1000)
        self.is_full = False

    async def run(self) -> None:
        """Sends updates at the rate of the fleet."""
        due = asyncio.get_running_loop().time()
        while True:
            for _ in range(_UPDATES_PER_PERIOD):
                self._send(next(self._numbers))
            due += _PERIOD_S
            await asyncio.sleep(due - asyncio.get_running_loop().time())

    def _send(self, number: int) -> None:
        index, turn = number % PEERS, number // PEERS
        units = _OVERLOAD_UNITS if self.is_full else 1.0
        update = FleetUpdate(
            router=f"edge-{index}",
            availability_zone=f"az-{index % 4 + 1}",
            life=self._life,
            sequence=turn,
            control=f"{self._controls[index]}:{self._router[1] + 1}",
            version=3,
            revision=1,
            reading="fresh" if index < 4 else "none",
            is_leaving=False,
            targets=[
                TargetReport(
                    f"i-llm-{engine}", int(self.is_full), 5 * self.is_full
                )
                for engine in range(ENGINES)
            ],
            workspaces=(
                [
                    WorkspaceReport(f"w{each}", units, units / 2)
                    for each in range(_WORKSPACES)
                ]
                if turn % _SHARES_INTERVAL == 0
                else None
            ),
            members=[],
            crashes=[],
            prefixes=[],
            era=1,
            versions=[VersionReport("llm", "v1", 0, 10)],
            history_ms=10_000,
            synced_ms=50,
        )
        datagram = b"\x02" + msgspec.msgpack.encode(update)
        self._sockets[index].sendto(datagram, self._router)


async def _run_callers(
    address: list[str | int], path: str, count: int, callers: int, keep: bool
) -> dict[str, int]:
    """Sends requests, each caller one after the other; counts statuses."""
    numbers = iter(range(count))
    statuses: dict[str, int] = {}

    async def call() -> None:
        streams = None
        for number in numbers:
            if streams is None or not keep:
                if streams is not None:
                    streams[1].close()
                streams = await asyncio.open_connection(*address)
            status = await _ask(*streams, path, number)
            statuses[status] = statuses.get(status, 0) + 1
        if streams is not None:
            streams[1].close()

    await asyncio.gather(*(call() for _ in range(callers)))
    return statuses


async def _ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    number: int,
) -> str:
    prompt = (
        "X-Crowwinch-Token-Count: 800,40\r\nX-Crowwinch-Model: m\r\n"
        f"X-Crowwinch-Prefix-Hash: {_PROMPT}\r\n"
    )
    writer.write(
        (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAccept: */*\r\n"
            "User-Agent: load\r\nContent-Type: application/json\r\n"
            f"X-Crowwinch-Attempt-Id: {time.monotonic_ns():x}{number:x}\r\n"
            "X-Api-Key: key-1\r\nX-Crowwinch-Deadline-Ms: 6000\r\n"
            f"{prompt if path.startswith('/chat/') else ''}"
            "Content-Length: 300\r\n\r\n"
        ).encode()
        + b"b" * 300
    )
    head = await reader.readuntil(b"\r\n\r\n")
    size = _field(head, b"content-length")
    if size:
        await reader.readexactly(int(size))
    else:
        await reader.readuntil(b"\r\n0\r\n\r\n")
    return head[9:12].decode()


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    store = Store()
    application = web.Application()
    application.add_routes(store.routes())
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    hosts = [f"127.0.2.{number + 1}" for number in range(ENGINES)]
    first = await loop.create_server(_Target, "127.0.0.1", 0)
    port = first.sockets[0].getsockname()[1]
    await loop.create_server(_Target, hosts, port)
    store.put("op/config", configuration())
    for number, host in enumerate(hosts):
        for service in ("llm", "desk"):
            entry = {
                "Service": service,
                "Address": f"{host}:{port}",
                "Zone": f"az-{number % 4 + 1}",
                "Slots": SLOTS,
                "State": "ready",
                "Sequence": 1,
                "born": 1,
                "Version": "v1",
            }
            store.put(
                f"servers/i-{service}-{number}", json.dumps(entry).encode()
            )
    peers = None
    tasks = []
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    print(json.dumps({"store": site._server.sockets[0].getsockname()[1]}))
    sys.stdout.flush()
    while line := await commands.readline():
        command = json.loads(line)
        answer: object = None
        if "peers" in command:
            if peers is None:
                peers = _Peers(command["port"], command["router"])
                tasks.append(asyncio.ensure_future(peers.run()))
            peers.is_full = command["peers"] == "full"
        else:
            answer = await _run_callers(**command)
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    asyncio.run(_serve())

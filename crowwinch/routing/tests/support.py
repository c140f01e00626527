"""In-process router with a raw HTTP client and scripted targets."""

import asyncio
import json
import random
import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from crowwinch.api import CallerApi
from crowwinch.app._http_server import HttpServer
from crowwinch.configuration import Snapshot, key_hash
from crowwinch.coordination import SystemClock, TimerService, identifier
from crowwinch.errors import RefusalReason, RetryReason
from crowwinch.generated.documents import Group, Target, Workspace
from crowwinch.idempotency import IdempotencyService
from crowwinch.observability import Metrics
from crowwinch.routing import (
    CrashRegistry,
    KeyedRequestHandler,
    RequestHandler,
    StreamIds,
)
from crowwinch.routing.tests.fifo_dispatcher import FifoDispatcher
from crowwinch.scheduling import SlotOutcome
from crowwinch.targets import IncarnationTable, TargetClient, fetch_load
from standins.scripted_target import ScriptedTarget

MAX_BODY_BYTES = 1_000_000


class CountingDispatcher(FifoDispatcher):
    """Records slot requests, cancelled waits and slot outcomes."""

    def __init__(self, snapshot) -> None:
        super().__init__(snapshot)
        self.requests = []
        self.slot_outcomes: list[SlotOutcome] = []
        self.cancelled_waits = 0
        self.on_slot_granted = lambda slot: None

    async def acquire(self, request):
        self.requests.append(request)
        try:
            slot = await super().acquire(request)
        except asyncio.CancelledError:
            self.cancelled_waits += 1
            raise
        finish = slot.finish

        def record_and_finish(cost, outcome):
            self.slot_outcomes.append(outcome)
            finish(cost, outcome)

        slot.finish = record_and_finish
        self.on_slot_granted(slot)
        return slot


@dataclass
class Reply:
    """A received HTTP answer.

    Attributes:
        body: None if the answer was truncated.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None

    @property
    def error(self):
        document = json.loads(self.body)["error"]
        return self.status, document["code"], document["run_state"]


class Router:
    """In-process router that serves HTTP requests from scripted targets."""

    def __init__(
        self,
        targets: Sequence[ScriptedTarget],
        kind: str = "engine",
        slots: int = 4,
        timeout_s: float = 5.0,
        **options,
    ) -> None:
        group = {"idempotent": False} if kind == "service" else {}
        group |= options.pop("group", {})
        self.targets = targets
        self.snapshot = Snapshot.build(
            1,
            "",
            [
                Workspace(name=name, weight=1.0, key_hashes=[key_hash(name)])
                for name in ("alpha", "beta")
            ],
            [
                Group(
                    name="group",
                    kind=kind,
                    region="r",
                    model="name",
                    targets=[
                        Target(name=f"t{index}", url=target.url, slots=slots)
                        for index, target in enumerate(targets)
                    ],
                    **group,
                )
            ],
        )
        clock = SystemClock()
        self.metrics = Metrics()
        self.client = TargetClient()
        self.dispatcher = CountingDispatcher(lambda: self.snapshot)
        self.crashes = options.pop("crashes", None) or CrashRegistry(clock)
        handler = RequestHandler(
            clock,
            lambda: self.snapshot,
            self.dispatcher,
            self.client,
            IncarnationTable(lambda url: fetch_load(self.client, url)),
            self.crashes,
            StreamIds("", lambda: self.snapshot),
            count_retry=lambda reason: self.metrics.count_reason("r", reason),
            **options,
        )
        self.api = CallerApi(
            clock,
            lambda: self.snapshot,
            handler,
            self._create_keyed_handler(clock, handler),
            self.metrics,
            "r",
            MAX_BODY_BYTES,
            timeout_s,
        )
        self._server = HttpServer(self.api.application(), "127.0.0.1", 0)

    def _create_keyed_handler(self, clock, handler) -> KeyedRequestHandler:
        service = IdempotencyService(
            "router",
            1,
            "zone",
            TimerService(clock),
            lambda peer, message: None,
            lambda: [],
            random.Random(1),
        )
        return KeyedRequestHandler(
            clock, lambda: self.snapshot, handler, service
        )

    async def __aenter__(self) -> "Router":
        """Starts the HTTP server and the target client."""
        await self.client.start()
        await self._server.start()
        return self

    async def __aexit__(self, *_) -> None:
        """Stops the router and the targets."""
        await self._server.stop()
        await self.client.stop()
        for target in self.targets:
            target.stop()

    @property
    def port(self) -> int:
        return self._server.port

    def retries(self, reason: RetryReason) -> float:
        return self.metrics.value("r", "reason", reason.name.lower())

    def refusals(self, reason: RefusalReason) -> float:
        return self.metrics.value("refusals", "reason", reason.name.lower())

    async def send_chat_completion(
        self, stream=False, key="alpha", **headers
    ) -> Reply:
        """Sends a chat completion request."""
        body = json.dumps({"model": "name", "stream": stream}).encode()
        return await self.send(
            "POST", "/v1/chat/completions", body, key, **headers
        )

    async def send(self, method, path, body=b"", key="alpha", **headers):
        """Sends one HTTP request and returns its answer."""
        all_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        all_headers = {"Authorization": f"Bearer {key}", **all_headers}
        all_headers.setdefault("Content-Length", str(len(body)))
        lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in all_headers.items()]
        header_block = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        return await self.send_raw(header_block + body, method == "HEAD")

    async def send_raw(
        self, data: bytes, is_head: bool = False, delayed_data: bytes = b""
    ) -> Reply:
        """Sends bytes and reads one answer.

        Reads until the connection is closed or an error answer is complete.

        Args:
            data: Bytes of the request.
            is_head: Whether the request has the method HEAD.
            delayed_data: Bytes to send 0.1 s after `data`.

        Returns:
            The answer; its status is 0 if the connection was reset.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        if delayed_data:
            await asyncio.sleep(0.1)
            writer.write(delayed_data)
        try:
            received = b""
            while not is_complete_error(received) and (
                chunk := await reader.read(65536)
            ):
                received += chunk
        except ConnectionError:
            return Reply(0)
        finally:
            writer.close()
        return parse_reply(received, is_head)


def is_complete_error(received: bytes) -> bool:
    """Returns whether a whole error answer with Content-Length arrived."""
    header_block, _, body_bytes = received.partition(b"\r\n\r\n")
    match = re.search(
        rb"HTTP/1.1 [45].*Content-Length: (\d+)", header_block, re.DOTALL
    )
    return match is not None and len(body_bytes) >= int(match[1])


def parse_reply(received: bytes, is_head: bool = False) -> Reply:
    """Parses an answer and verifies its length or chunked encoding."""
    header_block, _, body_bytes = received.partition(b"\r\n\r\n")
    status_line, *lines = header_block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        key = name.lower()
        headers[key] = f"{headers[key]}|{value}" if key in headers else value
    reply = Reply(int(status_line.split(" ")[1]), headers)
    if headers.get("transfer-encoding") == "chunked":
        reply.body = _decode_chunked(body_bytes)
    elif is_head or len(body_bytes) == int(headers.get("content-length", 0)):
        reply.body = body_bytes
    return reply


def _decode_chunked(data: bytes) -> bytes | None:
    body = b""
    while True:
        size_line, line_end, data = data.partition(b"\r\n")
        if not line_end:
            return None
        chunk_size = int(size_line, 16)
        if not chunk_size:
            return body if data == b"\r\n" else None
        body += data[:chunk_size]
        data = data[chunk_size + 2 :]


async def start_targets(*targets: ScriptedTarget) -> Sequence[ScriptedTarget]:
    """Starts the targets and returns them."""
    for target in targets:
        await target.start()
    return targets


def target_identifier(index: int) -> int:
    """Returns the identifier of the target at an index."""
    return identifier(f"t{index}")

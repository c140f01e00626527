"""Requesters that take broken streams up again, for review scripts."""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field

from stage_2 import (
    Fleet,
    Record,
    Request,
    Router,
    read_body,
    read_head,
    request_bytes,
)

# Up to 48 events with pauses of up to 250 ms are in time at this deployment.
_EVENTS = 45
_PAUSE_S = 0.22
_DEADLINE_S = 12.0


async def stream(request: Request) -> None:
    """Sends the events after the one that the request names."""
    writer = request.writer
    after = int(request.headers.get("last-event-id", 0))
    writer.write(
        request.head(
            "200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
    )
    for number in range(after + 1, _EVENTS + 1):
        await asyncio.sleep(_PAUSE_S)
        event = f"id: {number}\ndata: {request.worker.version}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


@dataclass
class Try:
    """One try of a requester.

    Attributes:
        is_in_touch: Whether its machine was in touch when it was sent.
        events: Ids and software versions of the events that came.
        is_complete: Whether the answer came to its end.
        status: Status of the answer, empty without one.
    """

    is_in_touch: bool
    events: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False
    status: str = ""


class Requesters:
    """Requesters that the platform's entry sends to ready machines."""

    def __init__(
        self, fleet: Fleet, record: Record, pause_s: float = 0.0
    ) -> None:
        """Creates requesters that have sent nothing.

        Args:
            fleet: Machines that they ask.
            record: What they send and get.
            pause_s: Time until they take up a stream that broke off.
        """
        self._fleet, self._record = fleet, record
        self._pause_s = pause_s
        self._random = random.Random(44)
        self._misses = [0] * len(fleet.routers)
        self.new: list[Try] = []
        self.taken_up: list[Try] = []

    async def watch(self, number: int) -> None:
        """Asks a machine once a second whether it is ready."""
        while True:
            if await self._fleet.routers[number].is_ready():
                self._misses[number] = 0
            else:
                self._misses[number] += 1
            await asyncio.sleep(1.0)

    def _choose(self, zone: str, other: Router | None = None) -> Router:
        """Returns the machine to which the entry sends a new connection.

        It is one of the zone that is in rotation. If fewer than half are, all
        of the zone are used, and if none is, those of the other zones.
        """
        routers = self._fleet.routers
        ready = [
            router
            for router, misses in zip(routers, self._misses, strict=True)
            if misses < 2
        ]
        own = [router for router in routers if router.zone == zone]
        own_ready = [router for router in ready if router.zone == zone]
        if not own_ready:
            choice = ready or routers
        elif 2 * len(own_ready) < len(own):
            choice = own
        else:
            choice = own_ready
        others = [router for router in choice if router is not other]
        return self._random.choice(others or ready or routers)

    async def ask(self, number: int) -> None:
        """Sends a request, and takes its stream up once if it breaks off."""
        began = time.monotonic()
        zone = self._random.choice(self._fleet.routers).zone
        router = self._choose(zone)
        attempt = f"{number:06x}a"
        first = Try(router.is_in_touch)
        self.new.append(first)
        await self._send(router, attempt, first, _DEADLINE_S)
        if first.is_complete or not first.events:
            return
        await asyncio.sleep(self._pause_s)
        left_s = _DEADLINE_S - (time.monotonic() - began)
        last = first.events[-1][0]
        router = self._choose(zone, router)
        again = Try(router.is_in_touch)
        await self._send(
            router,
            f"{number:06x}b",
            again,
            left_s,
            f"Last-Event-Id: {last}",
            f"Resumes: {attempt}",
        )
        goes_on = bool(again.events) and again.events[0][0] == last + 1
        self._record(
            "taken up after event",
            last,
            "at a machine",
            "in touch:" if again.is_in_touch else "not in touch:",
            again.status,
            "goes on" if goes_on else "does not go on",
        )
        if again.is_in_touch:
            self.taken_up.append(again)

    async def _send(
        self,
        router: Router,
        attempt: str,
        outcome: Try,
        left_s: float,
        *lines: str,
    ) -> None:
        self._record("requester sends", attempt, "to", router.name, *lines)
        writer = None
        with contextlib.suppress(EOFError, OSError, TimeoutError):
            async with asyncio.timeout(left_s + 1.0):
                reader, writer = await router.connect()
                writer.write(
                    request_bytes(
                        "/resume/chat",
                        attempt,
                        b"question",
                        "X-Crowwinch-Model: m",
                        "X-Crowwinch-Token-Count: 300,270",
                        f"X-Crowwinch-Prefix-Hash: ab{attempt}:300",
                        *lines,
                        deadline_ms=int(left_s * 1000),
                    )
                )
                await self._read(reader, outcome)
        self._record(
            attempt, "gets", outcome.status, len(outcome.events), "events"
        )
        if writer is not None:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader, outcome: Try) -> None:
        first, headers = await read_head(reader)
        outcome.status = first.split(" ", 1)[1]
        if not outcome.status.startswith("200"):
            body = await read_body(reader, headers)
            outcome.status += body.decode("latin-1")
            return
        text = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            text += (await reader.readexactly(size + 2))[:-2]
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                number, data = event.decode().split("\n")
                outcome.events.append((int(number[4:]), data[6:]))
        outcome.is_complete = True

    def judge(self) -> tuple[float, int, int]:
        """Returns what came of the requests at machines in touch.

        Returns:
            The share of new streams that began, the number of streams that
            were taken up, and of those that went on.
        """
        new = [each for each in self.new if each.is_in_touch]
        begun = sum(bool(each.events) for each in new) / len(new)
        going_on = sum(bool(each.events) for each in self.taken_up)
        self._record(
            f"at machines in touch: {begun:.2f} of {len(new)} new streams "
            f"begin; {going_on} of {len(self.taken_up)} that are taken up go on"
        )
        return begun, len(self.taken_up), going_on

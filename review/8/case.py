"""One part of a prompt crashes workers; sound requests share the first part."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stage_2 import (  # noqa: E402
    CONTACT_S,
    KEY,
    OTHER_KEY,
    TROUBLE,
    Fleet,
    Record,
    Request,
    Worker,
    read_body,
    read_head,
    request_bytes,
    run,
)

_ROUTERS = 4
_WORKERS = 6
_EVENTS = 4
_PAUSE_S = 0.02
_BACK_S = 3.0
# Three sound requests come at a time, 1.6 a second in all.
_CLUMP = 3
_CLUMP_PAUSE_S = 0.08
_PERIOD_S = 1.9
_BACKGROUND_PERIOD_S = 0.15
# The first requests with the bad part come this long after a clump.
_BAD_AT_S = (0.5, 0.9, 1.3)
_CALM_PERIODS = 8
_PERIODS = 20
_MIN_REQUESTS = 20
_FIRST_PART = "aa0001"
_BAD_PART = "bad001"
_CRASHES_LIMIT = 5


class Engine(Worker):
    """A worker that crashes when it begins to answer the bad part."""

    crashes: list[float] = []

    async def answer(self, request: Request) -> None:
        """Streams some events."""
        writer = request.writer
        if _BAD_PART in request.headers.get("x-crowwinch-prefix-hash", ""):
            self.crashes.append(time.monotonic())
            restart = asyncio.ensure_future(self._restart())
            self._restarts.append(restart)
            await asyncio.sleep(1.0)
        writer.write(
            request.head(
                "200 OK",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_PAUSE_S)
            event = f"id: {number}\ndata: word\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    _restarts: list[asyncio.Task[None]] = []

    async def _restart(self) -> None:
        await self.crash()
        await asyncio.sleep(_BACK_S)
        await self.start()


class Requesters:
    """Requesters; their requests go to the machines in turn."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Creates requesters that have sent nothing."""
        self._fleet, self._record = fleet, record
        self._count = 0
        # When each sound request with the first part was sent, and whether its
        # answer began.
        self.sound: list[tuple[float, bool]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def send(self, kind: str, *parts: str) -> None:
        """Sends a request with shared parts in the background."""
        self._tasks.append(asyncio.ensure_future(self._ask(kind, *parts)))

    async def finish(self) -> None:
        """Waits for all answers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, kind: str, *parts: str) -> None:
        self._count += 1
        attempt = f"{self._count:08x}"
        router = self._fleet.routers[self._count % _ROUTERS]
        sent_at = time.monotonic()
        prefix = ",".join(f"{part}:300" for part in (*parts, f"ff{attempt}"))
        status = "no answer"
        reader, writer = await router.connect()
        writer.write(
            request_bytes(
                "/stream/tag",
                attempt,
                f"prompt {attempt}".encode(),
                "X-Crowwinch-Model: m",
                f"X-Crowwinch-Token-Count: {300 * (len(parts) + 1)},24",
                f"X-Crowwinch-Prefix-Hash: {prefix}",
                deadline_ms=3000,
                key=OTHER_KEY if kind == "other" else KEY,
            )
        )
        try:
            async with asyncio.timeout(4.0):
                first, headers = await read_head(reader)
                status = first.split(" ", 1)[1]
                body = await read_body(reader, headers)
                if not status.startswith("200"):
                    status += body.decode("latin-1")
        except (EOFError, OSError, TimeoutError) as error:
            status += f", {error!r}"
        writer.close()
        self._record(kind, attempt, "at", router.name, "gets", status)
        if kind == "sound":
            self.sound.append((sent_at, status.startswith("200")))


async def _play(record: Record) -> bool:
    async with Fleet(record, _ROUTERS) as fleet:
        engines = []
        for number in range(_WORKERS):
            engine = Engine(fleet.store, record, f"i-{number}", "triage")
            engine.behaviour = engine.answer
            engines.append(engine)
        await fleet.start(*engines)
        requesters = Requesters(fleet, record)

        async def background() -> None:
            number = 0
            while True:
                number += 1
                requesters.send("other", f"bb{number % 5:04}", "cc0001")
                await asyncio.sleep(_BACKGROUND_PERIOD_S)

        others = asyncio.ensure_future(background())
        began = time.monotonic()
        for period in range(_PERIODS):
            start = began + period * _PERIOD_S
            await asyncio.sleep(max(start - time.monotonic(), 0.0))
            for _ in range(_CLUMP):
                requesters.send("sound", _FIRST_PART, "dd0002")
                await asyncio.sleep(_CLUMP_PAUSE_S)
            if not TROUBLE or period < _CALM_PERIODS:
                continue
            for after_s in _BAD_AT_S:
                await asyncio.sleep(
                    max(start + after_s - time.monotonic(), 0.0)
                )
                requesters.send("bad", _FIRST_PART, _BAD_PART)
        others.cancel()
        await asyncio.sleep(1.0)
        await requesters.finish()
        crashes = Engine.crashes
        calm_end = began + _CALM_PERIODS * _PERIOD_S
        calm = [ok for at, ok in requesters.sound if at < calm_end]
        if not TROUBLE:
            return not all(ok for _, ok in requesters.sound)
        last = crashes[:_CRASHES_LIMIT][-1]
        late = [ok for at, ok in requesters.sound if at > last + 2 * CONTACT_S]
        record(
            f"{len(crashes)} crashes; sound requests with the first part: "
            f"{sum(calm)} of {len(calm)} begin in calm, {sum(late)} of "
            f"{len(late)} from {2 * CONTACT_S:.0f} s after the last crash"
        )
        if min(len(calm), len(late)) < _MIN_REQUESTS:
            raise RuntimeError("too few requests")
        return sum(late) / len(late) < sum(calm) / len(calm) / 2


run(str(HERE), _play)

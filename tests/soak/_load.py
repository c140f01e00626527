"""Callers that keep their connections and record every answer."""

import asyncio
import json
import random
import re
import time
from dataclasses import dataclass, field

import aiohttp

from tests.platform_fleet import HOST, KEY, WORDS
from tests.soak._fleet import SoakFleet

# Path, whether it may run again, and whether it is a stream.
KINDS = {
    "desk": ("/desk/a", False, False),
    "look": ("/look/a", True, False),
    "chat": ("/chat/a", False, True),
    "plan": ("/plan/a", True, True),
}
DEADLINE_S = 4.0
_UNAUTHORIZED = 401
_UNREAD_CODE = "router_overloaded"
_CALLERS = 24
# Beyond the deadline, so that an answer which comes too late is seen.
_TIMEOUT_S = 12.0
_LONGEST_PAUSE_S = 0.05
_VERSION_LINE = re.compile(rb"^: (\S*v\d+)\n", re.M)
# Pause and number of tries of a caller whose stream broke off.
_TAKE_UP_PAUSE_S = 0.2
_MAX_TAKE_UPS = 3


@dataclass(frozen=True, slots=True)
class Record:
    """One request as its caller saw it; times are Unix seconds.

    Attributes:
        attempt: Identifier of the request.
        kind: A key of `KINDS`.
        router: Number of the router that was asked.
        start: When it was sent.
        end: When the answer ended.
        status: Status of the answer, 0 if there was no complete one.
        is_sound: Whether the answer is a target's whole answer to this
            request.
        error: Why there was no complete answer.
        key: Key that was sent.
        patience_s: Time after which the caller leaves.
        code: Reason that the router named in a refusal.
    """

    attempt: str
    kind: str
    router: int
    start: float
    end: float
    status: int
    is_sound: bool
    error: str
    key: str
    patience_s: float = _TIMEOUT_S
    code: str = ""

    @property
    def accepts_key(self) -> bool | None:
        """Whether the router accepted the key, None if it did not check it.

        A router without processor time refuses requests, or closes
        connections, before it reads their keys.
        """
        if not self.status or self.code == _UNREAD_CODE:
            return None
        return self.status != _UNAUTHORIZED

    @property
    def has_left(self) -> bool:
        """Whether the caller left before its deadline."""
        took = self.end - self.start
        return not self.status and self.patience_s <= took < DEADLINE_S


@dataclass(slots=True)
class Stream:
    """Events of a stream that its caller may have taken up again.

    Attributes:
        attempts: The requests that brought them.
        events: Bytes of all complete events, without their versions.
        versions: Services and software versions that the events name.
    """

    attempts: list[str]
    events: bytes = b""
    versions: set[bytes] = field(default_factory=set)

    def add(self, received: bytes) -> bytes:
        """Adds complete events; returns them without their versions."""
        complete = received[: received.rfind(b"\n\n") + 2]
        self.versions.update(_VERSION_LINE.findall(complete))
        events = _VERSION_LINE.sub(b"", complete)
        self.events += events
        return events


class Load:
    """Sends requests of all kinds to all routers until it is stopped."""

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        """Stores whom to ask; nothing is sent until `run`."""
        self._fleet = fleet
        self._rng = rng
        self._is_stopping = False
        self._urls = [router.url for router in fleet.routers]
        self.records: list[Record] = []
        self.streams: list[Stream] = []
        self._sent = 0

    def stop(self) -> None:
        """Lets `run` return when all requests have their answers."""
        self._is_stopping = True

    async def run(self) -> None:
        """Sends requests until `stop`."""
        await asyncio.gather(
            *(
                self._call_often(number % len(self._urls))
                for number in range(_CALLERS)
            )
        )

    async def ask(
        self,
        session: aiohttp.ClientSession,
        index: int,
        kind: str,
        key: str = KEY,
        stream: Stream | None = None,
        deadline_s: float = DEADLINE_S,
    ) -> Record:
        """Sends one request and records its answer.

        Args:
            session: Connection to the router.
            index: Number of the router.
            kind: A key of `KINDS`.
            key: Key of the caller.
            stream: Stream that is taken up, or gets the events.
            deadline_s: Time in seconds that the caller will wait.
        """
        path, _, is_stream = KINDS[kind]
        self._sent += 1
        attempt = f"soak-{self._sent}"
        body = attempt.encode()
        expected = WORDS if is_stream else body
        stream = stream or Stream([])
        headers = self._resume_headers(stream) | {
            "Host": HOST,
            "X-Api-Key": key,
            "X-Crowwinch-Attempt-Id": attempt,
            "X-Crowwinch-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        if stream.attempts:
            expected = WORDS.removeprefix(stream.events)
        elif is_stream:
            self.streams.append(stream)
        stream.attempts.append(attempt)
        start = time.time()
        status, is_sound, error, code = 0, True, "", ""
        received = bytearray()
        is_event_stream = False
        try:
            async with session.post(
                self._urls[index] + path, data=body, headers=headers
            ) as answer:
                is_event_stream = answer.content_type == "text/event-stream"
                async for data in answer.content.iter_any():
                    received += data
                status = answer.status
                if is_event_stream:
                    received = bytearray(stream.add(received))
                    is_event_stream = False
                is_sound = status >= 300 or (
                    received == expected
                    and "X-Crowwinch-Server-Seal" in answer.headers
                    and answer.headers["X-Crowwinch-Attempt-Id"] == attempt
                )
                if answer.content_type == "application/json":
                    code = json.loads(received)["error"]["code"]
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = repr(failure)
            if is_event_stream:
                stream.add(received)
        record = Record(
            attempt,
            kind,
            index,
            start,
            time.time(),
            status,
            is_sound,
            error,
            key,
            session.timeout.total or _TIMEOUT_S,
            code,
        )
        self.records.append(record)
        return record

    @staticmethod
    def _resume_headers(stream: Stream) -> dict[str, str]:
        if not stream.attempts:
            return {}
        last = stream.events.rpartition(b"id: ")[2].partition(b"\n")[0]
        first = stream.attempts[0]
        return {"Last-Event-Id": last.decode(), "Resumes": first}

    async def _take_up(self, index: int, stream: Stream, end: float) -> None:
        """Takes a stream up at other routers until it is whole."""
        for _ in range(_MAX_TAKE_UPS):
            await asyncio.sleep(_TAKE_UP_PAUSE_S)
            left_s = end - time.time()
            if left_s <= 0:
                return
            index = (index + self._rng.randint(1, 3)) % len(self._urls)
            async with open_session() as session:
                record = await self.ask(
                    session,
                    index,
                    "plan",
                    stream=stream,
                    deadline_s=left_s,
                )
            if record.status == 200:
                return

    async def _call_often(self, index: int) -> None:
        async with open_session() as session:
            while not self._is_stopping:
                kind = self._rng.choice(tuple(KINDS))
                stream = Stream([])
                record = await self.ask(session, index, kind, stream=stream)
                if not record.status and kind == "plan" and stream.events:
                    await self._take_up(
                        index, stream, record.start + DEADLINE_S
                    )
                is_refused = record.status in (0, 429, 503)
                longest = (
                    4 * _LONGEST_PAUSE_S if is_refused else _LONGEST_PAUSE_S
                )
                await asyncio.sleep(self._rng.uniform(0, longest))


def open_session(timeout_s: float = _TIMEOUT_S) -> aiohttp.ClientSession:
    """Returns a session that keeps its connection."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1),
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )

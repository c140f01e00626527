"""Callers that keep their connections and record every answer."""

import asyncio
import json
import random
import time
from dataclasses import dataclass

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


class Load:
    """Sends requests of all kinds to all routers until it is stopped."""

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        """Stores whom to ask; nothing is sent until `run`."""
        self._fleet = fleet
        self._rng = rng
        self._is_stopping = False
        self._urls = [router.url for router in fleet.routers]
        self.records: list[Record] = []
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
    ) -> Record:
        """Sends one request and records its answer."""
        path, _, is_stream = KINDS[kind]
        self._sent += 1
        attempt = f"soak-{self._sent}"
        body = attempt.encode()
        expected = WORDS if is_stream else body
        headers = {
            "Host": HOST,
            "X-Api-Key": key,
            "X-Crowwinch-Attempt-Id": attempt,
            "X-Crowwinch-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        start = time.time()
        status, is_sound, error, code = 0, True, "", ""
        try:
            async with session.post(
                self._urls[index] + path, data=body, headers=headers
            ) as answer:
                received = await answer.read()
                status = answer.status
                is_sound = status >= 300 or (
                    received == expected
                    and "X-Crowwinch-Server-Seal" in answer.headers
                    and answer.headers["X-Crowwinch-Attempt-Id"] == attempt
                )
                if answer.content_type == "application/json":
                    code = json.loads(received)["error"]["code"]
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = repr(failure)
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

    async def _call_often(self, index: int) -> None:
        async with open_session() as session:
            while not self._is_stopping:
                kind = self._rng.choice(tuple(KINDS))
                record = await self.ask(session, index, kind)
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

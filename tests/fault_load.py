"""Load of the fault matrix and what its callers saw."""

import asyncio
import collections
import hashlib
import json
import socket
import threading
import time
from collections.abc import (
    AsyncIterator,
    Callable,
    Coroutine,
    Mapping,
    Sequence,
)
from dataclasses import dataclass

import aiohttp

from standins.engine import expected_tokens

WORKSPACES = (("large", 4.0), ("small", 1.0), ("supplier", 1.0))
KINDS = ("whole", "stream", "plain", "keyed")
_TOKENS = 12
_DEADLINE_MS = "12000"
_TIMEOUT = aiohttp.ClientTimeout(total=20)
# Load of one sender in requests a second; the targets take more than this.
_PAUSE_S = 0.08
# A slow reader takes some 4 s for 12 MB.
_SLOW_READ_S = 0.02
_SLOW_READ_BYTES = 65536
_RECEIVE_BYTES = 65536


@dataclass
class Record:
    """What the caller of one request saw.

    Attributes:
        outcome: "correct", "refused", "broken" or "wrong".
        run_state: Of a refusal.
    """

    kind: str
    router: str
    workspace: str
    text: str
    outcome: str = ""
    code: str = ""
    run_state: str = ""
    detail: str = ""
    seconds: float = 0.0

    @property
    def runs_once(self) -> bool:
        """Whether the target must not run the request twice."""
        return self.kind in ("plain", "keyed")

    def take_refusal(self, status: int, body: bytes) -> None:
        """Takes an error answer."""
        try:
            error = json.loads(body)["error"]
            self.run_state = error["run_state"]
            self.code = error["code"]
            self.outcome = "refused"
        except (ValueError, KeyError, TypeError):
            self.outcome = "wrong"
            self.detail = f"status {status}: {body[:200]!r}"

    def take_answer(self, is_correct: bool, body: bytes) -> None:
        """Takes an answer that the caller would use."""
        self.outcome = "correct" if is_correct else "wrong"
        if not is_correct:
            self.detail = repr(body[:200])


@dataclass(frozen=True)
class Options:
    """What one request asks for and how its caller behaves.

    Attributes:
        padding: Bytes that the target adds to a whole answer.
        progress: Is told the number of events, first when the head arrived.
        hold: The second half of the body waits for it.
        reading: The body of the answer is read, slowly, only after it.
    """

    tokens: int = _TOKENS
    model: str = "menu-model"
    service: str = "rosters"
    padding: int = 0
    progress: Callable[[int], None] = lambda count: None
    hold: asyncio.Event | None = None
    reading: asyncio.Event | None = None


def engine_body(
    model: str, prompt: str, tokens: int, stream: bool
) -> dict[str, object]:
    """Returns a chat request."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }


def streamed_events(body: bytes) -> list[bytes]:
    """Returns the data of the complete events of a stream."""
    parts = body.split(b"\n\n")[:-1]
    return [part[6:] for part in parts if part.startswith(b"data: ")]


def judge_stream(record: Record, body: bytes, tokens: int) -> None:
    """Sorts a stream that ended without a broken connection."""
    events = streamed_events(body)
    if events and events[-1] != b"[DONE]" and b'"error"' in events[-1]:
        record.take_refusal(200, events[-1])
        return
    if not events or events[-1] != b"[DONE]":
        # OpenAI clients take a stream without its terminal event as cut.
        record.outcome, record.detail = "broken", "no terminal event"
        return
    got = [
        choice["delta"]["content"]
        for event in events[:-1]
        for choice in json.loads(event).get("choices", ())
    ]
    record.take_answer(got == expected_tokens(record.text, tokens), body)


def judge_whole(record: Record, body: bytes, tokens: int) -> None:
    """Sorts the whole answer of an engine."""
    text = "".join(expected_tokens(record.text, tokens))
    message = json.loads(body)["choices"][0]["message"]["content"]
    record.take_answer(message == text, body)


def judge_service(record: Record, body: bytes) -> None:
    """Sorts the answer of a plain service."""
    digest = hashlib.sha256(record.text.encode()).hexdigest()
    record.take_answer(json.loads(body).get("digest") == digest, body)


class Caller:
    """Sends single requests and records what came back."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Uses a session of the running loop."""
        self._session = session

    async def send(
        self,
        record: Record,
        url: str,
        key: str = "",
        key_url: str = "",
        **options: object,
    ) -> Record:
        """Sends one request; a keyed one gets a key first if it has none.

        The options are those of `Options`.
        """
        started = time.monotonic()
        headers = {
            "Authorization": f"Bearer key-{record.workspace}",
            "X-Deadline-Ms": _DEADLINE_MS,
        }
        try:
            if record.kind == "keyed" and not key:
                key = await self._issue(record, key_url or url, headers)
            if not record.outcome:
                if key:
                    headers["Idempotency-Key"] = key
                await self._exchange(record, url, headers, Options(**options))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            record.outcome, record.detail = "broken", repr(error)
        except (ValueError, KeyError, TypeError) as error:
            record.outcome, record.detail = "wrong", repr(error)
        record.seconds = time.monotonic() - started
        return record

    async def fetch(
        self, record: Record, url: str, key: str, started: asyncio.Event
    ) -> Record:
        """Asks for the recorded answer of a call with a key."""
        path = f"{url}/v1/idempotency-keys/{key}"
        headers = {"Authorization": f"Bearer key-{record.workspace}"}
        asyncio.get_running_loop().call_later(0.2, started.set)
        try:
            async with self._session.get(path, headers=headers) as response:
                body = await response.read()
            if response.status == 200:
                judge_service(record, body)
            else:
                record.take_refusal(response.status, body)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            record.outcome, record.detail = "broken", repr(error)
        return record

    async def _issue(
        self, record: Record, url: str, headers: Mapping[str, str]
    ) -> str:
        path = f"{url}/v1/idempotency-keys"
        async with self._session.post(path, headers=headers) as response:
            body = await response.read()
            if response.status == 201:
                return json.loads(body)["idempotency_key"]
            record.take_refusal(response.status, body)
            return ""

    async def _exchange(
        self,
        record: Record,
        url: str,
        headers: Mapping[str, str],
        options: Options,
    ) -> None:
        hold, tokens = options.hold, options.tokens
        if record.runs_once:
            url = f"{url}/services/{options.service}/calls"
            url += f"?padding={options.padding}" if options.padding else ""
            data = record.text.encode()
        else:
            url = f"{url}/v1/chat/completions"
            stream = record.kind == "stream"
            document = engine_body(options.model, record.text, tokens, stream)
            document["padding"] = options.padding
            data = json.dumps(document).encode()
        body = b""
        async with self._session.post(
            url,
            data=_in_halves(data, hold) if hold else data,
            headers=headers,
        ) as response:
            options.progress(0)
            if options.reading:
                await options.reading.wait()
            content = response.content
            parts = content.iter_any()
            if options.reading:
                parts = content.iter_chunked(_SLOW_READ_BYTES)
            async for part in parts:
                if options.reading:
                    await asyncio.sleep(_SLOW_READ_S)
                body += part
                options.progress(body.count(b"\n\n"))
            status = response.status
        if status != 200:
            record.take_refusal(status, body)
        elif record.kind == "stream":
            judge_stream(record, body, tokens)
        elif record.kind == "whole":
            judge_whole(record, body, tokens)
        else:
            judge_service(record, body)


def _small_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that makes the sender of a large answer wait."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    return made


async def _in_halves(data: bytes, hold: asyncio.Event) -> AsyncIterator[bytes]:
    yield data[:10]
    await hold.wait()
    yield data[10:]


class Load:
    """Sends requests of every kind through all routers from one thread."""

    def __init__(self, label: str) -> None:
        """Starts the thread; `label` makes the texts of a case unique."""
        self._label = label
        self.records: list[Record] = []
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._ready = threading.Event()
        self._numbers = 0
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._serve()), daemon=True
        )
        self._thread.start()
        self._ready.wait()

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._end = asyncio.Event()
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_small_socket
        )
        async with aiohttp.ClientSession(
            connector=connector, timeout=_TIMEOUT
        ) as session:
            self.caller = Caller(session)
            self._ready.set()
            await self._end.wait()

    def submit(self, coroutine: Coroutine) -> "asyncio.Future":
        """Runs a coroutine in the thread; returns a concurrent future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def new_record(self, kind: str, router: str, owner: str) -> Record:
        """Returns a record with a text that no other request has."""
        self._numbers += 1
        record = Record(
            kind, router, owner, f"{self._label} {router} {self._numbers}"
        )
        self.records.append(record)
        return record

    def begin(
        self,
        routers: Sequence[tuple[str, str]],
        kinds: Sequence[str] = KINDS,
        pause_s: float = _PAUSE_S,
    ) -> None:
        """Starts senders: one of each entry of `kinds` at each (name, URL)."""

        async def start() -> None:
            for index, (name, url) in enumerate(routers):
                for offset, kind in enumerate(kinds):
                    others = [each for _, each in routers]
                    key_url = others[(index + offset) % len(others)]
                    self._tasks.append(
                        asyncio.ensure_future(
                            self._send_all(
                                kind, name, url, key_url, index, pause_s
                            )
                        )
                    )

        self.submit(start()).result()

    async def _send_all(
        self,
        kind: str,
        name: str,
        url: str,
        key_url: str,
        index: int,
        pause_s: float,
    ) -> None:
        turn = index
        while not self._stopping:
            turn += 1
            owner = WORKSPACES[turn % len(WORKSPACES)][0]
            record = self.new_record(kind, name, owner)
            await self.caller.send(record, url, key_url=key_url)
            await asyncio.sleep(pause_s)

    def correct_since(self, start: int) -> collections.Counter:
        """Counts correct answers by router since a number of records."""
        return collections.Counter(
            record.router
            for record in self.records[start:]
            if record.outcome == "correct"
        )

    def finish(self) -> list[Record]:
        """Stops the senders, waits for every answer and ends the thread."""

        async def drain() -> None:
            self._stopping = True
            await asyncio.gather(*self._tasks)

        self.submit(drain()).result(60)
        self._loop.call_soon_threadsafe(self._end.set)
        self._thread.join(10)
        return self.records

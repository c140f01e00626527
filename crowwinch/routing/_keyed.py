"""At-most-once calls identified by idempotency keys."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable

import msgspec
from multidict import CIMultiDict

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason, RunState
from crowwinch.idempotency import (
    ClaimResult,
    ClaimVerdict,
    IdempotencyKey,
    IdempotencyService,
    parse_key,
    query_digest,
    request_digest,
)
from crowwinch.routing._attempts import start_parts
from crowwinch.routing._handler import RequestHandler
from crowwinch.routing._requests import (
    Answer,
    AnswerParts,
    CallerRequest,
    StreamAnswer,
    WholeAnswer,
)

_RETRY_AFTER_S = 1.0


class _RecordedAnswer(msgspec.Struct, array_like=True):
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class KeyedRequestHandler:
    """Handles requests with idempotency keys.

    Each key is claimed before its call is executed, and the answer is recorded
    under the key. The claim precedes the request for a slot, because it takes
    two round trips, during which a granted slot would be idle.
    """

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        handler: RequestHandler,
        service: IdempotencyService,
    ) -> None:
        """Initializes the handler with the one that runs the calls."""
        self._clock = clock
        self._snapshot = snapshot
        self._handler = handler
        self._service = service
        self._running: set[asyncio.Task[Answer]] = set()

    @property
    def running(self) -> int:
        """Number of running keyed calls, including those without a caller."""
        return len(self._running)

    async def handle(self, request: CallerRequest) -> Answer:
        """Serves one request, at most once if it has a key.

        Raises:
            RefusalError: If no complete answer can be given.
        """
        group = self._snapshot().groups[request.groups[0]]
        if not request.idempotency_key:
            if group.requires_idempotency_key:
                raise RefusalError(
                    RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
                    "the service needs a key from POST /v1/idempotency-keys",
                )
            return await self._handler.handle(request)
        digest = request_digest(
            request.workspace, request.method, request.path, request.body
        )
        result = await self._claim(
            request.idempotency_key, digest, request.deadline
        )
        if result.verdict is not ClaimVerdict.RUN:
            return _answer_of(result)
        # The call continues if its caller disconnects: a retry or a fetch then
        # returns the recorded answer.
        task = asyncio.ensure_future(self._run(request, result))
        self._running.add(task)
        task.add_done_callback(self._end)
        return await asyncio.shield(task)

    async def fetch(
        self, workspace: int, key: str, deadline: float
    ) -> WholeAnswer:
        """Returns the recorded answer of a call without running it.

        Raises:
            RefusalError: If there is none.
        """
        result = await self._claim(key, query_digest(workspace), deadline)
        return _answer_of(result)

    async def issue(self) -> IdempotencyKey:
        """Issues a key.

        Raises:
            RefusalError: If too many keys are held.
        """
        key = await self._service.issue()
        if key is None:
            raise RefusalError(
                RefusalReason.QUEUE_FULL,
                "too many idempotency keys are held",
                retry_after_s=_RETRY_AFTER_S,
            )
        return key

    async def _claim(
        self, text: str, digest: str, deadline: float
    ) -> ClaimResult:
        key = parse_key(text)
        if key is None:
            raise RefusalError(
                RefusalReason.IDEMPOTENCY_KEY_MALFORMED,
                "the key was not issued by this fleet",
            )
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                return await self._service.claim(key, digest)
        except TimeoutError:
            raise RefusalError(
                RefusalReason.DEADLINE_EXCEEDED,
                "another attempt of the call had not ended at the deadline",
                RunState.UNKNOWN,
            ) from None

    async def _run(self, request: CallerRequest, result: ClaimResult) -> Answer:
        try:
            answer = await self._handler.handle(request)
        except RefusalError as refusal:
            result.finish(refusal.run_state, b"")
            raise
        except BaseException:
            result.finish(RunState.UNKNOWN, b"")
            raise
        if isinstance(answer, WholeAnswer):
            result.finish(RunState.RAN, _encode(answer))
            return answer
        if isinstance(answer, StreamAnswer):
            return dataclasses.replace(
                answer, events=await _recorded(answer.events, result)
            )
        return dataclasses.replace(
            answer, chunks=await _recorded(answer.chunks, result)
        )

    def _end(self, task: asyncio.Task[Answer]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Marks the exception of a disconnected caller as retrieved.
            task.exception()


async def _recorded(parts: AnswerParts, result: ClaimResult) -> AnswerParts:
    """Relays a large answer and records only its outcome."""

    async def relay() -> AsyncIterator[bytes]:
        state = RunState.UNKNOWN
        try:
            async for part in parts:
                yield part
            state = RunState.RAN
        finally:
            result.finish(state, b"")
            await parts.aclose()

    return await start_parts(relay())


def _encode(answer: WholeAnswer) -> bytes:
    # The HTTP library's header names are a subclass of str.
    headers = [(str(name), value) for name, value in answer.headers.items()]
    return msgspec.msgpack.encode(
        _RecordedAnswer(answer.status, headers, answer.body)
    )


_REFUSALS = {
    ClaimVerdict.NOT_STARTED: (
        RefusalReason.IDEMPOTENCY_KEY_UNUSED,
        "the call was not executed; retry it with the same key",
        RunState.NOT_RUN,
    ),
    ClaimVerdict.CLOSED: (
        RefusalReason.IDEMPOTENCY_KEY_CLOSED,
        "the call was not executed and the key can no longer be used",
        RunState.NOT_RUN,
    ),
    ClaimVerdict.UNKNOWN: (
        RefusalReason.OUTCOME_UNKNOWN,
        "the outcome of the call is unknown; it will not be executed again",
        RunState.UNKNOWN,
    ),
    ClaimVerdict.MISMATCH: (
        RefusalReason.IDEMPOTENCY_KEY_MISMATCH,
        "the key was used for a different request",
        RunState.NOT_RUN,
    ),
}


def _answer_of(result: ClaimResult) -> WholeAnswer:
    """Returns the recorded answer of a claim that may not run.

    Raises:
        RefusalError: If there is no answer.
    """
    refusal = _REFUSALS.get(result.verdict)
    if refusal is not None:
        reason, message, state = refusal
        retry = _RETRY_AFTER_S if state is RunState.NOT_RUN else None
        raise RefusalError(reason, message, state, retry)
    if not result.content:
        raise RefusalError(
            RefusalReason.ANSWER_NOT_KEPT,
            "the call was executed, but its answer is not stored",
            RunState.RAN,
        )
    recorded = msgspec.msgpack.decode(result.content, type=_RecordedAnswer)
    return WholeAnswer(
        recorded.status, CIMultiDict(recorded.headers), recorded.body
    )

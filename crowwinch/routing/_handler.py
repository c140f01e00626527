"""Handling of a request from admission to its answer."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.errors import (
    DECODE_ERRORS,
    RefusalError,
    RefusalReason,
    RetryReason,
    RunState,
)
from crowwinch.routing._attempts import Attempt, RequestRun, start_parts
from crowwinch.routing._bodies import ServiceBody
from crowwinch.routing._budget import RetryBudget, TokenBucketRetryBudget
from crowwinch.routing._costs import EngineMeter, service_cost
from crowwinch.routing._crashes import CrashRegistry
from crowwinch.routing._prefixes import PrefixHints, PromptAffinity
from crowwinch.routing._requests import (
    Answer,
    CallerRequest,
    StreamAnswer,
    WholeAnswer,
)
from crowwinch.routing._retries import RetryPolicy
from crowwinch.routing._starter import AttemptStarter
from crowwinch.routing._stream_ids import StreamIds
from crowwinch.routing._streams import StreamRelay
from crowwinch.scheduling import Dispatcher, SlotOutcome
from crowwinch.targets import (
    IncarnationTable,
    TargetAnswer,
    TargetClient,
    TargetError,
)

_OK_STATUS = 200
_UNAVAILABLE_STATUS = 503


class _Error(msgspec.Struct):
    run_state: str = ""


class _ErrorBody(msgspec.Struct):
    error: _Error


_ERROR_DECODER = msgspec.json.Decoder(_ErrorBody)


class RequestHandler:
    """Serves requests on slots granted by the dispatcher."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        dispatcher: Dispatcher,
        client: TargetClient,
        incarnations: IncarnationTable,
        crashes: CrashRegistry,
        stream_ids: StreamIds,
        budget: RetryBudget | None = None,
        count_retry: Callable[[RetryReason], None] = lambda reason: None,
        unavailable: Callable[[], frozenset[int]] = frozenset,
    ) -> None:
        """Initializes the handler.

        A token-bucket budget is used if `budget` is None. `count_retry` is
        called with the reason of each retry, and `unavailable` returns the
        targets that must not get new requests.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._client = client
        self._incarnations = incarnations
        self._stream_ids = stream_ids
        self._hints = PrefixHints(clock)
        self._starter = AttemptStarter(
            clock,
            snapshot,
            dispatcher,
            client,
            incarnations,
            crashes,
            count_retry,
            unavailable,
        )
        self._policy = RetryPolicy(
            client,
            incarnations,
            crashes,
            budget or TokenBucketRetryBudget(clock),
            count_retry,
            self._starter.remaining,
            random.Random(),
        )

    async def handle(self, request: CallerRequest) -> Answer:
        """Serves one request.

        Raises:
            RefusalError: If no complete answer can be given.
        """
        number = request.groups[0]
        group = self._snapshot().groups[number]
        run = RequestRun(request, number, group)
        if group.kind == "engine":
            run.affinity = PromptAffinity(
                self._hints,
                request.workspace,
                number,
                request.prompt,
                group.targets,
            )
        while True:
            attempt = await self._starter.begin(run)
            try:
                answer = await self._serve(run, attempt)
            except TargetError as error:
                await self._policy.after_error(run, attempt, error)
                continue
            except BaseException as error:
                self._abandon(run, attempt, error)
                raise
            if answer is not None:
                return answer

    async def resume(
        self, request: CallerRequest, stream_id: str, offset: int
    ) -> StreamAnswer:
        """Resumes a stream that any router of the fleet may have started.

        No new slot is acquired, because the generation is already running.

        Args:
            request: Identifies the workspace and the deadline.
            stream_id: Identifier from the headers of the first answer.
            offset: Number of token events the caller has already received.

        Raises:
            RefusalError: If the identifier is not valid in this workspace or
                the engine no longer has the stream.
        """
        run, attempt = self._running_attempt(request, stream_id)
        relay = StreamRelay(
            self._client,
            self._policy,
            run,
            attempt,
            self._starter.remaining,
            offset,
        )
        try:
            answer = await relay.resume()
            events = await start_parts(relay.events(answer))
        except TargetError as error:
            raise run.refusal(RefusalReason.NOT_FOUND, str(error)) from error
        return StreamAnswer(answer.status, answer.headers, events, stream_id)

    def _running_attempt(
        self, request: CallerRequest, stream_id: str
    ) -> tuple[RequestRun, Attempt]:
        """Returns the attempt that an identifier names."""
        snapshot = self._snapshot()
        parsed = self._stream_ids.parse(request.workspace, stream_id)
        target = snapshot.targets.get(parsed[0]) if parsed else None
        group_number = next(
            (
                number
                for number, group in snapshot.groups.items()
                if target in group.targets and group.kind == "engine"
            ),
            None,
        )
        if parsed is None or target is None or group_number is None:
            raise RefusalError(RefusalReason.NOT_FOUND, "no such stream")
        run = RequestRun(request, group_number, snapshot.groups[group_number])
        run.merge_run_state(RunState.RAN)
        attempt = Attempt(
            name=parsed[1],
            number=parsed[0],
            target=target,
            slot=None,
            alone=False,
            epoch=self._incarnations.epoch(parsed[0], target.url),
            started=self._clock.monotonic(),
        )
        return run, attempt

    async def _serve(self, run: RequestRun, attempt: Attempt) -> Answer | None:
        """Runs one attempt; returns None if it must be retried."""
        answer = await self._starter.open(run, attempt)
        if answer.status == _UNAVAILABLE_STATUS:
            return await self._unavailable_answer(run, attempt, answer)
        run.merge_run_state(RunState.RAN)
        if run.group.kind == "service":
            return await ServiceBody(
                run, attempt, answer, lambda: self._finish(run, attempt)
            ).read()
        if run.request.stream and answer.status == _OK_STATUS:
            return await self._stream(run, attempt, answer)
        return await self._whole(run, attempt, answer)

    async def _unavailable_answer(
        self, run: RequestRun, attempt: Attempt, answer: TargetAnswer
    ) -> Answer | None:
        """Retries an attempt that the target reports as not run.

        The answer of a service that does not report this is returned as is.
        """
        body = await answer.read()
        if not _reports_not_run(body):
            run.merge_run_state(RunState.RAN)
            if run.group.kind == "service":
                self._finish(run, attempt)
                return WholeAnswer(answer.status, answer.headers, body)
        attempt.settle(0, SlotOutcome.FAILED)
        await self._policy.pause(
            run,
            attempt,
            RetryReason.TARGET_REFUSED,
            "the target did not accept the request",
        )
        return None

    async def _stream(
        self, run: RequestRun, attempt: Attempt, answer: TargetAnswer
    ) -> StreamAnswer:
        relay = StreamRelay(
            self._client, self._policy, run, attempt, self._starter.remaining
        )
        events = await start_parts(relay.events(answer))
        return StreamAnswer(
            answer.status,
            answer.headers,
            events,
            self._stream_ids.issue(
                run.request.workspace, attempt.number, attempt.name
            ),
        )

    async def _whole(
        self, run: RequestRun, attempt: Attempt, answer: TargetAnswer
    ) -> WholeAnswer:
        body = await answer.read()
        meter = EngineMeter(run.group, len(run.request.body))
        if not _is_document(body) and answer.status == _OK_STATUS:
            raise run.refusal(
                RefusalReason.TARGET_FAILED,
                "the answer of the target is not a JSON object",
            )
        meter.add_document(body)
        attempt.settle(meter.cost, SlotOutcome.SERVED)
        if answer.status == _OK_STATUS:
            run.record_served(attempt.number, meter.cached_part)
        self._policy.record_finished(run, attempt)
        return WholeAnswer(answer.status, answer.headers, body)

    def _finish(self, run: RequestRun, attempt: Attempt) -> None:
        seconds = self._clock.monotonic() - attempt.started
        attempt.settle(service_cost(seconds), SlotOutcome.SERVED)
        self._policy.record_finished(run, attempt)

    def _abandon(
        self, run: RequestRun, attempt: Attempt, error: BaseException
    ) -> None:
        attempt.fail()
        if run.group.kind == "engine" and isinstance(
            error, asyncio.CancelledError
        ):
            self._client.cancel(attempt.target.url, attempt.name)


def _reports_not_run(body: bytes) -> bool:
    try:
        return _ERROR_DECODER.decode(body).error.run_state == "not_run"
    except DECODE_ERRORS:
        return False


def _is_document(body: bytes) -> bool:
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        return False
    return True

"""Life of a request from admission to its answer."""

import itertools
from collections.abc import AsyncIterator, Callable

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason, RunState
from crowwinch.generated.documents import Group
from crowwinch.routing._costs import EngineMeter, service_cost
from crowwinch.routing._requests import (
    Answer,
    CallerRequest,
    StreamAnswer,
    WholeAnswer,
)
from crowwinch.scheduling import (
    Dispatcher,
    Slot,
    SlotOutcome,
    SlotRequest,
)
from crowwinch.targets import (
    TERMINAL_EVENT,
    ConnectionLostError,
    EventSplitter,
    NotSentError,
    TargetAnswer,
    TargetCall,
    TargetClient,
)


class RequestHandler:
    """Serves requests on slots that the dispatcher gives out."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        dispatcher: Dispatcher,
        client: TargetClient,
    ) -> None:
        """Stores the parts that a request needs."""
        self._clock = clock
        self._snapshot = snapshot
        self._dispatcher = dispatcher
        self._client = client
        self._attempts = itertools.count(1)

    async def handle(self, request: CallerRequest) -> Answer:
        """Serves one request.

        Raises:
            RefusalError: If no complete answer can be given.
        """
        group_number = request.groups[0]
        slot = await self._dispatcher.acquire(
            SlotRequest(
                workspace=request.workspace,
                group=group_number,
                request_class=request.request_class,
                estimate=request.estimate,
                deadline=request.deadline,
            )
        )
        snapshot = self._snapshot()
        group = snapshot.groups[group_number]
        started = self._clock.monotonic()
        try:
            answer = await self._open(request, slot, snapshot)
        except BaseException:
            slot.finish(0, SlotOutcome.FAILED)
            raise
        if request.stream and answer.status == 200:
            return StreamAnswer(
                answer.status,
                answer.headers,
                self._stream(request, group, slot, answer),
            )
        return await self._read(request, group, slot, answer, started)

    async def _open(
        self, request: CallerRequest, slot: Slot, snapshot: Snapshot
    ) -> TargetAnswer:
        attempt = f"{request.request_id}-{next(self._attempts)}"
        call = TargetCall(
            attempt=attempt,
            base_url=snapshot.targets[slot.target].url,
            method=request.method,
            path=request.path,
            headers={**request.headers, "X-Request-Id": attempt},
            body=request.body,
            timeout_s=max(request.deadline - self._clock.monotonic(), 0.001),
        )
        try:
            return await self._client.open(call)
        except NotSentError as error:
            raise RefusalError(
                RefusalReason.TARGET_FAILED, str(error)
            ) from error
        except ConnectionLostError as error:
            raise RefusalError(
                RefusalReason.OUTCOME_UNKNOWN, str(error), RunState.UNKNOWN
            ) from error

    async def _read(
        self,
        request: CallerRequest,
        group: Group,
        slot: Slot,
        answer: TargetAnswer,
        started: float,
    ) -> WholeAnswer:
        try:
            body = await answer.read()
        except ConnectionLostError as error:
            slot.finish(0, SlotOutcome.FAILED)
            raise RefusalError(
                RefusalReason.STREAM_INCOMPLETE, str(error), RunState.UNKNOWN
            ) from error
        except BaseException:
            answer.close()
            slot.finish(0, SlotOutcome.FAILED)
            raise
        if group.kind == "engine":
            meter = EngineMeter(group, len(request.body))
            meter.add_document(body)
            cost = meter.cost
        else:
            cost = service_cost(self._clock.monotonic() - started)
        slot.finish(cost, SlotOutcome.SERVED)
        return WholeAnswer(answer.status, answer.headers, body)

    async def _stream(
        self,
        request: CallerRequest,
        group: Group,
        slot: Slot,
        answer: TargetAnswer,
    ) -> AsyncIterator[bytes]:
        meter = EngineMeter(group, len(request.body))
        splitter = EventSplitter()
        outcome = SlotOutcome.FAILED
        try:
            async for chunk in answer.chunks():
                for event in splitter.feed(chunk):
                    meter.add_event(event)
                    if event.startswith(TERMINAL_EVENT):
                        outcome = SlotOutcome.SERVED
                        slot.finish(meter.cost, outcome)
                    yield event + b"\n\n"
                    if outcome is SlotOutcome.SERVED:
                        return
                slot.report_served(meter.cost)
            raise RefusalError(
                RefusalReason.STREAM_INCOMPLETE,
                "the target ended the stream too early",
                RunState.RAN,
            )
        except ConnectionLostError as error:
            raise RefusalError(
                RefusalReason.STREAM_INCOMPLETE, str(error), RunState.RAN
            ) from error
        finally:
            slot.finish(meter.cost, outcome)
            answer.close()

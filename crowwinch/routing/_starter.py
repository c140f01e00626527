"""Starts attempts: acquires a slot and sends the request to its target."""

import asyncio
import itertools
from collections.abc import Callable

from multidict import CIMultiDict

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock, identifier
from crowwinch.errors import RefusalError, RefusalReason, RetryReason
from crowwinch.routing._attempts import Attempt, RequestRun, with_state
from crowwinch.routing._crashes import CrashRegistry, CrashVerdict
from crowwinch.scheduling import (
    Dispatcher,
    Slot,
    SlotOutcome,
    SlotRequest,
)
from crowwinch.targets import (
    IncarnationTable,
    TargetAnswer,
    TargetCall,
    TargetClient,
)

# Prevents a loop that never yields to other tasks if slots remain unusable.
_UNUSABLE_SLOT_PAUSE_S = 0.01
_NO_TARGET_RETRY_AFTER_S = 1.0


class AttemptStarter:
    """Acquires slots from the dispatcher and starts attempts on them."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        dispatcher: Dispatcher,
        client: TargetClient,
        incarnations: IncarnationTable,
        crashes: CrashRegistry,
        count_retry: Callable[[RetryReason], None],
        unavailable: Callable[[], frozenset[int]],
    ) -> None:
        """Initializes the starter.

        `unavailable` returns the targets that must not get new requests.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._dispatcher = dispatcher
        self._client = client
        self._incarnations = incarnations
        self._crashes = crashes
        self._count_retry = count_retry
        self._unavailable = unavailable
        self._numbers = itertools.count(1)

    def remaining(self, run: RequestRun) -> float:
        """Returns the seconds until the deadline of a request.

        Raises:
            RefusalError: If the deadline has passed.
        """
        remaining = run.request.deadline - self._clock.monotonic()
        if remaining <= 0:
            raise run.refusal(
                RefusalReason.DEADLINE_EXCEEDED, "the deadline has passed"
            )
        return remaining

    async def begin(self, run: RequestRun) -> Attempt:
        """Acquires a usable slot and returns an attempt that holds it.

        Raises:
            RefusalError: If the request cannot be served in time.
        """
        while True:
            exclusive = self._must_run_alone(run)
            slot = await self._acquire(run, exclusive)
            unusable_reason = self._unusable_reason(run, slot, exclusive)
            target = self._snapshot().targets.get(slot.target)
            if unusable_reason is None and target is not None:
                return Attempt(
                    name=f"{run.request.request_id}-{next(self._numbers)}",
                    number=slot.target,
                    target=target,
                    slot=slot,
                    alone=exclusive,
                    epoch=self._incarnations.epoch(slot.target, target.url),
                    started=self._clock.monotonic(),
                )
            slot.finish(0, SlotOutcome.UNUSED)
            self._count_retry(unusable_reason or RetryReason.TARGET_LEAVING)
            await asyncio.sleep(_UNUSABLE_SLOT_PAUSE_S)

    async def open(self, run: RequestRun, attempt: Attempt) -> TargetAnswer:
        """Sends the attempt and waits for the headers of its answer.

        Raises:
            TargetError: If the target does not answer.
            RefusalError: If the deadline has passed.
        """
        request = run.request
        remaining = self.remaining(run)
        headers = CIMultiDict(request.headers)
        headers["X-Request-Id"] = attempt.name
        headers["X-Deadline-Ms"] = str(max(1, int(remaining * 1000)))
        is_engine = run.group.kind == "engine"
        attempt.answer = await self._client.open(
            TargetCall(
                attempt=attempt.name,
                base_url=attempt.target.url,
                method=request.method,
                path=request.path,
                headers=headers,
                body=request.body,
                timeout_s=remaining,
                requires_echo=is_engine,
                reuse_connection=is_engine,
            )
        )
        return attempt.answer

    def _must_run_alone(self, run: RequestRun) -> bool:
        if self._crashes.is_empty:
            return False
        verdict = self._crashes.verdict(run.digest)
        if verdict is CrashVerdict.REFUSED:
            raise _crash_refusal(run)
        return verdict is CrashVerdict.SUSPECT

    def _unusable_reason(
        self, run: RequestRun, slot: Slot, exclusive: bool
    ) -> RetryReason | None:
        """Returns why a slot can no longer be used, or None.

        A request that became a suspect during a long wait must not run
        concurrently with others.
        """
        if not slot.is_valid():
            return RetryReason.GRANT_EXPIRED
        if slot.target in self._unavailable():
            return RetryReason.TARGET_LEAVING
        try:
            alone = self._must_run_alone(run)
        except RefusalError:
            slot.finish(0, SlotOutcome.UNUSED)
            raise
        return RetryReason.TARGET_CRASHED if alone and not exclusive else None

    async def _acquire(self, run: RequestRun, exclusive: bool) -> Slot:
        request = run.slot_request(self._excluded(run), exclusive)
        try:
            async with asyncio.timeout(self.remaining(run)):
                if exclusive:
                    return await self._acquire_alone(run, request)
                return await self._dispatcher.acquire(request)
        except TimeoutError:
            raise run.refusal(
                RefusalReason.DEADLINE_EXCEEDED,
                "the deadline passed while the request waited for a slot",
            ) from None
        except RefusalError as refusal:
            raise with_state(refusal, run) from refusal

    async def _acquire_alone(
        self, run: RequestRun, request: SlotRequest
    ) -> Slot:
        """Acquires an exclusive target for a suspect request.

        Copies of a request run one after the other, each on a target without
        other requests. All are refused once one is found to crash targets.
        """
        slot = asyncio.ensure_future(self._dispatcher.acquire(request))
        try:
            with self._crashes.refusal(run.digest) as refusal:
                await asyncio.wait(
                    {slot, refusal}, return_when=asyncio.FIRST_COMPLETED
                )
                if refusal.done():
                    raise _crash_refusal(run)
        except BaseException:
            slot.cancel()
            slot.add_done_callback(_release_unclaimed)
            raise
        return slot.result()

    def _excluded(self, run: RequestRun) -> frozenset[int]:
        unavailable = self._unavailable()
        if not run.excluded and not unavailable:
            return frozenset()
        group = self._snapshot().groups.get(run.group_number, run.group)
        numbers = {identifier(target.name) for target in group.targets}
        usable = numbers - unavailable
        if numbers and not usable:
            raise run.refusal(
                RefusalReason.NO_TARGET,
                "no target of the group takes requests",
                _NO_TARGET_RETRY_AFTER_S,
            )
        if usable <= run.excluded:
            run.excluded.clear()
        return frozenset(run.excluded | (numbers - usable))


def _crash_refusal(run: RequestRun) -> RefusalError:
    return run.refusal(
        RefusalReason.CRASH_SUSPECT, "the request crashes targets"
    )


def _release_unclaimed(task: asyncio.Task[Slot]) -> None:
    """Releases a slot that was granted after its request was abandoned."""
    if not task.cancelled() and task.exception() is None:
        task.result().finish(0, SlotOutcome.UNUSED)

"""Decides whether a failed attempt is repeated."""

import asyncio
import logging
import random
from collections.abc import Callable

from crowwinch.errors import RefusalReason, RetryReason, RunState
from crowwinch.routing._attempts import Attempt, RequestRun
from crowwinch.routing._budget import RetryBudget, retry_delay
from crowwinch.routing._crashes import CrashRegistry
from crowwinch.targets import (
    AnswerTimeoutError,
    ConnectionLostError,
    IncarnationTable,
    NotSentError,
    TargetClient,
    TargetError,
)

_LOGGER = logging.getLogger(__name__)
# The first attempt and three more, each at another target where possible.
_MAX_FAILURES = 4
_BUDGET_RETRY_S = 1.0
# Time for a report to reach every router, before another copy of a request that
# crashed its target alone may start. Reports take milliseconds; a lost one is
# repeated by its link within this time.
REPORT_SPREAD_S = 0.5


class RetryPolicy:
    """Turns failed attempts into retries or refusals."""

    def __init__(
        self,
        client: TargetClient,
        incarnations: IncarnationTable,
        crashes: CrashRegistry,
        budget: RetryBudget,
        count_retry: Callable[[RetryReason], None],
        remaining: Callable[[RequestRun], float],
        source: random.Random,
    ) -> None:
        """Stores the parts.

        `remaining` returns the seconds until a request's deadline, `source`
        the random numbers for the jitter.
        """
        self._client = client
        self._incarnations = incarnations
        self._crashes = crashes
        self._budget = budget
        self._count_retry = count_retry
        self._remaining = remaining
        self._source = source
        self._checks: set[asyncio.Task[bool]] = set()

    async def after_error(
        self, run: RequestRun, attempt: Attempt, error: TargetError
    ) -> None:
        """Gives the slot back and returns when the next attempt may start.

        Raises:
            RefusalError: If the request must not be repeated.
        """
        # The slot of a suspect is held until its crash is known everywhere.
        if not attempt.alone or isinstance(
            error, NotSentError | AnswerTimeoutError
        ):
            attempt.fail()
        if isinstance(error, NotSentError):
            await self.pause(
                run, attempt, RetryReason.CONNECTION_REFUSED, str(error)
            )
            return
        run.note(RunState.UNKNOWN)
        if run.group.kind == "engine":
            self._client.cancel(attempt.target.url, attempt.name)
        if isinstance(error, AnswerTimeoutError):
            raise run.refusal(RefusalReason.DEADLINE_EXCEEDED, str(error))
        if not run.is_idempotent:
            self._judge(run, attempt)
            reason = RefusalReason.OUTCOME_UNKNOWN
            if run.run_state is RunState.RAN:
                reason = RefusalReason.STREAM_INCOMPLETE
            raise run.refusal(reason, str(error))
        # A caller that goes away must not keep the crash from being noted.
        crashed = await asyncio.shield(self._judge(run, attempt))
        await self.pause(
            run,
            attempt,
            RetryReason.TARGET_CRASHED
            if crashed
            else RetryReason.CONNECTION_LOST,
            str(error),
        )

    async def check_crash(self, run: RequestRun, attempt: Attempt) -> bool:
        """Returns whether a broken connection was a crash of the target.

        If so, the request becomes a suspect.
        """
        crashed = await self._incarnations.has_crashed(
            attempt.number, attempt.target.url, attempt.epoch
        )
        if crashed:
            _LOGGER.warning(
                "target crashed",
                extra={
                    "request_id": run.request.request_id,
                    "target": attempt.target.name,
                    "alone": attempt.alone,
                },
            )
        # The body of a resumed stream is not known at this router.
        if crashed and attempt.slot is not None:
            self._crashes.note_crash(
                run.digest, attempt.target.name, attempt.alone
            )
        return crashed

    def note_finished(self, run: RequestRun, attempt: Attempt) -> None:
        """Clears a suspect that finished alone."""
        if not self._crashes.is_empty:
            self._crashes.note_finished(run.digest, attempt.alone)

    async def pause(
        self,
        run: RequestRun,
        attempt: Attempt,
        reason: RetryReason,
        message: str,
    ) -> None:
        """Spends a retry and waits with full jitter.

        Raises:
            RefusalError: If no retry is left or the deadline comes first.
        """
        run.failures += 1
        run.excluded.add(attempt.number)
        if run.failures >= _MAX_FAILURES:
            raise run.refusal(RefusalReason.TARGET_FAILED, message)
        self.spend(run, attempt.number)
        remaining = self._remaining(run)
        self._count_retry(reason)
        delay = retry_delay(run.failures, self._source)
        await asyncio.sleep(min(delay, remaining))

    def spend(self, run: RequestRun, target: int) -> None:
        """Spends one retry.

        Raises:
            RefusalError: If the budget is spent.
        """
        if not self._budget.try_spend(run.request.workspace, target):
            raise run.refusal(
                RefusalReason.RETRY_BUDGET_SPENT,
                "an attempt failed and no retry is left",
                _BUDGET_RETRY_S,
            )

    def _judge(self, run: RequestRun, attempt: Attempt) -> asyncio.Task[bool]:
        """Checks for a crash and then gives the slot back.

        After a crash of a suspect the slot is given back later, without delay
        for its caller: the scheduler runs one suspect of a group at a time.
        """
        task = asyncio.ensure_future(self.check_crash(run, attempt))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

        def release(task: asyncio.Task[bool]) -> None:
            has_result = not task.cancelled() and task.exception() is None
            if attempt.alone and has_result and task.result():
                task.get_loop().call_later(REPORT_SPREAD_S, attempt.fail)
            else:
                attempt.fail()

        task.add_done_callback(release)
        return task

    async def before_resume(
        self, run: RequestRun, attempt: Attempt, error: ConnectionLostError
    ) -> bool:
        """Returns whether a broken stream may be resumed at its target.

        Raises:
            RefusalError: If the deadline has passed or the budget is spent.
        """
        if isinstance(error, AnswerTimeoutError):
            raise run.refusal(RefusalReason.DEADLINE_EXCEEDED, str(error))
        if await self.check_crash(run, attempt):
            return False
        run.failures += 1
        if run.failures >= _MAX_FAILURES:
            return False
        self.spend(run, attempt.number)
        delay = retry_delay(run.failures, self._source)
        await asyncio.sleep(min(delay, self._remaining(run)))
        self._count_retry(RetryReason.STREAM_RESUMED)
        return True

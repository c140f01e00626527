"""Retry policy for failed attempts."""

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
# The first attempt and three retries, each at another target where possible.
_MAX_ATTEMPTS = 4
_BUDGET_RETRY_AFTER_S = 1.0
# Time for a crash report to reach every router before another copy of a request
# that crashed its target alone may start. Reports take milliseconds; the link
# retransmits a lost one within this time.
REPORT_SPREAD_S = 0.5


class RetryPolicy:
    """Decides whether a failed attempt is retried or refused."""

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
        """Initializes the policy.

        `remaining` returns the seconds until the deadline of a request;
        `source` generates the random numbers for the jitter.
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
        """Releases the slot and returns when the next attempt may start.

        Raises:
            RefusalError: If the request must not be retried.
        """
        # The slot of a suspect is held until all routers know of its crash.
        if not attempt.alone or isinstance(
            error, NotSentError | AnswerTimeoutError
        ):
            attempt.fail()
        if isinstance(error, NotSentError):
            await self.pause(
                run, attempt, RetryReason.CONNECTION_REFUSED, str(error)
            )
            return
        run.merge_run_state(RunState.UNKNOWN)
        if run.group.kind == "engine":
            self._client.cancel(attempt.target.url, attempt.name)
        if isinstance(error, AnswerTimeoutError):
            raise run.refusal(RefusalReason.DEADLINE_EXCEEDED, str(error))
        if not run.is_idempotent:
            self._start_crash_check(run, attempt)
            reason = RefusalReason.OUTCOME_UNKNOWN
            if run.run_state is RunState.RAN:
                reason = RefusalReason.STREAM_INCOMPLETE
            raise run.refusal(reason, str(error))
        # The crash must be recorded even if the caller disconnects meanwhile.
        crashed = await asyncio.shield(self._start_crash_check(run, attempt))
        await self.pause(
            run,
            attempt,
            RetryReason.TARGET_CRASHED
            if crashed
            else RetryReason.CONNECTION_LOST,
            str(error),
        )

    async def check_crash(self, run: RequestRun, attempt: Attempt) -> bool:
        """Returns whether the target crashed when the connection was lost.

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
        # This router does not have the request body of a resumed stream.
        if crashed and attempt.slot is not None:
            self._crashes.record_crash(
                run.digest, attempt.target.name, attempt.alone
            )
        return crashed

    def record_finished(self, run: RequestRun, attempt: Attempt) -> None:
        """Clears a suspect that finished while running alone."""
        if not self._crashes.is_empty:
            self._crashes.record_finished(run.digest, attempt.alone)

    async def pause(
        self,
        run: RequestRun,
        attempt: Attempt,
        reason: RetryReason,
        message: str,
    ) -> None:
        """Spends a retry and waits with full jitter.

        Raises:
            RefusalError: If no retry is left or the deadline passes first.
        """
        run.failures += 1
        run.excluded.add(attempt.number)
        if run.failures >= _MAX_ATTEMPTS:
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
                "attempt failed and the retry budget is spent",
                _BUDGET_RETRY_AFTER_S,
            )

    def _start_crash_check(
        self, run: RequestRun, attempt: Attempt
    ) -> asyncio.Task[bool]:
        """Starts a crash check that releases the slot when it is done.

        After a crash of a suspect, the slot is released with a delay that its
        caller does not wait for: the scheduler runs one suspect of a group at
        a time.
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
        """Returns whether a lost stream may be resumed at its target.

        Raises:
            RefusalError: If the deadline has passed or the budget is spent.
        """
        if isinstance(error, AnswerTimeoutError):
            raise run.refusal(RefusalReason.DEADLINE_EXCEEDED, str(error))
        if await self.check_crash(run, attempt):
            return False
        run.failures += 1
        if run.failures >= _MAX_ATTEMPTS:
            return False
        self.spend(run, attempt.number)
        delay = retry_delay(run.failures, self._source)
        await asyncio.sleep(min(delay, self._remaining(run)))
        self._count_retry(RetryReason.STREAM_RESUMED)
        return True

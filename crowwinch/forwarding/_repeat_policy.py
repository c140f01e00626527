"""Decides whether a request is sent again after a failed attempt."""

import logging

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason, RetryReason
from crowwinch.forwarding._exchange import AttemptError, TargetAnswer
from crowwinch.forwarding._request_run import RequestRun
from crowwinch.forwarding._sharing_state import SharingState

_LOGGER = logging.getLogger(__name__)

# Sends of one request, whether or not a target ran it.
_MAX_SENDS = 4
# Losses of connections this long before a target was found dead count as
# caused by its crash.
_CRASH_WINDOW_S = 1.5
# Losses that are remembered of each target.
_MOST_LOSSES = 64
_CRASH_RETRY_S = 5.0
# Targets that refuse are free again soon.
_REFUSED_RETRY_S = 0.5


class RepeatPolicy:
    """Limits repeats, and learns from failures which targets to avoid."""

    def __init__(self, clock: Clock, sharing: SharingState) -> None:
        """Stores the clock and the state to learn into."""
        self._clock = clock
        self._sharing = sharing
        self._losses: dict[str, list[tuple[float, str]]] = {}

    def check_crashes(self, run: RequestRun) -> None:
        """Refuses a request that crashed several targets.

        Raises:
            RefusalError: If it did.
        """
        crashes = self._sharing.crashes
        if not crashes.is_empty and crashes.is_refused(run.digest()):
            raise RefusalError(
                RefusalReason.CRASH_SUSPECT,
                "the request crashed several targets",
                run.run_state,
                _CRASH_RETRY_S,
            )

    def is_worth_repeating(self, run: RequestRun, answer: TargetAnswer) -> bool:
        """Returns whether another target may answer better than this one."""
        return (
            answer.status >= 500
            and run.route.kind.may_repeat
            and not run.call.is_started
            and self._may_send_again(run)
        )

    def after_error(
        self, run: RequestRun, target: str, error: AttemptError
    ) -> RetryReason:
        """Records a failed attempt.

        Returns:
            Why the request is sent again.

        Raises:
            RefusalError: If it is not to be sent again.
        """
        if run.attempts:
            run.attempts[-1]["error"] = str(error)
        self._learn(run, target, error)
        run.excluded.add(target)
        may_repeat = not run.may_have_run or run.route.kind.may_repeat
        if (
            may_repeat
            and self._may_send_again(run)
            and self._sharing.budget.try_spend(run.work.service)
        ):
            return _retry_reason(run, error)
        if run.may_have_run:
            raise RefusalError(
                RefusalReason.TARGET_FAILED, str(error), run.run_state
            )
        raise RefusalError(
            RefusalReason.NO_TARGET,
            str(error),
            run.run_state,
            _REFUSED_RETRY_S,
        )

    def _may_send_again(self, run: RequestRun) -> bool:
        return (
            run.runs < run.route.max_attempts
            and run.sends < _MAX_SENDS
            and self._sharing.budget.allows_retry(run.work.service)
        )

    def _learn(self, run: RequestRun, target: str, error: AttemptError) -> None:
        health = self._sharing.health
        if error.is_unreachable:
            if not health.is_blocked(target):
                _LOGGER.warning(
                    "target unreachable",
                    extra={"target": target, "cause": str(error)},
                )
            health.record_connection_failure(target)
            self._judge_losses(target)
        elif not error.is_refusal:
            health.record_response(target, is_good=False)
            losses = self._losses.setdefault(target, [])
            losses.append((self._clock.monotonic(), run.digest()))
            del losses[:-_MOST_LOSSES]

    def _judge_losses(self, target: str) -> None:
        """Counts the requests that were in flight when a target crashed."""
        oldest = self._clock.monotonic() - _CRASH_WINDOW_S
        for lost, digest in self._losses.pop(target, ()):
            if lost >= oldest:
                self._sharing.crashes.record_crash(digest)


def _retry_reason(run: RequestRun, error: AttemptError) -> RetryReason:
    if error.is_unreachable:
        return RetryReason.CONNECTION_REFUSED
    if error.is_refusal:
        return RetryReason.TARGET_REFUSED
    if run.call.is_started:
        return RetryReason.STREAM_RESUMED
    return RetryReason.CONNECTION_LOST

"""Decides whether a request is retried after a failed attempt."""

import logging
from collections.abc import Awaitable, Callable

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason, RetryReason
from crowwinch.forwarding._crash_detector import CrashDetector
from crowwinch.forwarding._exchange import AttemptError, TargetResponse
from crowwinch.forwarding._refusals import NOT_RUN_STATUSES
from crowwinch.forwarding._request_context import RequestContext
from crowwinch.forwarding._sharing_state import SharingState

_LOGGER = logging.getLogger(__name__)

# Includes attempts that the target refused without running the request.
_MAX_ATTEMPTS = 4
# Targets that one request may find unreachable before it is refused.
_MAX_UNREACHABLE = 8
# A target that crashes when it begins to answer may have sent the first event.
_FIRST_EVENT_S = 0.3
_CRASH_RETRY_S = 5.0
# Targets that refuse a request have free capacity again soon.
_REFUSED_RETRY_S = 0.5


class RetryPolicy:
    """Limits retries and records failures, so that bad targets are avoided."""

    def __init__(
        self,
        clock: Clock,
        sharing: SharingState,
        can_connect: Callable[[str], Awaitable[bool]],
    ) -> None:
        """Initializes the policy.

        Args:
            clock: Monotonic clock.
            sharing: Holds the retry budget; failures are recorded in its
                health and crash state.
            can_connect: Returns whether a target at `IP:PORT` accepts
                connections.
        """
        self._clock = clock
        self._sharing = sharing
        self._crash_detector = CrashDetector(
            clock, sharing.crashes, sharing.health, can_connect
        )

    def refuse_crash_suspect(self, context: RequestContext) -> None:
        """Refuses a request if requests like it crashed several targets.

        Raises:
            RefusalError: If they did.
        """
        crashes = self._sharing.crashes
        if crashes.is_empty:
            return
        feature = crashes.refused_feature(context.features)
        if feature is not None:
            context.refused_feature = feature
            raise RefusalError(
                RefusalReason.CRASH_SUSPECT,
                "requests like this one crashed several targets",
                context.run_state,
                _CRASH_RETRY_S,
            )

    def is_failure(
        self, context: RequestContext, response: TargetResponse
    ) -> bool:
        """Returns whether a response is not passed on to the caller.

        That is a 5xx response to a request that may be retried, and one whose
        status would tell the caller that a request which may have run has not.
        """
        if not context.route.kind.allows_retry:
            return response.status in NOT_RUN_STATUSES
        return (
            response.status >= 500
            and not context.call.is_started
            and self._is_within_limits(context)
        )

    def handle_attempt_error(
        self, context: RequestContext, target: str, error: AttemptError
    ) -> RetryReason:
        """Records a failed attempt.

        Returns:
            The reason of the retry.

        Raises:
            RefusalError: If the request must not be retried.
        """
        if context.attempts:
            context.attempts[-1]["error"] = str(error)
        self._record_failure(context, target, error)
        context.excluded.add(target)
        may_retry = not context.may_have_run or context.route.kind.allows_retry
        if context.call.is_started and not context.can_resume:
            may_retry = False
        if may_retry and self._take_attempt(context, error):
            return _retry_reason(context, error)
        if context.may_have_run:
            raise RefusalError(
                RefusalReason.TARGET_FAILED, str(error), context.run_state
            )
        raise RefusalError(
            RefusalReason.NO_TARGET,
            str(error),
            context.run_state,
            _REFUSED_RETRY_S,
        )

    def _take_attempt(
        self, context: RequestContext, error: AttemptError
    ) -> bool:
        """Returns whether the limits allow another attempt, and counts it."""
        if error.is_unreachable and not error.is_refusal:
            # No target has received the last attempt.
            context.attempt_count -= 1
            context.unreachable_count += 1
            return context.unreachable_count <= _MAX_UNREACHABLE
        return self._is_within_limits(
            context
        ) and self._sharing.budget.try_spend(context.work.service)

    def _is_within_limits(self, context: RequestContext) -> bool:
        return (
            context.possible_runs < context.route.max_attempts
            and context.attempt_count < _MAX_ATTEMPTS
            and self._sharing.budget.allows_retry(context.work.service)
        )

    def record_answer(self, context: RequestContext) -> None:
        """Records that a target answered a request completely."""
        crashes = self._sharing.crashes
        now = self._clock.monotonic()
        if crashes.is_empty:
            crashes.record_answered_parts(context.shared_parts, now)
        else:
            crashes.record_answer(context.features, now)

    def _record_failure(
        self, context: RequestContext, target: str, error: AttemptError
    ) -> None:
        health = self._sharing.health
        if error.is_unreachable:
            if not health.is_blocked(target):
                _LOGGER.warning(
                    "target unreachable",
                    extra={"target": target, "cause": str(error)},
                )
            health.record_connection_failure(target)
            self._sharing.pace.record_connection_failure(target)
            self._crash_detector.record_unreachable(target)
        elif error.is_refusal:
            self._sharing.pace.record_refusal(target)
        else:
            health.record_response(target, is_good=False)
            self._sharing.pace.record_failure(target)
            if error.is_connection_lost and self._has_just_begun(context):
                self._crash_detector.record_loss(
                    context.target, context.features
                )

    def _has_just_begun(self, context: RequestContext) -> bool:
        """Returns whether the last attempt had no answer until just now."""
        began_at = context.attempt_began_at
        return (
            began_at is None
            or self._clock.monotonic() - began_at < _FIRST_EVENT_S
        )


def _retry_reason(context: RequestContext, error: AttemptError) -> RetryReason:
    if error.is_unreachable:
        return RetryReason.CONNECTION_REFUSED
    if error.is_refusal:
        return RetryReason.TARGET_REFUSED
    if context.call.is_started:
        return RetryReason.STREAM_RESUMED
    return RetryReason.CONNECTION_LOST

"""Applies what the heads of responses say about their targets."""

import errno
import logging

import aiohttp

from crowwinch.coordination import Clock
from crowwinch.errors import CrowwinchError
from crowwinch.forwarding._exchange import AttemptError
from crowwinch.forwarding._messages import ResponseHead
from crowwinch.forwarding._request_log import RequestLog
from crowwinch.forwarding._sharing_state import SharingState
from crowwinch.forwarding._target_set import Target, TargetSet

_LOGGER = logging.getLogger(__name__)

# Targets whose unreadable limit is not logged again.
_MAX_UNREADABLE_LIMITS = 1_000
# Errors of a path that carries nothing, which the target did not cause. If they
# counted as a restart, one router that is cut off from a target would have the
# whole fleet take it as cold.
_PATH_ERRORS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH}
)
# Minimum interval between two log lines on responses that are too large.
_OVERSIZED_LOG_INTERVAL_S = 1.0


class TargetObserver:
    """Applies departures, pauses and rate limits that targets announce."""

    def __init__(
        self,
        clock: Clock,
        targets: TargetSet,
        sharing: SharingState,
        log: RequestLog,
    ) -> None:
        """Creates an observer.

        Args:
            clock: Monotonic time.
            targets: Targets that accept requests; those that leave are removed.
            sharing: Gets the pauses and the rate limits.
            log: Counts responses that cannot be read.
        """
        self._clock = clock
        self._targets = targets
        self._sharing = sharing
        self._log = log
        # Targets whose unreadable limit was logged.
        self._unreadable_limits: set[str] = set()
        # Since the last log line on them.
        self._oversized_responses = 0
        self._oversized_logged_at = float("-inf")

    def observe_head(
        self, target: Target, started: float, head: ResponseHead
    ) -> None:
        """Applies what a response says about its target.

        Args:
            target: The target.
            started: Monotonic time at which the attempt started.
            head: Head of the response.
        """
        self._note_rate_limit(target, started, head)
        if head.cold_s is not None:
            view = self._targets.view(target.identifier)
            if view is not None:
                self._sharing.cold.observe_header(
                    view, target.life, head.cold_s
                )
        if head.is_leaving and self._targets.mark_leaving(target):
            _LOGGER.info(
                "target says that it leaves",
                extra={
                    "target": target.identifier,
                    "started_ms": target.life,
                },
            )
        if head.hold_s is not None:
            self._sharing.health.hold(
                target.identifier, target.life, head.hold_s
            )
            _LOGGER.info(
                "target wants no requests for a time",
                extra={"target": target.identifier, "seconds": head.hold_s},
            )

    def record_broken_connection(
        self, target: Target, error: AttemptError
    ) -> None:
        """Records that a target may have restarted.

        Args:
            target: The target.
            error: How the connection failed.
        """
        view = self._targets.view(target.identifier)
        if view is not None and _may_show_restart(error):
            self._sharing.cold.assume_cold(view, target.life)

    def record_oversized(self, target: Target, error: CrowwinchError) -> None:
        """Records that a target sent more bytes than are kept.

        Args:
            target: The target.
            error: What was too large.
        """
        self._log.count_oversized_response()
        self._oversized_responses += 1
        now = self._clock.monotonic()
        if now - self._oversized_logged_at < _OVERSIZED_LOG_INTERVAL_S:
            return
        _LOGGER.warning(
            "response of a target is too large; connection closed",
            extra={
                "target": target.identifier,
                "cause": str(error),
                "responses": self._oversized_responses,
            },
        )
        self._oversized_responses = 0
        self._oversized_logged_at = now

    def _note_rate_limit(
        self, target: Target, started: float, head: ResponseHead
    ) -> None:
        if head.has_unreadable_limit:
            self._log_unreadable_limit(target)
            return
        if self._sharing.rate_limits.observe(
            target.identifier, target.life, head.rate_limit, started
        ):
            _LOGGER.info(
                "rate limit of a target changed",
                extra={
                    "target": target.identifier,
                    "started_ms": target.life,
                    "requests_per_s": head.rate_limit,
                },
            )

    def _log_unreadable_limit(self, target: Target) -> None:
        """Logs once for each target, since all its answers may be alike."""
        self._log.count_unreadable_limit()
        if target.identifier in self._unreadable_limits:
            return
        if len(self._unreadable_limits) >= _MAX_UNREADABLE_LIMITS:
            self._unreadable_limits.clear()
        self._unreadable_limits.add(target.identifier)
        _LOGGER.warning(
            "unreadable rate limit of a target ignored",
            extra={"target": target.identifier},
        )


def _may_show_restart(error: AttemptError) -> bool:
    """Returns whether a connection that failed may have met a new process.

    A response of another target that has the address now says nothing.
    """
    cause = error.__cause__
    if error.is_refusal or isinstance(cause, aiohttp.ConnectionTimeoutError):
        return False
    return not (isinstance(cause, OSError) and cause.errno in _PATH_ERRORS)

"""Writes one log line per request and counts its outcome."""

import logging
import math
from collections.abc import Callable, Mapping

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalReason, RetryReason
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._request_context import RequestContext
from crowwinch.forwarding._workspace_log import WorkspaceLog
from crowwinch.observability import Metrics
from crowwinch.sharing import WorkspaceShares

_LOGGER = logging.getLogger(__name__)

# Fields of the router's state that say how current its directory is.
_DIRECTORY_FIELDS = ("revision", "behind_s")
SERVED = "served"
CALLER_GONE = "caller_gone"


class RequestLog:
    """Records the outcome of requests and the data behind each decision."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        shares: WorkspaceShares,
        describe_state: Callable[[], Mapping[str, object]],
    ) -> None:
        """Initializes the log.

        Args:
            clock: Monotonic clock.
            metrics: Counters and histograms.
            shares: Usage of workspaces, included in each log line.
            describe_state: Returns the age and version of this router's
                state.
        """
        self._clock = clock
        self._metrics = metrics
        self._shares = shares
        self._describe_state = describe_state
        self._workspaces = WorkspaceLog(shares)

    def write_workspaces(self) -> None:
        """Logs what each workspace asked for and got since the last call."""
        self._workspaces.write()

    def record_request(self, context: RequestContext) -> None:
        """Records a request that was routed."""
        work = context.work
        if work.prompt_tokens:
            self._workspaces.record_request(
                work.workspace,
                work.cost,
                is_late=0.0 < work.target_latency_s <= context.prior_wait_s,
            )

    def describe_directory(self) -> dict[str, object]:
        """Returns how current the directory is that a decision relies on."""
        state = self._describe_state()
        return {
            field: state[field] for field in _DIRECTORY_FIELDS if field in state
        }

    def count_refusal(self, reason: RefusalReason) -> None:
        """Counts a refusal by reason."""
        self._metrics.count_reason("refusals", reason)

    def count_retry(self, reason: RetryReason) -> None:
        """Counts a retry by reason."""
        self._metrics.count_reason("retries", reason)

    def count_disconnect(self) -> None:
        """Counts a caller that disconnected before its refusal was sent."""
        self._metrics.count("callers_gone")

    def count_unreadable_limit(self) -> None:
        """Counts an answer that names a rate limit that cannot be read."""
        self._metrics.count("unreadable_target_limits")

    def count_oversized_response(self) -> None:
        """Counts a response with more bytes than are kept."""
        self._metrics.count("oversized_target_responses")

    def record_first_event(
        self, context: RequestContext, seconds: float
    ) -> None:
        """Records the first event of a response.

        Args:
            context: State of the request.
            seconds: Time in seconds from the start of the attempt.
        """
        self._metrics.observe("first_event", seconds)
        if context.call.is_started:
            # Another target goes on with the stream.
            return
        work = context.work
        elapsed_s = self._clock.monotonic() - context.call.arrived
        self._workspaces.record_first_event(
            work.workspace,
            work.cost,
            is_late=0.0 < work.target_latency_s < elapsed_s,
        )

    def record_end(
        self, call: Call, context: RequestContext | None, code: str
    ) -> None:
        """Writes the log line of a finished request and updates the metrics.

        Args:
            call: The request and response as the caller sees them.
            context: State of the request, None if it was refused before
                routing.
            code: Outcome: `SERVED`, `CALLER_GONE` or the code of a refusal.
        """
        elapsed = self._clock.monotonic() - call.arrived
        self._metrics.observe("request", elapsed)
        self._metrics.count("requests", "code", code)
        entry: dict[str, object] = {
            "request_id": call.head.attempt_id,
            "status": call.status,
            "code": code,
            "elapsed_s": round(elapsed, 4),
        }
        if context is not None:
            if context.work.prompt_tokens:
                self._workspaces.record_end(context.work.workspace, code)
            entry |= {
                "route": context.route.name,
                "workspace": context.workspace,
                "service": context.work.service,
                "configuration": context.table.version,
                "cost": context.work.cost,
                "prompt_tokens": context.work.prompt_tokens,
                "target_latency_s": context.work.target_latency_s,
                "time_limit_s": round(context.deadline - call.arrived, 3),
                "prior_wait_s": round(context.prior_wait_s, 3),
                "first_event_s": _round_duration(
                    call.arrived, context.first_event_at
                ),
                "longest_pause_s": round(context.longest_pause_s, 3),
                "workspace_served": round(
                    self._shares.served(context.work.workspace)
                ),
                "share_level": _round_share_level(self._shares.level),
                "asked_per_s": round(self._shares.asked_per_s),
                "served_per_s": round(self._shares.served_per_s),
                "attempts": context.attempts,
            }
            if context.is_taken_up:
                entry["resumes"] = call.head.resumed_attempt_id
                entry["last_event_id"] = call.head.last_event_id
                entry["software"] = context.software_version
            if context.refused_feature is not None:
                entry["refused_feature"] = context.refused_feature
            entry |= self._describe_state()
        _LOGGER.info("request", extra=entry)


def _round_duration(start: float, end: float | None) -> float | None:
    """Returns the seconds between two times, None if the end is unknown."""
    return None if end is None else round(end - start, 3)


def _round_share_level(units: float) -> int | None:
    """Returns the share level for the log, None if it is unlimited."""
    return None if math.isinf(units) else round(units)

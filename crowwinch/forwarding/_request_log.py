"""One log line and the counters of each request."""

import logging
import math
from collections.abc import Callable, Mapping

from crowwinch.coordination import Clock
from crowwinch.errors import RefusalReason, RetryReason
from crowwinch.forwarding._call import Call
from crowwinch.forwarding._request_run import RequestRun
from crowwinch.observability import Metrics
from crowwinch.sharing import WorkspaceShares

_LOGGER = logging.getLogger(__name__)

SERVED = "served"
CALLER_GONE = "caller_gone"


class RequestLog:
    """Records how requests end and what decided it."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        shares: WorkspaceShares,
        describe_state: Callable[[], Mapping[str, object]],
    ) -> None:
        """Stores the parts.

        Args:
            clock: Monotonic time.
            metrics: Counters and histograms.
            shares: Use of workspaces, part of each line.
            describe_state: Returns the age and version of what this router
                knows.
        """
        self._clock = clock
        self._metrics = metrics
        self._shares = shares
        self._describe_state = describe_state

    def count_refusal(self, reason: RefusalReason) -> None:
        """Counts a refusal."""
        self._metrics.count_reason("refusals", reason)

    def count_retry(self, reason: RetryReason) -> None:
        """Counts a repeat."""
        self._metrics.count_reason("retries", reason)

    def count_caller_gone(self) -> None:
        """Counts a caller that left before its refusal."""
        self._metrics.count("callers_gone")

    def note_first_event(self, seconds: float) -> None:
        """Records the time to a first event."""
        self._metrics.observe("first_event", seconds)

    def note_end(self, call: Call, run: RequestRun | None, code: str) -> None:
        """Records the end of a request.

        Args:
            call: The callers' side.
            run: The request, None if it had no route or workspace.
            code: How it ended: served, caller gone or a refusal.
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
        if run is not None:
            entry |= {
                "route": run.route.name,
                "workspace": run.workspace,
                "service": run.work.service,
                "configuration": run.table.version,
                "cost": run.work.cost,
                "workspace_served": round(
                    self._shares.served(run.work.workspace)
                ),
                "share_level": _finite(self._shares.level),
                "attempts": run.attempts,
            }
            entry |= self._describe_state()
        _LOGGER.info("request", extra=entry)


def _finite(units: float) -> int | None:
    """Returns a level for the log, None if there is no limit."""
    return None if math.isinf(units) else round(units)

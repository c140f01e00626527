"""Logs once a second what the requests of each workspace asked for and got.

Lines of single requests are dropped above a rate, which hides most requests of
a workspace whose callers all come in at one router.
"""

import heapq
import logging
import math
from collections import Counter
from dataclasses import dataclass, field

from crowwinch.sharing import WorkspaceShares

_LOGGER = logging.getLogger(__name__)

# Workspaces in one line, those that ask for most.
_MAX_WORKSPACES = 8
_LARGEST_REQUESTS = 3


@dataclass(slots=True)
class _Activity:
    """Requests of one workspace since the last line.

    Attributes:
        asked: Service units of the requests that arrived.
        returned: Those among them of callers who had waited for their target
            latency before, mostly after a refusal.
        begun: Service units of the requests whose first event came.
        late: Number of first events after the target latency.
        codes: Number of requests that ended, by outcome.
        largest: Service units of the largest requests that arrived.
    """

    asked: int = 0
    returned: int = 0
    begun: int = 0
    late: int = 0
    codes: Counter[str] = field(default_factory=Counter)
    largest: list[int] = field(default_factory=list)


class WorkspaceLog:
    """Counts the requests of each workspace and logs the counts."""

    def __init__(self, shares: WorkspaceShares) -> None:
        """Creates a log without counts.

        Args:
            shares: Use of workspaces over the fleet, included in each line.
        """
        self._shares = shares
        self._activities: dict[str, _Activity] = {}

    def record_request(
        self, workspace: str, units: int, *, is_late: bool = False
    ) -> None:
        """Records a request that arrived.

        Args:
            workspace: Name of the workspace.
            units: Service units of the request.
            is_late: Whether its caller had waited for the target latency
                before.
        """
        activity = self._activity(workspace)
        activity.asked += units
        activity.returned += units if is_late else 0
        activity.largest = heapq.nlargest(
            _LARGEST_REQUESTS, [*activity.largest, units]
        )

    def record_first_event(
        self, workspace: str, units: int, *, is_late: bool
    ) -> None:
        """Records the first event of a response."""
        activity = self._activity(workspace)
        activity.begun += units
        activity.late += is_late

    def record_end(self, workspace: str, code: str) -> None:
        """Records the outcome of a request."""
        self._activity(workspace).codes[code] += 1

    def write(self) -> None:
        """Logs the counts since the last call, if there are any."""
        if not self._activities:
            return
        shares = self._shares
        shown = heapq.nlargest(
            _MAX_WORKSPACES,
            self._activities.items(),
            key=lambda entry: entry[1].asked,
        )
        _LOGGER.info(
            "requests of workspaces",
            extra={
                "workspaces": {
                    workspace: {
                        "asked": activity.asked,
                        "returned": activity.returned,
                        "begun": activity.begun,
                        "late": activity.late,
                        "codes": dict(activity.codes),
                        "largest": activity.largest,
                        "fleet_asked": round(shares.asked(workspace)),
                        "fleet_served": round(shares.served(workspace)),
                        "lead": round(shares.lead(workspace), 2),
                    }
                    for workspace, activity in shown
                },
                "left_out": len(self._activities) - len(shown),
                "share_level": _finite(shares.level),
                "even_use": _finite(shares.even_use),
                "asked_per_s": round(shares.asked_per_s),
                "served_per_s": round(shares.served_per_s),
                "oldest_report_s": round(shares.oldest_report_s, 2),
            },
        )
        self._activities.clear()

    def _activity(self, workspace: str) -> _Activity:
        activity = self._activities.get(workspace)
        if activity is None:
            activity = self._activities[workspace] = _Activity()
        return activity


def _finite(units: float) -> int | None:
    """Returns rounded units, None if there is no limit."""
    return None if math.isinf(units) else round(units)

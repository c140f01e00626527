"""Targets of a service as one round of decisions sees them.

Load: hundreds of requests wait for targets that are all full. What does not
depend on a single request is determined once for all of them: a decision on 500
requests and 45 engines took 22 ms, 50 times a second, when each of them got a
forecast for each engine.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crowwinch.sharing._forecasts import TargetStatus
from crowwinch.sharing._model import TargetView
from crowwinch.sharing._placer import Placer
from crowwinch.sharing._ticket import Ticket


@dataclass(slots=True)
class UsableTargets:
    """The targets that requests with the same restrictions may use.

    Attributes:
        statuses: Targets among which the home of a prefix is chosen.
        connected: Those among them with a free connection.
        lowest_engine_use: Lowest use of an engine that may get a request now,
            inf if none may.
        lowest_other_use: Same for other targets.
    """

    statuses: Sequence[TargetStatus]
    connected: Sequence[TargetStatus]
    lowest_engine_use: float
    lowest_other_use: float

    def may_have_room(self, use_limit: float) -> bool:
        """Returns whether a target may have room for a request.

        Args:
            use_limit: Use from which engines have no room for the request.
        """
        return self.lowest_engine_use < use_limit or self.lowest_other_use < 1.0


class ObservedTargets:
    """Targets of a service as one round of decisions sees them."""

    def __init__(self, placer: Placer, targets: Iterable[TargetView]) -> None:
        """Observes all targets.

        Args:
            placer: Determines the state of targets.
            targets: Targets of the service.
        """
        self._placer = placer
        self._statuses = {
            target.identifier: placer.observe(target) for target in targets
        }
        # For requests that may use all targets.
        self._common: UsableTargets | None = None

    def observe_again(self, identifier: str) -> None:
        """Makes a request that was sent visible to the next decisions."""
        target = self._statuses[identifier].target
        self._statuses[identifier] = self._placer.observe(target)
        self._common = None

    def usable_by(self, ticket: Ticket) -> UsableTargets:
        """Returns the targets that a request may use."""
        if ticket.is_restricted:
            return self._select(ticket)
        if self._common is None:
            self._common = self._select(ticket)
        return self._common

    def hold_left_s(self, ticket: Ticket) -> float:
        """Returns the seconds until a target wants requests, 0 if one does."""
        return min(
            (
                status.hold_left_s
                for status in self._accepted_by(ticket)
                if status.target.identifier not in ticket.excluded
            ),
            default=0.0,
        )

    def _accepted_by(self, ticket: Ticket) -> list[TargetStatus]:
        if not ticket.is_restricted:
            return list(self._statuses.values())
        return [
            status
            for status in self._statuses.values()
            if ticket.accepts(status.target)
        ]

    def _select(self, ticket: Ticket) -> UsableTargets:
        statuses = self._placer.usable(
            self._accepted_by(ticket), ticket.excluded
        )
        connected = [status for status in statuses if status.has_connection]
        free = [status for status in connected if status.limit_wait_s <= 0.0]
        return UsableTargets(
            statuses,
            connected,
            min((s.use for s in free if s.target.is_engine), default=math.inf),
            min(
                (s.use for s in free if not s.target.is_engine),
                default=math.inf,
            ),
        )

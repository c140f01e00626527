"""How many slots of a target a scheduler may use."""

import math
from collections import deque
from dataclasses import dataclass

_DECREASE = 0.9
# The first token is expected within 0.44 s at the 95th percentile.
FIRST_TOKEN_TARGET_S = 0.44
# A grant shows in a target's running count only after it has reached the
# router and the target.
_START_DELAY_S = 0.25
# A slot that is granted again at once shows as a dip of the own count. Counted
# as load of others, such dips kept one slot of a busy target idle.
_DIP_S = 0.01


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Load of a target as it reports it.

    Attributes:
        target: Identifier of the target.
        incarnation: Number of this life of the target.
        running: Requests in the batch.
        waiting: Requests that the target queues.
        leaving: Whether the target takes no new requests.
        time_to_first_token_s: Recent value in seconds, 0 if unknown.
        age: Seconds since the target measured the values.
    """

    target: int
    incarnation: int
    running: int
    waiting: int
    leaving: bool = False
    time_to_first_token_s: float = 0.0
    age: float = 0.0


class TargetLimit:
    """Concurrency limit of one target and this scheduler's part of it."""

    def __init__(self, slots: int, max_slots: int = 0) -> None:
        """Starts at the configured limit.

        Args:
            slots: Initial limit.
            max_slots: Largest limit, 0 for the initial one.
        """
        self._limit = float(slots)
        self._maximum = max(slots, max_slots)
        self._own = 0
        self._history = deque([(-math.inf, 0)], maxlen=1024)
        self._others = 0
        self._spare = 0
        self._share = 0
        self.leaving = False
        self.incarnation = 0

    @property
    def limit(self) -> int:
        """Present limit of the target, for all schedulers together."""
        return int(self._limit)

    @property
    def own(self) -> int:
        """Grants of this scheduler in force."""
        return self._own

    @property
    def load(self) -> float:
        """Slots in use as a fraction of the limit."""
        return (self._own + self._others) / max(self._limit, 1.0)

    def configure(self, slots: int, max_slots: int) -> None:
        """Takes over a changed configuration."""
        maximum = max(slots, max_slots)
        if maximum != self._maximum:
            self._limit = min(max(self._limit, slots), maximum)
            self._maximum = maximum

    def begin(self, now: float) -> None:
        """Counts a grant."""
        self._own += 1
        self._remember(now)

    def end(self, now: float) -> None:
        """Counts the end of a grant."""
        self._own = max(self._own - 1, 0)
        self._remember(now)

    def abandon(self, now: float) -> None:
        """Counts a grant of a lost router as load of others."""
        self.end(now)
        self._others += 1
        self._spare = max(self._spare - 1, 0)

    def report(self, report: TargetReport, now: float) -> None:
        """Adjusts the limit and the load of others to a report."""
        self.leaving = report.leaving
        self.incarnation = report.incarnation
        if report.waiting > 0:
            self._limit = max(self._limit * _DECREASE, 1.0)
        elif (
            report.running >= self.limit
            and report.time_to_first_token_s <= FIRST_TOKEN_TARGET_S
        ):
            self._limit = min(self._limit + 1.0, float(self._maximum))
        own = self._own_since(now - report.age - _START_DELAY_S)
        self._others = max(report.running + report.waiting - own, 0)
        # Starting at the share keeps slots from being idle for as many reports
        # as the share has slots after a takeover.
        raised = max(self._spare, self._share) + 1
        self._spare = max(min(self.limit - self._others, raised), 0)

    def allowed(self, registered: int, listed: int) -> int:
        """Returns how many grants this scheduler may have in force.

        Args:
            registered: Routers whose registration the scheduler holds.
            listed: Routers that exist according to the VM list.
        """
        if self.leaving or registered <= 0:
            return 0
        part = min(registered / max(listed, 1), 1.0)
        self._share = math.ceil(self.limit * part)
        return max(self._share, self._spare)

    def _remember(self, now: float) -> None:
        if now - self._history[-1][0] < _DIP_S:
            now = self._history.pop()[0]
        self._history.append((now, self._own))

    def _own_since(self, start: float) -> int:
        # Values before the last one at the start do not matter any more.
        while len(self._history) > 1 and self._history[1][0] <= start:
            self._history.popleft()
        return min(count for _, count in self._history)

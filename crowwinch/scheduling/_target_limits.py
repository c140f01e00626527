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

    def __init__(
        self, slots: int, max_slots: int = 0, awaits_report: bool = False
    ) -> None:
        """Starts at the configured limit.

        Args:
            slots: Initial limit.
            max_slots: Largest limit, 0 for the initial one.
            awaits_report: Whether only slots of restored grants are used
                before the first report.
        """
        self._limit = float(slots)
        self._maximum = max(slots, max_slots)
        self._own = 0
        self._history = deque([(-math.inf, 0)], maxlen=1024)
        self._latest_others = 0
        self._others = 0
        self._allowed = 0
        self._share = 0
        self._awaits_report = awaits_report
        self._was_idle = not awaits_report
        self._has_risen = False
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

    @property
    def _free(self) -> int:
        """Slots of the limit that others leave free."""
        return max(self.limit - self._others, 0)

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

    def restore(self, now: float) -> None:
        """Counts a grant of a newly registered router.

        Its request was load of others before.
        """
        self._own += 1
        self._history = deque(
            ((time, count + 1) for time, count in self._history), maxlen=1024
        )
        self._remember(now)
        self._others = max(self._others - 1, 0)
        self._latest_others = max(self._latest_others - 1, 0)
        self._allowed += 1

    def abandon(self, now: float) -> None:
        """Counts a grant of a lost router as load of others."""
        self.end(now)
        self._others += 1
        self._allowed = max(self._allowed - 1, 0)

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
        total = report.running + report.waiting
        others = max(total - own, 0)
        # Own grants whose requests have just ended at the target hide load of
        # others. The higher of two reports keeps both sides of a partition
        # from raising their allowances at such a moment.
        self._others = max(others, self._latest_others)
        self._latest_others = others
        self._was_idle = total == 0
        self._awaits_report = False
        low, high = sorted((self._free, self._share))
        if total > self.limit:
            rise = 0
        elif self._allowed < low:
            # Half of the way, since one report may show too little load.
            rise = (low - self._allowed + 1) // 2
        else:
            # Every other report, so that the other side, which may still be
            # below its share, is not overtaken.
            rise = 0 if self._has_risen else 1
        before = self._allowed
        self._allowed = min(self._allowed + rise, high)
        self._has_risen = self._allowed > before

    def allowed(self, registered: int, listed: int) -> int:
        """Returns how many grants this scheduler may have in force.

        With each report, the allowance rises by half of the way to the lower
        of the scheduler's share and the slots that others leave free, then by
        one slot every other report up to the higher of them. It does not rise
        while the target is above its limit. A scheduler whose share is in use
        by others thus takes it over as fast as they withdraw. All of an idle
        target's share may be used at once.

        Args:
            registered: Routers whose registration the scheduler holds.
            listed: Routers that exist according to the VM list.
        """
        if self.leaving or registered <= 0:
            return 0
        part = min(registered / max(listed, 1), 1.0)
        self._share = math.ceil(self.limit * part)
        if not self._awaits_report:
            if self._was_idle:
                self._allowed = max(self._allowed, self._share)
            self._allowed = min(self._allowed, max(self._free, self._share))
        return self._allowed

    def _remember(self, now: float) -> None:
        if now - self._history[-1][0] < _DIP_S:
            now = self._history.pop()[0]
        self._history.append((now, self._own))

    def _own_since(self, start: float) -> int:
        # Values before the last one at the start do not matter any more.
        while len(self._history) > 1 and self._history[1][0] <= start:
            self._history.popleft()
        return min(count for _, count in self._history)

"""Adaptive concurrency limits of targets."""

import math
from collections import deque
from dataclasses import dataclass

_DECREASE_FACTOR = 0.9
# Service objective for the time to the first token at the 95th percentile.
FIRST_TOKEN_TARGET_S = 0.44
# Time until a new grant is included in a target's count of running requests. It
# has to reach the router and then the target.
_START_DELAY_S = 0.25
# Shorter decreases of the number of own grants are ignored. They occur when a
# released slot is granted again immediately. Attributing the difference to
# other schedulers kept one slot of a busy target idle.
_MIN_DECREASE_S = 0.01


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Load that a target reports.

    Attributes:
        target: Identifier of the target.
        incarnation: Incarnation of the target's process.
        running: Number of requests in the batch.
        waiting: Number of requests in the queue of the target.
        leaving: Whether the target accepts no new requests.
        time_to_first_token_s: Recent time to the first token in seconds, 0 if
            unknown.
        age: Seconds since the values were measured.
    """

    target: int
    incarnation: int
    running: int
    waiting: int
    leaving: bool = False
    time_to_first_token_s: float = 0.0
    age: float = 0.0


class TargetLimit:
    """Concurrency limit of a target and this scheduler's allowance.

    "Others" are other schedulers that grant slots of the same target, for
    instance during a network partition.
    """

    def __init__(
        self, slots: int, max_slots: int = 0, awaits_report: bool = False
    ) -> None:
        """Creates a limit with its configured initial value.

        Args:
            slots: Initial limit.
            max_slots: Maximum of the limit; `slots` if that is larger.
            awaits_report: Whether only restored grants use slots before the
                first report.
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
        self._is_idle = not awaits_report
        self._was_increased = False
        self.leaving = False
        self.incarnation = 0

    @property
    def limit(self) -> int:
        """Current limit of the target, for all schedulers together."""
        return int(self._limit)

    @property
    def own(self) -> int:
        """Number of active grants of this scheduler."""
        return self._own

    @property
    def load(self) -> float:
        """Slots in use as a fraction of the limit."""
        return (self._own + self._others) / max(self._limit, 1.0)

    @property
    def _free(self) -> int:
        """Number of slots that other schedulers do not use."""
        return max(self.limit - self._others, 0)

    def configure(self, slots: int, max_slots: int) -> None:
        """Applies the configured initial and maximum limits."""
        maximum = max(slots, max_slots)
        if maximum != self._maximum:
            self._limit = min(max(self._limit, slots), maximum)
            self._maximum = maximum

    def begin(self, now: float) -> None:
        """Counts a grant."""
        self._own += 1
        self._record_own(now)

    def end(self, now: float) -> None:
        """Counts the end of a grant."""
        self._own = max(self._own - 1, 0)
        self._record_own(now)

    def restore(self, now: float) -> None:
        """Counts a grant of a newly registered router.

        Its request was attributed to other schedulers before.
        """
        self._own += 1
        self._history = deque(
            ((time, count + 1) for time, count in self._history), maxlen=1024
        )
        self._record_own(now)
        self._others = max(self._others - 1, 0)
        self._latest_others = max(self._latest_others - 1, 0)
        self._allowed += 1

    def abandon(self, now: float) -> None:
        """Attributes a grant of a lost router to other schedulers."""
        self.end(now)
        self._others += 1
        self._allowed = max(self._allowed - 1, 0)

    def report(self, report: TargetReport, now: float) -> None:
        """Updates the limit, the load of others and the allowance."""
        self.leaving = report.leaving
        self.incarnation = report.incarnation
        if report.waiting > 0:
            self._limit = max(self._limit * _DECREASE_FACTOR, 1.0)
        elif (
            report.running >= self.limit
            and report.time_to_first_token_s <= FIRST_TOKEN_TARGET_S
        ):
            self._limit = min(self._limit + 1.0, float(self._maximum))
        own = self._own_since(now - report.age - _START_DELAY_S)
        total_load = report.running + report.waiting
        others = max(total_load - own, 0)
        # Own grants whose requests have just ended at the target make the load
        # of others appear too low. Using the higher value of two reports keeps
        # both sides of a partition from raising their allowances on that basis.
        self._others = max(others, self._latest_others)
        self._latest_others = others
        self._is_idle = total_load == 0
        self._awaits_report = False
        lower, upper = sorted((self._free, self._share))
        if total_load > self.limit:
            increase = 0
        elif self._allowed < lower:
            # Half of the difference, since a report may understate the load.
            increase = (lower - self._allowed + 1) // 2
        else:
            # Only on every second report, so that another scheduler that is
            # still below its share can raise its allowance faster.
            increase = 0 if self._was_increased else 1
        before = self._allowed
        self._allowed = min(self._allowed + increase, upper)
        self._was_increased = self._allowed > before

    def allowed(self, registered: int, listed: int) -> int:
        """Returns the maximum number of active grants of this scheduler.

        The scheduler's share of the limit is proportional to its registered
        routers. With each report, the allowance rises by half of the difference
        to the lower of the share and the number of slots that others do not
        use. From there it rises by one slot on every second report, up to the
        higher of the two. It does not rise while the load exceeds the limit. A
        scheduler whose share is used by others can thus use it as fast as they
        release it. The share of an idle target may be used immediately.

        Args:
            registered: Number of routers that are registered here.
            listed: Number of routers in the VM list.
        """
        if self.leaving or registered <= 0:
            return 0
        fraction = min(registered / max(listed, 1), 1.0)
        self._share = math.ceil(self.limit * fraction)
        if not self._awaits_report:
            if self._is_idle:
                self._allowed = max(self._allowed, self._share)
            self._allowed = min(self._allowed, max(self._free, self._share))
        return self._allowed

    def _record_own(self, now: float) -> None:
        if now - self._history[-1][0] < _MIN_DECREASE_S:
            now = self._history.pop()[0]
        self._history.append((now, self._own))

    def _own_since(self, start: float) -> int:
        # Only the last value at or before the start is still needed.
        while len(self._history) > 1 and self._history[1][0] <= start:
            self._history.popleft()
        return min(count for _, count in self._history)

"""What speaks for and against a feature of requests as the cause of crashes."""

from dataclasses import dataclass, field

# Crashes, without an answer since, from which requests are refused.
_CRASH_LIMIT = 3
# Crashes within this time count once for a part of the prompt: when targets
# fail together, many requests with the same part are lost at several of them.
_SAME_CAUSE_S = 0.25
# Time after the last crash at which one request is admitted to find out whether
# targets still crash. It doubles with each such request.
FIRST_TRIAL_S = 20.0
# Time after which no router sends requests with a feature that reached its
# limit, but those that test it.
_SPREAD_S = 1.0
NEVER = float("-inf")


@dataclass(slots=True)
class CrashEvidence:
    """Crashes at which requests with a feature were lost.

    Attributes:
        is_part: Whether the feature is a part of the prompt.
        crashes: Monotonic time of each crash after the last answer.
        last_answer: Time at which the latest answer was complete.
        changed: Time of the last change.
        observed: Time of the last change that this router observed itself.
        last_trial: Time at which a refused request was last admitted.
        last_test: Time at which a request was last admitted although the
            feature may be the cause.
        trial_s: Seconds without a crash until the next one is.
        limit_reached: Time of the crash from which on requests with the feature
            are refused, None before.
    """

    is_part: bool
    crashes: dict[str, float] = field(default_factory=dict)
    last_answer: float = NEVER
    changed: float = NEVER
    observed: float = NEVER
    last_trial: float = NEVER
    last_test: float = NEVER
    trial_s: float = FIRST_TRIAL_S
    limit_reached: float | None = None

    @property
    def last_crash(self) -> float:
        return max(self.crashes.values(), default=NEVER)

    @property
    def was_answered(self) -> bool:
        return self.last_answer != NEVER

    @property
    def failed_tests(self) -> int:
        """Number of crashes since requests with the feature are refused."""
        if self.limit_reached is None:
            return 0
        known = self.limit_reached + _SPREAD_S
        return sum(at > known for at in self.crashes.values())

    def explains(self, crash: str, other: "CrashEvidence") -> bool:
        """Returns whether its feature is as likely a cause of a crash.

        A feature that was answered before the crashes is a less likely cause
        than one that never was. A request that its caller sent several times
        says nothing of which part of it is the cause.
        """
        if crash not in self.crashes:
            return False
        is_at_limit = self.limit_reached is not None
        if other.was_answered and not self.was_answered:
            return self.is_part or is_at_limit
        is_less_likely = self.was_answered and not other.was_answered
        return self.is_part and is_at_limit and not is_less_likely

    def add_crash(self, crash: str, at: float) -> bool:
        """Adds a crash; returns whether it is new and after the last answer."""
        if crash in self.crashes or at <= self.last_answer:
            return False
        self.crashes[crash] = at
        self.limit_reached = self._find_limit()
        return True

    def add_answer(self, at: float) -> bool:
        """Drops the crashes before an answer; returns whether any were."""
        self.last_answer = max(self.last_answer, at)
        remaining = {
            crash: time for crash, time in self.crashes.items() if time > at
        }
        is_changed = len(remaining) < len(self.crashes)
        self.crashes = remaining
        self.limit_reached = self._find_limit()
        return is_changed

    def _find_limit(self) -> float | None:
        """Returns the time at which the crashes have had enough causes."""
        min_gap_s = _SAME_CAUSE_S if self.is_part else 0.0
        count, counted_at = 0, NEVER
        for at in sorted(self.crashes.values()):
            if at - counted_at >= min_gap_s:
                count, counted_at = count + 1, at
                if count == _CRASH_LIMIT:
                    return at
        return None

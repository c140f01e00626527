"""Finds out which requests crash targets.

Load: requests that crash each target that begins to answer them. Their callers
send them again, through any router, or send others that have a part of the
prompt in common. A target that crashes takes all its requests with it, so most
requests that are lost with a target are sound.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from crowwinch.coordination import Clock

# Crashes, without an answer since, from which requests are refused.
_CRASH_LIMIT = 3
# Crashes within this time count once for a part of the prompt: when targets
# fail together, many requests with the same part are lost at several of them.
_SAME_CAUSE_S = 0.25
# Time after the last crash at which one request is admitted to find out whether
# targets still crash. It doubles with each such request.
_FIRST_TRIAL_S = 20.0
_EXPIRY_S = 600.0
_CAPACITY = 4096
# What a router observes is reported to peers for this time, which covers two
# rounds of updates in a fleet of 200 routers.
_REPORT_S = 2.0
_MAX_REPORTS = 32
_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """What a request has in common with others.

    Attributes:
        content: Digest of its workspace, path and body.
        parts: Digests of the parts of its prompt that others may share.
    """

    content: str
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """What a router knows of a feature of requests.

    Attributes:
        feature: Digest of what the requests have in common.
        is_part: Whether it is a part of the prompt.
        crash_ages_s: Seconds since each crash after the last answer, by the
            identifier of the crash.
        answer_age_s: Seconds since the last answer, None without one.
    """

    feature: str
    is_part: bool
    crash_ages_s: Mapping[str, float]
    answer_age_s: float | None


@dataclass(slots=True)
class _Evidence:
    """Crashes at which requests with a feature were lost.

    Attributes:
        is_part: Whether the feature is a part of the prompt.
        crashes: Monotonic time of each crash after the last answer.
        last_answer: Time at which the latest answer was complete.
        changed: Time of the last change.
        observed: Time of the last change that this router observed itself.
        last_trial: Time at which a refused request was last admitted.
        trial_s: Seconds without a crash until the next one is.
        limit_reached: Time of the crash from which on requests with the feature
            are refused, None before.
    """

    is_part: bool
    crashes: dict[str, float] = field(default_factory=dict)
    last_answer: float = _NEVER
    changed: float = _NEVER
    observed: float = _NEVER
    last_trial: float = _NEVER
    trial_s: float = _FIRST_TRIAL_S
    limit_reached: float | None = None

    @property
    def last_crash(self) -> float:
        return max(self.crashes.values(), default=_NEVER)

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
        count, counted_at = 0, _NEVER
        for at in sorted(self.crashes.values()):
            if at - counted_at >= min_gap_s:
                count, counted_at = count + 1, at
                if count == _CRASH_LIMIT:
                    return at
        return None


class CrashSuspects:
    """Crashes of targets by the features of the requests that were lost.

    Requests are refused if a target crashed each time that one with the same
    feature was sent. An answer shows that a feature is harmless, so what sound
    requests share with those that crash targets is not refused.

    Crashes have identifiers, and peers report all that they know, so a crash
    counts once however many routers saw it or report it.
    """

    def __init__(
        self,
        clock: Clock,
        random: Callable[[], float] = lambda: 0.0,
        fleet_size: Callable[[], int] = lambda: 1,
    ) -> None:
        """Creates an instance without evidence.

        Args:
            clock: Monotonic time.
            random: Returns a number from 0 to 1, which chooses the router that
                admits a refused request.
            fleet_size: Returns the number of routers.
        """
        self._clock = clock
        self._random = random
        self._fleet_size = fleet_size
        # The feature with the oldest change first.
        self._evidence: OrderedDict[str, _Evidence] = OrderedDict()
        # Time of the latest answer to any request with a prompt.
        self._last_prompt_answer = _NEVER

    @property
    def is_empty(self) -> bool:
        """Whether no request was lost in a crash."""
        return not self._evidence

    def record_crash(
        self, crash: str, features: RequestFeatures, at: float
    ) -> None:
        """Records a crash of a target before it had answered a request.

        Args:
            crash: Identifier of the crash, the same at all routers.
            features: Features of the request that was lost.
            at: Monotonic time of the crash.
        """
        now = self._clock.monotonic()
        for feature in (features.content, *features.parts):
            is_part = feature != features.content
            if self._add_crash(feature, is_part, crash, at):
                self._evidence[feature].observed = now

    def record_answer(self, features: RequestFeatures, at: float) -> None:
        """Records that a target answered a request and did not crash.

        Args:
            features: Features of the request.
            at: Monotonic time at which the answer was complete.
        """
        if features.parts:
            self._note_prompt_answer(at)
        now = self._clock.monotonic()
        for feature in (features.content, *features.parts):
            if self._add_answer(feature, at):
                self._evidence[feature].observed = now

    def refused_feature(self, features: RequestFeatures) -> str | None:
        """Returns the feature for which a request is refused, None without one.

        Now and then a request is admitted although it has such a feature.
        """
        if not self._evidence:
            return None
        self._expire()
        for feature in (features.content, *features.parts):
            evidence = self._evidence.get(feature)
            if evidence is None or not self._is_refused(evidence):
                continue
            if not self._takes_trial(evidence):
                return feature
        return None

    def reports(self) -> list[SuspectReport]:
        """Returns what peers must hear.

        That is what is refused, whoever observed it, and what this router has
        observed recently.
        """
        now = self._clock.monotonic()
        due = [
            (feature, evidence)
            for feature, evidence in self._evidence.items()
            if evidence.limit_reached is not None
            or now - evidence.observed <= _REPORT_S
        ]
        due.sort(key=lambda entry: len(entry[1].crashes), reverse=True)
        return [
            SuspectReport(
                feature,
                evidence.is_part,
                {crash: now - at for crash, at in evidence.crashes.items()},
                None
                if evidence.last_answer == _NEVER
                else now - evidence.last_answer,
            )
            for feature, evidence in due[:_MAX_REPORTS]
        ]

    def merge_reports(self, reports: Iterable[SuspectReport]) -> None:
        """Merges what a peer knows."""
        now = self._clock.monotonic()
        for report in reports:
            for crash, age_s in report.crash_ages_s.items():
                self._add_crash(
                    report.feature, report.is_part, crash, now - age_s
                )
            if report.answer_age_s is not None:
                if report.is_part:
                    self._note_prompt_answer(now - report.answer_age_s)
                self._add_answer(report.feature, now - report.answer_age_s)

    def _add_crash(
        self, feature: str, is_part: bool, crash: str, at: float
    ) -> bool:
        """Adds a crash; returns whether it is new."""
        now = self._clock.monotonic()
        if now - at > _EXPIRY_S:
            return False
        evidence = self._evidence.get(feature)
        if evidence is None:
            evidence = self._evidence[feature] = _Evidence(is_part)
        is_new = evidence.add_crash(crash, at)
        if is_new:
            evidence.changed = now
            self._evidence.move_to_end(feature)
        if len(self._evidence) > _CAPACITY:
            self._evidence.popitem(last=False)
        return is_new

    def _add_answer(self, feature: str, at: float) -> bool:
        """Adds an answer; returns whether it refutes known crashes."""
        evidence = self._evidence.get(feature)
        if evidence is None or not evidence.add_answer(at):
            return False
        evidence.changed = self._clock.monotonic()
        self._evidence.move_to_end(feature)
        return True

    def _note_prompt_answer(self, at: float) -> None:
        self._last_prompt_answer = max(self._last_prompt_answer, at)

    def _is_refused(self, evidence: _Evidence) -> bool:
        """Returns whether requests with a feature are refused.

        While no request at all is answered, the targets have failed for another
        reason than a part of the prompt.
        """
        reached = evidence.limit_reached
        if reached is None:
            return False
        return not evidence.is_part or self._last_prompt_answer > reached

    def _takes_trial(self, evidence: _Evidence) -> bool:
        now = self._clock.monotonic()
        quiet_s = now - max(evidence.last_crash, evidence.last_trial)
        if (
            quiet_s < evidence.trial_s
            or self._random() * self._fleet_size() >= 1.0
        ):
            return False
        evidence.last_trial = now
        evidence.trial_s *= 2
        return True

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - _EXPIRY_S
        while self._evidence:
            feature, evidence = next(iter(self._evidence.items()))
            if evidence.changed >= oldest:
                return
            del self._evidence[feature]

"""Finds out which requests crash targets.

Load: requests that crash each target that begins to answer them. Their callers
send them again, through any router, or send others that have a part of the
prompt in common. A target that crashes takes all its requests with it, so most
requests that are lost with a target are sound.
"""

import logging
from collections import OrderedDict
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.sharing._answered_parts import AnsweredParts
from crowwinch.sharing._crash_evidence import NEVER, CrashEvidence

_LOGGER = logging.getLogger(__name__)

# Crashes that no other feature explains, and crashes by requests that tested a
# feature, from which on it is refused whatever else may be the cause. One may
# have another reason.
_PROOF_LIMIT = 2
# Time after which each router admits a request to find out whether a feature is
# harmless. Less for one that was answered before.
_TEST_S = 4.0
_TEST_OF_ANSWERED_S = 1.0
# Minimum time between two such requests at one router.
_TEST_INTERVAL_S = 0.25
# Factor by which trials are rarer once all other parts of the lost requests
# were answered.
_PROVEN_TRIAL_FACTOR = 3.0
_EXPIRY_S = 600.0
_CAPACITY = 4096
_MAX_CRASHES = 512
# What a router observes is reported to peers for this time, which covers two
# rounds of updates in a fleet of 200 routers.
_REPORT_S = 2.0
_MAX_REPORTS = 32


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


class CrashSuspects:
    """Crashes of targets by the features of the requests that were lost.

    Requests are refused if a target crashed each time that one with the same
    feature was sent. An answer shows that a feature is harmless. One whose
    crashes another feature explains may be harmless as well: requests with the
    first and without the second are admitted one at a time until one is
    answered or enough of them crash targets.

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
        self._evidence: OrderedDict[str, CrashEvidence] = OrderedDict()
        # Features of the requests that were lost in each crash, the oldest
        # crash first.
        self._lost_features: OrderedDict[str, set[str]] = OrderedDict()
        self._answered_parts = AnsweredParts(clock)
        # Time of the latest answer to any request with a prompt.
        self._last_prompt_answer = NEVER

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
        self.record_answered_parts(features.parts, at)
        now = self._clock.monotonic()
        for feature in (features.content, *features.parts):
            if self._add_answer(feature, at):
                self._evidence[feature].observed = now

    def record_answered_parts(self, parts: Sequence[str], at: float) -> None:
        """Records that a request was answered while no crashes are known.

        Args:
            parts: Digests of the parts of its prompt that others may share.
            at: Monotonic time at which the answer was complete.
        """
        if parts:
            self._note_prompt_answer(at)
            self._answered_parts.record(parts, at)

    def refused_feature(self, features: RequestFeatures) -> str | None:
        """Returns the feature for which a request is refused, None without one.

        Now and then a request is admitted although it has such a feature.
        """
        if not self._evidence:
            return None
        self._expire()
        own = (features.content, *features.parts)
        suspects = {
            feature: evidence
            for feature in own
            if (evidence := self._evidence.get(feature)) is not None
            and self._is_refused(evidence)
        }
        if not suspects:
            return None
        causes = {
            feature: evidence
            for feature, evidence in suspects.items()
            if not self._is_explained(evidence, own)
        }
        if causes:
            refused = (
                feature
                for feature, evidence in causes.items()
                if not self._takes_trial(feature, evidence)
            )
            return next(refused, None)
        if self._takes_test(suspects.values()):
            _LOGGER.info(
                "request admitted to test parts that others explain",
                extra={"features": list(suspects)},
            )
            return None
        return next(iter(suspects))

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
                if evidence.last_answer == NEVER
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
            evidence = self._evidence.get(report.feature)
            if evidence is not None and any(
                now - age_s <= evidence.last_answer
                for age_s in report.crash_ages_s.values()
            ):
                # The peer does not know of the answer.
                evidence.observed = now

    def _add_crash(
        self, feature: str, is_part: bool, crash: str, at: float
    ) -> bool:
        """Adds a crash; returns whether it is new."""
        now = self._clock.monotonic()
        if now - at > _EXPIRY_S:
            return False
        evidence = self._evidence.get(feature)
        if evidence is None:
            evidence = self._evidence[feature] = CrashEvidence(
                is_part,
                last_answer=self._answered_parts.last_answer(feature),
                changed=now,
            )
        is_new = evidence.add_crash(crash, at)
        self._lost_features.setdefault(crash, set()).add(feature)
        if is_new:
            self._note_change(feature, evidence)
        if len(self._evidence) > _CAPACITY:
            self._evidence.popitem(last=False)
        if len(self._lost_features) > _MAX_CRASHES:
            self._lost_features.popitem(last=False)
        return is_new

    def _add_answer(self, feature: str, at: float) -> bool:
        """Adds an answer; returns whether it refutes known crashes."""
        evidence = self._evidence.get(feature)
        if evidence is None or not evidence.add_answer(at):
            return False
        self._note_change(feature, evidence)
        return True

    def _note_change(self, feature: str, evidence: CrashEvidence) -> None:
        evidence.changed = self._clock.monotonic()
        self._evidence.move_to_end(feature)

    def _note_prompt_answer(self, at: float) -> None:
        self._last_prompt_answer = max(self._last_prompt_answer, at)

    def _is_refused(self, evidence: CrashEvidence) -> bool:
        """Returns whether requests with a feature are refused.

        While no request at all is answered, the targets have failed for another
        reason than a part of the prompt.
        """
        reached = evidence.limit_reached
        if reached is None:
            return False
        return not evidence.is_part or self._last_prompt_answer > reached

    def _is_explained(
        self, evidence: CrashEvidence, present: Collection[str]
    ) -> bool:
        """Returns whether the crashes have a cause that a request lacks.

        Args:
            evidence: Crashes of a feature of the request.
            present: All features of the request.
        """
        if evidence.failed_tests >= _PROOF_LIMIT:
            return False
        unexplained = sum(
            not any(
                self._explains(feature, crash, evidence)
                for feature in self._lost_features.get(crash, ())
                if feature not in present
            )
            for crash in evidence.crashes
        )
        return unexplained < min(_PROOF_LIMIT, len(evidence.crashes))

    def _explains(self, feature: str, crash: str, other: CrashEvidence) -> bool:
        evidence = self._evidence.get(feature)
        return evidence is not None and evidence.explains(crash, other)

    def _takes_test(self, suspects: Collection[CrashEvidence]) -> bool:
        """Returns whether a request is admitted although it has suspects.

        Few routers admit one at the same time, and each one the sooner, the
        longer it has admitted none.
        """
        now = self._clock.monotonic()
        chance = min(self._test_chance(evidence, now) for evidence in suspects)
        if chance == 0.0 or self._random() >= chance:
            return False
        for evidence in suspects:
            evidence.last_test = now
        return True

    def _test_chance(self, evidence: CrashEvidence, now: float) -> float:
        """Returns the chance that a request tests a feature."""
        if now - evidence.last_test < _TEST_INTERVAL_S:
            return 0.0
        quiet_s = now - max(evidence.limit_reached or now, evidence.last_test)
        certain_s = _TEST_OF_ANSWERED_S if evidence.was_answered else _TEST_S
        return max(quiet_s / certain_s, 1.0 / self._fleet_size())

    def _is_proven(self, feature: str, evidence: CrashEvidence) -> bool:
        """Returns whether all other parts of the lost requests are harmless."""
        others = [
            other
            for crash in evidence.crashes
            for name in self._lost_features.get(crash, ())
            if name != feature
            and (other := self._evidence.get(name)) is not None
            and other.is_part
        ]
        return bool(others) and all(
            other.crashes.keys().isdisjoint(evidence.crashes)
            for other in others
        )

    def _takes_trial(self, feature: str, evidence: CrashEvidence) -> bool:
        now = self._clock.monotonic()
        quiet_s = now - max(evidence.last_crash, evidence.last_trial)
        trial_s = evidence.trial_s
        if quiet_s >= trial_s and self._is_proven(feature, evidence):
            trial_s *= _PROVEN_TRIAL_FACTOR
        if quiet_s < trial_s or self._random() * self._fleet_size() >= 1.0:
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

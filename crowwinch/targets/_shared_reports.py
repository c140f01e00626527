"""Target reports that other routers send to the local scheduler."""

import enum
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.targets._monitor import TargetReport

# The poll period and half of it: a report that is missing for longer is
# replaced by a poll of the scheduler's router. With the check period of 0.25 s
# and a poll of at most 1 s, a target that leaves is known within 3 s.
REPORT_LIFETIME_S = 1.5
# The allowance of a target rises with each report, so two pollers of one
# target must not count as two reports a second.
_SPACING_S = 0.5
# Clocks of machines drift apart by less than 1 ms between two messages.
_DRIFT_S = 0.001
_FIELDS = 6


class PolledState(enum.IntEnum):
    """State of a target. The numbers are part of the wire format."""

    LIVE = 0
    LEAVING = 1
    UNREACHABLE = 2


def encode_reports(
    reports: Iterable[tuple[TargetReport, float]],
) -> list[int]:
    """Encodes reports as the numbers of a message.

    Args:
        reports: Each with the seconds since the poll ended.
    """
    numbers = []
    for report, waited_s in reports:
        state = PolledState.LEAVING if report.leaving else PolledState.LIVE
        if not report.is_reachable:
            state = PolledState.UNREACHABLE
        numbers += (
            report.target,
            int((report.age + waited_s) * 1e3),
            report.running,
            report.waiting,
            int(state),
            math.ceil(report.time_to_first_token_s * 100),
        )
    return numbers


@dataclass(slots=True)
class _Poller:
    life: int
    # Own clock minus the poller's clock and the shortest known time on the way.
    offset_s: float


class SharedReports:
    """Selects the reports for the scheduler and the targets to poll.

    Clocks of different machines are not compared: the time that a message
    was on the way is how much later it came than the fastest one of its
    sender. The first message of a sender only sets this reference.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes the table without reports."""
        self._clock = clock
        self._pollers: dict[str, _Poller] = {}
        self._reported: dict[int, float] = {}
        self._accepted: dict[int, tuple[float, bool]] = {}
        self._has_unreachable = False

    @property
    def has_unreachable(self) -> bool:
        """Whether the last message reported an unreachable target."""
        return self._has_unreachable

    def reset(self) -> None:
        """Discards all reports, so that every target is polled locally."""
        self._reported.clear()
        self._accepted.clear()

    def retain(self, routers: Iterable[str]) -> None:
        """Removes the reports of all routers but these."""
        routers = set(routers)
        self._pollers = {
            name: poller
            for name, poller in self._pollers.items()
            if name in routers
        }

    def receive(
        self, sender: str, life: int, sent_ms: int, numbers: Sequence[int]
    ) -> list[TargetReport]:
        """Returns the reports in a message that are new and recent.

        Args:
            sender: Name of the router that polled.
            life: Start time of that router.
            sent_ms: Time of the sender's clock when it sent.
            numbers: What `encode_reports` returned.
        """
        self._has_unreachable = False
        now = self._clock.monotonic()
        offset = now - sent_ms / 1e3
        poller = self._pollers.get(sender)
        if poller is None or poller.life != life:
            self._pollers[sender] = _Poller(life, offset)
            return []
        poller.offset_s = min(poller.offset_s + _DRIFT_S, offset)
        on_the_way_s = offset - poller.offset_s
        reports = []
        for index in range(0, len(numbers) - _FIELDS + 1, _FIELDS):
            target, age_ms, running, waiting, state, first_token = numbers[
                index : index + _FIELDS
            ]
            age = age_ms / 1e3 + on_the_way_s
            if state == PolledState.UNREACHABLE:
                # The poller may be cut off from the target; an own poll tells.
                self._reported.pop(target, None)
                self._has_unreachable = True
            elif age < REPORT_LIFETIME_S:
                self._reported[target] = now - age
                report = TargetReport(
                    target,
                    0,
                    running,
                    waiting,
                    state == PolledState.LEAVING,
                    first_token / 100,
                    age,
                )
                if self.accept(report):
                    reports.append(report)
        return reports

    def accept(self, report: TargetReport) -> bool:
        """Returns whether a report is due; also asked for own polls.

        A report that a target becomes unusable or usable is always due.
        """
        now = self._clock.monotonic()
        measured = now - report.age if report.is_reachable else now
        is_usable = report.is_reachable and not report.leaving
        last, was_usable = self._accepted.get(report.target, (-math.inf, True))
        spacing = _SPACING_S if is_usable == was_usable else 0.0
        if measured <= last + spacing:
            return False
        self._accepted[report.target] = (measured, is_usable)
        return True

    def unreported(self, targets: Iterable[int]) -> set[int]:
        """Returns the targets for which no router sends recent reports."""
        oldest = self._clock.monotonic() - REPORT_LIFETIME_S
        return {
            target
            for target in targets
            if self._reported.get(target, -math.inf) < oldest
        }

"""Target reports that other routers send to the local scheduler."""

import enum
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.targets._monitor import TargetReport

# One and a half poll periods. The scheduler's router polls a target itself if
# its last report is older. With the check period of 0.25 s and a poll timeout
# of 1 s, a leaving target is detected within 3 s.
REPORT_LIFETIME_S = 1.5
# Minimum time between two reports of a target. The allowance of a target rises
# with each report, so it would rise twice as fast while two routers poll the
# same target.
_MIN_REPORT_SPACING_S = 0.5
# The clocks of two routers drift apart by less than 1 ms between two messages.
_MAX_CLOCK_DRIFT_S = 0.001
_VALUES_PER_REPORT = 6


class PolledState(enum.IntEnum):
    """State of a polled target. The values are part of the wire format."""

    LIVE = 0
    LEAVING = 1
    UNREACHABLE = 2


def encode_reports(
    reports: Iterable[tuple[TargetReport, float]],
) -> list[int]:
    """Encodes reports as a flat list of integers.

    Args:
        reports: Pairs of a report and the seconds since its poll ended.
    """
    encoded = []
    for report, elapsed_s in reports:
        state = PolledState.LEAVING if report.leaving else PolledState.LIVE
        if not report.is_reachable:
            state = PolledState.UNREACHABLE
        encoded += (
            report.target,
            int((report.age + elapsed_s) * 1e3),
            report.running,
            report.waiting,
            int(state),
            math.ceil(report.time_to_first_token_s * 100),
        )
    return encoded


@dataclass(slots=True)
class _SenderClock:
    start_time: int
    # Local clock minus the sender's clock, plus the shortest observed transit
    # time.
    offset_s: float


class SharedReports:
    """Selects the reports for the scheduler and the targets to poll.

    Clocks of different routers are not assumed to be synchronized. The transit
    time of a message is estimated as its delay relative to the fastest message
    of the same sender. The first message of a sender only sets this reference;
    its reports are ignored.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes the object without reports."""
        self._clock = clock
        self._sender_clocks: dict[str, _SenderClock] = {}
        self._last_measured: dict[int, float] = {}
        self._last_accepted: dict[int, tuple[float, bool]] = {}
        self._has_unreachable = False

    @property
    def has_unreachable(self) -> bool:
        """Whether the last message reported an unreachable target."""
        return self._has_unreachable

    def reset(self) -> None:
        """Discards all reports, so that every target is polled locally."""
        self._last_measured.clear()
        self._last_accepted.clear()

    def retain(self, routers: Iterable[str]) -> None:
        """Discards the clock offsets of all routers except the given ones."""
        routers = set(routers)
        self._sender_clocks = {
            name: sender_clock
            for name, sender_clock in self._sender_clocks.items()
            if name in routers
        }

    def receive(
        self, sender: str, start_time: int, sent_ms: int, encoded: Sequence[int]
    ) -> list[TargetReport]:
        """Returns the reports in a message that are new and recent.

        Args:
            sender: Name of the router that polled the targets.
            start_time: Start time of the sender, which identifies its process.
            sent_ms: Send time by the sender's clock in milliseconds.
            encoded: Reports as encoded by `encode_reports`.
        """
        self._has_unreachable = False
        now = self._clock.monotonic()
        offset = now - sent_ms / 1e3
        sender_clock = self._sender_clocks.get(sender)
        if sender_clock is None or sender_clock.start_time != start_time:
            self._sender_clocks[sender] = _SenderClock(start_time, offset)
            return []
        sender_clock.offset_s = min(
            sender_clock.offset_s + _MAX_CLOCK_DRIFT_S, offset
        )
        transit_s = offset - sender_clock.offset_s
        reports = []
        for index in range(
            0, len(encoded) - _VALUES_PER_REPORT + 1, _VALUES_PER_REPORT
        ):
            target, age_ms, running, waiting, state, centiseconds = encoded[
                index : index + _VALUES_PER_REPORT
            ]
            age = age_ms / 1e3 + transit_s
            if state == PolledState.UNREACHABLE:
                # The network may have failed only between the sender and the
                # target, so the local router polls the target itself.
                self._last_measured.pop(target, None)
                self._has_unreachable = True
            elif age < REPORT_LIFETIME_S:
                self._last_measured[target] = now - age
                report = TargetReport(
                    target,
                    0,
                    running,
                    waiting,
                    state == PolledState.LEAVING,
                    centiseconds / 100,
                    age,
                )
                if self.accept(report):
                    reports.append(report)
        return reports

    def accept(self, report: TargetReport) -> bool:
        """Returns whether to pass on a report, and records it if so.

        Reports of the local router's own polls are checked as well. A report
        that changes whether the target is usable is accepted without the
        minimum spacing.
        """
        now = self._clock.monotonic()
        measured_at = now - report.age if report.is_reachable else now
        is_usable = report.is_reachable and not report.leaving
        last, was_usable = self._last_accepted.get(
            report.target, (-math.inf, True)
        )
        spacing = _MIN_REPORT_SPACING_S if is_usable == was_usable else 0.0
        if measured_at <= last + spacing:
            return False
        self._last_accepted[report.target] = (measured_at, is_usable)
        return True

    def unreported(self, targets: Iterable[int]) -> set[int]:
        """Returns the targets without a recent report of another router."""
        oldest = self._clock.monotonic() - REPORT_LIFETIME_S
        return {
            target
            for target in targets
            if self._last_measured.get(target, -math.inf) < oldest
        }

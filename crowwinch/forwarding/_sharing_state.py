"""The decision classes that one router uses."""

from dataclasses import dataclass

from crowwinch.sharing import (
    Admission,
    CrashCounts,
    Decision,
    EngineSpeeds,
    PrefixCacheTracker,
    Reservation,
    SlidingWindowRetryBudget,
    TargetHealth,
    TargetLoads,
    Verdict,
    Work,
    WorkspaceShares,
)


@dataclass(frozen=True, slots=True)
class Placement:
    """The end of a wait with what it takes at the target.

    Attributes:
        decision: The decision.
        reservation: Work counted at the target, None for a refusal.
    """

    decision: Decision
    reservation: Reservation | None


@dataclass(slots=True)
class SharingState:
    """The decision classes that one router uses."""

    admission: Admission
    budget: SlidingWindowRetryBudget
    crashes: CrashCounts
    health: TargetHealth
    loads: TargetLoads
    prefixes: PrefixCacheTracker
    shares: WorkspaceShares
    speeds: EngineSpeeds

    def place(self, work: Work, decision: Decision) -> Placement:
        """Counts a request at its target.

        Decisions of one poll follow each other, so each has to be counted
        before the next one is made.
        """
        if decision.verdict is not Verdict.SEND:
            return Placement(decision, None)
        reservation = self.loads.reserve(
            decision.target, decision.reading_s, decision.expected_s
        )
        self.shares.record_usage(work.workspace, work.cost)
        if work.parts:
            self.prefixes.record_prefill(
                decision.target, work, decision.is_home
            )
        return Placement(decision, reservation)

    def give_back(self, work: Work, placement: Placement) -> None:
        """Takes back the count of a request that is not sent."""
        if placement.reservation is not None:
            placement.reservation.finish()
            self.shares.revert_usage(work.workspace, work.cost)

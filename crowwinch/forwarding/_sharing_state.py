"""State for admission, placement and retries of one router."""

from dataclasses import dataclass, field

from crowwinch.sharing import (
    Admission,
    CallerDeadlines,
    CallerWaits,
    ColdTargets,
    CrashSuspects,
    Decision,
    EngineSpeeds,
    PrefixCacheTracker,
    Reservation,
    SlidingWindowRetryBudget,
    StartPace,
    TargetHealth,
    TargetLimits,
    TargetLoads,
    TargetRateLimits,
    Verdict,
    Work,
    WorkspaceShares,
)


@dataclass(frozen=True, slots=True)
class Placement:
    """A decision on a waiting request and its reservation at the target.

    Attributes:
        decision: Selected target or refusal.
        reservation: Load reserved at the target, None for a refusal.
        placed_at: Monotonic time of the decision.
    """

    decision: Decision
    reservation: Reservation | None
    placed_at: float


@dataclass(slots=True)
class SharingState:
    """State for admission, placement and retries of one router."""

    admission: Admission
    budget: SlidingWindowRetryBudget
    caller_waits: CallerWaits
    cold: ColdTargets
    crashes: CrashSuspects
    health: TargetHealth
    limits: TargetLimits
    loads: TargetLoads
    pace: StartPace
    prefixes: PrefixCacheTracker
    rate_limits: TargetRateLimits
    shares: WorkspaceShares
    speeds: EngineSpeeds
    deadlines: CallerDeadlines = field(default_factory=CallerDeadlines)

    def place(self, work: Work, decision: Decision, now: float) -> Placement:
        """Reserves load at the target and charges the workspace.

        One poll makes several decisions in a row, so each must be accounted
        for before the next one is made.
        """
        if decision.verdict is not Verdict.SEND:
            return Placement(decision, None, now)
        reservation = self.loads.reserve_decided(decision)
        self.limits.take(decision.target, decision.target_life)
        self.shares.record_usage(work.workspace, work.cost)
        if work.parts:
            self.prefixes.record_prefill(
                decision.target, work, decision.is_home
            )
        return Placement(decision, reservation, now)

    def release(self, work: Work, placement: Placement) -> None:
        """Undoes `place` for a request that is not sent.

        Recorded prompt prefixes are kept.
        """
        if placement.reservation is not None:
            placement.reservation.finish()
            decision = placement.decision
            self.limits.give_back(decision.target, decision.target_life)
            self.shares.revert_usage(work.workspace, work.cost)

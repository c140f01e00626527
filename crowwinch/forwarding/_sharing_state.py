"""The decision classes that one router uses."""

from dataclasses import dataclass

from crowwinch.sharing import (
    Admission,
    CrashCounts,
    EngineSpeeds,
    KeptPrefixes,
    RepeatBudget,
    TargetHealth,
    TargetLoads,
    WorkspaceShares,
)


@dataclass(slots=True)
class SharingState:
    """The decision classes that one router uses."""

    admission: Admission
    budget: RepeatBudget
    crashes: CrashCounts
    health: TargetHealth
    loads: TargetLoads
    prefixes: KeptPrefixes
    shares: WorkspaceShares
    speeds: EngineSpeeds

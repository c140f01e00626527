"""Admission control, load balancing and fair sharing between workspaces.

This package does no I/O and reads the time only from an injected clock.
"""

from crowwinch.sharing._admission import Admission
from crowwinch.sharing._caller_deadlines import CallerDeadlines
from crowwinch.sharing._caller_waits import CallerWait, CallerWaits
from crowwinch.sharing._cold_starts import ColdCause, ColdReport, ColdStart
from crowwinch.sharing._cold_targets import ColdTargets
from crowwinch.sharing._crash_suspects import (
    CrashSuspects,
    RequestFeatures,
    SuspectReport,
)
from crowwinch.sharing._forecasts import Candidate
from crowwinch.sharing._health import TargetHealth
from crowwinch.sharing._loads import Reservation, TargetLoads, TargetUse
from crowwinch.sharing._model import (
    Decision,
    PromptPart,
    TargetView,
    Verdict,
    Work,
)
from crowwinch.sharing._pace_window import PaceReport
from crowwinch.sharing._placer import Placer
from crowwinch.sharing._prefixes import PrefixCacheTracker
from crowwinch.sharing._rate_limits import RateLimitReport, TargetRateLimits
from crowwinch.sharing._retries import SlidingWindowRetryBudget
from crowwinch.sharing._shares import (
    WorkspaceShares,
    WorkspaceUse,
    max_min_shares,
    time_constant,
)
from crowwinch.sharing._speeds import EngineSpeeds
from crowwinch.sharing._start_pace import StartPace
from crowwinch.sharing._target_limits import (
    UNLIMITED,
    Allowance,
    LimitReason,
    TargetLimit,
    TargetLimits,
)
from crowwinch.sharing._ticket import Ticket

__all__ = [
    "Allowance",
    "LimitReason",
    "TargetLimit",
    "TargetLimits",
    "UNLIMITED",
    "Admission",
    "CallerDeadlines",
    "CallerWait",
    "CallerWaits",
    "Candidate",
    "ColdCause",
    "ColdReport",
    "ColdStart",
    "ColdTargets",
    "CrashSuspects",
    "Decision",
    "EngineSpeeds",
    "PaceReport",
    "Placer",
    "PrefixCacheTracker",
    "PromptPart",
    "RateLimitReport",
    "RequestFeatures",
    "Reservation",
    "SlidingWindowRetryBudget",
    "StartPace",
    "SuspectReport",
    "TargetHealth",
    "TargetLoads",
    "TargetRateLimits",
    "TargetUse",
    "TargetView",
    "Ticket",
    "Verdict",
    "Work",
    "WorkspaceShares",
    "WorkspaceUse",
    "max_min_shares",
    "time_constant",
]

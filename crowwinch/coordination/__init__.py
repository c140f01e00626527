"""Coordination parts that can be used alone.

The package imports nothing from the rest of the project.
"""

from crowwinch.coordination._components import Component
from crowwinch.coordination._counters import CounterKey, MaxMergeCounters
from crowwinch.coordination._leases import (
    FencingGuard,
    Lease,
    LeaseExpiredError,
)
from crowwinch.coordination._link import (
    Frame,
    LinkFullError,
    LinkOptions,
    ReliableLink,
)
from crowwinch.coordination._loop_lag import LoopLag
from crowwinch.coordination._members import (
    Ack,
    MemberChange,
    MembershipMessage,
    MembershipOptions,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    incarnation_of,
    life_of,
)
from crowwinch.coordination._membership import Membership
from crowwinch.coordination._placement import identifier, owner, rank
from crowwinch.coordination._timer_driver import TimerDriver
from crowwinch.coordination._timers import (
    Clock,
    ManualClock,
    Subscription,
    SystemClock,
    TimerService,
)
from crowwinch.coordination._versions import MonotonicValue, Offer, Version

__all__ = [
    "Ack",
    "Clock",
    "Component",
    "CounterKey",
    "FencingGuard",
    "Frame",
    "Lease",
    "LeaseExpiredError",
    "LinkFullError",
    "LinkOptions",
    "LoopLag",
    "ManualClock",
    "MaxMergeCounters",
    "MemberChange",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipMessage",
    "MembershipOptions",
    "MonotonicValue",
    "Offer",
    "Ping",
    "PingRequest",
    "ReliableLink",
    "Subscription",
    "SystemClock",
    "TimerDriver",
    "TimerService",
    "Version",
    "identifier",
    "incarnation_of",
    "life_of",
    "owner",
    "rank",
]

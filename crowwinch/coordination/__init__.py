"""Coordination parts that can be used alone.

The package imports nothing from the rest of the project.
"""

from crowwinch.coordination._link import (
    Frame,
    LinkFullError,
    LinkOptions,
    ReliableLink,
)
from crowwinch.coordination._placement import identifier, owner, rank
from crowwinch.coordination._timers import (
    Clock,
    ManualClock,
    Subscription,
    SystemClock,
    TimerService,
)

__all__ = [
    "Clock",
    "Frame",
    "LinkFullError",
    "LinkOptions",
    "ManualClock",
    "ReliableLink",
    "Subscription",
    "SystemClock",
    "TimerService",
    "identifier",
    "owner",
    "rank",
]

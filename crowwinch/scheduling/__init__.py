"""Fair order of requests over the slots of targets."""

from crowwinch.scheduling._first_free import FirstFreeDispatcher
from crowwinch.scheduling._interfaces import (
    Dispatcher,
    RequestClass,
    Slot,
    SlotOutcome,
    SlotRequest,
)

__all__ = [
    "Dispatcher",
    "FirstFreeDispatcher",
    "RequestClass",
    "Slot",
    "SlotOutcome",
    "SlotRequest",
]

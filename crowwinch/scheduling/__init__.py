"""Weighted fair scheduling of requests on the slots of targets."""

from crowwinch.scheduling._dispatcher import RouterDispatcher
from crowwinch.scheduling._domain_scheduler import DomainScheduler
from crowwinch.scheduling._estimates import CostEstimator
from crowwinch.scheduling._fair_queue import Entry, FairQueue
from crowwinch.scheduling._interfaces import (
    Dispatcher,
    RequestClass,
    Slot,
    SlotOutcome,
    SlotRequest,
)
from crowwinch.scheduling._pacing import Pacing, UnlimitedPacing
from crowwinch.scheduling._service import SchedulingMessage, SchedulingService
from crowwinch.scheduling._slots import GRANT_LIFETIME_S, WaitingRequest
from crowwinch.scheduling._target_limits import TargetLimit, TargetReport

__all__ = [
    "GRANT_LIFETIME_S",
    "CostEstimator",
    "Dispatcher",
    "DomainScheduler",
    "Entry",
    "FairQueue",
    "Pacing",
    "RequestClass",
    "RouterDispatcher",
    "SchedulingMessage",
    "SchedulingService",
    "Slot",
    "SlotOutcome",
    "SlotRequest",
    "TargetLimit",
    "TargetReport",
    "UnlimitedPacing",
    "WaitingRequest",
]

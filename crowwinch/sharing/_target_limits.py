"""Limits on how many requests a target may get.

Several rules limit a target at the same time: the rate that it names itself,
the rate that it bears after a start, the pace at which it recovers. They have
one interface, so that admission, placement and operators ask one object.
"""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from crowwinch.sharing._model import TargetView


class LimitReason(enum.Enum):
    """Why a target may not get a request of this router now."""

    NONE = "none"
    RATE_LIMIT = "rate_limit"
    COLD = "cold"
    PACE = "pace"


@dataclass(frozen=True, slots=True)
class Allowance:
    """When a target may get the next request of this router.

    Attributes:
        wait_s: Seconds until then, 0 if it may now, inf if no time is known.
        reason: What limits it, NONE if nothing does.
    """

    wait_s: float = 0.0
    reason: LimitReason = LimitReason.NONE


UNLIMITED = Allowance()


class TargetLimit(Protocol):
    """One limit on the requests to targets.

    A limit without information on a target does not restrict it.
    """

    def allowance(self, target: TargetView) -> Allowance:
        """Returns when a target may get a request of this router."""

    def rate_per_s(self, target: TargetView) -> float:
        """Returns the requests per second that this router may send.

        It is inf where no rate is limited.
        """

    def take(self, target: str, life: int) -> None:
        """Counts a request that is sent to a target.

        Args:
            target: Identifier of the target.
            life: Start of the target.
        """

    def give_back(self, target: str, life: int) -> None:
        """Reverts `take` for a request that was not sent."""


class TargetLimits:
    """All limits on the requests to targets."""

    def __init__(self, limits: Sequence[TargetLimit]) -> None:
        """Creates an instance.

        Args:
            limits: The limits. All of them must allow a request.
        """
        self._limits = tuple(limits)

    def allowance(self, target: TargetView) -> Allowance:
        """Returns the longest wait that a limit imposes, and which limit."""
        longest = UNLIMITED
        for limit in self._limits:
            allowance = limit.allowance(target)
            if allowance.wait_s > longest.wait_s:
                longest = allowance
        return longest

    def allowances(self, target: TargetView) -> list[Allowance]:
        """Returns the waits of all limits that restrict a target now."""
        allowances = [limit.allowance(target) for limit in self._limits]
        return [each for each in allowances if each.wait_s > 0.0]

    def rate_per_s(self, target: TargetView) -> float:
        """Returns the lowest rate of requests that a limit allows."""
        return min(
            (limit.rate_per_s(target) for limit in self._limits),
            default=math.inf,
        )

    def take(self, target: str, life: int) -> None:
        """Counts a request that is sent to a target."""
        for limit in self._limits:
            limit.take(target, life)

    def give_back(self, target: str, life: int) -> None:
        """Reverts `take` for a request that was not sent."""
        for limit in self._limits:
            limit.give_back(target, life)

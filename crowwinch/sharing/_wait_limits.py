"""Limits on the time for which requests wait for a target.

Load: bursts, which are served as fast as slots become free and are worth
waiting for; and sustained overload, in which each wait makes an answer late.
"""

from collections.abc import Sequence

from crowwinch.coordination import Clock
from crowwinch.sharing._claim import Claim
from crowwinch.sharing._forecasts import TargetStatus
from crowwinch.sharing._standing_queues import StandingQueues
from crowwinch.sharing._ticket import Ticket

# Maximum wait of a request within its workspace's share, as a multiple of its
# target latency. Under sustained overload the queue is as long as this allows,
# so what is left must suffice for an answer in time.
_MAX_WAIT_FACTOR = 0.7
# The same for a slot while the queue is not standing. Above 1 because a late
# answer has more value than a refusal, whose caller returns even later.
_BURST_MAX_WAIT_FACTOR = 1.5
# Forecasts of the wait for a rate limit are uncertain: others may leave first.
_LIMIT_WAIT_SLACK = 2.0
# A request over the share is rejected before its caller notices the wait.
_OVER_SHARE_MAX_WAIT_FACTOR = 0.125


class WaitLimits:
    """Decides how long a request that found no room may wait."""

    def __init__(self, clock: Clock, standing: StandingQueues) -> None:
        """Creates limits that depend on which queues are standing.

        Args:
            clock: Monotonic time.
            standing: Queues of the router.
        """
        self._clock = clock
        self._standing = standing

    def may_wait(
        self,
        ticket: Ticket,
        claim: Claim,
        statuses: Sequence[TargetStatus],
        limit_wait_s: float = 0.0,
    ) -> bool:
        """Returns whether a request stays queued.

        Args:
            ticket: The request.
            claim: Its claim at this moment.
            statuses: Targets that have no room for it.
            limit_wait_s: Seconds until the rate limits of all targets allow it,
                0 if a target has no limit.
        """
        if self._is_useless(ticket, claim):
            return False
        max_wait_s = min(
            self._max_wait_s(ticket, claim, statuses),
            ticket.deadline - ticket.arrived,
        )
        return (
            claim.waited_s < max_wait_s
            and claim.waited_s + limit_wait_s <= max_wait_s * _LIMIT_WAIT_SLACK
        )

    def _is_useless(self, ticket: Ticket, claim: Claim) -> bool:
        """Returns whether a request could only be answered late.

        In a standing queue, those that still can be in time take what becomes
        free.
        """
        return (
            claim.is_within
            and claim.is_large
            and self._clock.monotonic() >= ticket.latest_start
            and self._is_standing(ticket)
        )

    def _max_wait_s(
        self, ticket: Ticket, claim: Claim, statuses: Sequence[TargetStatus]
    ) -> float:
        """Returns the maximum wait of a request in seconds.

        A burst that fills all slots is served as fast as they become free.
        Prompts that wait to be read make each other late instead.
        """
        if not claim.is_within:
            return claim.latency_s * _OVER_SHARE_MAX_WAIT_FACTOR
        waits_for_slot = all(status.use >= 1.0 for status in statuses)
        if (
            waits_for_slot
            and not ticket.is_late
            and not self._is_standing(ticket)
        ):
            return claim.latency_s * _BURST_MAX_WAIT_FACTOR
        return claim.latency_s * _MAX_WAIT_FACTOR

    def _is_standing(self, ticket: Ticket) -> bool:
        return self._standing.is_standing(ticket.work.service, ticket.latency_s)

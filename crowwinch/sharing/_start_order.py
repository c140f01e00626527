"""Order in which the requests of a workspace are sent.

Load: requests with different target latencies in an overloaded workspace. In
order of arrival, those that may wait longest took most slots, and the others
were refused before their turn came.
"""

from collections.abc import Iterable

from crowwinch.sharing._placer import Placer
from crowwinch.sharing._ticket import Ticket

# Fraction of the target latency that the last wait and the time at an idle
# target may take together. The rest covers the time at a busy one and what
# other routers have sent meanwhile.
_START_FRACTION = 0.7


class StartOrder:
    """Orders requests by the times by which they must start."""

    def __init__(self, placer: Placer) -> None:
        """Creates an order from the forecasts of a placer."""
        self._placer = placer

    def latest_start(self, ticket: Ticket) -> float:
        """Returns the monotonic time from which its answer is likely late."""
        longest_wait_s = (
            ticket.latency_s * _START_FRACTION
            - self._placer.alone_s(ticket.work)
            - ticket.prior_wait_s
        )
        return ticket.arrived + longest_wait_s

    @staticmethod
    def groups(queue: Iterable[Ticket]) -> tuple[list[Ticket], list[Ticket]]:
        """Returns the requests in order, those of late callers apart.

        Requests whose answers can be in time go first, streams that are taken
        up before new ones. A request that must be refused is at the head of its
        group, so that it is reached however many others wait.
        """
        ordered = sorted(
            queue,
            key=lambda ticket: (not ticket.is_taken_up, ticket.latest_start),
        )
        timely = [ticket for ticket in ordered if not ticket.is_late]
        late = [ticket for ticket in ordered if ticket.is_late]
        return timely, late

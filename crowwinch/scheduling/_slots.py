"""Slots assigned by a dispatcher and requests that wait for one."""

import asyncio
import bisect
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Protocol

from crowwinch.coordination import Clock, Subscription
from crowwinch.errors import RefusalError
from crowwinch.generated.peer_messages import DemandEntry, InFlight
from crowwinch.scheduling._interfaces import Slot, SlotOutcome, SlotRequest

# Time for which a grant may be used, counted from the router's own time stamp
# that the scheduler copied into its answer. A router thus detects grants that
# expired while it was paused.
GRANT_LIFETIME_S = 2.0
# Requests with less remaining time are sent to the scheduler early, so that
# callers learn immediately of those that cannot be served.
_URGENT_REMAINING_S = 30.0


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        number: Identifies the request to the scheduler. It is replaced when a
            slot is requested again after a grant expired.
        request: Describes the request.
        on_slot: Called with the slot.
        on_refusal: Called with the error if the request is refused.
        timeout: Timer of the deadline, or None.
        overtaken: Number of later requests that received a slot earlier because
            its target holds their prompt prefix.
    """

    number: int
    request: SlotRequest
    on_slot: Callable[[Slot], None]
    on_refusal: Callable[[RefusalError], None]
    timeout: Subscription | None = None
    overtaken: int = 0

    def cancel_timeout(self) -> None:
        """Cancels the timer of the deadline."""
        if self.timeout is not None:
            self.timeout.cancel()

    def is_urgent(self, now: float) -> bool:
        """Returns whether little time remains until the deadline.

        Args:
            now: Monotonic time in seconds.
        """
        deadline = self.request.deadline
        return deadline is not None and deadline - now < _URGENT_REMAINING_S

    def to_entry(self, now: float) -> DemandEntry:
        """Returns the request as an entry of a message.

        Args:
            now: Monotonic time in seconds.
        """
        request = self.request
        remaining_ms = 0
        if request.deadline is not None:
            remaining_ms = max(round((request.deadline - now) * 1000), 1)
        return DemandEntry(
            self.number,
            request.workspace,
            request.group,
            int(request.request_class),
            max(request.estimate, 0),
            remaining_ms,
            request.exclusive,
            request.preferred,
        )


_SortedRequests = list[tuple[int, float, int, WaitingRequest]]


class WaitingTable:
    """Waiting requests, indexed by number and sorted in order of service."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_number: dict[int, WaitingRequest] = {}
        self._by_group: dict[int, dict[int, _SortedRequests]] = {}
        self.by_workspace: Counter[int] = Counter()

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._by_number)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterates in order of arrival."""
        return iter(self._by_number.values())

    def get(self, number: int) -> WaitingRequest | None:
        """Returns a waiting request, or None."""
        return self._by_number.get(number)

    def workspaces(self, group: int) -> Collection[int]:
        """Returns the workspaces with waiting requests in a group."""
        return self._by_group.get(group, {}).keys()

    def in_order(self, group: int, workspace: int) -> Iterator[WaitingRequest]:
        """Iterates over the requests of a workspace in order of service."""
        for item in reversed(self._by_group[group][workspace]):
            yield item[3]

    def count(self, group: int, workspace: int) -> int:
        """Returns the number of waiting requests of a workspace in a group."""
        return len(self._by_group.get(group, {}).get(workspace, ()))

    def count_ahead(self, waiting: WaitingRequest, max_count: int) -> int:
        """Returns how many requests precede one in order of service.

        Args:
            waiting: Request in the table.
            max_count: Maximum of the returned number.
        """
        request = waiting.request
        order = self.in_order(request.group, request.workspace)
        for count, each in enumerate(order):
            if each is waiting or count == max_count:
                return count
        return 0

    def add(self, waiting: WaitingRequest) -> None:
        """Adds a request."""
        request = waiting.request
        self._by_number[waiting.number] = waiting
        group = self._by_group.setdefault(request.group, {})
        order = group.setdefault(request.workspace, [])
        bisect.insort(order, (*_sort_key(waiting), waiting))
        self.by_workspace[request.workspace] += 1

    def remove(self, waiting: WaitingRequest) -> bool:
        """Removes a request.

        Returns:
            Whether it was waiting.
        """
        if self._by_number.get(waiting.number) is not waiting:
            return False
        workspace = waiting.request.workspace
        del self._by_number[waiting.number]
        group = self._by_group[waiting.request.group]
        order = group[workspace]
        del order[bisect.bisect_left(order, _sort_key(waiting))]
        if not order:
            del group[workspace]
        self.by_workspace[workspace] -= 1
        if not self.by_workspace[workspace]:
            del self.by_workspace[workspace]
        return True


def _sort_key(waiting: WaitingRequest) -> tuple[int, float, int]:
    request = waiting.request
    deadline = math.inf if request.deadline is None else request.deadline
    return (-int(request.request_class), -deadline, -waiting.number)


class SlotOwner(Protocol):
    """Receives notifications of a slot."""

    def slot_overrun(self, slot: "GrantedSlot") -> None:
        """Called before the charge of the slot is doubled."""

    def slot_finished(
        self, slot: "GrantedSlot", cost: int, outcome: SlotOutcome
    ) -> None:
        """Called when the slot is released."""


class GrantedSlot:
    """A slot that is granted to one request."""

    def __init__(
        self,
        owner: SlotOwner,
        clock: Clock,
        waiting: WaitingRequest,
        grant: int,
        target: int,
        charged: int,
        expires_at: float,
    ) -> None:
        """Creates the slot of a grant.

        Args:
            owner: Notified of overruns and of the end.
            clock: Provides monotonic time.
            waiting: Request that uses the slot.
            grant: Number of the grant.
            target: Identifier of the target.
            charged: Charged cost in service units.
            expires_at: Monotonic time in seconds from which no attempt may be
                started.
        """
        self._owner = owner
        self._clock = clock
        self._target = target
        self._expires_at = expires_at
        self._finished = False
        self.number = waiting.number
        self.request = waiting.request
        self.grant = grant
        self.charged = max(charged, 1)

    @property
    def target(self) -> int:
        """Identifier of the target."""
        return self._target

    def is_valid(self) -> bool:
        """Returns whether the slot may still be used to start an attempt."""
        return not self._finished and self._clock.monotonic() < self._expires_at

    def report_served(self, cost: int) -> None:
        """Reports the cost so far and doubles the charge if it is exceeded."""
        while not self._finished and cost > self.charged:
            self._owner.slot_overrun(self)
            self.charged *= 2

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        """Releases the slot; further calls have no effect."""
        if not self._finished:
            self._finished = True
            self._owner.slot_finished(self, max(cost, 0), outcome)

    def to_in_flight(self) -> InFlight:
        """Returns the attempt as an item of a registration."""
        return InFlight(
            self.number,
            self.grant,
            self.request.workspace,
            self.request.group,
            self._target,
            self.charged,
        )


class PendingSlot:
    """Future of a slot on the running event loop."""

    def __init__(self) -> None:
        """Creates a pending future."""
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Slot] = loop.create_future()

    def deliver(self, slot: Slot) -> None:
        """Completes the future, or releases the slot if it was cancelled."""
        if self.future.done():
            slot.finish(0, SlotOutcome.UNUSED)
        else:
            self.future.set_result(slot)

    def refuse(self, error: RefusalError) -> None:
        """Sets the error as the exception of the future."""
        if not self.future.done():
            self.future.set_exception(error)

    def release(self) -> None:
        """Releases a slot that was delivered before the wait was cancelled."""
        future = self.future
        if (
            future.done()
            and not future.cancelled()
            and future.exception() is None
        ):
            future.result().finish(0, SlotOutcome.UNUSED)

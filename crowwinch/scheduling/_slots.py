"""Slots that a dispatcher hands out and requests that wait for one."""

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

# Seconds after the router's own time stamp, which the scheduler copied, until
# a grant may be used. A router that was paused finds its grants expired.
GRANT_LIFETIME_S = 2.0


# A caller with less time left is told at once what cannot be served.
_URGENT_S = 30.0


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request without a slot.

    `number` identifies the ask to the scheduler; a repeated ask after an
    expired grant gets a new one. `overtaken` counts later requests that took a
    slot before it because the slot's target holds their prompt prefix.
    """

    number: int
    request: SlotRequest
    on_slot: Callable[[Slot], None]
    on_refusal: Callable[[RefusalError], None]
    timeout: Subscription | None = None
    overtaken: int = 0

    def stop_timeout(self) -> None:
        """Cancels the call at the deadline."""
        if self.timeout is not None:
            self.timeout.cancel()

    def is_urgent(self, now: float) -> bool:
        """Whether a late refusal would leave its caller little time."""
        deadline = self.request.deadline
        return deadline is not None and deadline - now < _URGENT_S

    def to_entry(self, now: float) -> DemandEntry:
        """Returns the entry of a message at a monotonic time."""
        request = self.request
        left = 0
        if request.deadline is not None:
            left = max(round((request.deadline - now) * 1000), 1)
        return DemandEntry(
            self.number,
            request.workspace,
            request.group,
            int(request.request_class),
            max(request.estimate, 0),
            left,
            request.exclusive,
            request.preferred,
        )


_Order = list[tuple[int, float, int, WaitingRequest]]


class WaitingTable:
    """Requests without a slot, by number and in order of service."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_number: dict[int, WaitingRequest] = {}
        self._by_group: dict[int, dict[int, _Order]] = {}
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
        """Returns the workspaces that wait in a group."""
        return self._by_group.get(group, {}).keys()

    def in_order(self, group: int, workspace: int) -> Iterator[WaitingRequest]:
        """Iterates over a workspace's requests, first to be served first."""
        for item in reversed(self._by_group[group][workspace]):
            yield item[3]

    def count(self, group: int, workspace: int) -> int:
        """Returns how many requests of a workspace wait in a group."""
        return len(self._by_group.get(group, {}).get(workspace, ()))

    def ahead(self, waiting: WaitingRequest, most: int) -> int:
        """Returns how many requests are served before one, up to a number."""
        request = waiting.request
        order = self.in_order(request.group, request.workspace)
        for count, each in enumerate(order):
            if each is waiting or count == most:
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
    """What a slot tells its dispatcher."""

    def slot_overrun(self, slot: "GrantedSlot") -> None:
        """The charge of the slot is to be doubled."""

    def slot_finished(
        self, slot: "GrantedSlot", cost: int, outcome: SlotOutcome
    ) -> None:
        """The slot is given back."""


class GrantedSlot:
    """A slot that a grant gives to one request."""

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
        """Takes over a grant for a request."""
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
        """Reports the cost so far; doubles the charge when it is exceeded."""
        while not self._finished and cost > self.charged:
            self._owner.slot_overrun(self)
            self.charged *= 2

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        """Gives the slot back; further calls change nothing."""
        if not self._finished:
            self._finished = True
            self._owner.slot_finished(self, max(cost, 0), outcome)

    def to_in_flight(self) -> InFlight:
        """Returns the attempt as a registration lists it."""
        return InFlight(
            self.number,
            self.grant,
            self.request.workspace,
            self.request.group,
            self._target,
            self.charged,
        )


class PendingSlot:
    """Future of a slot, for use on the running event loop."""

    def __init__(self) -> None:
        """Creates a pending future."""
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Slot] = loop.create_future()

    def deliver(self, slot: Slot) -> None:
        """Completes the future; a cancelled wait gives the slot back."""
        if self.future.done():
            slot.finish(0, SlotOutcome.UNUSED)
        else:
            self.future.set_result(slot)

    def refuse(self, error: RefusalError) -> None:
        """Fails the future."""
        if not self.future.done():
            self.future.set_exception(error)

    def give_back(self) -> None:
        """Returns a slot that arrived while the wait was cancelled."""
        future = self.future
        if (
            future.done()
            and not future.cancelled()
            and future.exception() is None
        ):
            future.result().finish(0, SlotOutcome.UNUSED)

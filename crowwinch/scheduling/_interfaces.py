"""What a request asks of the scheduling side and gets from it."""

import enum
from dataclasses import dataclass
from typing import Protocol


class RequestClass(enum.IntEnum):
    """Order of requests inside one workspace."""

    INTERACTIVE = 0
    BULK = 1


class SlotOutcome(enum.IntEnum):
    """How the use of a slot ended. The numbers are part of the wire format."""

    SERVED = 0
    UNUSED = 1
    FAILED = 2


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that waits for a slot.

    Attributes:
        workspace: Identifier of the workspace.
        group: Identifier of the group of targets.
        request_class: Order inside the workspace.
        estimate: Hint of the cost in service units, an upper limit if known.
        deadline: Monotonic time in seconds, or None.
        exclusive: Whether the request must run alone on its target.
        excluded_targets: Targets not to be used, for instance after a failure.
        preferred: Target that may hold the prompt prefix, 0 for none.
    """

    workspace: int
    group: int
    request_class: RequestClass = RequestClass.INTERACTIVE
    estimate: int = 1
    deadline: float | None = None
    exclusive: bool = False
    excluded_targets: frozenset[int] = frozenset()
    preferred: int = 0


class Slot(Protocol):
    """One slot of a target, held until `finish`."""

    @property
    def target(self) -> int:
        """Identifier of the target."""

    def is_valid(self) -> bool:
        """Returns whether the slot may still be used to start an attempt."""

    def report_served(self, cost: int) -> None:
        """Reports the cost so far in service units."""

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        """Gives the slot back; further calls change nothing.

        Args:
            cost: Real cost in service units.
            outcome: How the use ended.
        """


class Dispatcher(Protocol):
    """Gives out slots in fair order."""

    async def acquire(self, request: SlotRequest) -> Slot:
        """Waits for a slot.

        Cancelling the wait withdraws the request.

        Raises:
            RefusalError: If the request cannot be served in time.
        """

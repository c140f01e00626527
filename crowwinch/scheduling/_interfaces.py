"""Interfaces between request handling and scheduling."""

import enum
from dataclasses import dataclass
from typing import Protocol


class RequestClass(enum.IntEnum):
    """Priority of a request within its workspace; lower values come first."""

    INTERACTIVE = 0
    BULK = 1


class SlotOutcome(enum.IntEnum):
    """Result of using a slot. The values are part of the wire format."""

    SERVED = 0
    UNUSED = 1
    FAILED = 2


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        workspace: Identifier of the workspace.
        group: Identifier of the group of targets.
        request_class: Priority within the workspace.
        estimate: Cost hint in service units, an upper bound if known.
        deadline: Monotonic time in seconds, None for no deadline.
        exclusive: Whether no other request may run on the target meanwhile.
        excluded_targets: Targets that must not be used, such as those of
            failed attempts.
        preferred: Target that may have the prompt prefix cached, 0 for none.
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
    """A slot of a target, held until `finish` is called."""

    @property
    def target(self) -> int:
        """Identifier of the target."""

    def is_valid(self) -> bool:
        """Returns whether an attempt may still be started on the slot."""

    def report_served(self, cost: int) -> None:
        """Reports the cost incurred so far in service units."""

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        """Releases the slot. Further calls have no effect.

        Args:
            cost: Actual cost in service units.
            outcome: Result of using the slot.
        """


class Dispatcher(Protocol):
    """Allocates slots to requests in fair order."""

    async def acquire(self, request: SlotRequest) -> Slot:
        """Waits for a slot.

        Cancelling the coroutine withdraws the request.

        Raises:
            RefusalError: If the request cannot be served in time.
        """

"""Changes at a router that its scheduler has not been told yet."""

from collections.abc import Sequence

import msgspec

from crowwinch.generated.peer_messages import (
    Completion,
    Demand,
    ReusedSlot,
)
from crowwinch.scheduling._slots import WaitingRequest


class DemandOutbox:
    """Gathers events until they are sent in one message."""

    def __init__(self) -> None:
        """Creates an empty outbox."""
        self._entries: dict[int, WaitingRequest] = {}
        self._withdrawn: list[int] = []
        self._overruns: list[int] = []
        self._completions: list[Completion] = []
        self._reused: list[ReusedSlot] = []

    @property
    def events(self) -> int:
        """Number of events to send."""
        return (
            len(self._entries)
            + len(self._withdrawn)
            + len(self._overruns)
            + len(self._completions)
            + len(self._reused)
        )

    def add_entry(self, waiting: WaitingRequest) -> None:
        """Adds a request that waits."""
        self._entries[waiting.number] = waiting

    def withdraw(self, number: int) -> None:
        """Withdraws a request, without a trace if it was not yet sent."""
        if self._entries.pop(number, None) is None:
            self._withdrawn.append(number)

    def overrun(self, grant: int) -> None:
        """Doubles the charge of a grant."""
        for index, item in enumerate(self._reused):
            is_last = all(
                later.grant != grant for later in self._reused[index + 1 :]
            )
            if item.grant == grant and is_last:
                self._reused[index] = msgspec.structs.replace(
                    item, charged=item.charged * 2
                )
                return
        self._overruns.append(grant)

    def complete(self, completion: Completion) -> None:
        """Ends a grant."""
        self._completions.append(completion)

    def reuse(self, slot: ReusedSlot) -> None:
        """Passes a grant to another request."""
        self._reused.append(slot)

    def clear(self, keep_completions: bool) -> Sequence[Completion]:
        """Drops what a registration replaces.

        Args:
            keep_completions: Whether the receiver knows the ended grants.
        """
        completions = self._completions if keep_completions else []
        self.__init__()
        self._completions = completions
        return completions

    def take(self, echo_ms: int, now: float) -> Demand:
        """Returns all events as a message and empties the outbox."""
        message = Demand(
            echo_ms,
            [each.to_entry(now) for each in self._entries.values()],
            self._withdrawn,
            self._overruns,
            self._completions,
            self._reused,
        )
        self.__init__()
        return message

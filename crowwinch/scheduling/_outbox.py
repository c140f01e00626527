"""Changes at a router that its scheduler has not been told yet."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from crowwinch.generated.peer_messages import (
    Completion,
    Demand,
    ReusedSlot,
)
from crowwinch.scheduling._slots import WaitingRequest, WaitingTable

# New entries of one workspace and group in one message. Without this limit a
# flood of one workspace overdrew the control budget for seconds, and
# completions of all workspaces waited for it.
MAX_ENTRIES = 16
# New entries of one workspace and group in one message when the scheduler
# already has `MAX_ENTRIES`: a flood of entries took half of the budget.
FURTHER_ENTRIES = 4


class DemandOutbox:
    """Gathers events until they are sent in one message."""

    def __init__(self, table: WaitingTable) -> None:
        """Creates an empty outbox.

        Args:
            table: Requests that wait, announced or not.
        """
        self._table = table
        self._entries: dict[int, WaitingRequest] = {}
        self._withdrawn: list[int] = []
        self._overruns: list[int] = []
        self._completions: list[Completion] = []
        self._reused: list[ReusedSlot] = []

    @property
    def events(self) -> int:
        """Number of events that have not been sent."""
        return (
            len(self._entries)
            + len(self._withdrawn)
            + len(self._overruns)
            + len(self._completions)
            + len(self._reused)
        )

    @property
    def has_news(self) -> bool:
        """Whether the scheduler has few of the entries of some workspace."""
        return any(limit > FURTHER_ENTRIES for limit in self._room().values())

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
        self.__init__(self._table)
        self._completions = completions
        return completions

    def take(self, echo_ms: int, now: float) -> Demand:
        """Returns events as a message and takes them out of the outbox.

        All events go but for entries beyond `MAX_ENTRIES`.
        """
        taken = self._next_entries(now)
        for waiting in taken:
            del self._entries[waiting.number]
        message = Demand(
            echo_ms,
            [each.to_entry(now) for each in taken],
            self._withdrawn,
            self._overruns,
            self._completions,
            self._reused,
        )
        entries = self._entries
        self.__init__(self._table)
        self._entries = entries
        return message

    def _next_entries(self, now: float) -> Sequence[WaitingRequest]:
        """Returns the next entries, those of reused slots in any case."""
        if len(self._entries) <= MAX_ENTRIES:
            return list(self._entries.values())
        reused = {slot.request for slot in self._reused}
        room = self._room()
        taken = []
        for number, waiting in self._entries.items():
            key = (waiting.request.workspace, waiting.request.group)
            # The scheduler refuses at once what it cannot serve in time.
            is_urgent = waiting.is_urgent(now)
            least = FURTHER_ENTRIES - MAX_ENTRIES if is_urgent else 0
            if number not in reused and room[key] <= least:
                continue
            room[key] -= 1
            taken.append(waiting)
        return taken

    def _room(self) -> dict[tuple[int, int], int]:
        """Returns the most entries of each workspace and group to send now."""
        pending = Counter(
            (waiting.request.workspace, waiting.request.group)
            for waiting in self._entries.values()
        )
        return {
            (workspace, group): max(
                MAX_ENTRIES - self._table.count(group, workspace) + count,
                FURTHER_ENTRIES,
            )
            for (workspace, group), count in pending.items()
        }

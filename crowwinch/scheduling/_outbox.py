"""Queue of a router's events for the domain scheduler."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from crowwinch.generated.peer_messages import (
    Completion,
    Demand,
    ReusedSlot,
)
from crowwinch.scheduling._slots import WaitingRequest, WaitingTable

# Maximum number of new entries of one workspace and group in one message.
# Without this limit, a flood of one workspace exceeded the byte budget of
# control messages for seconds and delayed the completions of all workspaces.
MAX_NEW_ENTRIES = 16
# The same limit if the scheduler already holds `MAX_NEW_ENTRIES` of the
# workspace and group. Without it, a flood of entries used half of the byte
# budget.
MAX_FURTHER_ENTRIES = 4


class DemandOutbox:
    """Collects events to be sent in one message."""

    def __init__(self, table: WaitingTable) -> None:
        """Creates an empty outbox.

        Args:
            table: All waiting requests, including those not sent yet.
        """
        self._table = table
        self._entries: dict[int, WaitingRequest] = {}
        self._withdrawn: list[int] = []
        self._overruns: list[int] = []
        self._completions: list[Completion] = []
        self._reused: list[ReusedSlot] = []

    @property
    def events(self) -> int:
        """Number of pending events."""
        return (
            len(self._entries)
            + len(self._withdrawn)
            + len(self._overruns)
            + len(self._completions)
            + len(self._reused)
        )

    @property
    def has_underreported_entries(self) -> bool:
        """Whether few of a workspace's entries have reached the scheduler."""
        return any(
            limit > MAX_FURTHER_ENTRIES
            for limit in self._sendable_entries().values()
        )

    def add_entry(self, waiting: WaitingRequest) -> None:
        """Adds a waiting request."""
        self._entries[waiting.number] = waiting

    def withdraw(self, number: int) -> None:
        """Withdraws a request; one that has not been sent is just removed."""
        if self._entries.pop(number, None) is None:
            self._withdrawn.append(number)

    def overrun(self, grant: int) -> None:
        """Adds an overrun, which doubles the charge of a grant."""
        for index, item in enumerate(self._reused):
            is_latest = all(
                later.grant != grant for later in self._reused[index + 1 :]
            )
            if item.grant == grant and is_latest:
                self._reused[index] = msgspec.structs.replace(
                    item, charged=item.charged * 2
                )
                return
        self._overruns.append(grant)

    def complete(self, completion: Completion) -> None:
        """Adds the completion of a grant."""
        self._completions.append(completion)

    def reuse(self, slot: ReusedSlot) -> None:
        """Adds the reuse of a grant by another request."""
        self._reused.append(slot)

    def clear(self, keep_completions: bool) -> Sequence[Completion]:
        """Removes the events that a registration supersedes.

        Args:
            keep_completions: Whether the receiver made the grants of the
                pending completions and still needs them.

        Returns:
            The completions that were kept.
        """
        completions = self._completions if keep_completions else []
        self.__init__(self._table)
        self._completions = completions
        return completions

    def take(self, echo_ms: int, now: float) -> Demand:
        """Moves the pending events to a message.

        Entries beyond the limits of one message remain pending.

        Args:
            echo_ms: Time stamp of the message in milliseconds.
            now: Monotonic time in seconds.
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
        """Returns the entries to send, including all those of reused slots."""
        if len(self._entries) <= MAX_NEW_ENTRIES:
            return list(self._entries.values())
        reused = {slot.request for slot in self._reused}
        sendable = self._sendable_entries()
        taken = []
        for number, waiting in self._entries.items():
            key = (waiting.request.workspace, waiting.request.group)
            # Urgent entries are sent early because the scheduler immediately
            # refuses those that it cannot serve in time.
            is_urgent = waiting.is_urgent(now)
            threshold = (
                MAX_FURTHER_ENTRIES - MAX_NEW_ENTRIES if is_urgent else 0
            )
            if number not in reused and sendable[key] <= threshold:
                continue
            sendable[key] -= 1
            taken.append(waiting)
        return taken

    def _sendable_entries(self) -> dict[tuple[int, int], int]:
        """Returns how many entries of each workspace and group may be sent."""
        pending = Counter(
            (waiting.request.workspace, waiting.request.group)
            for waiting in self._entries.values()
        )
        return {
            (workspace, group): max(
                MAX_NEW_ENTRIES - self._table.count(group, workspace) + count,
                MAX_FURTHER_ENTRIES,
            )
            for (workspace, group), count in pending.items()
        }

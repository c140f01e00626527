"""Weighted fair queueing of waiting entries between workspaces."""

import bisect
import heapq
import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from crowwinch.configuration import EffectiveLimits, Snapshot
from crowwinch.coordination import Clock
from crowwinch.scheduling._accounts import (
    Account,
    LimitReader,
    UnitAccount,
    blocking_delay_s,
    consume_rate,
)
from crowwinch.scheduling._lazy_heap import LazyHeap


@dataclass(slots=True, eq=False)
class Entry:
    """A waiting request.

    Attributes:
        router: Name of the router that received the request.
        request: Number of the request at that router.
        workspace: Identifier of the workspace.
        group: Number of the group.
        request_class: Priority within the workspace; lower values come first.
        hint: Cost hint in service units, 0 if unknown.
        deadline: Monotonic time of the scheduler in seconds, infinite for none.
        exclusive: Whether no other request may run on the target meanwhile.
        avoided: Targets that must not be used.
        preferred: Target that may have the prompt prefix cached, 0 for none.
        arrival: Sequence number of arrival, assigned by the queue.
    """

    router: str
    request: int
    workspace: int
    group: int
    request_class: int
    hint: int = 0
    deadline: float = math.inf
    exclusive: bool = False
    avoided: frozenset[int] = frozenset()
    preferred: int = 0
    arrival: int = 0

    def sort_key(self) -> tuple[int, float, int]:
        """Returns a sort key by which the entry to serve next sorts last."""
        return (-self.request_class, -self.deadline, -self.arrival)


@dataclass(slots=True, eq=False)
class _Backlog:
    """Entries of one workspace in one group.

    Attributes:
        offset: Difference between the key in the group and the virtual service
            of the account. It is raised when the workspace becomes backlogged,
            so that no credit moves between groups with different floors.
        in_flight: Number of active grants.
        pending: Charges of active grants divided by the weight.
        sorted_entries: Waiting entries with their sort keys, next one last.
        weight: Weight at the time when the workspace became backlogged.
    """

    account: Account
    unit: UnitAccount
    group: "_Group"
    offset: float = 0.0
    in_flight: int = 0
    pending: float = 0.0
    sorted_entries: list[tuple[int, float, int, Entry]] = field(
        default_factory=list
    )
    weight: float = 0.0

    @property
    def key(self) -> float:
        return self.unit.virtual + self.offset

    @property
    def served_key(self) -> float:
        # On average, half of the charges for requests in flight is not served
        # yet.
        return self.key - self.pending / 2


@dataclass(slots=True, eq=False)
class _Group:
    """Backlogs of a group.

    Attributes:
        selectable: Backlogs with entries whose workspace is within its limits.
        active: Selectable backlogs and backlogs with an active grant.
        start_key: Lowest served key of the active backlogs, or its last value
            while there are none. A workspace that becomes backlogged starts at
            this key.
        floor: Lowest key of the selectable backlogs, or its last value while
            there are none.
        weight: Sum of the weights of the backlogs with entries.
        backlogged: Number of backlogs with entries.
        waiting: Number of waiting entries.
    """

    selectable: LazyHeap[_Backlog] = field(
        default_factory=lambda: LazyHeap(lambda each: each.key)
    )
    active: LazyHeap[_Backlog] = field(
        default_factory=lambda: LazyHeap(lambda each: each.served_key)
    )
    start_key: float = 0.0
    floor: float = 0.0
    weight: float = 0.0
    backlogged: int = 0
    waiting: int = 0


class FairQueue:
    """Orders waiting entries by virtual service of their workspaces.

    Each workspace has one account per unit of service, which all groups of one
    kind share. A decision takes O(log n) time for n backlogged workspaces; no
    decision scans all workspaces.
    """

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
    ) -> None:
        """Creates an empty queue.

        Args:
            clock: Monotonic time for rate limits, Unix time for events.
            snapshot: Returns the current configuration.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._limit_reader = LimitReader(snapshot)
        self._accounts: dict[int, Account] = {}
        self._groups: dict[int, _Group] = {}
        self._blocked: dict[int, Account] = {}
        self._recoveries: list[tuple[float, int, Account]] = []
        self._sequence = itertools.count(1)

    def add(self, entry: Entry, at_floor: bool = True) -> None:
        """Adds a waiting entry.

        Args:
            entry: The entry.
            at_floor: Whether the key of a workspace that becomes backlogged is
                raised to the lowest served key of the active ones. False for
                restored lags, which must not be raised.
        """
        entry.arrival = next(self._sequence)
        backlog = self._backlog(entry.workspace, entry.group)
        account, group = backlog.account, backlog.group
        becomes_backlogged = not backlog.sorted_entries
        bisect.insort(backlog.sorted_entries, (*entry.sort_key(), entry))
        account.waiting += 1
        group.waiting += 1
        if becomes_backlogged:
            group.backlogged += 1
            backlog.weight = self.limits(entry.workspace).weight
            group.weight += backlog.weight
            if not account.blocked:
                self._activate(backlog, at_floor)

    def remove(self, entry: Entry) -> None:
        """Removes an entry; one that is not in the queue is ignored."""
        backlog = self._backlog(entry.workspace, entry.group)
        index = bisect.bisect_left(backlog.sorted_entries, entry.sort_key())
        if (
            index < len(backlog.sorted_entries)
            and backlog.sorted_entries[index][3] is entry
        ):
            del backlog.sorted_entries[index]
            self._on_entry_removed(backlog)

    def select(self, group_number: int) -> Entry | None:
        """Removes the next entry of a group from the queue and returns it.

        The caller must charge it. Entries of workspaces that have reached a
        limit are skipped.

        Returns:
            The entry, or None if no entry can be served.
        """
        group = self._groups.get(group_number)
        if group is None:
            return None
        self.unblock_recovered()
        while (backlog := group.selectable.first()) is not None:
            account = backlog.account
            delay = blocking_delay_s(
                account,
                self.limits(account.workspace),
                self._clock.monotonic(),
            )
            if delay is not None:
                self._block(account, delay)
                continue
            group.floor = backlog.key
            entry = backlog.sorted_entries.pop()[3]
            self._on_entry_removed(backlog)
            return entry
        return None

    def charge(
        self,
        workspace: int,
        cost: float,
        weight: float,
        group_number: int,
    ) -> None:
        """Charges a cost to a workspace; a negative cost is a refund.

        Args:
            workspace: Identifier of the workspace.
            cost: Cost in service units.
            weight: Weight at the time of the grant.
            group_number: Group that served the request.
        """
        account = self.account(workspace)
        self._unit(account, group_number).virtual += cost / weight
        limits = self.limits(workspace)
        consume_rate(account, limits, cost, self._clock.monotonic())
        if cost < 0:
            for backlog in account.backlogs.values():
                for heap in (backlog.group.selectable, backlog.group.active):
                    if backlog in heap:
                        heap.push(backlog)

    def begin(self, workspace: int, group_number: int, charge: float) -> None:
        """Records the start of a grant.

        Args:
            workspace: Identifier of the workspace.
            group_number: Group of the grant.
            charge: Charged cost divided by the weight.
        """
        backlog = self._backlog(workspace, group_number)
        backlog.in_flight += 1
        backlog.account.in_flight += 1
        backlog.pending += charge
        backlog.group.active.push(backlog)

    def extend(self, workspace: int, group_number: int, charge: float) -> None:
        """Records a further charge for an active grant."""
        backlog = self._backlog(workspace, group_number)
        backlog.pending += charge
        backlog.group.active.push(backlog)

    def end(self, workspace: int, group_number: int, charge: float) -> None:
        """Records the end of a grant.

        Args:
            workspace: Identifier of the workspace.
            group_number: Group of the grant.
            charge: Total of the charges recorded for the grant.
        """
        backlog = self._backlog(workspace, group_number)
        backlog.in_flight = max(backlog.in_flight - 1, 0)
        backlog.pending -= charge
        if not backlog.in_flight:
            # Clears the rounding error of the floating-point sum.
            backlog.pending = 0.0
        self._discard_if_inactive(backlog)
        account = backlog.account
        account.in_flight = max(account.in_flight - 1, 0)
        if account.blocked:
            self._unblock(account)

    def restore(self, workspace: int, group_number: int, lag: float) -> None:
        """Restores the lag of a workspace in a group after a takeover.

        The largest of several reported lags applies. Service charged since the
        takeover is kept.
        """
        unit = self._unit(self.account(workspace), group_number)
        if lag > unit.restored:
            unit.virtual += lag - unit.restored
            unit.restored = lag

    def unblock_recovered(self) -> None:
        """Unblocks workspaces whose rate limit has recovered."""
        now = self._clock.monotonic()
        while self._recoveries and self._recoveries[0][0] <= now:
            account = heapq.heappop(self._recoveries)[2]
            if account.blocked:
                self._unblock(account)

    def next_recovery(self) -> float | None:
        """Returns when the next rate limit recovers, as a monotonic time.

        Returns:
            Seconds, or None if no workspace waits for its rate limit.
        """
        while self._recoveries and not self._recoveries[0][2].blocked:
            heapq.heappop(self._recoveries)
        return self._recoveries[0][0] if self._recoveries else None

    def recheck_limits(self) -> None:
        """Unblocks all workspaces so that changed limits are applied."""
        for account in list(self._blocked.values()):
            self._unblock(account)

    def account(self, workspace: int) -> Account:
        """Returns the account of a workspace, which is created if missing."""
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(workspace)
        return account

    def limits(self, workspace: int) -> EffectiveLimits:
        """Returns the current limits of a workspace."""
        return self._limit_reader.read(
            self.account(workspace), self._clock.time()
        )

    def floor(self, group_number: int) -> float:
        """Returns the lowest virtual service of the selectable workspaces.

        While there are none, this is the last known value.
        """
        group = self._groups.get(group_number)
        if group is None:
            return 0.0
        first = group.selectable.first()
        if first is not None:
            group.floor = first.key
        return group.floor

    def lag(self, workspace: int, group_number: int) -> float:
        """Returns a workspace's virtual service relative to a group's floor."""
        backlog = self._backlog(workspace, group_number)
        return backlog.key - self.floor(group_number)

    def waiting(self, group_number: int) -> int:
        """Returns the number of waiting entries of a group."""
        group = self._groups.get(group_number)
        return group.waiting if group is not None else 0

    def share(self, workspace: int, group_number: int) -> float:
        """Returns the fraction of a group's service due to a workspace."""
        backlog = self._backlog(workspace, group_number)
        weight = self.limits(workspace).weight
        others = backlog.group.weight - (
            backlog.weight if backlog.sorted_entries else 0
        )
        return weight / (weight + max(others, 0.0))

    def entries_ahead(self, entry: Entry) -> int:
        """Returns the number of the workspace's entries ahead of an entry."""
        sorted_entries = self._backlog(
            entry.workspace, entry.group
        ).sorted_entries
        return (
            len(sorted_entries)
            - bisect.bisect_left(sorted_entries, entry.sort_key())
            - 1
        )

    def __iter__(self) -> Iterator[Entry]:
        """Iterates over all waiting entries in unspecified order."""
        for account in self._accounts.values():
            for backlog in account.backlogs.values():
                for item in backlog.sorted_entries:
                    yield item[3]

    def _backlog(self, workspace: int, group_number: int) -> _Backlog:
        account = self.account(workspace)
        backlog = account.backlogs.get(group_number)
        if backlog is None:
            group = self._groups.setdefault(group_number, _Group())
            unit = self._unit(account, group_number)
            backlog = _Backlog(account, unit, group)
            account.backlogs[group_number] = backlog
        return backlog

    def _unit(self, account: Account, group_number: int) -> UnitAccount:
        group = self._snapshot().groups.get(group_number)
        kind = group.kind if group is not None else ""
        unit = account.units.get(kind)
        if unit is None:
            unit = account.units[kind] = UnitAccount()
        return unit

    def _activate(self, backlog: _Backlog, at_floor: bool = True) -> None:
        group = backlog.group
        # The key of a workspace with an active grant is not raised, as it is
        # active already. Raising it to the charges of others deprived the
        # workspace of its share when another one sent many requests.
        if at_floor:
            backlog.offset += max(
                self._update_start_key(group) - backlog.key, 0.0
            )
        group.selectable.push(backlog)
        group.active.push(backlog)

    @staticmethod
    def _update_start_key(group: _Group) -> float:
        first = group.active.first()
        if first is not None:
            group.start_key = first.served_key
        return group.start_key

    def _discard_if_inactive(self, backlog: _Backlog) -> None:
        if not backlog.in_flight and backlog not in backlog.group.selectable:
            self._update_start_key(backlog.group)
            backlog.group.active.discard(backlog)

    def _on_entry_removed(self, backlog: _Backlog) -> None:
        backlog.account.waiting -= 1
        backlog.group.waiting -= 1
        if not backlog.sorted_entries:
            backlog.group.selectable.discard(backlog)
            self._discard_if_inactive(backlog)
            backlog.group.backlogged -= 1
            backlog.group.weight -= backlog.weight

    def _block(self, account: Account, delay: float) -> None:
        account.blocked = True
        self._blocked[account.workspace] = account
        for backlog in account.backlogs.values():
            backlog.group.selectable.discard(backlog)
            self._discard_if_inactive(backlog)
        if delay < math.inf:
            recovery_time = self._clock.monotonic() + delay
            heapq.heappush(
                self._recoveries, (recovery_time, next(self._sequence), account)
            )

    def _unblock(self, account: Account) -> None:
        account.blocked = False
        self._blocked.pop(account.workspace, None)
        for backlog in account.backlogs.values():
            if backlog.sorted_entries:
                self._activate(backlog)

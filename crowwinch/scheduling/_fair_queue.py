"""Waiting entries in fair order between workspaces."""

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
    """One waiting request.

    Attributes:
        router: Name of the router that holds the request.
        request: Number of the request at that router.
        hint: Cost hint in service units, 0 if unknown.
        deadline: Monotonic time of the scheduler, infinite for none.
        avoided: Targets not to be used.
        preferred: Target that may hold the prompt prefix, 0 for none.
        arrival: Order of arrival, set by the queue.
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
        """Returns a key that puts the entry to be served first last."""
        return (-self.request_class, -self.deadline, -self.arrival)


@dataclass(slots=True, eq=False)
class _Backlog:
    """Entries of one workspace in one group.

    `offset` relates the group's order to the account: it is raised when the
    workspace becomes backlogged, so that groups with different floors do not
    give credit to or take it from each other.
    """

    account: Account
    unit: UnitAccount
    group: "_Group"
    offset: float = 0.0
    in_flight: int = 0
    pending: float = 0.0
    order: list[tuple[int, float, int, Entry]] = field(default_factory=list)
    weight: float = 0.0

    @property
    def key(self) -> float:
        return self.unit.virtual + self.offset

    @property
    def served_key(self) -> float:
        # Half of what is charged for requests in flight is, on average, still
        # to be served.
        return self.key - self.pending / 2


@dataclass(slots=True, eq=False)
class _Group:
    """Backlogs of a group.

    Attributes:
        selectable: Backlogs with entries whose workspace is under its limits.
        active: Those and backlogs with a grant in force.
        start: Lowest served key of the active ones, or the last one while
            there is none: where a workspace that becomes backlogged starts.
        floor: Lowest key of the selectable ones, or the last one.
    """

    selectable: LazyHeap[_Backlog] = field(
        default_factory=lambda: LazyHeap(lambda each: each.key)
    )
    active: LazyHeap[_Backlog] = field(
        default_factory=lambda: LazyHeap(lambda each: each.served_key)
    )
    start: float = 0.0
    floor: float = 0.0
    weight: float = 0.0
    backlogged: int = 0
    waiting: int = 0


class FairQueue:
    """Orders waiting entries by virtual service of their workspaces.

    Each workspace has one account for each unit of service; groups of one kind
    share it. A decision costs O(log backlogged
    workspaces); no operation scans workspaces.
    """

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
    ) -> None:
        """Creates an empty queue.

        Args:
            clock: Monotonic time for rate limits, Unix time for events.
            snapshot: Returns the configuration in force.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._reader = LimitReader(snapshot)
        self._accounts: dict[int, Account] = {}
        self._groups: dict[int, _Group] = {}
        self._blocked: dict[int, Account] = {}
        self._ready: list[tuple[float, int, Account]] = []
        self._numbers = itertools.count(1)

    def add(self, entry: Entry, at_floor: bool = True) -> None:
        """Adds a waiting entry.

        Args:
            entry: The entry.
            at_floor: Whether a workspace that becomes backlogged starts at
                least where the active ones are. Restored lags must not be
                raised.
        """
        entry.arrival = next(self._numbers)
        backlog = self._backlog(entry.workspace, entry.group)
        account, group = backlog.account, backlog.group
        newly_backlogged = not backlog.order
        bisect.insort(backlog.order, (*entry.sort_key(), entry))
        account.waiting += 1
        group.waiting += 1
        if newly_backlogged:
            group.backlogged += 1
            backlog.weight = self.limits(entry.workspace).weight
            group.weight += backlog.weight
            if not account.blocked:
                self._activate(backlog, at_floor)

    def remove(self, entry: Entry) -> None:
        """Withdraws a waiting entry; an entry that does not wait is ignored."""
        backlog = self._backlog(entry.workspace, entry.group)
        index = bisect.bisect_left(backlog.order, entry.sort_key())
        if index < len(backlog.order) and backlog.order[index][3] is entry:
            del backlog.order[index]
            self._removed(backlog)

    def select(self, group_number: int) -> Entry | None:
        """Takes the next entry of a group out of the queue.

        The caller charges it. Entries of workspaces at a limit are passed
        over.

        Returns:
            The entry, or None if nothing can be served.
        """
        group = self._groups.get(group_number)
        if group is None:
            return None
        self.release_due()
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
            entry = backlog.order.pop()[3]
            self._removed(backlog)
            return entry
        return None

    def charge(
        self,
        workspace: int,
        cost: float,
        weight: float,
        group_number: int,
    ) -> None:
        """Charges service, or gives it back if the cost is negative.

        Args:
            workspace: Identifier of the workspace.
            cost: Service units.
            weight: Weight at the time of the grant.
            group_number: Group that served.
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
        """Counts a grant in force.

        Args:
            workspace: Identifier of the workspace.
            group_number: Group of the grant.
            charge: What is charged for it, divided by the weight.
        """
        backlog = self._backlog(workspace, group_number)
        backlog.in_flight += 1
        backlog.account.in_flight += 1
        backlog.pending += charge
        backlog.group.active.push(backlog)

    def extend(self, workspace: int, group_number: int, charge: float) -> None:
        """Counts a further charge for a grant in force."""
        backlog = self._backlog(workspace, group_number)
        backlog.pending += charge
        backlog.group.active.push(backlog)

    def end(self, workspace: int, group_number: int, charge: float) -> None:
        """Counts the end of a grant with all that was charged for it."""
        backlog = self._backlog(workspace, group_number)
        backlog.in_flight = max(backlog.in_flight - 1, 0)
        backlog.pending -= charge
        if not backlog.in_flight:
            # Sums of fractions do not return to zero exactly.
            backlog.pending = 0.0
        self._drop_inactive(backlog)
        account = backlog.account
        account.in_flight = max(account.in_flight - 1, 0)
        if account.blocked:
            self._unblock(account)

    def restore(self, workspace: int, group_number: int, lag: float) -> None:
        """Restores the lag of a workspace in a group after a takeover.

        Of several reports the largest counts; service charged since then is
        kept.
        """
        unit = self._unit(self.account(workspace), group_number)
        if lag > unit.restored:
            unit.virtual += lag - unit.restored
            unit.restored = lag

    def release_due(self) -> None:
        """Admits workspaces again whose rate limit has recovered."""
        now = self._clock.monotonic()
        while self._ready and self._ready[0][0] <= now:
            account = heapq.heappop(self._ready)[2]
            if account.blocked:
                self._unblock(account)

    def next_release(self) -> float | None:
        """Returns the monotonic time of the next recovery, or None."""
        while self._ready and not self._ready[0][2].blocked:
            heapq.heappop(self._ready)
        return self._ready[0][0] if self._ready else None

    def recheck_limits(self) -> None:
        """Checks workspaces at a limit again after limits have changed."""
        for account in list(self._blocked.values()):
            self._unblock(account)

    def account(self, workspace: int) -> Account:
        """Returns the account of a workspace."""
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(workspace)
        return account

    def limits(self, workspace: int) -> EffectiveLimits:
        """Returns the limits of a workspace at this moment."""
        return self._reader.read(self.account(workspace), self._clock.time())

    def floor(self, group_number: int) -> float:
        """Returns the lowest virtual service of the workspaces that wait."""
        group = self._groups.get(group_number)
        if group is None:
            return 0.0
        first = group.selectable.first()
        if first is not None:
            group.floor = first.key
        return group.floor

    def lag(self, workspace: int, group_number: int) -> float:
        """Returns a workspace's virtual service above the floor of a group."""
        backlog = self._backlog(workspace, group_number)
        return backlog.key - self.floor(group_number)

    def waiting(self, group_number: int) -> int:
        """Returns the number of waiting entries of a group."""
        group = self._groups.get(group_number)
        return group.waiting if group is not None else 0

    def share(self, workspace: int, group_number: int) -> float:
        """Returns the part of a group that a workspace gets if it waits."""
        backlog = self._backlog(workspace, group_number)
        weight = self.limits(workspace).weight
        others = backlog.group.weight - (backlog.weight if backlog.order else 0)
        return weight / (weight + max(others, 0.0))

    def entries_ahead(self, entry: Entry) -> int:
        """Returns how many of the workspace's entries precede a waiting one."""
        order = self._backlog(entry.workspace, entry.group).order
        return len(order) - bisect.bisect_left(order, entry.sort_key()) - 1

    def __iter__(self) -> Iterator[Entry]:
        """Iterates over all waiting entries, in no order."""
        for account in self._accounts.values():
            for backlog in account.backlogs.values():
                for item in backlog.order:
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
        # A workspace with a grant in force is active already and is not lifted:
        # lifting it to the charges of others took its share away in a flood.
        if at_floor:
            backlog.offset += max(self._start(group) - backlog.key, 0.0)
        group.selectable.push(backlog)
        group.active.push(backlog)

    @staticmethod
    def _start(group: _Group) -> float:
        first = group.active.first()
        if first is not None:
            group.start = first.served_key
        return group.start

    def _drop_inactive(self, backlog: _Backlog) -> None:
        if not backlog.in_flight and backlog not in backlog.group.selectable:
            self._start(backlog.group)
            backlog.group.active.discard(backlog)

    def _removed(self, backlog: _Backlog) -> None:
        backlog.account.waiting -= 1
        backlog.group.waiting -= 1
        if not backlog.order:
            backlog.group.selectable.discard(backlog)
            self._drop_inactive(backlog)
            backlog.group.backlogged -= 1
            backlog.group.weight -= backlog.weight

    def _block(self, account: Account, delay: float) -> None:
        account.blocked = True
        self._blocked[account.workspace] = account
        for backlog in account.backlogs.values():
            backlog.group.selectable.discard(backlog)
            self._drop_inactive(backlog)
        if delay < math.inf:
            ready = self._clock.monotonic() + delay
            heapq.heappush(self._ready, (ready, next(self._numbers), account))

    def _unblock(self, account: Account) -> None:
        account.blocked = False
        self._blocked.pop(account.workspace, None)
        for backlog in account.backlogs.values():
            if backlog.order:
                self._activate(backlog)

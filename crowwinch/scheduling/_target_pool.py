"""Targets of a domain and the allocation of their slots."""

from collections.abc import Callable

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.scheduling._records import (
    GrantRecord,
    GroupRecord,
    TargetRecord,
)
from crowwinch.scheduling._target_limits import TargetLimit, TargetReport


class TargetPool:
    """Groups and targets of the active configuration."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        registered: Callable[[], int],
        listed: Callable[[], int],
        region: str | None,
        awaits_reports: bool = False,
    ) -> None:
        """Creates an empty pool.

        Args:
            clock: Provides monotonic time.
            snapshot: Returns the active configuration.
            registered: Returns the number of registered routers.
            listed: Returns the number of routers in the VM list.
            region: Region whose groups are included, None for all.
            awaits_reports: Whether new grants on a target are made only after
                its first report.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._registered = registered
        self._listed = listed
        self._region = region
        self._awaits_reports = awaits_reports
        self._applied_snapshot: Snapshot | None = None
        self._targets: dict[int, TargetRecord] = {}
        self._group_of: dict[int, GroupRecord] = {}
        self.groups: dict[int, GroupRecord] = {}

    def update_configuration(self) -> None:
        """Updates groups and targets if the configuration has changed.

        A removed target keeps its grants until they end but receives no new
        ones.
        """
        snapshot = self._snapshot()
        if snapshot is self._applied_snapshot:
            return
        self._applied_snapshot = snapshot
        by_name = {item.name: key for key, item in snapshot.targets.items()}
        for number, item in snapshot.groups.items():
            if self._region is not None and item.region != self._region:
                continue
            group = self.groups.setdefault(number, GroupRecord(number))
            group.targets = [
                self._configure_target(
                    by_name[each.name], each.slots, each.max_slots
                )
                for each in item.targets
            ]
        for number, group in self.groups.items():
            if number not in snapshot.groups:
                group.targets = []
        self._group_of = {
            target.number: group
            for group in self.groups.values()
            for target in group.targets
        }
        self.update_allowances()

    def target(self, number: int) -> TargetRecord | None:
        """Returns a target, or None if it has never been configured."""
        return self._targets.get(number)

    def report(self, report: TargetReport) -> GroupRecord | None:
        """Applies a load report; reports of unknown targets are ignored.

        Returns:
            The group of the target, or None if it belongs to none.
        """
        target = self._targets.get(report.target)
        if target is None:
            return None
        target.limit.report(report, self._clock.monotonic())
        target.allowed = target.limit.allowed(
            self._registered(), self._listed()
        )
        return self._group_of.get(report.target)

    def update_allowances(self) -> None:
        """Recomputes the allowance of each target."""
        registered, listed = self._registered(), self._listed()
        for target in self._targets.values():
            target.allowed = target.limit.allowed(registered, listed)

    def begin(self, target: TargetRecord) -> None:
        """Allocates a slot of a target."""
        target.limit.begin(self._clock.monotonic())

    def restore(self, target: TargetRecord, is_new: bool) -> None:
        """Allocates the slot of a grant listed in a registration.

        Args:
            target: Target that runs the request.
            is_new: Whether the router was not registered before.
        """
        if is_new:
            target.limit.restore(self._clock.monotonic())
        else:
            self.begin(target)

    def release(self, grant: GrantRecord, abandoned: bool = False) -> None:
        """Releases the slot of a grant.

        Args:
            grant: Grant that has ended.
            abandoned: Whether the request may still be running because its
                router was lost.
        """
        target = grant.target
        if target is None:
            return
        if abandoned:
            target.limit.abandon(self._clock.monotonic())
        else:
            target.limit.end(self._clock.monotonic())
        if target.reserved is grant:
            target.reserved = None

    def find(
        self, group: GroupRecord, grant: GrantRecord
    ) -> TargetRecord | None:
        """Returns a target for a grant, or None if none is available yet.

        An exclusive entry reserves a target, which receives no other grants
        until it is idle. Only one target of a group is reserved at a time, so
        that a burst of exclusive entries cannot block the whole group.
        """
        if not grant.entry.exclusive:
            entry = grant.entry
            return group.best_target(entry.avoided, entry.preferred)
        if any(
            each.reserved is not None and each.reserved is not grant
            for each in group.targets
        ):
            return None
        usable = [
            each
            for each in group.targets
            if each.allowed > 0 and each.number not in grant.entry.avoided
        ]
        if not usable:
            return None
        target = min(
            usable, key=lambda each: (each.reserved is None, each.limit.load)
        )
        target.reserved = grant
        return target if target.is_idle else None

    def cancel_reservation(self, grant: GrantRecord) -> None:
        """Cancels the reservation of a target for a withdrawn grant."""
        for target in self._targets.values():
            if target.reserved is grant:
                target.reserved = None

    def _configure_target(
        self, number: int, slots: int, max_slots: int
    ) -> TargetRecord:
        target = self._targets.get(number)
        if target is None:
            limit = TargetLimit(slots, max_slots, self._awaits_reports)
            target = self._targets[number] = TargetRecord(number, limit)
        else:
            target.limit.configure(slots, max_slots)
        return target

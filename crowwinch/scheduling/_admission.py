"""Refusals of requests that need not wait."""

import math
from collections.abc import Callable, Mapping

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.generated.documents import Group
from crowwinch.scheduling._accounts import rate_limit_delay_s
from crowwinch.scheduling._fair_queue import Entry, FairQueue
from crowwinch.scheduling._interfaces import SlotRequest
from crowwinch.scheduling._records import GroupRecord

# Bounds the memory that one workspace without its own limit can use.
DEFAULT_MAX_WAITING = 1000
# After the scheduler found a workspace's queue full, a router refuses the
# workspace's requests itself for at most this long.
_FULL_QUEUE_S = 0.1
# Retry-After while no completion has been seen yet.
_UNKNOWN_FORECAST_S = 1.0


def max_waiting(snapshot: Snapshot, workspace: int) -> int:
    """Returns how many requests of a workspace may wait."""
    item = snapshot.workspaces.get(workspace)
    return (item.max_waiting if item else 0) or DEFAULT_MAX_WAITING


class LocalAdmission:
    """Refuses at the router, without a message, what cannot be served."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        waiting: Mapping[int, int],
        forecast: Callable[[int], float],
        is_full: Callable[[], bool] = lambda: False,
    ) -> None:
        """Stores what decisions are made from.

        Args:
            clock: Monotonic time.
            snapshot: Returns the configuration in force.
            waiting: Number of waiting requests by workspace.
            forecast: Returns the wait in a group in seconds, 0 if unknown.
            is_full: Returns whether the router holds too many requests.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._is_full = is_full
        self._waiting = waiting
        self._forecast = forecast
        self._full_until: dict[int, float] = {}

    def check(self, request: SlotRequest) -> RefusalError | None:
        """Returns why a request is refused, or None."""
        snapshot = self._snapshot()
        group = snapshot.groups.get(request.group)
        if group is None or not self._has_usable(group, request, snapshot):
            return RefusalError(
                RefusalReason.NO_TARGET, "the group has no usable target"
            )
        now = self._clock.monotonic()
        if request.deadline is not None and request.deadline <= now:
            return RefusalError(
                RefusalReason.DEADLINE_EXCEEDED, "the deadline has passed"
            )
        workspace = request.workspace
        full_until = self._full_until.get(workspace)
        if full_until is not None and full_until <= now:
            del self._full_until[workspace]
            full_until = None
        most = max_waiting(snapshot, workspace)
        if (
            self._waiting.get(workspace, 0) >= most
            or full_until is not None
            or self._is_full()
        ):
            return RefusalError(
                RefusalReason.QUEUE_FULL,
                "the workspace has too many waiting requests",
                retry_after_s=self._forecast(request.group)
                or _UNKNOWN_FORECAST_S,
            )
        return None

    @staticmethod
    def _has_usable(
        group: Group, request: SlotRequest, snapshot: Snapshot
    ) -> bool:
        if not request.excluded_targets:
            return bool(group.targets)
        excluded = {
            snapshot.targets[number].name
            for number in request.excluded_targets
            if number in snapshot.targets
        }
        return any(each.name not in excluded for each in group.targets)

    def note_full(self, workspace: int, retry_after_s: float) -> None:
        """Refuses a workspace for a moment after the scheduler did."""
        pause = min(retry_after_s, _FULL_QUEUE_S)
        self._full_until[workspace] = self._clock.monotonic() + pause


class QueueAdmission:
    """Refuses at the scheduler what cannot be served in time."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        queue: FairQueue,
    ) -> None:
        """Stores what decisions are made from."""
        self._clock = clock
        self._snapshot = snapshot
        self._queue = queue

    def check(
        self, entry: Entry, group: GroupRecord | None
    ) -> RefusalReason | None:
        """Returns why an entry is refused before it is queued, or None."""
        if group is None or entry.avoided.issuperset(
            target.number for target in group.targets
        ):
            return RefusalReason.NO_TARGET
        most = max_waiting(self._snapshot(), entry.workspace)
        if self._queue.account(entry.workspace).waiting >= most:
            return RefusalReason.QUEUE_FULL
        return None

    def late(self, entry: Entry, group: GroupRecord) -> RefusalReason | None:
        """Returns why a queued entry misses its deadline, or None."""
        if not self.can_meet_deadline(entry, group):
            return RefusalReason.DEADLINE_UNREACHABLE
        if self.exceeds_limit(entry):
            return RefusalReason.WORKSPACE_LIMIT
        return None

    def can_meet_deadline(self, entry: Entry, group: GroupRecord) -> bool:
        """Returns whether a queued entry may be served in time."""
        if entry.deadline == math.inf:
            return True
        now = self._clock.monotonic()
        if entry.deadline <= now:
            return False
        rate = group.rate.per_second(now)
        if not rate or group.has_free_target:
            return True
        share = self._queue.share(entry.workspace, entry.group)
        own = (self._queue.entries_ahead(entry) + 1) / share
        # No entry waits longer than all entries of the group would.
        wait = min(own, self._queue.waiting(entry.group)) / rate
        return now + wait <= entry.deadline

    def limit_delay(self, entry: Entry) -> float:
        """Returns how long at least its workspace's limit delays an entry.

        Returns:
            Seconds, 0 if an event may change the limit before the deadline.
        """
        account = self._queue.account(entry.workspace)
        limits = self._queue.limits(entry.workspace)
        now = self._clock.monotonic()
        if account.limits_until - self._clock.time() <= entry.deadline - now:
            return 0.0
        return rate_limit_delay_s(account, limits, now)

    def exceeds_limit(self, entry: Entry) -> bool:
        """Returns whether the workspace's limit alone exceeds the deadline."""
        if entry.deadline == math.inf:
            return False
        return self._clock.monotonic() + self.limit_delay(entry) > (
            entry.deadline
        )

    def retry_after(
        self,
        group: GroupRecord | None,
        entry: Entry,
        reason: RefusalReason,
    ) -> float:
        """Returns seconds after which a repeat may succeed."""
        if reason == RefusalReason.WORKSPACE_LIMIT:
            return self.limit_delay(entry)
        if group is None:
            return _UNKNOWN_FORECAST_S
        rate = group.rate.per_second(self._clock.monotonic())
        waiting = self._queue.waiting(group.number)
        return waiting / rate if rate and waiting else _UNKNOWN_FORECAST_S

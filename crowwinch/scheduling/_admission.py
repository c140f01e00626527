"""Admission control at the router and at the scheduler."""

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

# Limit for workspaces that configure none; bounds the memory that a workspace
# can use.
DEFAULT_MAX_WAITING = 1000
# Maximum time for which a router refuses the requests of a workspace locally
# after the scheduler has refused one because the workspace's queue was full.
_MAX_FULL_QUEUE_PAUSE_S = 0.1
# Retry-After while no wait can be forecast.
_DEFAULT_RETRY_AFTER_S = 1.0


def max_waiting(snapshot: Snapshot, workspace: int) -> int:
    """Returns the maximum number of waiting requests of a workspace."""
    configured = snapshot.workspaces.get(workspace)
    return (configured.max_waiting if configured else 0) or DEFAULT_MAX_WAITING


class LocalAdmission:
    """Refuses requests at the router without a message to the scheduler."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        waiting: Mapping[int, int],
        forecast: Callable[[int], float],
        is_full: Callable[[], bool] = lambda: False,
    ) -> None:
        """Stores the inputs of admission decisions.

        Args:
            clock: Monotonic time.
            snapshot: Returns the current configuration.
            waiting: Number of waiting requests by workspace.
            forecast: Returns the expected wait in a group in seconds, 0 if
                unknown.
            is_full: Returns whether the router has reached its request limit.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._is_full = is_full
        self._waiting = waiting
        self._forecast = forecast
        self._full_until: dict[int, float] = {}

    def check(self, request: SlotRequest) -> RefusalError | None:
        """Returns the refusal of a request, or None if it is admitted."""
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
        limit = max_waiting(snapshot, workspace)
        if (
            self._waiting.get(workspace, 0) >= limit
            or full_until is not None
            or self._is_full()
        ):
            return RefusalError(
                RefusalReason.QUEUE_FULL,
                "the workspace has too many waiting requests",
                retry_after_s=self._forecast(request.group)
                or _DEFAULT_RETRY_AFTER_S,
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

    def record_full_queue(self, workspace: int, retry_after_s: float) -> None:
        """Refuses a workspace's requests locally for a limited time.

        Args:
            workspace: Identifier of the workspace whose queue is full.
            retry_after_s: Retry-After of the scheduler's refusal.
        """
        pause = min(retry_after_s, _MAX_FULL_QUEUE_PAUSE_S)
        self._full_until[workspace] = self._clock.monotonic() + pause


class QueueAdmission:
    """Refuses entries at the scheduler that cannot be served in time."""

    def __init__(
        self,
        clock: Clock,
        snapshot: Callable[[], Snapshot],
        queue: FairQueue,
    ) -> None:
        """Stores the inputs of admission decisions."""
        self._clock = clock
        self._snapshot = snapshot
        self._queue = queue

    def check(
        self, entry: Entry, group: GroupRecord | None
    ) -> RefusalReason | None:
        """Returns why an entry may not be queued, None if it may."""
        if group is None or entry.avoided.issuperset(
            target.number for target in group.targets
        ):
            return RefusalReason.NO_TARGET
        limit = max_waiting(self._snapshot(), entry.workspace)
        if self._queue.account(entry.workspace).waiting >= limit:
            return RefusalReason.QUEUE_FULL
        return None

    def check_deadline(
        self, entry: Entry, group: GroupRecord
    ) -> RefusalReason | None:
        """Returns why a queued entry cannot be served in time, or None."""
        if not self.can_meet_deadline(entry, group):
            return RefusalReason.DEADLINE_UNREACHABLE
        if self.exceeds_limit(entry):
            return RefusalReason.WORKSPACE_LIMIT
        return None

    def can_meet_deadline(self, entry: Entry, group: GroupRecord) -> bool:
        """Returns whether a queued entry is expected to meet its deadline."""
        if entry.deadline == math.inf:
            return True
        now = self._clock.monotonic()
        if entry.deadline <= now:
            return False
        rate = group.rate.per_second(now)
        if not rate or group.has_free_target:
            return True
        share = self._queue.share(entry.workspace, entry.group)
        completions = (self._queue.entries_ahead(entry) + 1) / share
        # The wait is bounded by the time to serve all entries of the group.
        wait = min(completions, self._queue.waiting(entry.group)) / rate
        return now + wait <= entry.deadline

    def limit_delay(self, entry: Entry) -> float:
        """Returns the minimum delay of an entry due to its workspace's limit.

        Returns:
            Delay in seconds, 0 if an event may change the limit before the
            deadline.
        """
        account = self._queue.account(entry.workspace)
        limits = self._queue.limits(entry.workspace)
        now = self._clock.monotonic()
        if account.limits_until - self._clock.time() <= entry.deadline - now:
            return 0.0
        return rate_limit_delay_s(account, limits, now)

    def exceeds_limit(self, entry: Entry) -> bool:
        """Returns whether the limit delay alone exceeds the deadline."""
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
        """Returns the seconds after which a retry may succeed."""
        if reason == RefusalReason.WORKSPACE_LIMIT:
            return self.limit_delay(entry)
        if group is None:
            return _DEFAULT_RETRY_AFTER_S
        rate = group.rate.per_second(self._clock.monotonic())
        waiting = self._queue.waiting(group.number)
        return waiting / rate if rate and waiting else _DEFAULT_RETRY_AFTER_S

"""Reuse of slots without a round trip to the scheduler."""

import itertools
import math
from collections.abc import Callable, Iterable, Sequence

from crowwinch.configuration import EffectiveLimits, Snapshot
from crowwinch.coordination import Clock
from crowwinch.generated.peer_messages import (
    Grant,
    GroupStatus,
    WorkspaceLag,
)
from crowwinch.scheduling._answers import REUSE_FORBIDDEN, VIRTUAL_SCALE
from crowwinch.scheduling._interfaces import SlotRequest
from crowwinch.scheduling._slots import (
    GrantedSlot,
    WaitingRequest,
    WaitingTable,
)

# Registrations contain only lags that changed within this time, which bounds
# their size.
_MAX_LAG_AGE_S = 60.0
# Maximum age of the latest grant of a workspace whose requests may reuse slots.
# Only grants carry the service that a workspace receives at other routers.
# Without this limit, routers that serve a workspace by reuse alone ignore each
# other's service, and the fairness gap reached four times the bound of
# section 5.
MAX_REUSE_GRANT_AGE_S = 0.25
# Maximum number of requests of a workspace that are searched for one that
# prefers the target.
_MAX_EXAMINED = 16
# Maximum number of later requests that may overtake a request.
_MAX_OVERTAKEN = 2
# Deadlines are treated as equal if they differ by at most this fraction of the
# remaining time, because requests with equal time-outs that arrive at different
# times have different deadlines.
_DEADLINE_TOLERANCE = 0.1
_NO_LIMITS = EffectiveLimits(1.0, 0, 0.0)


class ServiceView:
    """Local estimate of the virtual service of workspaces."""

    def __init__(self, clock: Clock, snapshot: Callable[[], Snapshot]) -> None:
        """Creates an empty view.

        Args:
            clock: Provides monotonic and Unix time.
            snapshot: Returns the active configuration.
        """
        self._clock = clock
        self._snapshot = snapshot
        self._virtual_service: dict[tuple[int, int], tuple[float, float]] = {}
        self._granted_at: dict[tuple[int, int], float] = {}
        self._group_floors: dict[int, float] = {}
        self._reusable: set[int] = set()
        self._forecasts: dict[int, float] = {}

    def reset(self) -> None:
        """Clears values that are relative to an earlier scheduler's floors."""
        self._virtual_service.clear()
        self._granted_at.clear()
        self._group_floors.clear()
        self._reusable.clear()

    def update_groups(self, statuses: Iterable[GroupStatus]) -> None:
        """Applies the floors and forecasts of groups."""
        for status in statuses:
            self._forecasts[status.group] = status.forecast_ms / 1000
            if status.floor == REUSE_FORBIDDEN:
                self._reusable.discard(status.group)
            else:
                self._reusable.add(status.group)
                self._group_floors[status.group] = status.floor / VIRTUAL_SCALE

    def update_workspace(
        self, workspace: int, group: int, grant: Grant
    ) -> None:
        """Applies the lag of a workspace from a grant."""
        floor = self._group_floors.get(group, 0.0)
        value = floor + grant.lag / VIRTUAL_SCALE
        now = self._clock.monotonic()
        self._virtual_service[workspace, group] = (value, now)
        self._granted_at[workspace, group] = now

    def charge(self, workspace: int, group: int, cost: int) -> None:
        """Adds a charge in service units, or a refund if it is negative."""
        current = self._virtual_service.get((workspace, group))
        if current is not None:
            value = current[0] + cost / self.limits(workspace).weight
            self._virtual_service[workspace, group] = (
                value,
                self._clock.monotonic(),
            )

    def lags(self) -> list[WorkspaceLag]:
        """Returns the positive lags that changed recently."""
        oldest = self._clock.monotonic() - _MAX_LAG_AGE_S
        return [
            WorkspaceLag(workspace, group, round(lag * VIRTUAL_SCALE))
            for (workspace, group), (
                value,
                updated_at,
            ) in self._virtual_service.items()
            if updated_at >= oldest
            and (lag := value - self._group_floors.get(group, 0.0)) > 0
        ]

    def forecast(self, group: int) -> float:
        """Returns the expected wait in a group in seconds, 0 if unknown."""
        return self._forecasts.get(group, 0.0)

    def limits(self, workspace: int) -> EffectiveLimits:
        """Returns the current limits of a workspace."""
        snapshot = self._snapshot()
        if workspace not in snapshot.workspaces:
            return _NO_LIMITS
        return snapshot.limits(workspace, self._clock.time())

    def choose(
        self,
        slot: GrantedSlot,
        table: WaitingTable,
        estimate: Callable[[SlotRequest], int],
    ) -> WaitingRequest | None:
        """Returns a waiting request that may reuse a slot, or None.

        The virtual service of its workspace must not exceed the floor by more
        than one estimated request. A workspace with a rate limit always needs a
        new grant. One with a limit of requests in flight may reuse only its own
        slots.
        """
        group = slot.request.group
        if slot.request.exclusive or group not in self._reusable:
            return None
        if slot.target not in self._snapshot().targets:
            return None
        oldest = self._clock.monotonic() - MAX_REUSE_GRANT_AGE_S
        by_service = sorted(
            (self._virtual_service[workspace, group][0], workspace)
            for workspace in table.workspaces(group)
            if self._granted_at.get((workspace, group), -math.inf) >= oldest
        )
        for value, workspace in by_service:
            limits = self.limits(workspace)
            is_own_slot = workspace == slot.request.workspace
            if limits.max_service_per_second or (
                limits.max_in_flight and not is_own_slot
            ):
                continue
            candidates = self._candidates(
                table.in_order(group, workspace), slot
            )
            if not candidates:
                continue
            slack = estimate(candidates[0].request) / limits.weight
            if value <= self._group_floors[group] + slack:
                return _choose_by_preference(candidates, slot.target)
        return None

    def _candidates(
        self, order: Iterable[WaitingRequest], slot: GrantedSlot
    ) -> list[WaitingRequest]:
        """Returns the next request for a slot and those that may overtake it.

        These have the same class and about the same deadline.
        """
        candidates: list[WaitingRequest] = []
        latest = math.inf
        for waiting in itertools.islice(order, _MAX_EXAMINED):
            request = waiting.request
            if request.exclusive or slot.target in request.excluded_targets:
                continue
            if not candidates and request.deadline is not None:
                remaining_s = request.deadline - self._clock.monotonic()
                latest = (
                    request.deadline
                    + max(remaining_s, 0.0) * _DEADLINE_TOLERANCE
                )
            if candidates and (
                request.request_class != candidates[0].request.request_class
                or (request.deadline is None) != (latest == math.inf)
                or (request.deadline or 0.0) > latest
            ):
                break
            candidates.append(waiting)
        return candidates


def _choose_by_preference(
    candidates: Sequence[WaitingRequest], target: int
) -> WaitingRequest:
    """Returns the first request that prefers a target, or else the first.

    A request is overtaken at most `_MAX_OVERTAKEN` times.
    """
    for index, waiting in enumerate(candidates):
        if waiting.request.preferred == target:
            for other in candidates[:index]:
                other.overtaken += 1
            return waiting
        if waiting.overtaken >= _MAX_OVERTAKEN:
            break
    return candidates[0]

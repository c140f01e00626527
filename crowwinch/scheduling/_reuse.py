"""Which waiting request may take over a slot without asking."""

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

# Lags of workspaces without a grant for this long are left out of
# registrations, to bound their size.
_LAG_LIFETIME_S = 60.0
# Other routers' use of a workspace shows only in grants. Without this limit
# routers that serve a workspace by reuse alone never learn of each other: the
# gap reached four times the bound of section 5.
KNOWN_LIFETIME_S = 0.25
# Requests of a workspace that are examined for one that prefers the target.
_MAX_EXAMINED = 16
# How often a request lets later ones pass.
_MAX_OVERTAKEN = 2
# Deadlines count as equal if they differ by at most this part of the time that
# is left, because requests with equal time-outs have different deadlines.
_DEADLINE_PART = 0.1
_NO_LIMITS = EffectiveLimits(1.0, 0, 0.0)


class ServiceView:
    """Virtual service of workspaces as a router last knew it."""

    def __init__(self, clock: Clock, snapshot: Callable[[], Snapshot]) -> None:
        """Creates a view that knows nothing."""
        self._clock = clock
        self._snapshot = snapshot
        self._known: dict[tuple[int, int], tuple[float, float]] = {}
        self._granted: dict[tuple[int, int], float] = {}
        self._floors: dict[int, float] = {}
        self._reusable: set[int] = set()
        self._forecasts: dict[int, float] = {}

    def forget(self) -> None:
        """Forgets values that relate to an earlier scheduler's floors."""
        self._known.clear()
        self._granted.clear()
        self._floors.clear()
        self._reusable.clear()

    def update_groups(self, statuses: Iterable[GroupStatus]) -> None:
        """Takes over floors and forecasts."""
        for status in statuses:
            self._forecasts[status.group] = status.forecast_ms / 1000
            if status.floor == REUSE_FORBIDDEN:
                self._reusable.discard(status.group)
            else:
                self._reusable.add(status.group)
                self._floors[status.group] = status.floor / VIRTUAL_SCALE

    def update_workspace(
        self, workspace: int, group: int, grant: Grant
    ) -> None:
        """Takes over a workspace's lag from a grant."""
        floor = self._floors.get(group, 0.0)
        value = floor + grant.lag / VIRTUAL_SCALE
        now = self._clock.monotonic()
        self._known[workspace, group] = (value, now)
        self._granted[workspace, group] = now

    def charge(self, workspace: int, group: int, cost: int) -> None:
        """Adds service charged since the last grant, or takes it off."""
        known = self._known.get((workspace, group))
        if known is not None:
            value = known[0] + cost / self.limits(workspace).weight
            self._known[workspace, group] = (value, self._clock.monotonic())

    def lags(self) -> list[WorkspaceLag]:
        """Returns the lag of each workspace and group with recent grants."""
        oldest = self._clock.monotonic() - _LAG_LIFETIME_S
        return [
            WorkspaceLag(workspace, group, round(lag * VIRTUAL_SCALE))
            for (workspace, group), (value, seen) in self._known.items()
            if seen >= oldest
            and (lag := value - self._floors.get(group, 0.0)) > 0
        ]

    def forecast(self, group: int) -> float:
        """Returns the wait in a group in seconds, 0 if unknown."""
        return self._forecasts.get(group, 0.0)

    def limits(self, workspace: int) -> EffectiveLimits:
        """Returns the limits of a workspace at this moment."""
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
        """Returns the request that may take over a slot, or None.

        The workspace's virtual service must be at most the floor plus one
        estimated request. A workspace with a rate limit has to ask, and one
        with a limit of requests in flight may only follow itself.
        """
        group = slot.request.group
        if slot.request.exclusive or group not in self._reusable:
            return None
        if slot.target not in self._snapshot().targets:
            return None
        oldest = self._clock.monotonic() - KNOWN_LIFETIME_S
        known = sorted(
            (self._known[workspace, group][0], workspace)
            for workspace in table.workspaces(group)
            if self._granted.get((workspace, group), -math.inf) >= oldest
        )
        for value, workspace in known:
            limits = self.limits(workspace)
            follows = workspace == slot.request.workspace
            if limits.max_service_per_second or (
                limits.max_in_flight and not follows
            ):
                continue
            usable = self._usable(table.in_order(group, workspace), slot)
            if not usable:
                continue
            slack = estimate(usable[0].request) / limits.weight
            if value <= self._floors[group] + slack:
                return _first_that_prefers(usable, slot.target)
        return None

    def _usable(
        self, order: Iterable[WaitingRequest], slot: GrantedSlot
    ) -> list[WaitingRequest]:
        """Returns the next request for a slot and those that may overtake it.

        These are of its class and of about its deadline.
        """
        usable: list[WaitingRequest] = []
        latest = math.inf
        for waiting in itertools.islice(order, _MAX_EXAMINED):
            request = waiting.request
            if request.exclusive or slot.target in request.excluded_targets:
                continue
            if not usable and request.deadline is not None:
                left = request.deadline - self._clock.monotonic()
                latest = request.deadline + max(left, 0.0) * _DEADLINE_PART
            if usable and (
                request.request_class != usable[0].request.request_class
                or (request.deadline is None) != (latest == math.inf)
                or (request.deadline or 0.0) > latest
            ):
                break
            usable.append(waiting)
        return usable


def _first_that_prefers(
    usable: Sequence[WaitingRequest], target: int
) -> WaitingRequest:
    """Returns the first request that prefers a target, or the first of all.

    A request is overtaken at most `_MAX_OVERTAKEN` times.
    """
    for index, waiting in enumerate(usable):
        if waiting.request.preferred == target:
            for other in usable[:index]:
                other.overtaken += 1
            return waiting
        if waiting.overtaken >= _MAX_OVERTAKEN:
            break
    return usable[0]

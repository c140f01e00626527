"""Which waiting request may take over a slot without asking."""

import math
from collections.abc import Callable, Iterable

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
            waiting = _first_usable(table.in_order(group, workspace), slot)
            if waiting is None:
                continue
            slack = estimate(waiting.request) / limits.weight
            if value <= self._floors[group] + slack:
                return waiting
        return None


def _first_usable(
    order: Iterable[WaitingRequest], slot: GrantedSlot
) -> WaitingRequest | None:
    for waiting in order:
        request = waiting.request
        if not (request.exclusive or slot.target in request.excluded_targets):
            return waiting
    return None

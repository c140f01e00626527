"""Charged service and limits of workspaces."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwinch.configuration import EffectiveLimits, Snapshot

_UNKNOWN = EffectiveLimits(1.0, 0, 0.0)
# A rate limit admits one second of service at once, so that requests larger
# than the rate can start at all.
_BURST_S = 1.0


@dataclass(slots=True, eq=False)
class UnitAccount:
    """Service of one workspace over all groups with one unit of service.

    Tokens of engines and slot-milliseconds of plain services cannot be added.

    Attributes:
        virtual: Charged service divided by the weight.
        restored: Largest lag taken from a registration.
    """

    virtual: float = 0.0
    restored: float = 0.0


@dataclass(slots=True, eq=False)
class Account:
    """Service and limits of one workspace in a domain.

    Attributes:
        units: Service by kind of group, which decides the unit.
        in_flight: Grants in force.
        waiting: Waiting entries in all groups.
        level: Service that the rate limit admits now, negative after use.
    """

    workspace: int
    units: dict[str, UnitAccount] = field(default_factory=dict)
    in_flight: int = 0
    waiting: int = 0
    level: float = 0.0
    level_at: float = -math.inf
    blocked: bool = False
    snapshot: Snapshot | None = None
    limits: EffectiveLimits = _UNKNOWN
    limits_until: float = 0.0
    backlogs: dict[int, object] = field(default_factory=dict)


class LimitReader:
    """Reads the limits of workspaces and keeps them until they change."""

    def __init__(self, snapshot: Callable[[], Snapshot]) -> None:
        """Takes a callable that returns the configuration in force."""
        self._snapshot = snapshot

    def read(self, account: Account, unix_time: float) -> EffectiveLimits:
        """Returns weight and limits of a workspace at a Unix time."""
        snapshot = self._snapshot()
        if account.snapshot is snapshot and unix_time < account.limits_until:
            return account.limits
        workspace = account.workspace
        item = snapshot.workspaces.get(workspace)
        account.snapshot = snapshot
        account.limits_until = math.inf
        account.limits = _UNKNOWN
        if item is not None:
            account.limits = snapshot.limits(workspace, unix_time)
            account.limits_until = min(
                (
                    boundary
                    for event in snapshot.events.get(item.name, ())
                    for boundary in (event.start, event.end)
                    if boundary > unix_time
                ),
                default=math.inf,
            )
        return account.limits


def blocked_for(
    account: Account, limits: EffectiveLimits, now: float
) -> float | None:
    """Returns how long limits keep a workspace from being served.

    Args:
        account: The workspace's account.
        limits: Its limits at this moment.
        now: Monotonic time in seconds.

    Returns:
        None if it may be served, else seconds, infinite if only the end of a
        request helps.
    """
    if limits.max_in_flight and account.in_flight >= limits.max_in_flight:
        return math.inf
    rate = limits.max_service_per_second
    if not rate:
        return None
    _refill(account, rate, now)
    if account.level > 0:
        return None
    return max(-account.level / rate, 0.0) + 0.001


def limited_for(account: Account, limits: EffectiveLimits, now: float) -> float:
    """Returns how long at least the rate limit keeps a workspace waiting.

    What is charged for requests in flight may be returned at their end, so it
    does not count as used.

    Args:
        account: The workspace's account.
        limits: Its limits at this moment.
        now: Monotonic time in seconds.

    Returns:
        Seconds, 0 without a rate limit.
    """
    rate = limits.max_service_per_second
    if not rate:
        return 0.0
    _refill(account, rate, now)
    pending = sum(each.pending for each in account.backlogs.values())
    return max(-(account.level + pending * limits.weight) / rate, 0.0)


def use_rate(
    account: Account, limits: EffectiveLimits, cost: float, now: float
) -> None:
    """Takes service from the rate limit, or gives it back if negative."""
    rate = limits.max_service_per_second
    if rate:
        _refill(account, rate, now)
        account.level = min(account.level - cost, rate * _BURST_S)


def _refill(account: Account, rate: float, now: float) -> None:
    if account.level_at == -math.inf:
        account.level = rate * _BURST_S
    else:
        gained = rate * max(now - account.level_at, 0.0)
        account.level = min(account.level + gained, rate * _BURST_S)
    account.level_at = now

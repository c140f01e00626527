"""Service accounting and limits of workspaces."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwinch.configuration import EffectiveLimits, Snapshot

_DEFAULT_LIMITS = EffectiveLimits(1.0, 0, 0.0)
# Burst capacity of a rate limit in seconds at that rate, so that requests that
# cost more than one second of the rate can start.
_BURST_S = 1.0


@dataclass(slots=True, eq=False)
class UnitAccount:
    """Service of one workspace in all groups that share a service unit.

    Units are accounted separately because tokens of engines and
    slot-milliseconds of plain services cannot be added.

    Attributes:
        virtual: Virtual service: charged service divided by the weight.
        restored: Largest lag restored from a registration.
    """

    virtual: float = 0.0
    restored: float = 0.0


@dataclass(slots=True, eq=False)
class Account:
    """Service and limits of one workspace in a domain.

    Attributes:
        units: Service by kind of group, which determines the unit.
        in_flight: Number of active grants.
        waiting: Number of waiting entries in all groups.
        credit: Service units that the rate limit admits now; negative after
            a charge that exceeds them.
        credit_updated_at: Monotonic time of the last refill in seconds.
        blocked: Whether the workspace has reached one of its limits.
        snapshot: Configuration from which `limits` was read.
        limits_until: Unix time until which `limits` is valid.
        backlogs: Backlogs by group number.
    """

    workspace: int
    units: dict[str, UnitAccount] = field(default_factory=dict)
    in_flight: int = 0
    waiting: int = 0
    credit: float = 0.0
    credit_updated_at: float = -math.inf
    blocked: bool = False
    snapshot: Snapshot | None = None
    limits: EffectiveLimits = _DEFAULT_LIMITS
    limits_until: float = 0.0
    backlogs: dict[int, object] = field(default_factory=dict)


class LimitReader:
    """Reads the limits of workspaces and caches them until they change."""

    def __init__(self, snapshot: Callable[[], Snapshot]) -> None:
        """Stores a callable that returns the current configuration."""
        self._snapshot = snapshot

    def read(self, account: Account, unix_time: float) -> EffectiveLimits:
        """Returns the weight and limits of a workspace at a Unix time."""
        snapshot = self._snapshot()
        if account.snapshot is snapshot and unix_time < account.limits_until:
            return account.limits
        workspace = account.workspace
        configured = snapshot.workspaces.get(workspace)
        account.snapshot = snapshot
        account.limits_until = math.inf
        account.limits = _DEFAULT_LIMITS
        if configured is not None:
            account.limits = snapshot.limits(workspace, unix_time)
            account.limits_until = min(
                (
                    boundary
                    for event in snapshot.events.get(configured.name, ())
                    for boundary in (event.start, event.end)
                    if boundary > unix_time
                ),
                default=math.inf,
            )
        return account.limits


def blocking_delay_s(
    account: Account, limits: EffectiveLimits, now: float
) -> float | None:
    """Returns the delay until the limits allow a workspace to be served.

    Args:
        account: Account of the workspace.
        limits: The current limits of the workspace.
        now: Monotonic time in seconds.

    Returns:
        None if it may be served now, otherwise the delay in seconds. The
        delay is infinite if a request must end first.
    """
    if limits.max_in_flight and account.in_flight >= limits.max_in_flight:
        return math.inf
    rate = limits.max_service_per_second
    if not rate:
        return None
    _refill(account, rate, now)
    if account.credit > 0:
        return None
    return max(-account.credit / rate, 0.0) + 0.001


def rate_limit_delay_s(
    account: Account, limits: EffectiveLimits, now: float
) -> float:
    """Returns the minimum delay that the rate limit causes for a workspace.

    Charges for requests in flight may be refunded when the requests end, so
    they do not count as used.

    Args:
        account: Account of the workspace.
        limits: The current limits of the workspace.
        now: Monotonic time in seconds.

    Returns:
        Delay in seconds, 0 without a rate limit.
    """
    rate = limits.max_service_per_second
    if not rate:
        return 0.0
    _refill(account, rate, now)
    pending = sum(each.pending for each in account.backlogs.values())
    return max(-(account.credit + pending * limits.weight) / rate, 0.0)


def consume_rate(
    account: Account, limits: EffectiveLimits, cost: float, now: float
) -> None:
    """Deducts a cost from the rate limit credit; refunds a negative cost."""
    rate = limits.max_service_per_second
    if rate:
        _refill(account, rate, now)
        account.credit = min(account.credit - cost, rate * _BURST_S)


def _refill(account: Account, rate: float, now: float) -> None:
    if account.credit_updated_at == -math.inf:
        account.credit = rate * _BURST_S
    else:
        refill = rate * max(now - account.credit_updated_at, 0.0)
        account.credit = min(account.credit + refill, rate * _BURST_S)
    account.credit_updated_at = now

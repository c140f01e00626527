"""State that a domain scheduler keeps of routers, grants and targets."""

import math
from dataclasses import dataclass, field

from crowwinch.coordination import Subscription
from crowwinch.generated.peer_messages import RefusedDemand
from crowwinch.scheduling._fair_queue import Entry
from crowwinch.scheduling._pacing import Pacing
from crowwinch.scheduling._target_limits import TargetLimit

# Time constant of the moving average of the completion rate.
_RATE_TIME_CONSTANT_S = 10.0
# Minimum number of completions for a rate estimate. A burst fills all slots at
# once, so that few requests end within the first service time. At a steady
# rate, an estimate from 8 completions is half of the actual rate in 2 of 100
# cases.
_MIN_COMPLETIONS = 8
# Maximum load difference between a preferred target and the least loaded one,
# as a fraction of the target's limit: two of eight slots.
AFFINITY_SLACK = 0.25


@dataclass(slots=True, eq=False)
class GrantRecord:
    """A charged entry.

    Attributes:
        entry: Entry for which the grant is made.
        charged: Charged cost in service units.
        weight: Weight of the workspace at the time of the charge.
        number: Number of the grant, 0 until a target is assigned.
        target: Assigned target, None if there is none.
    """

    entry: Entry
    charged: int
    weight: float
    number: int = 0
    target: "TargetRecord | None" = None


@dataclass(slots=True, eq=False)
class RouterRecord:
    """A registered router.

    Attributes:
        name: Name of the router.
        pacing: Byte budget for answers to the router.
        echo_ms: Timestamp of the router's last message, which answers echo.
        entries: Waiting entries by request number.
        grants: Active grants by grant number.
        by_request: Active grants and grants without a target by request number.
        stale: Grants that a later registration did not list. Their charge is
            settled when the router reports them.
        granted: Grants to be sent in the next answer.
        refused: Refusals to be sent in the next answer.
        groups: Groups whose status may have to be sent in the next answer.
        flush: Timer of the next answer, None while there is none.
        flush_at: Monotonic time in seconds at which the next answer is due.
            Infinite if none is scheduled, negative infinite while one waits for
            the byte budget.
    """

    name: str
    pacing: Pacing
    echo_ms: int = 0
    entries: dict[int, Entry] = field(default_factory=dict)
    grants: dict[int, GrantRecord] = field(default_factory=dict)
    by_request: dict[int, GrantRecord] = field(default_factory=dict)
    stale: dict[int, GrantRecord] = field(default_factory=dict)
    granted: list[GrantRecord] = field(default_factory=list)
    refused: list[RefusedDemand] = field(default_factory=list)
    groups: set[int] = field(default_factory=set)
    flush: Subscription | None = None
    flush_at: float = math.inf


@dataclass(slots=True, eq=False)
class TargetRecord:
    """A target.

    Attributes:
        number: Identifier of the target.
        limit: Adaptive concurrency limit of the target.
        allowed: Number of requests that this scheduler may run on the target.
        reserved: Exclusive grant for which the target is drained, or None.
    """

    number: int
    limit: TargetLimit
    allowed: int = 0
    reserved: GrantRecord | None = None

    @property
    def is_free(self) -> bool:
        """Whether a non-exclusive entry may be granted on the target."""
        return self.reserved is None and self.limit.own < self.allowed

    @property
    def is_idle(self) -> bool:
        """Whether no request is known to run on the target."""
        return self.limit.own == 0 and self.limit.load == 0


class CompletionRate:
    """Exponentially weighted moving average of the completion rate.

    Only time during which entries wait counts, as the lack of completions in
    an idle group does not indicate the wait in the next burst.
    """

    def __init__(self) -> None:
        """Creates a rate without completions while no entry waits."""
        self._weighted_rate = 0.0
        self._completions = 0
        self._counted_s = 0.0
        self._waiting_since: float | None = None

    def set_waiting(self, is_waiting: bool, now: float) -> None:
        """Starts or stops counting time.

        Args:
            is_waiting: Whether entries wait.
            now: Monotonic time in seconds.
        """
        self._advance(now)
        if not is_waiting:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def add(self, now: float) -> None:
        """Records a completion if entries wait."""
        self._advance(now)
        if self._waiting_since is not None:
            self._weighted_rate += 1.0 / _RATE_TIME_CONSTANT_S
            self._completions += 1

    def per_second(self, now: float) -> float:
        """Returns completions per second, 0 while unknown."""
        self._advance(now)
        if self._counted_s < 0.1 or self._completions < _MIN_COMPLETIONS:
            return 0.0
        window_fraction = 1.0 - math.exp(
            -self._counted_s / _RATE_TIME_CONSTANT_S
        )
        return self._weighted_rate / window_fraction

    def _advance(self, now: float) -> None:
        if self._waiting_since is None:
            return
        age = now - self._waiting_since
        self._weighted_rate *= math.exp(-age / _RATE_TIME_CONSTANT_S)
        self._counted_s += age
        self._waiting_since = now


@dataclass(slots=True, eq=False)
class GroupRecord:
    """Targets of a group.

    Attributes:
        number: Number of the group.
        targets: Targets of the group.
        unplaced: Charged grants that wait for a target.
        rate: Rate of completions in the group.
    """

    number: int
    targets: list[TargetRecord] = field(default_factory=list)
    unplaced: list[GrantRecord] = field(default_factory=list)
    rate: CompletionRate = field(default_factory=CompletionRate)

    def best_target(
        self, avoided: frozenset[int], preferred: int = 0
    ) -> TargetRecord | None:
        """Returns the free target with the lowest load, or None.

        The preferred target is returned instead if it is free and its load is
        at most `AFFINITY_SLACK` above the lowest load of a free target.
        """
        least_loaded = preferred_target = None
        lowest_load = math.inf
        for target in self.targets:
            if target.is_free and target.number not in avoided:
                load = target.limit.load
                if load < lowest_load:
                    least_loaded, lowest_load = target, load
                if target.number == preferred:
                    preferred_target = target
        if (
            preferred_target is not None
            and preferred_target.limit.load <= lowest_load + AFFINITY_SLACK
        ):
            return preferred_target
        return least_loaded

    @property
    def has_free_target(self) -> bool:
        """Whether a non-exclusive entry could be granted now."""
        return any(target.is_free for target in self.targets)

    @property
    def allows_reuse(self) -> bool:
        """Whether routers may reuse slots without asking the scheduler."""
        return not any(
            target.reserved is not None or target.limit.own > target.allowed
            for target in self.targets
        )

"""What a domain scheduler remembers of routers, grants and targets."""

import math
from dataclasses import dataclass, field

from crowwinch.coordination import Subscription
from crowwinch.generated.peer_messages import RefusedDemand
from crowwinch.scheduling._fair_queue import Entry
from crowwinch.scheduling._pacing import Pacing
from crowwinch.scheduling._target_limits import TargetLimit

# Time constant of the rate of completions.
_RATE_WINDOW_S = 10.0
# Completions before their rate is taken as known. A burst fills all slots at
# once, so that few requests end before the first service time is over; at a
# steady rate, 8 completions make it half of the real one in 2 of 100 cases.
_FEWEST_COMPLETIONS = 8
# A preferred target may be this much more loaded than the least loaded one, as
# a fraction of its limit: two of eight slots.
AFFINITY_SLACK = 0.25


@dataclass(slots=True, eq=False)
class GrantRecord:
    """A charged entry; `target` is None until a target is found for it."""

    entry: Entry
    charged: int
    weight: float
    number: int = 0
    target: "TargetRecord | None" = None


@dataclass(slots=True, eq=False)
class RouterRecord:
    """A registered router.

    Attributes:
        entries: Waiting entries by request number.
        grants: Grants in force by grant number.
        by_request: The same and grants that wait for a target, by request.
        stale: Grants that a later registration did not list. Their charge is
            settled when the router reports them.
        answer_due: Monotonic time by which the router must hear something.
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
    """A target; `reserved` is the exclusive grant that it is drained for."""

    number: int
    limit: TargetLimit
    allowed: int = 0
    reserved: GrantRecord | None = None

    @property
    def is_free(self) -> bool:
        """Whether an ordinary entry may be granted on the target."""
        return self.reserved is None and self.limit.own < self.allowed

    @property
    def is_idle(self) -> bool:
        """Whether no request is known to run on the target."""
        return self.limit.own == 0 and self.limit.load == 0


class CompletionRate:
    """Rate of completions with exponentially decreasing weight of age.

    Only time in which entries wait counts. An idle group completes nothing,
    but this says nothing about the wait in the burst that ends its idleness.
    """

    def __init__(self) -> None:
        """Starts without completions, with no entry waiting."""
        self._value = 0.0
        self._completions = 0
        self._counted_s = 0.0
        self._waiting_since: float | None = None

    def set_waiting(self, is_waiting: bool, now: float) -> None:
        """Starts or stops to count time."""
        self._advance(now)
        if not is_waiting:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def add(self, now: float) -> None:
        """Counts one completion if entries wait."""
        self._advance(now)
        if self._waiting_since is not None:
            self._value += 1.0 / _RATE_WINDOW_S
            self._completions += 1

    def per_second(self, now: float) -> float:
        """Returns completions a second, 0 while unknown."""
        self._advance(now)
        if self._counted_s < 0.1 or self._completions < _FEWEST_COMPLETIONS:
            return 0.0
        seen = 1.0 - math.exp(-self._counted_s / _RATE_WINDOW_S)
        return self._value / seen

    def _advance(self, now: float) -> None:
        if self._waiting_since is None:
            return
        age = now - self._waiting_since
        self._value *= math.exp(-age / _RATE_WINDOW_S)
        self._counted_s += age
        self._waiting_since = now


@dataclass(slots=True, eq=False)
class GroupRecord:
    """Targets of a group and grants that wait for one of them."""

    number: int
    targets: list[TargetRecord] = field(default_factory=list)
    parked: list[GrantRecord] = field(default_factory=list)
    rate: CompletionRate = field(default_factory=CompletionRate)

    def best_target(
        self, avoided: frozenset[int], preferred: int = 0
    ) -> TargetRecord | None:
        """Returns the free target with the lowest load, or None.

        The preferred target is returned instead if it is free and its load is
        at most `AFFINITY_SLACK` above the lowest load of a free target.
        """
        best = held = None
        best_load = math.inf
        for target in self.targets:
            if target.is_free and target.number not in avoided:
                load = target.limit.load
                if load < best_load:
                    best, best_load = target, load
                if target.number == preferred:
                    held = target
        if held is not None and held.limit.load <= best_load + AFFINITY_SLACK:
            return held
        return best

    @property
    def has_free_target(self) -> bool:
        """Whether an ordinary entry could be granted now."""
        return any(target.is_free for target in self.targets)

    @property
    def allows_reuse(self) -> bool:
        """Whether routers may pass slots on without asking."""
        return not any(
            target.reserved is not None or target.limit.own > target.allowed
            for target in self.targets
        )

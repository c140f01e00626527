"""Counters that merge by maximum."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class CounterKey:
    """Identifies who counted what.

    Attributes:
        member: The router that counted.
        life: Start time of its process in milliseconds. A restarted router
            counts from 0 under a new life, so its old count stays in totals.
        name: What was counted.
    """

    member: str
    life: int
    name: str


class MaxMergeCounters:
    """Counts of all routers as known here.

    Only its own router increases a count, so the maximum is the latest value.
    Merging is commutative, associative and idempotent: duplicated, reordered
    and late messages do no harm.
    """

    def __init__(self, member: str, life: int) -> None:
        """Creates empty counters of one life of a router."""
        self._member = member
        self._life = life
        self._values: dict[CounterKey, int] = {}
        self._totals: dict[str, int] = {}

    def add(self, name: str, amount: int) -> None:
        """Adds to an own count.

        Raises:
            ValueError: If the amount is negative.
        """
        if amount < 0:
            raise ValueError(f"counters do not go down, got {amount}")
        key = CounterKey(self._member, self._life, name)
        self._raise_to(key, self._values.get(key, 0) + amount)

    def merge(self, values: Mapping[CounterKey, int]) -> None:
        """Takes the counts of another router where they are higher."""
        for key, value in values.items():
            self._raise_to(key, value)

    def total(self, name: str) -> int:
        """Returns the sum over all routers and their lives."""
        return self._totals.get(name, 0)

    def values(
        self, names: Iterable[str] | None = None
    ) -> dict[CounterKey, int]:
        """Returns a copy of the counts, of the given names or of all."""
        if names is None:
            return dict(self._values)
        wanted = set(names)
        return {
            key: value
            for key, value in self._values.items()
            if key.name in wanted
        }

    def _raise_to(self, key: CounterKey, value: int) -> None:
        gain = value - self._values.get(key, 0)
        if gain > 0:
            self._values[key] = value
            self._totals[key.name] = self._totals.get(key.name, 0) + gain

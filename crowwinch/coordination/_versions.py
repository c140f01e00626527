"""A value that only moves to a higher version."""

import enum
from dataclasses import dataclass
from typing import Generic, TypeVar

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Revision, then digest: two values of one revision are ordered too."""

    revision: int = 0
    digest: str = ""


class Offer(enum.Enum):
    """What became of an offered value."""

    TAKEN = "taken"
    SAME = "same"
    LOWER = "lower"
    CONFLICT_TAKEN = "conflict_taken"
    CONFLICT_IGNORED = "conflict_ignored"


class MonotonicValue(Generic[_Value]):
    """Holds the value of the highest version ever offered.

    Holders that are offered the same values in any order, with repeats, hold
    the same value.
    """

    def __init__(self, initial: _Value) -> None:
        """Holds an initial value at version 0, below every offer."""
        self._version = Version()
        self._value = initial

    @property
    def version(self) -> Version:
        """Version of the value."""
        return self._version

    @property
    def value(self) -> _Value:
        """The value in force."""
        return self._value

    def offer(self, version: Version, value: _Value) -> Offer:
        """Takes a value if its version is higher.

        Returns:
            What became of it; a conflict is another digest at the revision in
            force, which callers report.
        """
        if version == self._version:
            return Offer.SAME
        conflict = version.revision == self._version.revision
        if version < self._version:
            return Offer.CONFLICT_IGNORED if conflict else Offer.LOWER
        self._version, self._value = version, value
        return Offer.CONFLICT_TAKEN if conflict else Offer.TAKEN

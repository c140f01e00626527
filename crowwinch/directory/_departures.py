"""Targets that are leaving or were removed."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.directory._model import TargetEntry, TargetState

# Time for which departures are reported to peers: two rounds of updates in a
# fleet of 200 routers.
_REPORT_S = 2.0
# Departures reported at a time, so that an update stays small.
_MAX_REPORTS = 64
# Time after a restoration of the store for which targets that were removed
# before are not used: their entries may be of the copy. Entries that no live
# target writes again expire after three heartbeats.
_RESTORED_ENTRY_S = 5.0
# The oldest departures are forgotten first.
_MAX_DEPARTURES = 1_000


@dataclass(frozen=True, slots=True)
class _Change:
    """A change by which a target departed.

    Attributes:
        revision: Store revision of the change.
        known_at: Monotonic time at which it became known.
    """

    revision: int
    known_at: float


@dataclass(frozen=True, slots=True)
class _Departed:
    """A target that departed.

    Attributes:
        started_ms: Start time of the target in Unix milliseconds.
        is_leaving: Whether the target itself said that it leaves. If not, its
            entry may have lapsed although it lives.
        era: Era of the store in which it departed.
    """

    started_ms: int
    is_leaving: bool
    era: int


class Departures:
    """Departures by item key, from this directory and from peers.

    They keep a target from being used before this directory has the change, and
    after the store was restored from a copy that is older than the change.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without departures.

        Args:
            clock: Source of monotonic time.
        """
        self._clock = clock
        self._changes: dict[str, _Change] = {}
        self._departed: dict[str, _Departed] = {}
        # Monotonic time until which entries of removed targets are not trusted.
        self._distrust_until: float | None = None

    def record(
        self,
        key: str,
        target: TargetEntry,
        revision: int,
        era: int,
        *,
        is_reported: bool = True,
    ) -> None:
        """Records a target that is leaving or was removed.

        Args:
            key: Key of the entry.
            target: Last entry of the target.
            revision: Revision of the change.
            era: Era of the store to which the revision belongs.
            is_reported: Whether peers are told.
        """
        if is_reported:
            self._add_change(key, revision)
        self._departed.pop(key, None)
        self._departed[key] = _Departed(
            target.started_ms, target.state is TargetState.LEAVING, era
        )
        _forget_oldest(self._departed)

    def announce(
        self, departures: Iterable[tuple[str, int]], revision: int
    ) -> list[tuple[str, int]]:
        """Records departures that a peer knows.

        Args:
            departures: Keys of the targets and revisions of the changes.
            revision: Revision up to which this directory has all changes.

        Returns:
            Those that are new here.
        """
        new = [
            (key, changed_at)
            for key, changed_at in departures
            if changed_at > revision and not self.is_announced(key, changed_at)
        ]
        for key, changed_at in new:
            self._add_change(key, changed_at)
        return new

    def recent(self, since: float = math.inf) -> list[tuple[str, int]]:
        """Returns keys and revisions of the latest departures, for peers.

        Args:
            since: Monotonic time from which on the peer may have missed them.
        """
        oldest = min(self._clock.monotonic() - _REPORT_S, since - _REPORT_S)
        recent = [
            (key, change.revision)
            for key, change in self._changes.items()
            if change.known_at >= oldest
        ]
        return recent[-_MAX_REPORTS:]

    def is_announced(self, key: str, revision: int) -> bool:
        """Returns whether a target departed at a revision or later."""
        change = self._changes.get(key)
        return change is not None and change.revision >= revision

    def is_outdated(self, key: str, entry: TargetEntry, era: int) -> bool:
        """Returns whether an entry may be older than the target's departure.

        Args:
            key: Key of the entry.
            entry: Entry of a target that accepts requests.
            era: Era of the store that holds the entry.
        """
        departed = self._departed.get(key)
        if (
            departed is None
            or departed.started_ms != entry.started_ms
            or departed.era == era
        ):
            return False
        return departed.is_leaving or self._distrust_until is not None

    def start_era(self, *, is_restored: bool) -> None:
        """Forgets revisions, which are given out again.

        Args:
            is_restored: Whether entries may be older than known departures.
        """
        self._changes.clear()
        if is_restored:
            now = self._clock.monotonic()
            self._distrust_until = now + _RESTORED_ENTRY_S

    def expire(self) -> bool:
        """Trusts restored entries in time; returns whether that changed."""
        until = self._distrust_until
        if until is None or self._clock.monotonic() < until:
            return False
        self._distrust_until = None
        return True

    def _add_change(self, key: str, revision: int) -> None:
        self._changes.pop(key, None)
        self._changes[key] = _Change(revision, self._clock.monotonic())
        _forget_oldest(self._changes)


def _forget_oldest(departures: dict[str, object]) -> None:
    if len(departures) > _MAX_DEPARTURES:
        del departures[next(iter(departures))]

"""Software versions of services and services of routes, also past ones."""

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.directory._model import Item, TargetEntry

# Other routers may use a variant for this long after it has gone here.
_LAG_S = 3.0
# Heartbeats come late at times, and clocks differ.
_MAX_CLOCK_ERROR_S = 3.0
_MS_PER_S = 1000.0
# Variants that were there in this time are reported to peers.
_REPORTED_S = 60.0
# Variants reported at a time, so that an update stays small.
_MAX_REPORTS = 32
# Pairs of group and variant, the longest unseen of which are forgotten first.
_MAX_PAIRS = 1_000


@dataclass(frozen=True, slots=True)
class VariantAge:
    """When a variant of a group was last there.

    Attributes:
        group: Service whose targets are of several software versions, or route
            that sends requests to several services.
        variant: The version or the service.
        age_s: Seconds since it was last there.
        used_age_s: Seconds since a router with an older directory may have used
            it, None if no such router is known.
    """

    group: str
    variant: str
    age_s: float
    used_age_s: float | None = None


class VariantHistory:
    """Tells whether one variant of a group alone was there for a time.

    That a variant is alone now proves nothing: the other may have just left.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance that knows nothing of the past.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # Time at which each pair of group and variant was last there.
        self._last_seen: dict[tuple[str, str], float] = {}
        # Time until which a router that was out of step may have used each
        # pair.
        self._last_used: dict[tuple[str, str], float] = {}
        self._complete_since = math.inf

    @property
    def covered_s(self) -> float:
        """Seconds for which the history is complete, 0 without one."""
        return max(self._clock.monotonic() - self._complete_since, 0.0)

    def start(self) -> None:
        """Records that from now on all changes are seen."""
        self._complete_since = min(
            self._complete_since, self._clock.monotonic()
        )

    def restart(self) -> None:
        """Records that changes until now were not seen."""
        self._complete_since = self._clock.monotonic()

    def record_old_directory(self, synced_at: float) -> None:
        """Records that a router may have used an old directory until now.

        Args:
            synced_at: Monotonic time up to which the directory included all
                changes.
        """
        now = self._clock.monotonic()
        since = synced_at - _LAG_S
        if now - synced_at <= _LAG_S:
            return
        if since < self._complete_since:
            # It may hold variants that are not known here.
            self.restart()
        for pair, seen in self._last_seen.items():
            if seen >= since:
                self._last_used[pair] = now

    def record(self, group: str, variant: str) -> None:
        """Records that a variant is there now, or was there until now."""
        self._last_seen.pop((group, variant), None)
        self._last_seen[group, variant] = self._clock.monotonic()
        self._forget_oldest()

    def extend(
        self, pairs: Iterable[tuple[str, str]], covered_s: float
    ) -> None:
        """Adds what was there before this router began to follow the store.

        Args:
            pairs: All groups and variants that were there in the time.
            covered_s: Seconds before now for which they are complete.
        """
        for pair in pairs:
            self.record(*pair)
        self._complete_since = min(
            self._complete_since, self._clock.monotonic() - covered_s
        )

    def reports(
        self,
        current: Iterable[tuple[str, str]],
        groups: Collection[str] | None = None,
    ) -> tuple[list[VariantAge], float]:
        """Returns what peers need to know.

        Args:
            current: Groups and variants that are there now.
            groups: Groups that are reported, None for all. The store may hold
                entries of others.

        Returns:
            The variants, and the seconds for which they are complete.
        """
        now = self._clock.monotonic()
        seen_at = self._last_seen | dict.fromkeys(current, now)
        ages = {
            pair: now - max(seen, self._used_at(pair))
            for pair, seen in seen_at.items()
            if groups is None or pair[0] in groups
        }
        recent = sorted(
            (age_s, pair)
            for pair, age_s in ages.items()
            if age_s <= _REPORTED_S
        )
        reports = [
            VariantAge(*pair, now - seen_at[pair], self._used_age_s(pair, now))
            for _, pair in recent[:_MAX_REPORTS]
        ]
        covered_s = min(
            [self.covered_s, *(age_s for age_s, _ in recent[_MAX_REPORTS:])]
        )
        return reports, covered_s

    def merge(
        self, ages: Iterable[VariantAge], covered_s: float, synced_at: float
    ) -> None:
        """Adds what a peer knows that has followed the store for longer.

        Args:
            ages: When each variant was last there.
            covered_s: Seconds for which the peer has seen all variants.
            synced_at: Monotonic time up to which its directory includes all
                changes.
        """
        now = self._clock.monotonic()
        for age in ages:
            pair = (age.group, age.variant)
            seen = max(self._last_seen.pop(pair, -math.inf), now - age.age_s)
            self._last_seen[pair] = seen
            if age.used_age_s is not None:
                used = max(self._used_at(pair), now - age.used_age_s)
                self._last_used[pair] = used
        self._forget_oldest()
        if synced_at >= self._complete_since:
            since = now - min(covered_s, _REPORTED_S)
            self._complete_since = min(self._complete_since, since)

    def only_variant(
        self, group: str, current: Iterable[str], age_s: float
    ) -> str | None:
        """Returns the only variant that can have begun a stream.

        Args:
            group: Service or route of the stream.
            current: Variants of the group that are there now.
            age_s: Maximum time in seconds since the stream began.

        Returns:
            The variant, None if there were several or the history is too short.
        """
        since = self._clock.monotonic() - age_s - _LAG_S
        if self._complete_since > since:
            return None
        variants = {
            variant
            for (name, variant), seen in self._last_seen.items()
            if name == group
            and max(seen, self._used_at((name, variant))) >= since
        }
        variants.update(current)
        return variants.pop() if len(variants) == 1 else None

    def _used_at(self, pair: tuple[str, str]) -> float:
        return self._last_used.get(pair, -math.inf)

    def _used_age_s(self, pair: tuple[str, str], now: float) -> float | None:
        used_at = self._last_used.get(pair)
        return None if used_at is None else now - used_at

    def _forget_oldest(self) -> None:
        while len(self._last_seen) > _MAX_PAIRS:
            oldest = next(iter(self._last_seen))
            used = max(self._last_seen.pop(oldest), self._used_at(oldest))
            self._last_used.pop(oldest, None)
            # From then on, nothing is missing.
            self._complete_since = max(self._complete_since, used)


def shows_all_targets(items: Sequence[Item]) -> bool:
    """Returns whether changes show each target that was there in their time.

    One that was removed without having written before was there with an unknown
    version.
    """
    written: set[str] = set()
    for item in items:
        if item.value is not None:
            written.add(item.key)
        elif item.key not in written:
            return False
    return True


def age_of_first_write(
    targets: Sequence[TargetEntry], heartbeat_s: float, now_unix_s: float
) -> float:
    """Returns how long ago the first of some entries was certainly written.

    The store may discard changes at any time, so that those it keeps reach back
    only as far as they themselves show. A target writes its entry with each
    heartbeat, and counts them from its start.

    Args:
        targets: Entries in the order in which they were written.
        heartbeat_s: Interval in seconds of the heartbeats, 0 if unknown.
        now_unix_s: Unix time in seconds.

    Returns:
        The time in seconds, 0 if it cannot be told.
    """
    if not heartbeat_s:
        return 0.0
    for target in targets:
        if target.started_ms:
            started_s = target.started_ms / _MS_PER_S
            written_s = started_s + target.heartbeats * heartbeat_s
            return max(now_unix_s - written_s - _MAX_CLOCK_ERROR_S, 0.0)
    return 0.0

"""Software versions that the targets of each service had lately."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.directory._model import Item, TargetEntry

# Other routers may use a target for this long after its entry has gone here.
_LAG_S = 3.0
# Versions that were there in this time are reported to peers.
_REPORTED_S = 60.0
# Versions reported at a time, so that an update stays small.
_MAX_REPORTS = 32
# Versions of services, the longest unseen of which are forgotten first.
_MAX_VERSIONS = 1_000


@dataclass(frozen=True, slots=True)
class VersionAge:
    """When targets of a software version were last there.

    Attributes:
        service: Name of the service.
        version: Version of the software of its targets.
        age_s: Seconds since the last one was there.
    """

    service: str
    version: str
    age_s: float


class VersionHistory:
    """Tells whether one software version alone served a service for a time.

    That a version is alone now proves nothing: the other may have just left.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance that knows nothing of the past.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # Time at which each pair of service and version was last there.
        self._last_seen: dict[tuple[str, str], float] = {}
        self._complete_since = math.inf

    @property
    def covered_s(self) -> float:
        """Seconds for which the history is complete, 0 without one."""
        return max(self._clock.monotonic() - self._complete_since, 0.0)

    def start(self) -> None:
        """Records that from now on all changes of targets are seen."""
        self._complete_since = min(
            self._complete_since, self._clock.monotonic()
        )

    def record(self, target: TargetEntry) -> None:
        """Records that a target is there now, or was there until now."""
        pair = (target.service, target.software_version)
        self._last_seen.pop(pair, None)
        self._last_seen[pair] = self._clock.monotonic()
        self._forget_oldest()

    def extend(self, targets: Iterable[TargetEntry], covered_s: float) -> None:
        """Adds what was there before this router began to follow the store.

        Args:
            targets: All entries that were there in the time.
            covered_s: Seconds before now for which they are complete.
        """
        for target in targets:
            self.record(target)
        self._complete_since = min(
            self._complete_since, self._clock.monotonic() - covered_s
        )

    def reports(self, current: Iterable[TargetEntry]) -> list[VersionAge]:
        """Returns the versions of all services, for peers."""
        now = self._clock.monotonic()
        ages = {pair: now - seen for pair, seen in self._last_seen.items()}
        for target in current:
            ages[target.service, target.software_version] = 0.0
        ordered = sorted(ages.items(), key=lambda entry: entry[1])
        return [
            VersionAge(service, version, age_s)
            for (service, version), age_s in ordered
            if age_s <= _REPORTED_S
        ][:_MAX_REPORTS]

    def merge(self, ages: Iterable[VersionAge], covered_s: float) -> None:
        """Adds what a peer knows that has followed the store for longer."""
        now = self._clock.monotonic()
        for age in ages:
            pair = (age.service, age.version)
            seen = max(self._last_seen.pop(pair, -math.inf), now - age.age_s)
            self._last_seen[pair] = seen
        self._forget_oldest()
        since = now - min(covered_s, _REPORTED_S)
        self._complete_since = min(self._complete_since, since)

    def only_version(
        self, service: str, current: Iterable[TargetEntry], age_s: float
    ) -> str | None:
        """Returns the only version that can have begun a stream.

        Args:
            service: Service of the stream.
            current: Targets that are there now.
            age_s: Maximum time in seconds since the stream began.

        Returns:
            The version, None if there were several or the history is too short.
        """
        since = self._clock.monotonic() - age_s - _LAG_S
        if self._complete_since > since:
            return None
        versions = {
            version
            for (name, version), seen in self._last_seen.items()
            if name == service and seen >= since
        }
        versions |= {
            target.software_version
            for target in current
            if target.service == service
        }
        return versions.pop() if len(versions) == 1 else None

    def _forget_oldest(self) -> None:
        while len(self._last_seen) > _MAX_VERSIONS:
            del self._last_seen[next(iter(self._last_seen))]


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

"""Reads and watches the configuration service within a call budget."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from crowwinch.configuration._candidates import CandidateSet
from crowwinch.configuration._loader import digest_of
from crowwinch.configuration._store import Version
from crowwinch.coordination import Subscription, TimerService
from crowwinch.errors import PlatformError

# Watches of the manifest. A service that answers watches at once must not be
# called more often than this.
_WATCHES_PER_SECOND = 2
# The service serves 2,000 reads a second. Should every router read at the same
# time, because each takes itself for a watcher or has no configuration, their
# reads of parts and watches together stay below that at up to 499 routers.
_FLEET_READS_PER_SECOND = 1_100
_FEWEST_READS_PER_SECOND = 2
# Enough for 100 parts in about a second with 6 watchers that share them.
_MOST_READS_PER_SECOND = 20
_FIRST_BACK_OFF_S = 0.5
# A change must be in force within 7 s of the service's return. 50 watchers at
# this pace make 25 calls a second.
_LONGEST_BACK_OFF_S = 3.0


class ConfigurationReader(Protocol):
    """Reads values of the configuration service."""

    async def read(self, name: str) -> bytes:
        """Returns a value; raises PlatformError."""

    async def watch(self, name: str, digest: str) -> bytes | None:
        """Returns a value that differs from a digest, None on a time-out."""


def reads_per_second(routers: int) -> int:
    """Returns how many parts a router may read in a second.

    Args:
        routers: Routers in the VM list, 0 before the list is known.
    """
    if routers <= 0:
        return _FEWEST_READS_PER_SECOND
    share = _FLEET_READS_PER_SECOND // routers
    return min(_MOST_READS_PER_SECOND, max(_FEWEST_READS_PER_SECOND, share))


class _Budget:
    """Limits the calls within any second."""

    def __init__(self) -> None:
        self._calls: deque[float] = deque(maxlen=_MOST_READS_PER_SECOND)

    def next_due(self, limit: int) -> float:
        """Returns the monotonic time from which a call is within a limit."""
        if len(self._calls) < limit:
            return 0.0
        return self._calls[-limit] + 1.0

    def spend(self, now: float) -> None:
        """Takes note of a call."""
        self._calls.append(now)


class ServiceWatcher:
    """Makes at most one call at a time, while `is_active` says so."""

    def __init__(
        self,
        timers: TimerService,
        reader: ConfigurationReader,
        candidates: CandidateSet,
        is_active: Callable[[], bool],
        randomness: random.Random,
        listed: Callable[[], int],
    ) -> None:
        """Stores the parts; `wake` starts the calls.

        Args:
            timers: Timer service.
            reader: The configuration service.
            candidates: Where documents go.
            is_active: Whether this router may read.
            randomness: Source of jitter.
            listed: Returns the number of routers in the VM list.
        """
        self._timers = timers
        self._reader = reader
        self._candidates = candidates
        self._is_active = is_active
        self._random = randomness
        self._listed = listed
        self._watches = _Budget()
        self._reads = _Budget()
        self._seen = ""
        self._failures = 0
        self._not_before = 0.0
        self._task: asyncio.Task | None = None
        self._timer: Subscription | None = None
        self._stopped = False

    def wake(self) -> None:
        """Makes the next call if it is due, else waits for its time."""
        if self._stopped or self._task is not None or not self._is_active():
            return
        now = self._timers.clock.monotonic()
        part = self._next_part()
        if part is None:
            budget, limit = self._watches, _WATCHES_PER_SECOND
        else:
            budget, limit = self._reads, reads_per_second(self._listed())
        due = max(self._not_before, budget.next_due(limit))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if now < due:
            self._timer = self._timers.call_later(due - now, self.wake)
            return
        budget.spend(now)
        call = self._watch() if part is None else self._read(*part)
        self._task = asyncio.ensure_future(call)
        self._task.add_done_callback(self._on_done)

    def stop(self) -> None:
        """Cancels the call in flight."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._task = None
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self._failures = 0
        else:
            self._failures += 1
            longest = min(
                _LONGEST_BACK_OFF_S,
                _FIRST_BACK_OFF_S * 2 ** min(self._failures, 8),
            )
            delay = self._random.uniform(longest / 2, longest)
            self._not_before = self._timers.clock.monotonic() + delay
            if not isinstance(error, PlatformError):
                self._timers.call_later(0.0, lambda: _raise(error))
        self.wake()

    def _next_part(self) -> tuple[Version, str] | None:
        """Returns a missing part of the manifest that the service serves."""
        for candidate in self._candidates.incomplete():
            missing = candidate.missing()
            if candidate.version[1] == self._seen and missing:
                # The order is random so that watchers that start together
                # read different parts and pull the others from each other.
                return candidate.version, self._random.choice(missing)
        return None

    async def _read(self, version: Version, name: str) -> None:
        document = await self._reader.read(name)
        if not self._candidates.add_part(version, name, document, "service"):
            self._on_mismatch(version)

    async def _watch(self) -> None:
        document = await self._reader.watch("manifest", self._seen)
        if document is not None:
            self._seen = digest_of(document)
            self._candidates.add_manifest(document, "service")

    def _on_mismatch(self, version: Version) -> None:
        if self._candidates.get(version) is None:
            return
        # The service is between two writes or serves two documents; the
        # manifest is read again after the back-off.
        self._seen = ""
        raise PlatformError("a part does not match the manifest")


def _raise(error: BaseException) -> None:
    """Hands an unexpected error to the timer service, which logs it."""
    raise error

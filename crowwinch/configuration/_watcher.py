"""Reads and watches the configuration service within a call budget."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from crowwinch.configuration._candidates import CandidateSet
from crowwinch.configuration._loader import digest_of
from crowwinch.coordination import Subscription, TimerService
from crowwinch.errors import PlatformError

READ_CALLS_PER_SECOND = 2
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


class ServiceWatcher:
    """Makes at most one call at a time, while `is_active` says so."""

    def __init__(
        self,
        timers: TimerService,
        reader: ConfigurationReader,
        candidates: CandidateSet,
        is_active: Callable[[], bool],
        randomness: random.Random,
    ) -> None:
        """Stores the parts; `wake` starts the calls."""
        self._timers = timers
        self._reader = reader
        self._candidates = candidates
        self._is_active = is_active
        self._random = randomness
        self._calls: deque[float] = deque(maxlen=READ_CALLS_PER_SECOND)
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
        due = self._not_before
        if len(self._calls) == self._calls.maxlen:
            due = max(due, self._calls[0] + 1.0)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if now < due:
            self._timer = self._timers.call_later(due - now, self.wake)
            return
        self._calls.append(now)
        self._task = asyncio.ensure_future(self._call())
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

    async def _call(self) -> None:
        for candidate in self._candidates.incomplete():
            missing = candidate.missing()
            if candidate.version[1] == self._seen and missing:
                # The order is random so that watchers that start together
                # read different parts and pull the others from each other.
                name = self._random.choice(missing)
                document = await self._reader.read(name)
                version = candidate.version
                if not self._candidates.add_part(
                    version, name, document, "service"
                ):
                    self._on_mismatch(version)
                return
        document = await self._reader.watch("manifest", self._seen)
        if document is not None:
            self._seen = digest_of(document)
            self._candidates.add_manifest(document, "service")

    def _on_mismatch(self, version: tuple[int, str]) -> None:
        if self._candidates.get(version) is None:
            return
        # The service is between two writes or serves two documents; the
        # manifest is read again after the back-off.
        self._seen = ""
        raise PlatformError("a part does not match the manifest")


def _raise(error: BaseException) -> None:
    """Hands an unexpected error to the timer service, which logs it."""
    raise error

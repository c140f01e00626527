"""Limits on retries, so that a failure does not multiply the load."""

from collections.abc import Callable
from dataclasses import dataclass

from crowwinch.coordination import Clock

# 10 retries at once cover a target that is lost with several requests in
# flight; one retry in 2 s afterwards stays below the mean of one request a
# second and worker in the two-year plan.
BURST = 10.0
REFILL_PER_SECOND = 0.5
FIRST_DELAY_S = 0.05
LONGEST_DELAY_S = 2.0
# Full buckets are dropped when there are more buckets than this.
_MANY_BUCKETS = 4096


@dataclass(slots=True)
class _Bucket:
    tokens: float
    changed: float


class RetryBudget:
    """Token buckets for each workspace and each target."""

    def __init__(self, clock: Clock, random: Callable[[], float]) -> None:
        """Creates full buckets.

        Args:
            clock: Monotonic time.
            random: Returns a number from 0 to 1, for the jitter.
        """
        self._clock = clock
        self._random = random
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def allow(self, workspace: int, target: int) -> bool:
        """Takes one retry from both budgets.

        Args:
            workspace: Workspace whose request is to be repeated.
            target: Target at which the last attempt failed.

        Returns:
            Whether both budgets had one; otherwise nothing is taken.
        """
        buckets = [
            self._refilled(("workspace", workspace)),
            self._refilled(("target", target)),
        ]
        if any(bucket.tokens < 1.0 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True

    def delay(self, attempt: int) -> float:
        """Returns the seconds before a retry, with full jitter.

        Args:
            attempt: Number of the attempt that failed, from 1.
        """
        longest = min(FIRST_DELAY_S * 2 ** min(attempt, 30), LONGEST_DELAY_S)
        return self._random() * longest

    def _refilled(self, key: tuple[str, int]) -> _Bucket:
        now = self._clock.monotonic()
        bucket = self._buckets.get(key)
        if bucket is None:
            if len(self._buckets) >= _MANY_BUCKETS:
                self._drop_full(now)
            bucket = self._buckets[key] = _Bucket(BURST, now)
        bucket.tokens = min(_tokens(bucket, now), BURST)
        bucket.changed = now
        return bucket

    def _drop_full(self, now: float) -> None:
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if _tokens(bucket, now) < BURST
        }


def _tokens(bucket: _Bucket, now: float) -> float:
    return bucket.tokens + (now - bucket.changed) * REFILL_PER_SECOND

"""Retry budgets and retry delays."""

import random
from typing import Protocol

from crowwinch.coordination import Clock

# The burst covers the 16 simultaneous retries after a target with 16 slots
# crashes. The refill is about a tenth of a router's 8 requests per second.
_BURST_RETRIES = 20.0
_REFILL_RETRIES_PER_S = 1.0
_BASE_DELAY_S = 0.02
_MAX_DELAY_S = 1.0
_MAX_BUCKETS = 4096


class RetryBudget(Protocol):
    """Decides whether a failed attempt may be retried."""

    def try_spend(self, workspace: int, target: int) -> bool:
        """Spends one retry.

        Args:
            workspace: Workspace of the request.
            target: Target whose attempt failed.

        Returns:
            Whether both budgets had a retry left; if not, none is spent.
        """


class TokenBucketRetryBudget:
    """A token bucket for each workspace and for each target."""

    def __init__(
        self,
        clock: Clock,
        burst: float = _BURST_RETRIES,
        refill_per_s: float = _REFILL_RETRIES_PER_S,
    ) -> None:
        """Initializes the budget; every bucket starts full."""
        self._clock = clock
        self._burst = burst
        self._refill_per_s = refill_per_s
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}

    def try_spend(self, workspace: int, target: int) -> bool:
        """Spends one retry of the workspace and of the target."""
        now = self._clock.monotonic()
        keys = (("workspace", workspace), ("target", target))
        levels = [self._level(key, now) for key in keys]
        if min(levels) < 1:
            return False
        if len(self._buckets) >= _MAX_BUCKETS:
            self._evict_full(now)
        for key, level in zip(keys, levels, strict=True):
            self._buckets[key] = (level - 1, now)
        return True

    def _level(self, key: tuple[str, int], now: float) -> float:
        level, since = self._buckets.get(key, (self._burst, now))
        return min(self._burst, level + (now - since) * self._refill_per_s)

    def _evict_full(self, now: float) -> None:
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if self._level(key, now) < self._burst
        }


def retry_delay(failures: int, source: random.Random) -> float:
    """Returns a delay in seconds with full jitter.

    The upper bound is 0.04 s after the first failure and doubles up to 1 s.

    Args:
        failures: Number of failed attempts, at least 1.
        source: Random number generator.
    """
    ceiling = min(_MAX_DELAY_S, _BASE_DELAY_S * 2.0 ** min(failures, 16))
    return source.uniform(0.0, ceiling)

"""Limits on how many attempts are repeated."""

import random
from typing import Protocol

from crowwinch.coordination import Clock

# A target with 16 slots that crashes costs 16 retries at once; after that one
# retry a second is about a tenth of a router's 8 requests a second.
_BURST = 20.0
_REFILL_PER_S = 1.0
_FIRST_DELAY_S = 0.02
_LONGEST_DELAY_S = 1.0
_MAX_BUCKETS = 4096


class RetryBudget(Protocol):
    """Decides whether an attempt may be repeated."""

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
        burst: float = _BURST,
        refill_per_s: float = _REFILL_PER_S,
    ) -> None:
        """Starts with full buckets."""
        self._clock = clock
        self._burst = burst
        self._refill = refill_per_s
        self._buckets: dict[tuple[str, int], tuple[float, float]] = {}

    def try_spend(self, workspace: int, target: int) -> bool:
        """Spends one retry of the workspace and of the target."""
        now = self._clock.monotonic()
        keys = (("workspace", workspace), ("target", target))
        levels = [self._level(key, now) for key in keys]
        if min(levels) < 1:
            return False
        if len(self._buckets) >= _MAX_BUCKETS:
            self._drop_full(now)
        for key, level in zip(keys, levels, strict=True):
            self._buckets[key] = (level - 1, now)
        return True

    def _level(self, key: tuple[str, int], now: float) -> float:
        level, since = self._buckets.get(key, (self._burst, now))
        return min(self._burst, level + (now - since) * self._refill)

    def _drop_full(self, now: float) -> None:
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if self._level(key, now) < self._burst
        }


def retry_delay(failures: int, source: random.Random) -> float:
    """Returns a delay in seconds with full jitter.

    The longest delay is 0.04 s after the first failure and doubles up to 1 s.

    Args:
        failures: Failed attempts of the request, at least 1.
        source: Random numbers.
    """
    ceiling = min(_LONGEST_DELAY_S, _FIRST_DELAY_S * 2.0 ** min(failures, 16))
    return source.uniform(0.0, ceiling)

"""Estimate of the prompt prefixes cached by each engine."""

from collections import OrderedDict
from collections.abc import Iterable

from crowwinch.coordination import Clock
from crowwinch.sharing._model import Work

# Engines evict least recently used prefixes; one that was not used for this
# long may have been evicted.
_CACHE_LIFETIME_S = 10.0
# Prefixes tracked per target; far more than an engine can cache.
_MAX_PREFIXES_PER_TARGET = 1_000
# Maximum number of prefills at other targets than the home in one report.
_MAX_REPORTED_PREFILLS = 16


class PrefixCacheTracker:
    """Tracks the prefixes that each target has prefilled recently.

    Routers report only prefills at targets other than the home of the prefix,
    since every router can determine the home itself.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without prefixes."""
        self._clock = clock
        self._used_at: dict[str, OrderedDict[str, float]] = {}
        self._unsent_prefills: list[tuple[str, str]] = []

    def cached_token_counts(self, work: Work) -> dict[str, int]:
        """Returns the number of cached prompt tokens by target.

        Targets without cached tokens are omitted.
        """
        oldest = self._clock.monotonic() - _CACHE_LIFETIME_S
        tokens_by_target = {}
        for target, used_at in self._used_at.items():
            # The longest prefix comes first; a cached prefix includes all
            # shorter ones.
            for path, tokens in work.prefixes:
                if used_at.get(path, oldest) > oldest:
                    tokens_by_target[target] = tokens
                    break
        return tokens_by_target

    def record_prefill(
        self, target: str, work: Work, is_home: bool = True
    ) -> None:
        """Records that a target prefills a prompt."""
        paths = work.paths[:-1]
        for path in paths:
            self._record(target, path)
        if paths and not is_home:
            self._unsent_prefills.append((target, paths[-1]))

    def merge_peer_prefills(self, prefills: Iterable[tuple[str, str]]) -> None:
        """Records prefills reported by a peer, as (target, path) pairs."""
        for target, path in prefills:
            self._record(target, path)

    def take_unsent_prefills(self) -> list[tuple[str, str]]:
        """Returns and clears the prefills to report to peers.

        Only the latest ones are returned if there are too many for a report.
        """
        prefills = self._unsent_prefills[-_MAX_REPORTED_PREFILLS:]
        self._unsent_prefills = []
        return prefills

    def remove_target(self, target: str) -> None:
        """Removes the prefixes of a target that restarted or was removed."""
        self._used_at.pop(target, None)

    def _record(self, target: str, path: str) -> None:
        used_at = self._used_at.setdefault(target, OrderedDict())
        used_at.pop(path, None)
        used_at[path] = self._clock.monotonic()
        if len(used_at) > _MAX_PREFIXES_PER_TARGET:
            used_at.popitem(last=False)

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
        # Time of the last use by prefix and target. Most prefixes are known of
        # few targets, so requests look up their prefixes, not all targets.
        self._used_at: dict[str, dict[str, float]] = {}
        # Prefixes of each target, the one that was used last at the end.
        self._paths: dict[str, OrderedDict[str, None]] = {}
        self._unsent_prefills: list[tuple[str, str]] = []

    def cached_token_counts(self, work: Work) -> dict[str, int]:
        """Returns the number of cached prompt tokens by target.

        Targets without cached tokens are omitted.
        """
        oldest = self._clock.monotonic() - _CACHE_LIFETIME_S
        tokens_by_target: dict[str, int] = {}
        # The longest prefix comes first; a cached prefix includes all shorter
        # ones.
        for path, tokens in work.prefixes:
            for target, used_at in self._used_at.get(path, {}).items():
                if used_at > oldest:
                    tokens_by_target.setdefault(target, tokens)
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
        for path in self._paths.pop(target, ()):
            self._forget(target, path)

    def _record(self, target: str, path: str) -> None:
        paths = self._paths.setdefault(target, OrderedDict())
        paths[path] = None
        paths.move_to_end(path)
        self._used_at.setdefault(path, {})[target] = self._clock.monotonic()
        if len(paths) > _MAX_PREFIXES_PER_TARGET:
            oldest, _ = paths.popitem(last=False)
            self._forget(target, oldest)

    def _forget(self, target: str, path: str) -> None:
        used_at = self._used_at[path]
        del used_at[target]
        if not used_at:
            del self._used_at[path]

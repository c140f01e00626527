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
# Maximum number of reads away from home in one report to other routers.
_MAX_REPORTED_READS = 16


class KeptPrefixes:
    """Tracks the prefixes that each target has prefilled recently.

    Routers report only reads at targets other than the home of the prefix,
    since every router can determine the home itself.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without prefixes."""
        self._clock = clock
        self._kept: dict[str, OrderedDict[str, float]] = {}
        self._unreported_reads: list[tuple[str, str]] = []

    def kept_tokens(self, work: Work) -> dict[str, int]:
        """Returns the number of cached prompt tokens by target.

        Targets without cached tokens are omitted.
        """
        oldest = self._clock.monotonic() - _CACHE_LIFETIME_S
        tokens_by_target = {}
        for target, kept in self._kept.items():
            # The longest prefix comes first; a cached prefix includes all
            # shorter ones.
            for path, tokens in work.prefixes:
                if kept.get(path, oldest) > oldest:
                    tokens_by_target[target] = tokens
                    break
        return tokens_by_target

    def note_read(self, target: str, work: Work, is_home: bool = True) -> None:
        """Records that a target prefills a prompt."""
        paths = work.paths[:-1]
        for path in paths:
            self._note(target, path)
        if paths and not is_home:
            self._unreported_reads.append((target, paths[-1]))

    def note_peer(self, reads: Iterable[tuple[str, str]]) -> None:
        """Records reads reported by a peer, as (target, path) pairs."""
        for target, path in reads:
            self._note(target, path)

    def take_reads_to_tell(self) -> list[tuple[str, str]]:
        """Returns and clears the reads away from home to report to peers.

        Only the latest ones are returned if there are too many for a report.
        """
        reads = self._unreported_reads[-_MAX_REPORTED_READS:]
        self._unreported_reads = []
        return reads

    def forget(self, target: str) -> None:
        """Removes the prefixes of a target that restarted or was removed."""
        self._kept.pop(target, None)

    def _note(self, target: str, path: str) -> None:
        kept = self._kept.setdefault(target, OrderedDict())
        kept.pop(path, None)
        kept[path] = self._clock.monotonic()
        if len(kept) > _MAX_PREFIXES_PER_TARGET:
            kept.popitem(last=False)

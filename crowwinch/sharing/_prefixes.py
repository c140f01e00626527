"""Which prefixes of prompts the engines are believed to keep."""

from collections import OrderedDict
from collections.abc import Iterable

from crowwinch.coordination import Clock
from crowwinch.sharing._model import Work

# Engines give up the parts used longest ago; a prefix that was not used for
# this long may be gone.
_KEPT_S = 10.0
# Prefixes of one target; a thousand are far more than an engine can keep.
_CAPACITY = 1_000
# Reads away from home that are told to the other routers at once.
_MOST_TOLD = 16


class KeptPrefixes:
    """Prefixes that each target has read lately.

    Routers tell each other of reads at targets that are not the home of the
    prefix; the home is known to all.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an empty memory."""
        self._clock = clock
        self._kept: dict[str, OrderedDict[str, float]] = {}
        self._to_tell: list[tuple[str, str]] = []

    def kept_tokens(self, work: Work) -> dict[str, int]:
        """Returns how many tokens of a prompt targets need not read.

        Targets that keep none are left out.
        """
        oldest = self._clock.monotonic() - _KEPT_S
        tokens_by_target = {}
        for target, kept in self._kept.items():
            # A prefix is kept only with all that comes before it.
            for path, tokens in work.prefixes:
                if kept.get(path, oldest) > oldest:
                    tokens_by_target[target] = tokens
                    break
        return tokens_by_target

    def note_read(self, target: str, work: Work, is_home: bool = True) -> None:
        """Records that a target reads a prompt."""
        paths = work.paths[:-1]
        for path in paths:
            self._note(target, path)
        if paths and not is_home:
            self._to_tell.append((target, paths[-1]))

    def note_peer(self, reads: Iterable[tuple[str, str]]) -> None:
        """Records reads of other routers, as targets and paths."""
        for target, path in reads:
            self._note(target, path)

    def take_reads_to_tell(self) -> list[tuple[str, str]]:
        """Returns the reads away from home since the last call."""
        reads = self._to_tell[-_MOST_TOLD:]
        self._to_tell = []
        return reads

    def forget(self, target: str) -> None:
        """Forgets a target that restarted or is gone."""
        self._kept.pop(target, None)

    def _note(self, target: str, path: str) -> None:
        kept = self._kept.setdefault(target, OrderedDict())
        kept.pop(path, None)
        kept[path] = self._clock.monotonic()
        if len(kept) > _CAPACITY:
            kept.popitem(last=False)

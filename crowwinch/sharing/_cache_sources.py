"""Choice of the engine from which cached parts of a prompt are fetched.

Load: prompts with a long shared prefix, more of them at a time than the engine
that has it cached can run. Without a transfer, each further engine reads the
prefix again, which delays all prompts that wait there.
"""

import math
from collections.abc import Iterable, Mapping

from crowwinch.sharing._cache_fetch import NO_FETCH, CacheFetch
from crowwinch.sharing._forecasts import TargetStatus
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._speeds import prefill_seconds

# Fetching must take at most this fraction of the time to read the same tokens.
# Transfers of an engine run one after the other, so a slower link would hold up
# the prompts behind them.
_MAX_TIME_FRACTION = 0.25


class CacheSources:
    """Finds the engine from which a prompt's shared part can be fetched."""

    def __init__(
        self,
        work: Work,
        cached_tokens: Mapping[str, int],
        home: str | None,
        statuses: Iterable[TargetStatus],
    ) -> None:
        """Finds the engine with the longest part.

        Args:
            work: The request.
            cached_tokens: Tokens of the prompt that engines have read recently.
            home: Engine to which all routers prefer to send the prompt. It
                counts as having all of the shared part, but engines that are
                known to have it come first.
            statuses: State of the targets. Those in back-off are no sources.
        """
        # Only engines that can fetch need a source.
        reachable = {
            status.target.identifier
            for status in statuses
            if status.target.transfer_token_s is not None
            and not status.is_blocked
        }
        known = {
            target: min(tokens, work.shared_tokens)
            for target, tokens in cached_tokens.items()
            if target in reachable
        }
        if home is not None and home in reachable:
            known.pop(home, None)
            known[home] = work.shared_tokens
        # The engine with the second longest part serves the one with the
        # longest.
        self._prompt_tokens = work.prompt_tokens
        self._sources = sorted(
            known.items(), key=lambda entry: entry[1], reverse=True
        )[:2]

    def fetch(self, target: TargetView, cached_tokens: int) -> CacheFetch:
        """Returns what an engine should fetch for the prompt.

        Args:
            target: The engine.
            cached_tokens: Tokens of the prompt that it has cached itself.
        """
        if not self._has_memory(target):
            return NO_FETCH
        for source, tokens in self._sources:
            if source == target.identifier or tokens <= cached_tokens:
                continue
            missing = tokens - cached_tokens
            seconds = missing * (target.transfer_token_s or math.inf)
            reading_s = prefill_seconds(missing, cached_tokens)
            if seconds > reading_s * _MAX_TIME_FRACTION:
                return NO_FETCH
            return CacheFetch(source, missing, seconds)
        return NO_FETCH

    def _has_memory(self, target: TargetView) -> bool:
        """Returns whether an engine keeps parts beside a batch of such prompts.

        A copy of a part in an engine whose batch fills the memory displaces
        other parts, which are then read again.
        """
        return self._prompt_tokens * target.slots <= target.memory_tokens

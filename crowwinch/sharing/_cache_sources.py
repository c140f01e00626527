"""Choice of the engine from which cached parts of a prompt are fetched.

Load: prompts with a long shared prefix, more of them at a time than the engine
that has it cached can run. Without a transfer, each further engine reads the
prefix again, which delays all prompts that wait there.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._speeds import prefill_seconds

# Fetching must take at most this fraction of the time to read the same tokens.
# Transfers of an engine run one after the other, so a slower link would hold up
# the prompts behind them.
_MAX_TIME_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class CacheFetch:
    """A part of a prompt that an engine fetches from another one.

    Attributes:
        source: Identifier of the other engine, empty without a fetch.
        tokens: Size of the part.
        seconds: Time to transfer it.
    """

    source: str = ""
    tokens: int = 0
    seconds: float = 0.0


NO_FETCH = CacheFetch()


class CacheSources:
    """Finds the engine from which a prompt's shared part can be fetched."""

    def __init__(
        self,
        work: Work,
        cached_tokens: Mapping[str, int],
        home: str | None,
        usable: Collection[str],
    ) -> None:
        """Finds the engine with the longest part.

        Args:
            work: The request.
            cached_tokens: Tokens of the prompt that engines have read recently.
            home: Engine to which all routers prefer to send the prompt. It
                counts as having all of the shared part unless another engine
                is known to have it.
            usable: Engines that are reachable.
        """
        self._work = work
        known = {
            target: min(tokens, work.shared_tokens)
            for target, tokens in cached_tokens.items()
            if target in usable
        }
        if home is not None and home in usable:
            known.setdefault(home, work.shared_tokens)
        # The engine with the second longest part serves the one with the
        # longest.
        self._sources = sorted(
            known.items(), key=lambda entry: entry[1], reverse=True
        )[:2]

    def fetch(self, target: TargetView, cached_tokens: int) -> CacheFetch:
        """Returns what an engine should fetch for the prompt.

        Args:
            target: The engine.
            cached_tokens: Tokens of the prompt that it has cached itself.
        """
        token_s = target.transfer_token_s
        if token_s is None:
            return NO_FETCH
        for source, tokens in self._sources:
            if source == target.identifier or tokens <= cached_tokens:
                continue
            missing = tokens - cached_tokens
            seconds = missing * token_s
            reading_s = prefill_seconds(missing, cached_tokens)
            if seconds > reading_s * _MAX_TIME_FRACTION:
                return NO_FETCH
            return CacheFetch(source, missing, seconds)
        return NO_FETCH

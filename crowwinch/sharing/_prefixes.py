"""Which parts of prompts the engines are believed to keep."""

from collections import OrderedDict
from collections.abc import Iterator, Sequence

import xxhash

from crowwinch.sharing._model import PromptPart

# Running requests take the rest of an engine's memory.
_KEPT_SHARE = 0.6


def part_paths(model: str, parts: Sequence[PromptPart]) -> Iterator[bytes]:
    """Yields a digest of each part with all parts before it.

    A kept part saves reading only if all parts before it are kept too.
    """
    path = xxhash.xxh3_128_digest(model.encode())
    for part in parts:
        path = xxhash.xxh3_128_digest(path + part.identifier.encode())
        yield path


def home_key(model: str, parts: Sequence[PromptPart]) -> bytes:
    """Returns the digest of all shared parts, which decides the home."""
    paths = list(part_paths(model, parts[:-1]))
    return paths[-1] if paths else b""


class KeptPrefixes:
    """Parts that each target has read and not yet given up.

    Learned from requests of this router only; what others sent is unknown, and
    a target gives up the parts that were not used for longest.
    """

    def __init__(self) -> None:
        """Creates an empty memory."""
        self._kept: dict[str, OrderedDict[bytes, int]] = {}
        self._tokens: dict[str, int] = {}

    def kept_tokens(
        self, target: str, model: str, parts: Sequence[PromptPart]
    ) -> int:
        """Returns how many tokens of a prompt a target need not read."""
        kept = self._kept.get(target)
        if not kept:
            return 0
        tokens = 0
        for path, part in zip(part_paths(model, parts), parts, strict=True):
            if path not in kept:
                break
            tokens += part.tokens
        return tokens

    def note_read(
        self,
        target: str,
        model: str,
        parts: Sequence[PromptPart],
        memory_tokens: float,
    ) -> None:
        """Records that a target reads a prompt."""
        kept = self._kept.setdefault(target, OrderedDict())
        tokens = self._tokens.get(target, 0)
        for path, part in zip(part_paths(model, parts), parts, strict=True):
            if path in kept:
                kept.move_to_end(path)
                continue
            kept[path] = part.tokens
            tokens += part.tokens
        while kept and tokens > memory_tokens * _KEPT_SHARE:
            tokens -= kept.popitem(last=False)[1]
        self._tokens[target] = tokens

    def forget(self, target: str) -> None:
        """Forgets a target that restarted or is gone."""
        self._kept.pop(target, None)
        self._tokens.pop(target, None)

"""Prefix cache of a model engine, for the stand-in and for measurements."""

import hashlib
from collections import OrderedDict

# Engines cache blocks of about 16 tokens.
BLOCK_CHARACTERS = 64


class PrefixCache:
    """Blocks of prompts, each with all that precedes it, by last use."""

    def __init__(self, characters: int) -> None:
        """Creates an empty cache of a number of characters."""
        self._capacity = characters // BLOCK_CHARACTERS
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def use(self, prompt: str) -> int:
        """Caches a prompt.

        Returns:
            How many of its first characters were cached before.
        """
        state = hashlib.blake2b(digest_size=16)
        keys = []
        for index in range(len(prompt) // BLOCK_CHARACTERS):
            start = index * BLOCK_CHARACTERS
            state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
            keys.append(state.digest())
        found = 0
        while found < len(keys) and keys[found] in self._blocks:
            found += 1
        # A block is of no use without those before it, so the last blocks of
        # a prompt are evicted first.
        for key in reversed(keys):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
        return found * BLOCK_CHARACTERS

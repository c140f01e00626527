"""Prompt-prefix affinity: finds targets that may cache a prompt prefix.

A router uses only the requests that it serves itself. Engines identify cache
blocks by hashes of tokens, which a router without the tokenizer cannot map to a
prompt, and reading the cache events of 3,000 targets requires polling and a
broadcast. The cached-token count in the usage of an answer needs neither.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from crowwinch.coordination import Clock, identifier, owner
from crowwinch.errors import DECODE_ERRORS
from crowwinch.generated.documents import Target

# Reusing a shorter common prefix saves too little to justify a preference: 512
# characters are about 128 tokens.
BLOCK_BYTES = 512
# Prompts with the same first 32 KB are treated as one conversation.
_MAX_BLOCKS = 64
# The next prompt of a conversation contains all of the previous one, and
# another question about the same document contains most of it, so only the
# longest prefixes are stored.
_STORED_PREFIXES = 4
# 8,192 hints take 1.7 MB of the 64 MB available to a router.
_MAX_HINTS = 8_192
# Engines under load have usually evicted a prefix that was not used for this
# time.
HINT_LIFETIME_S = 300.0
# The cached fraction of the prompt that the engine reports is compared with the
# fraction that the known prefix makes up of the body. Characters per token
# vary, so the prefix counts as evicted only below half of that fraction.
_MIN_CACHED_RATIO = 0.5


def prompt_prefixes(
    workspace: int, group: int, prompt: bytes | memoryview
) -> tuple[int, ...]:
    """Returns the digests of nested prompt prefixes, shortest first.

    The digest includes the workspace verbatim, so that a hash collision cannot
    make two workspaces share one. The group identifies the model.
    """
    count = min(len(prompt) // BLOCK_BYTES, _MAX_BLOCKS)
    state = xxhash.xxh3_64(seed=group)
    digests = []
    for index in range(count):
        start = index * BLOCK_BYTES
        state.update(prompt[start : start + BLOCK_BYTES])
        digests.append((workspace << 64) | state.intdigest())
    return tuple(digests)


class _Message(msgspec.Struct):
    role: str = ""


_MESSAGES = msgspec.json.Decoder(list[msgspec.Raw])
_MESSAGE = msgspec.json.Decoder(_Message)


@dataclass(frozen=True, slots=True)
class Conversation:
    """Parts of a prompt that all turns of a conversation share.

    Attributes:
        opening: The messages up to and including the first user message.
        earlier: Length in bytes of the prompt before its last two messages.
    """

    opening: bytes
    earlier: int

    @classmethod
    def parse(cls, prompt: bytes | memoryview) -> "Conversation | None":
        """Returns the conversation, None if not a message list."""
        try:
            messages = _MESSAGES.decode(prompt)
            for index, message in enumerate(messages, 1):
                if _MESSAGE.decode(message).role == "user":
                    opening = b"".join(map(bytes, messages[:index]))
                    last = sum(map(len, messages[-2:]))
                    return cls(opening, len(prompt) - last)
        except DECODE_ERRORS:
            pass
        return None


@dataclass(frozen=True, slots=True)
class PrefixHint:
    """A target that recently served a prefix.

    Attributes:
        served_at: Monotonic time of serving, in seconds.
        length: Length of the prefix in bytes.
    """

    target: int
    served_at: float
    length: int


class PrefixHints:
    """Bounded LRU table of the targets that last served each prefix."""

    def __init__(self, clock: Clock, capacity: int = _MAX_HINTS) -> None:
        """Creates an empty table."""
        self._clock = clock
        self._capacity = capacity
        self._targets: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._withdrawn: dict[int, float] = {}

    def __len__(self) -> int:
        """Returns the number of hints."""
        return len(self._targets)

    def find(self, prefixes: Sequence[int]) -> PrefixHint | None:
        """Returns the hint for the longest known prefix, or None."""
        oldest = self._clock.monotonic() - HINT_LIFETIME_S
        for index in range(len(prefixes) - 1, -1, -1):
            known = self._targets.get(prefixes[index])
            if known is None:
                continue
            target, served_at = known
            if served_at <= max(oldest, self._withdrawn.get(target, oldest)):
                del self._targets[prefixes[index]]
                continue
            return PrefixHint(target, served_at, (index + 1) * BLOCK_BYTES)
        return None

    def record_served(self, prefixes: Sequence[int], target: int) -> None:
        """Records the target that has just served a prompt."""
        known = (target, self._clock.monotonic())
        for digest in prefixes[-_STORED_PREFIXES:]:
            self._targets[digest] = known
            self._targets.move_to_end(digest)
        while len(self._targets) > self._capacity:
            self._targets.popitem(last=False)

    def record_cached(
        self, hint: PrefixHint, prompt_bytes: int, cached_part: float | None
    ) -> None:
        """Invalidates hints if the target had evicted the expected prefix.

        Engines evict the least recently used prefix. A target that has evicted
        one has therefore also evicted those that it served earlier, and all
        their hints are invalidated. A restart is detected in the same way.

        Args:
            hint: The hint whose target served the request.
            prompt_bytes: Length of the prompt.
            cached_part: Fraction of the prompt tokens that were cached, None if
                the target does not report it.
        """
        if cached_part is None:
            return
        expected = hint.length / max(prompt_bytes, 1)
        if cached_part < expected * _MIN_CACHED_RATIO:
            last = self._withdrawn.get(hint.target, hint.served_at)
            self._withdrawn[hint.target] = max(last, hint.served_at)


class PromptAffinity:
    """Selects the preferred target of one request."""

    def __init__(
        self,
        hints: PrefixHints,
        workspace: int,
        group: int,
        prompt: bytes | msgspec.Raw,
        targets: Sequence[Target] = (),
    ) -> None:
        """Stores the prompt, but no digests while the request waits.

        Args:
            hints: Hint table of the router.
            workspace: Identifier of the workspace.
            group: Identifier of the group.
            prompt: Messages or prompt as in the body.
            targets: Targets of the group.
        """
        self._hints = hints
        self._workspace = workspace
        self._group = group
        self._prompt = memoryview(prompt)
        self._targets = targets
        self._hint: PrefixHint | None = None

    def preferred(self) -> int:
        """Returns the target that may hold a prefix, 0 for none.

        A hint that ends before the last turn means that other routers have
        served the conversation since; a hint that ends within the opening
        covers instructions shared by many conversations. In both cases the
        target is chosen by a hash on which all routers of the fleet agree.
        """
        hint = self._hint = self._hints.find(self._prefixes())
        conversation = Conversation.parse(self._prompt)
        if conversation is None:
            return hint.target if hint is not None else 0
        opening = conversation.opening
        end = max(len(opening), conversation.earlier)
        # Prefixes in the table are whole blocks and limited in length.
        end = min(end - BLOCK_BYTES, (_MAX_BLOCKS - 1) * BLOCK_BYTES)
        if hint is not None and hint.length > end:
            return hint.target
        if len(opening) < BLOCK_BYTES or not self._targets:
            return 0
        digest = xxhash.xxh3_64_hexdigest(opening, seed=self._group)
        names = (each.name for each in self._targets)
        return identifier(owner(f"{self._workspace}/{digest}", names) or "")

    def record_served(self, target: int, cached_part: float | None) -> None:
        """Updates the hints after a complete answer.

        Args:
            target: Identifier of the target.
            cached_part: See `PrefixHints.record_cached`.
        """
        hint = self._hint
        if hint is not None and hint.target == target:
            self._hints.record_cached(hint, len(self._prompt), cached_part)
        self._hints.record_served(self._prefixes(), target)

    def _prefixes(self) -> Sequence[int]:
        return prompt_prefixes(self._workspace, self._group, self._prompt)

"""Which target may hold the prompt prefix of a request.

A router learns only from the requests that it serves itself. Engines name
cache blocks by hashes of tokens, which a router without the tokenizer cannot
relate to a prompt, and reading the events of 3,000 targets costs polls and a
broadcast; the cached tokens in the usage of an answer cost nothing.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from crowwinch.coordination import Clock, identifier, owner
from crowwinch.generated.documents import Target

# A shorter common prefix saves too little to be worth a preference: 512
# characters are about 128 tokens.
BLOCK_BYTES = 512
# Prompts that agree in 32 KB are taken for one conversation.
_MAX_BLOCKS = 64
# The next prompt of a conversation contains the whole of the last one, and
# another question about one document most of it; older prefixes are not kept.
_REMEMBERED = 4
# 8,192 hints take 1.7 MB of the 64 MB of a router.
_MAX_HINTS = 8_192
# Time between two turns of a conversation after which engines under load have
# usually replaced its prefix.
HINT_LIFETIME_S = 300.0
# The part of the prompt that the engine reports as cached is compared with the
# part that the known prefix is of the body. Characters per token vary, so only
# less than half of it shows that the prefix was gone.
_LEAST_PART = 0.5


def prompt_prefixes(
    workspace: int, group: int, prompt: bytes | memoryview
) -> tuple[int, ...]:
    """Returns digests of nested prefixes of a prompt, the shortest first.

    The workspace is a part of the digest itself, so that no collision of the
    hash makes two workspaces share one. The group stands for the model.
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
    """What all turns of a conversation have in common.

    Attributes:
        opening: The messages up to the first one of the user.
        earlier: Bytes before the last answer and question.
    """

    opening: bytes
    earlier: int

    @classmethod
    def parse(cls, prompt: bytes | memoryview) -> "Conversation | None":
        """Returns the conversation, None if the prompt is no messages."""
        try:
            messages = _MESSAGES.decode(prompt)
            for index, message in enumerate(messages, 1):
                if _MESSAGE.decode(message).role == "user":
                    opening = b"".join(map(bytes, messages[:index]))
                    last = sum(map(len, messages[-2:]))
                    return cls(opening, len(prompt) - last)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            pass
        return None


@dataclass(frozen=True, slots=True)
class PrefixHint:
    """A target that served a prefix.

    Attributes:
        served_at: Monotonic time in seconds.
        length: Bytes of the prefix.
    """

    target: int
    served_at: float
    length: int


class PrefixHints:
    """Bounded table of the targets that served prefixes last."""

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

    def note_served(self, prefixes: Sequence[int], target: int) -> None:
        """Remembers the target that has just served a prompt."""
        known = (target, self._clock.monotonic())
        for digest in prefixes[-_REMEMBERED:]:
            self._targets[digest] = known
            self._targets.move_to_end(digest)
        while len(self._targets) > self._capacity:
            self._targets.popitem(last=False)

    def note_cached(
        self, hint: PrefixHint, prompt_bytes: int, cached_part: float | None
    ) -> None:
        """Compares a hint with what its target reports of the request.

        Engines evict what was used least recently. A target that no longer
        held a prefix therefore holds none of those that it served earlier, and
        all hints for them are withdrawn. A restart shows in the same way.

        Args:
            hint: The hint whose target served the request.
            prompt_bytes: Length of the prompt.
            cached_part: Part of the prompt tokens that were cached, None if
                the target does not report it.
        """
        if cached_part is None:
            return
        expected = hint.length / max(prompt_bytes, 1)
        if cached_part < expected * _LEAST_PART:
            last = self._withdrawn.get(hint.target, hint.served_at)
            self._withdrawn[hint.target] = max(last, hint.served_at)


class PromptAffinity:
    """The preference of one request for a target."""

    def __init__(
        self,
        hints: PrefixHints,
        workspace: int,
        group: int,
        prompt: bytes | msgspec.Raw,
        targets: Sequence[Target] = (),
    ) -> None:
        """Stores the prompt; digests are not kept while the request waits.

        Args:
            hints: Table of the router.
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

        A hint that ends before the last turn shows that other routers have
        served the conversation since, and one that ends in its opening is for
        instructions that many conversations share. The target is then the one
        that every router of the fleet computes for the conversation.
        """
        hint = self._hint = self._hints.find(self._prefixes())
        conversation = Conversation.parse(self._prompt)
        if conversation is None:
            return hint.target if hint is not None else 0
        opening = conversation.opening
        end = max(len(opening), conversation.earlier)
        # The table ends at whole blocks and at its longest prefix.
        end = min(end - BLOCK_BYTES, (_MAX_BLOCKS - 1) * BLOCK_BYTES)
        if hint is not None and hint.length > end:
            return hint.target
        if len(opening) < BLOCK_BYTES or not self._targets:
            return 0
        digest = xxhash.xxh3_64_hexdigest(opening, seed=self._group)
        names = (each.name for each in self._targets)
        return identifier(owner(f"{self._workspace}/{digest}", names) or "")

    def note_served(self, target: int, cached_part: float | None) -> None:
        """Learns from a complete answer of a target.

        Args:
            target: Identifier of the target.
            cached_part: See `PrefixHints.note_cached`.
        """
        hint = self._hint
        if hint is not None and hint.target == target:
            self._hints.note_cached(hint, len(self._prompt), cached_part)
        self._hints.note_served(self._prefixes(), target)

    def _prefixes(self) -> Sequence[int]:
        return prompt_prefixes(self._workspace, self._group, self._prompt)

"""What the decisions of the sharing package are about."""

import enum
from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Attributes:
        identifier: Same for equal parts.
        tokens: Size of the part.
    """

    identifier: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of a target.

    Attributes:
        service: Service that runs the request.
        workspace: Workspace that is charged, empty if none.
        model: Model that reads the prompt.
        parts: Parts of the prompt in order; the last is not shared.
        prompt_tokens: Size of the prompt.
        output_tokens: Expected size of the answer.
        target_latency_s: Time in which the answer is worth most, 0 if unknown.
        priority: Rank, 0 is the most urgent.
    """

    service: str
    workspace: str = ""
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    target_latency_s: float = 0.0
    priority: int = 0
    # Computed once, since a waiting request is compared with every target again
    # and again: digests of each part with all parts before it, tokens of all
    # parts but the last, and service units.
    paths: tuple[str, ...] = field(init=False, repr=False, compare=False)
    # Digest and tokens of each prefix, the longest first.
    prefixes: tuple[tuple[str, int], ...] = field(
        init=False, repr=False, compare=False
    )
    shared_tokens: int = field(init=False, repr=False, compare=False)
    cost: int = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Computes the digests of the prompt's prefixes and its sizes.

        A token read costs one service unit, a token written two.
        """
        paths = []
        prefixes = []
        path, tokens = self.model, 0
        for part in self.parts:
            text = f"{path}/{part.identifier}"
            path = xxhash.xxh3_64_hexdigest(text.encode())
            paths.append(path)
            tokens += part.tokens
            prefixes.append((path, tokens))
        shared = sum(part.tokens for part in self.parts[:-1])
        cost = max(self.prompt_tokens + 2 * self.output_tokens, 1)
        object.__setattr__(self, "paths", tuple(paths))
        object.__setattr__(self, "prefixes", tuple(reversed(prefixes)))
        object.__setattr__(self, "shared_tokens", shared)
        object.__setattr__(self, "cost", cost)


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target that may be used.

    Attributes:
        identifier: Identifies the target.
        life: Start of the target; a restart forgets all it kept.
        service: Service that it belongs to.
        is_local: Whether it is in this router's availability zone.
        slots: Requests that it runs at once.
        memory_tokens: Tokens that it keeps, 0 for a plain service.
        max_connections: Connections that it accepts of all routers, 0 if
            unknown.
        is_engine: Whether it is a model engine.
    """

    identifier: str
    life: int
    service: str
    is_local: bool
    slots: int
    memory_tokens: float = 0.0
    max_connections: int = 0
    is_engine: bool = False


class Verdict(enum.Enum):
    """What becomes of a waiting request."""

    SEND = "send"
    REFUSE_OVERLOAD = "refuse_overload"
    REFUSE_OVER_SHARE = "refuse_over_share"
    REFUSE_NO_TARGET = "refuse_no_target"


@dataclass(frozen=True, slots=True)
class Decision:
    """The end of a wait.

    Attributes:
        verdict: What to do.
        target: Where to send, empty for a refusal.
        unread_tokens: Prompt tokens that the target is expected to read.
        read_again: Shared tokens among them that another target keeps.
        is_home: Whether all routers expect the target to keep the prefix.
        reading_s: Modelled time to read them.
        waiting_s: Modelled time of the prompts before them.
        forecast_s: Time to the first event by the work that is known.
        expected_s: Time to the first event with the delay seen lately.
        retry_after_s: When a refused caller may return.
    """

    verdict: Verdict
    target: str = ""
    unread_tokens: int = 0
    read_again: int = 0
    is_home: bool = False
    reading_s: float = 0.0
    waiting_s: float = 0.0
    forecast_s: float = 0.0
    expected_s: float = 0.0
    retry_after_s: float = 0.0

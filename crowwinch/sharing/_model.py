"""Data types of admission and load balancing decisions."""

import enum
from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may have in common.

    Attributes:
        identifier: Same for equal parts.
        tokens: Size of the part.
    """

    identifier: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """Resource demand of a request.

    Attributes:
        service: Service that runs the request.
        workspace: Workspace that is charged, empty if none.
        model: Model that reads the prompt.
        parts: Parts of the prompt in order; the last is not shared.
        prompt_tokens: Size of the prompt.
        output_tokens: Expected size of the answer.
        target_latency_s: Target latency in seconds, 0 if unknown.
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
    # Computed once, since a queued request is compared with every target at
    # each poll: digests of each part with all parts before it, tokens of all
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

        A prompt token costs one service unit, an output token two.
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
    """Properties of an available target.

    Attributes:
        identifier: Identifies the target.
        life: Start of the target; a restart clears its cache.
        service: Service that it belongs to.
        is_local: Whether it is in this router's availability zone.
        slots: Requests that it runs concurrently.
        memory_tokens: Tokens that its cache holds, 0 if it is not an engine.
        transfer_token_s: Time in seconds to fetch the cache of one token from
            another engine, None if it cannot.
        max_connections: Connections that it accepts from all routers, 0 if
            unknown.
        is_engine: Whether it is a model engine.
        software_version: Version of its software, empty if unknown.
        region: Region that it runs in, empty if unknown.
        cold_start_s: Time in seconds for which targets of its service are cold
            after they start during traffic, 0 if they start warm.
        cold_per_s: Requests per second from all routers that it tolerates while
            it is cold, 0 without a limit.
    """

    identifier: str
    life: int
    service: str
    is_local: bool
    slots: int
    memory_tokens: float = 0.0
    transfer_token_s: float | None = None
    max_connections: int = 0
    is_engine: bool = False
    software_version: str = ""
    region: str = ""
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0

    @property
    def has_cold_starts(self) -> bool:
        """Whether it may be cold."""
        return self.cold_start_s > 0.0 or self.cold_per_s > 0.0


class Verdict(enum.Enum):
    """Outcome of a queued request."""

    SEND = "send"
    REFUSE_OVERLOAD = "refuse_overload"
    REFUSE_OVER_SHARE = "refuse_over_share"
    REFUSE_NO_TARGET = "refuse_no_target"
    REFUSE_EVACUATED = "refuse_evacuated"
    REFUSE_NO_HOME_TARGET = "refuse_no_home_target"


@dataclass(frozen=True, slots=True)
class Decision:
    """Admission decision for a request.

    Attributes:
        verdict: Outcome.
        target: Identifier of the target, empty for a rejection.
        target_life: Start of the target.
        unread_tokens: Prompt tokens that the target is expected to prefill.
        recompute_tokens: Shared tokens among them that another target has
            cached.
        is_home: Whether the target is the home of the prefix.
        fetch_from: Identifier of the target from which it fetches the cached
            part of the prompt that it lacks, empty if it fetches nothing.
        fetched_tokens: Size of that part.
        reading_s: Modelled prefill time.
        waiting_s: Modelled prefill time of the prompts queued before it.
        reading_from_s: Time until the target starts to read the prompt.
        reading_until_s: Time until it has read the prompt.
        forecast_s: Time to the first event according to the known load.
        expected_s: Time to the first event including the recent delay.
        retry_after_s: Seconds after which a rejected caller may retry.
    """

    verdict: Verdict
    target: str = ""
    unread_tokens: int = 0
    recompute_tokens: int = 0
    is_home: bool = False
    fetch_from: str = ""
    fetched_tokens: int = 0
    reading_s: float = 0.0
    waiting_s: float = 0.0
    reading_from_s: float = 0.0
    reading_until_s: float = 0.0
    forecast_s: float = 0.0
    expected_s: float = 0.0
    retry_after_s: float = 0.0
    target_life: int = 0

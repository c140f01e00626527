"""Request routing: admission, attempts, retries and answers."""

from crowwinch.routing._budget import RetryBudget, TokenBucketRetryBudget
from crowwinch.routing._costs import (
    EngineMeter,
    engine_cost,
    estimate_engine_cost,
    service_cost,
)
from crowwinch.routing._crashes import CrashRegistry, CrashVerdict
from crowwinch.routing._handler import RequestHandler
from crowwinch.routing._keyed import KeyedRequestHandler
from crowwinch.routing._prefixes import (
    BLOCK_BYTES,
    PrefixHints,
    PromptAffinity,
    prompt_prefixes,
)
from crowwinch.routing._requests import (
    Answer,
    BodyAnswer,
    CallerRequest,
    StreamAnswer,
    WholeAnswer,
)
from crowwinch.routing._stream_ids import StreamIds

__all__ = [
    "BLOCK_BYTES",
    "Answer",
    "BodyAnswer",
    "CallerRequest",
    "CrashRegistry",
    "CrashVerdict",
    "EngineMeter",
    "KeyedRequestHandler",
    "PrefixHints",
    "PromptAffinity",
    "RequestHandler",
    "RetryBudget",
    "StreamAnswer",
    "StreamIds",
    "TokenBucketRetryBudget",
    "WholeAnswer",
    "engine_cost",
    "estimate_engine_cost",
    "prompt_prefixes",
    "service_cost",
]

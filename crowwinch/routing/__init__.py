"""Life of requests: admission, attempts, retries and answers."""

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
from crowwinch.routing._requests import (
    Answer,
    BodyAnswer,
    CallerRequest,
    StreamAnswer,
    WholeAnswer,
)
from crowwinch.routing._stream_ids import StreamIds

__all__ = [
    "Answer",
    "BodyAnswer",
    "CallerRequest",
    "CrashRegistry",
    "CrashVerdict",
    "EngineMeter",
    "KeyedRequestHandler",
    "RequestHandler",
    "RetryBudget",
    "StreamAnswer",
    "StreamIds",
    "TokenBucketRetryBudget",
    "WholeAnswer",
    "engine_cost",
    "estimate_engine_cost",
    "service_cost",
]

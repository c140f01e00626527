"""Life of requests: admission, attempts, retries and answers."""

from crowwinch.routing._costs import (
    EngineMeter,
    engine_cost,
    estimate_engine_cost,
    service_cost,
)
from crowwinch.routing._handler import RequestHandler
from crowwinch.routing._requests import (
    Answer,
    CallerRequest,
    StreamAnswer,
    WholeAnswer,
)

__all__ = [
    "Answer",
    "CallerRequest",
    "EngineMeter",
    "RequestHandler",
    "StreamAnswer",
    "WholeAnswer",
    "engine_cost",
    "estimate_engine_cost",
    "service_cost",
]

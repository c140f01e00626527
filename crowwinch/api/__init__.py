"""HTTP servers for callers and operators."""

from crowwinch.api._callers import CallerApi
from crowwinch.api._errors import (
    error_document,
    error_event,
    error_response,
)
from crowwinch.api._operators import OperatorApi

__all__ = [
    "CallerApi",
    "OperatorApi",
    "error_document",
    "error_event",
    "error_response",
]

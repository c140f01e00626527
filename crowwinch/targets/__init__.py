"""Adapters for engines and plain services."""

from crowwinch.targets._client import (
    ConnectionLostError,
    IncompleteAnswerError,
    NotSentError,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TargetError,
)
from crowwinch.targets._sse import TERMINAL_EVENT, EventSplitter

__all__ = [
    "TERMINAL_EVENT",
    "ConnectionLostError",
    "EventSplitter",
    "IncompleteAnswerError",
    "NotSentError",
    "TargetAnswer",
    "TargetCall",
    "TargetClient",
    "TargetError",
]

"""HTTP clients and load monitoring for engines and plain services."""

from crowwinch.targets._client import (
    AnswerTimeoutError,
    ConnectionLostError,
    IncompleteAnswerError,
    MismatchedAnswerError,
    NotSentError,
    TargetAnswer,
    TargetCall,
    TargetClient,
    TargetError,
)
from crowwinch.targets._incarnations import IncarnationTable
from crowwinch.targets._load import TargetLoad, fetch_load
from crowwinch.targets._monitor import TargetMonitor, TargetReport
from crowwinch.targets._shared_reports import SharedReports, encode_reports
from crowwinch.targets._sse import (
    TERMINAL_EVENT,
    EventSplitter,
    is_token_event,
)

__all__ = [
    "TERMINAL_EVENT",
    "AnswerTimeoutError",
    "ConnectionLostError",
    "EventSplitter",
    "IncarnationTable",
    "IncompleteAnswerError",
    "MismatchedAnswerError",
    "NotSentError",
    "SharedReports",
    "TargetAnswer",
    "TargetCall",
    "TargetClient",
    "TargetError",
    "TargetLoad",
    "TargetMonitor",
    "TargetReport",
    "encode_reports",
    "fetch_load",
    "is_token_event",
]

"""Logs as JSON lines."""

import logging
import sys
from typing import TextIO

import msgspec

from crowwinch.observability._bounded_handler import BoundedHandler

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "taskName"}


class JsonLineFormatter(logging.Formatter):
    """Formats a record as one JSON object; `extra` fields become members."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line."""
        entry: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD:
                entry[name] = value
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(entry, enc_hook=str).decode()


def configure_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Sends all logs as JSON lines to a stream.

    Args:
        level: Least severity, for instance "info".
        stream: Where to write.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonLineFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())


def configure_bounded_logs(level: str) -> None:
    """Sends all logs as JSON lines to standard output without blocking.

    Args:
        level: Least severity, for instance "info".
    """
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonLineFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())

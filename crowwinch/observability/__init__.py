"""Logs and metrics."""

from crowwinch.observability._bounded_handler import BoundedHandler
from crowwinch.observability._logs import (
    JsonLineFormatter,
    configure_bounded_logs,
    configure_logs,
)
from crowwinch.observability._metrics import Metrics

__all__ = [
    "BoundedHandler",
    "JsonLineFormatter",
    "Metrics",
    "configure_bounded_logs",
    "configure_logs",
]

"""Logs and metrics."""

from crowwinch.observability._logs import JsonLineFormatter, configure_logs
from crowwinch.observability._metrics import Metrics

__all__ = ["JsonLineFormatter", "Metrics", "configure_logs"]

"""Counters, gauges and latency histograms in the Prometheus text format."""

import enum
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """All figures that one router publishes."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self._counters: Counter[tuple[str, str, str]] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(
        self, name: str, label: str = "", value: str = "", amount: float = 1
    ) -> None:
        """Adds to a counter, with at most one label."""
        self._counters[name, label, value] += amount

    def count_reason(self, name: str, reason: enum.Enum) -> None:
        """Adds one to the counter of a reason."""
        self.count(name, "reason", reason.name.lower())

    def declare_reasons(self, name: str, reasons: type[enum.Enum]) -> None:
        """Publishes a zero for each reason, so that none is missing."""
        for reason in reasons:
            self.count(name, "reason", reason.name.lower(), 0)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Publishes what a function returns."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[name] = histogram
        microseconds = int(seconds * 1e6)
        histogram.record_value(
            min(max(microseconds, _LOWEST_US), _HIGHEST_US - 1)
        )

    def value(self, name: str, label: str = "", value: str = "") -> float:
        """Returns a counter."""
        return self._counters[name, label, value]

    def quantile(self, name: str, percent: float) -> float:
        """Returns a quantile of a duration in seconds, 0 when unknown."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / 1e6

    def render(self) -> str:
        """Returns everything in the Prometheus text format."""
        lines = []
        for (name, label, value), amount in sorted(self._counters.items()):
            labels = f'{{{label}="{value}"}}' if label else ""
            lines.append(f"crowwinch_{name}_total{labels} {amount:g}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"crowwinch_{name} {read():g}")
        for name, histogram in sorted(self._histograms.items()):
            for percent in _QUANTILES:
                seconds = histogram.get_value_at_percentile(percent) / 1e6
                lines.append(
                    f'crowwinch_{name}_seconds{{quantile="{percent / 100:g}"}}'
                    f" {seconds:g}"
                )
            lines.append(
                f"crowwinch_{name}_seconds_count {histogram.total_count}"
            )
        return "\n".join(lines) + "\n"

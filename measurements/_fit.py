"""Straight lines through measured values."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Line:
    """A line fitted by least squares.

    Attributes:
        constant: Value at size 0.
        per_item: Growth of the value for each item.
        worst_error: Largest deviation of a measured value from the line,
            relative to the largest measured value.
    """

    constant: float
    per_item: float
    worst_error: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.constant + self.per_item * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fits a line.

    Raises:
        ValueError: If there are fewer than three different sizes, which could
            not show a deviation, or not one value for each size.
    """
    if len(set(sizes)) < 3 or len(sizes) != len(values):
        raise ValueError("a line needs a value at three or more sizes")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    per_item = (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / spread
    )
    constant = mean_value - per_item * mean_size
    largest = max(abs(value) for value in values) or 1.0
    worst = max(
        abs(constant + per_item * size - value)
        for size, value in zip(sizes, values, strict=True)
    )
    return Line(constant, per_item, worst / largest)


def slope(
    name: str,
    unit: str,
    by: str,
    sizes: Sequence[float],
    measure: Callable[[Any], float],
    today: float,
    planned: float,
) -> dict[str, Any]:
    """Measures at each size and returns the line for the output.

    Args:
        name: What is measured.
        unit: Unit of the values.
        by: What the sizes count.
        sizes: Three or more sizes.
        measure: Returns the value at a size.
        today: Size of today's deployments.
        planned: Size of the two-year plan.
    """
    values = [measure(size) for size in sizes]
    return slope_of(name, unit, by, sizes, values, today, planned)


def slope_of(
    name: str,
    unit: str,
    by: str,
    sizes: Sequence[float],
    values: Sequence[float],
    today: float,
    planned: float,
) -> dict[str, Any]:
    """Returns the line of values that are measured already."""
    line = fit(sizes, values)
    return {
        "slope": name,
        "unit": unit,
        "by": by,
        "sizes": list(sizes),
        "values": [float(f"{value:.4g}") for value in values],
        "constant": float(f"{line.constant:.4g}"),
        "per_item": float(f"{line.per_item:.4g}"),
        "worst_error": round(line.worst_error, 3),
        "today": {"size": today, "value": float(f"{line.at(today):.4g}")},
        "planned": {
            "size": planned,
            "value": float(f"{line.at(planned):.4g}"),
        },
    }

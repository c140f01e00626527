"""Markdown tables of the lines of `make slopes`."""

import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

START = "<!-- start of the output of make slopes -->"
END = "<!-- end of the output of make slopes -->"


def tables(lines: Iterable[Mapping[str, Any]]) -> str:
    """Returns one table for the slopes and one for the other lines."""
    slopes = [
        "| slope | unit | by | sizes | measured | constant | per item "
        "| worst error | today | plan |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    others = ["| measured | figures |", "| --- | --- |"]
    for line in lines:
        if "slope" in line:
            slopes.append(_slope_row(line))
        else:
            pairs = list(line.items())
            figures = ", ".join(f"{key} {value}" for key, value in pairs[1:])
            others.append(f"| {pairs[0][1]} | {figures} |")
    return "\n".join([*slopes, "", *others])


def update(page: pathlib.Path, lines: Iterable[Mapping[str, Any]]) -> None:
    """Replaces the tables between the markers of a page.

    Raises:
        ValueError: If the page lacks a marker.
    """
    head, start, rest = page.read_text("utf-8").partition(START)
    _, end, tail = rest.partition(END)
    if not start or not end:
        raise ValueError(f"{page} lacks the markers of the tables")
    content = f"{head}{start}\n{tables(lines)}\n{end}{tail}"
    page.write_text(content, "utf-8")


def _slope_row(line: Mapping[str, Any]) -> str:
    cells = [
        line["slope"],
        line["unit"],
        line["by"],
        " / ".join(f"{each:g}" for each in line["sizes"]),
        " / ".join(f"{each:g}" for each in line["values"]),
        f"{line['constant']:g}",
        f"{line['per_item']:g}",
        f"{line['worst_error']:.1%}",
        *(
            f"{line[size]['value']:g} at {line[size]['size']:g}"
            for size in ("today", "planned")
        ),
    ]
    return "| " + " | ".join(cells) + " |"

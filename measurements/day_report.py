"""Prints what callers got on a played day, from the routers' request logs.

Reads the output of all routers of one day, in which each line holds the
simulated time, the name of a router and one JSON log line. The tables count
requests by route, workspace, availability zone or second and show the error of
the forecast of the first event.
"""

import argparse
import collections
import json
import re
import statistics
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

# Time, name and JSON object of a log line; other lines are not of a router.
_LINE = re.compile(
    r"^\s*(?P<time>-?\d+(?:\.\d+)?)\s*s?\W+(?P<router>[A-Za-z][\w.-]*)\W*?"
    r"(?P<entry>\{.*\})\s*$"
)
# Reasons after which a request was refused at once or after a wait.
_REFUSED = frozenset(
    (
        "deadline_unreachable",
        "workspace_limit",
        "no_target",
        "not_ready",
        "evacuated",
        "no_home_target",
    )
)
# A refusal within this time counts as immediate.
_IMMEDIATE_S = 0.02
_MAX_ROWS = 20


@dataclass(frozen=True, slots=True)
class LoggedRequest:
    """One line of a router's log, usually about a request.

    Attributes:
        time: Simulated time in seconds at which it ended.
        router: Name of the router.
        entry: The fields of its log line.
    """

    time: float
    router: str
    entry: Mapping[str, object]

    @property
    def availability_zone(self) -> str:
        """Zone of the router, which its name holds between role and number."""
        return self.router.partition("-")[2].rpartition("-")[0]

    @property
    def outcome(self) -> str:
        """What the caller got, as a column of the tables."""
        code = self.entry["code"]
        if code == "served":
            return "in time" if self._is_in_time() else "late"
        if code in _REFUSED:
            if self.entry.get("attempts"):
                return "failed"
            is_immediate = float(self.entry["elapsed_s"]) <= _IMMEDIATE_S
            return "refused" if is_immediate else "refused after a wait"
        return "caller left" if code == "caller_gone" else "failed"

    def _is_in_time(self) -> bool:
        answered = self.entry.get("first_event_s")
        if answered is None:
            answered = self.entry["elapsed_s"]
        latency_s = self.entry.get("target_latency_s") or float("inf")
        return float(answered) <= float(latency_s)


@dataclass(slots=True)
class Row:
    """Requests of one group.

    Attributes:
        counts: Number of requests by outcome.
        waits_s: Time that each request waited for its target.
        forecast_errors_s: Measured less forecast time to the first event of
            each attempt.
    """

    counts: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    waits_s: list[float] = field(default_factory=list)
    forecast_errors_s: list[float] = field(default_factory=list)

    def add(self, request: LoggedRequest) -> None:
        """Counts a request."""
        self.counts[request.outcome] += 1
        for attempt in request.entry.get("attempts") or ():
            self.waits_s.append(attempt["waited_s"])
            if "first_event_s" in attempt:
                self.forecast_errors_s.append(
                    attempt["first_event_s"] - attempt["expected_s"]
                )


OUTCOMES = (
    "in time",
    "late",
    "refused",
    "refused after a wait",
    "failed",
    "caller left",
)

GROUPS: Mapping[str, Callable[[LoggedRequest], str]] = {
    "route": lambda request: str(request.entry.get("route")),
    "workspace": lambda request: str(request.entry.get("workspace")),
    "zone": lambda request: request.availability_zone,
    "second": lambda request: f"{int(request.time):5d}",
}


def read_entries(lines: Iterable[str]) -> Iterator[LoggedRequest]:
    """Returns all log lines in the output of the routers."""
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        try:
            entry = json.loads(match["entry"])
        except ValueError:
            continue
        yield LoggedRequest(float(match["time"]), match["router"], entry)


def read_requests(lines: Iterable[str]) -> Iterator[LoggedRequest]:
    """Returns the requests in the output of the routers.

    Lines of other kinds are left out; so are requests that were refused before
    they were parsed, whose route is not known.
    """
    for line in read_entries(lines):
        if line.entry.get("message") == "request" and "route" in line.entry:
            yield line


def group_requests(
    requests: Iterable[LoggedRequest], key: Callable[[LoggedRequest], str]
) -> dict[str, Row]:
    """Counts requests by group."""
    rows: dict[str, Row] = collections.defaultdict(Row)
    for request in requests:
        rows[key(request)].add(request)
    return dict(rows)


def render_table(name: str, rows: Mapping[str, Row], limit: int) -> str:
    """Returns a table with the largest groups, in the order of their names."""
    largest = sorted(rows, key=lambda key: -rows[key].counts.total())[:limit]
    lines = [
        f"| {name} | requests | "
        + " | ".join(OUTCOMES)
        + " | wait p50, p95 | forecast error p50, p95 |",
        "| --- " * (len(OUTCOMES) + 4) + "|",
    ]
    for key in sorted(largest):
        row = rows[key]
        counts = " | ".join(str(row.counts[outcome]) for outcome in OUTCOMES)
        lines.append(
            f"| {key.strip()} | {row.counts.total()} | {counts}"
            f" | {_quantiles(row.waits_s)}"
            f" | {_quantiles(row.forecast_errors_s)} |"
        )
    return "\n".join(lines)


def _quantiles(values: Sequence[float]) -> str:
    if len(values) < 2:
        return "-"
    cuts = statistics.quantiles(values, n=20)
    return f"{statistics.median(values):.3f}, {cuts[-1]:.3f}"


def main() -> int:
    """Prints the tables that were asked for.

    Returns:
        The exit code: 0, or 1 without any request in the log.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=argparse.FileType())
    parser.add_argument(
        "--by", nargs="+", choices=list(GROUPS), default=["route", "zone"]
    )
    parser.add_argument("--rows", type=int, default=_MAX_ROWS)
    arguments = parser.parse_args()
    requests = list(read_requests(arguments.log))
    if not requests:
        print("no requests in this log", file=sys.stderr)
        return 1
    for name in arguments.by:
        rows = group_requests(requests, GROUPS[name])
        print(render_table(name, rows, arguments.rows), end="\n\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())

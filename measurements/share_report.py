"""Prints which workspaces got far less than others on a played day.

Reads the output of all routers, like `measurements.day_report`. In each window
of several seconds, a workspace is compared, second by second, with the less of
what it asked for and what the workspace served best got. Service units count
when a request arrives (asked) and when its first event is answered (served).

Routers drop lines of requests above a rate, so their counts of each workspace
are used if the output has them.
"""

import argparse
import collections
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from measurements.day_report import (
    LoggedRequest,
    read_entries,
    read_requests,
)

_WINDOW_S = 6
# Fraction of its entitlement below which a workspace is short.
_SHORT_FRACTION = 0.5
# Largest requests that a workspace may lack, since they do not fit a window.
_SPARED_REQUESTS = 3
_MAX_ROWS = 10
_COUNTS_MESSAGE = "requests of workspaces"
# Outcomes that delay nobody.
_ANSWERED = frozenset(("served", "caller_gone"))


@dataclass(slots=True)
class Second:
    """Requests of one workspace in one second.

    Attributes:
        asked: Service units that arrived.
        served: Service units whose first event was answered.
        delayed: Requests that arrived and were refused or answered late.
        largest: Service units of the largest requests that arrived.
        outcomes: Number of requests that arrived, by code.
    """

    asked: float = 0.0
    served: float = 0.0
    delayed: int = 0
    largest: list[float] = field(default_factory=list)
    outcomes: collections.Counter[str] = field(
        default_factory=collections.Counter
    )


@dataclass(frozen=True, slots=True)
class Shortage:
    """A window in which a workspace was delayed in every second.

    Attributes:
        start: First second of the window.
        workspace: Name of the workspace.
        asked: Service units that it asked for.
        served: Service units that it got.
        best: Service units of the workspaces served best, second by second.
        owed: Sum of the less of what it asked and what the best one got.
        spared: Service units of its largest requests in the window.
        outcomes: Number of its requests by code.
    """

    start: int
    workspace: str
    asked: float
    served: float
    best: float
    owed: float
    spared: float
    outcomes: Mapping[str, int]

    @property
    def ratio(self) -> float:
        """Service and spared requests as a fraction of half of what is owed."""
        owed = self.owed * _SHORT_FRACTION
        return (self.served + self.spared) / owed if owed else float("inf")


# The seconds of each workspace.
Activity = Mapping[str, Mapping[int, Second]]


def _new_activity() -> dict[str, dict[int, Second]]:
    return collections.defaultdict(lambda: collections.defaultdict(Second))


def read_activity(requests: Iterable[LoggedRequest]) -> Activity:
    """Returns what workspaces asked for and got, from lines of requests."""
    seconds = _new_activity()
    for request in requests:
        entry = request.entry
        workspace, cost = str(entry["workspace"]), float(entry["cost"])
        elapsed_s = float(entry["elapsed_s"])
        arrived = request.time - elapsed_s
        second = seconds[workspace][int(arrived)]
        second.asked += cost
        second.outcomes[str(entry["code"])] += 1
        second.delayed += request.outcome not in ("in time", "caller left")
        second.largest.append(cost)
        first_event_s = entry.get("first_event_s")
        if first_event_s is not None:
            began = int(arrived + float(first_event_s))
            seconds[workspace][began].served += cost
    return seconds


def read_counts(lines: Iterable[LoggedRequest]) -> Activity:
    """Returns the same from the counts that routers log once a second."""
    seconds = _new_activity()
    for line in lines:
        if line.entry.get("message") != _COUNTS_MESSAGE:
            continue
        # A line counts the second before it.
        at = int(line.time - 0.5)
        for workspace, counts in line.entry["workspaces"].items():
            second = seconds[workspace][at]
            second.asked += counts["asked"]
            second.served += counts["begun"]
            second.outcomes.update(counts["codes"])
            second.delayed += counts["late"] + sum(
                number
                for code, number in counts["codes"].items()
                if code not in _ANSWERED
            )
            second.largest += counts["largest"]
    return seconds


def find_shortages(seconds: Activity) -> list[Shortage]:
    """Returns all windows with a delay in each second, the shortest first."""
    shortages = [
        _measure(workspace, start, seconds)
        for workspace, own in seconds.items()
        for start in range(min(own), max(own) - _WINDOW_S + 2)
        if all(
            at in own and own[at].delayed
            for at in range(start, start + _WINDOW_S)
        )
    ]
    return sorted(shortages, key=lambda each: each.ratio)


def _measure(
    workspace: str,
    start: int,
    seconds: Activity,
) -> Shortage:
    window = range(start, start + _WINDOW_S)
    own = [seconds[workspace][at] for at in window]
    best = [
        max(each[at].served for each in seconds.values() if at in each)
        for at in window
    ]
    largest = sorted(
        (cost for second in own for cost in second.largest), reverse=True
    )
    return Shortage(
        start=start,
        workspace=workspace,
        asked=sum(second.asked for second in own),
        served=sum(second.served for second in own),
        best=sum(best),
        owed=sum(
            min(second.asked, most)
            for second, most in zip(own, best, strict=True)
        ),
        spared=sum(largest[:_SPARED_REQUESTS]),
        outcomes=sum(
            (second.outcomes for second in own), collections.Counter()
        ),
    )


def render(shortages: Sequence[Shortage], limit: int) -> str:
    """Returns a table of the shortest windows."""
    lines = [
        "| from | workspace | asked | served | best | owed | 3 largest"
        " | ratio | outcomes |",
        "| --- " * 9 + "|",
    ]
    for each in shortages[:limit]:
        outcomes = ", ".join(
            f"{code} {count}" for code, count in sorted(each.outcomes.items())
        )
        lines.append(
            f"| {each.start} | {each.workspace} | {each.asked:.0f}"
            f" | {each.served:.0f} | {each.best:.0f} | {each.owed:.0f}"
            f" | {each.spared:.0f} | {each.ratio:.2f} | {outcomes} |"
        )
    return "\n".join(lines)


def main() -> int:
    """Prints the table.

    Returns:
        The exit code: 0, or 1 without any request of an engine in the log.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=argparse.FileType())
    parser.add_argument("--rows", type=int, default=_MAX_ROWS)
    arguments = parser.parse_args()
    lines = arguments.log.readlines()
    activity = read_counts(read_entries(lines)) or read_activity(
        request
        for request in read_requests(lines)
        if request.entry.get("prompt_tokens")
    )
    if not activity:
        print("no requests of engines in this log", file=sys.stderr)
        return 1
    print(render(find_shortages(activity), arguments.rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())

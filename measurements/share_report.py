"""Prints which workspaces got far less than others on a played day.

Reads the output of all routers, like `measurements.day_report`. In each window
of several seconds, a workspace is compared, second by second, with the less of
what it asked for and what the workspace served best got. Service units count
when a request arrives (asked) and when its first event is answered (served).
"""

import argparse
import collections
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from measurements.day_report import LoggedRequest, read_requests

_WINDOW_S = 6
# Fraction of its entitlement below which a workspace is short.
_SHORT_FRACTION = 0.5
# Largest requests that a workspace may lack, since they do not fit a window.
_SPARED_REQUESTS = 3
_MAX_ROWS = 10


@dataclass(slots=True)
class Second:
    """Requests of one workspace in one second.

    Attributes:
        asked: Service units that arrived.
        served: Service units whose first event was answered.
        delayed: Requests that arrived and were refused or answered late.
        outcomes: Number of requests that arrived, by code.
    """

    asked: float = 0.0
    served: float = 0.0
    delayed: int = 0
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


def find_shortages(requests: Iterable[LoggedRequest]) -> list[Shortage]:
    """Returns all windows with a delay in each second, the shortest first."""
    seconds: dict[str, dict[int, Second]] = collections.defaultdict(
        lambda: collections.defaultdict(Second)
    )
    sizes: dict[str, list[tuple[int, float]]] = collections.defaultdict(list)
    for request in requests:
        entry = request.entry
        workspace, cost = str(entry["workspace"]), float(entry["cost"])
        elapsed_s = float(entry["elapsed_s"])
        arrived = request.time - elapsed_s
        second = seconds[workspace][int(arrived)]
        second.asked += cost
        second.outcomes[str(entry["code"])] += 1
        second.delayed += request.outcome not in ("in time", "caller left")
        sizes[workspace].append((int(arrived), cost))
        first_event_s = entry.get("first_event_s")
        if first_event_s is not None:
            began = int(arrived + float(first_event_s))
            seconds[workspace][began].served += cost
    shortages = [
        _measure(workspace, start, seconds, sizes[workspace])
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
    seconds: Mapping[str, Mapping[int, Second]],
    sizes: Sequence[tuple[int, float]],
) -> Shortage:
    window = range(start, start + _WINDOW_S)
    own = [seconds[workspace][at] for at in window]
    best = [
        max(each[at].served for each in seconds.values() if at in each)
        for at in window
    ]
    largest = sorted((cost for at, cost in sizes if at in window), reverse=True)
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
    requests = [
        request
        for request in read_requests(arguments.log)
        if request.entry.get("prompt_tokens")
    ]
    if not requests:
        print("no requests of engines in this log", file=sys.stderr)
        return 1
    print(render(find_shortages(requests), arguments.rows))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Prints how long routers took to learn that a target leaves on a played day.

Reads the output of all routers, like `measurements.day_report`. A target
leaves when the first router logs that it is leaving or removed. The table shows
when the last router knew, and the requests that were sent to the target after
that first moment.
"""

import argparse
import json
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field

from measurements.day_report import LoggedRequest, read_entries

_MAX_ROWS = 20


@dataclass(slots=True)
class Departure:
    """A target that leaves.

    Attributes:
        target: Identifier of the target.
        first_s: Simulated time at which the first router knew.
        known_s: Time at which each router knew, by its name.
        last_request_s: Longest time from `first_s` to the start of an attempt.
        late: Log entries of the attempts after `first_s`.
    """

    target: str
    first_s: float
    known_s: dict[str, float] = field(default_factory=dict)
    last_request_s: float = 0.0
    late: list[tuple[str, str]] = field(default_factory=list)


def find_departures(entries: Iterable[LoggedRequest]) -> list[Departure]:
    """Returns the targets that left, the one used longest first."""
    departures: dict[str, Departure] = {}
    requests = []
    for line in entries:
        entry = line.entry
        message = entry.get("message")
        if message == "request":
            requests.append(line)
        elif message == "target removed" or (
            message == "target changed" and entry.get("state") == "leaving"
        ):
            target = str(entry["target"])
            departure = departures.setdefault(
                target, Departure(target, line.time)
            )
            departure.known_s.setdefault(line.router, line.time)
        elif message == "target changed":
            # It restarted or registered again.
            departures.pop(str(entry["target"]), None)
    for line in requests:
        _note_attempts(line, departures)
    return sorted(departures.values(), key=lambda each: -each.last_request_s)


def _note_attempts(
    line: LoggedRequest, departures: dict[str, Departure]
) -> None:
    arrived = line.time - float(line.entry["elapsed_s"])
    for attempt in line.entry.get("attempts") or ():
        departure = departures.get(attempt["target"])
        if departure is None:
            continue
        late_s = arrived + attempt["waited_s"] - departure.first_s
        if late_s > 0.0:
            departure.late.append((line.router, json.dumps(attempt)))
            departure.last_request_s = max(departure.last_request_s, late_s)


def main() -> int:
    """Prints the table.

    Returns:
        The exit code: 0, or 1 without a target that leaves in the log.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=argparse.FileType())
    parser.add_argument("--rows", type=int, default=_MAX_ROWS)
    arguments = parser.parse_args()
    departures = find_departures(read_entries(arguments.log))
    if not departures:
        print("no target leaves in this log", file=sys.stderr)
        return 1
    print(
        "| target | first known | routers | last known | last request | late |"
    )
    print("| --- " * 6 + "|")
    for each in departures[: arguments.rows]:
        last_s = max(each.known_s.values()) - each.first_s
        print(
            f"| {each.target} | {each.first_s:.2f} | {len(each.known_s)}"
            f" | +{last_s:.2f} | +{each.last_request_s:.2f}"
            f" | {len(each.late)} |"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Measures the cost of one decision of the fair queue.

10,000 workspaces are known and 1,000 are backlogged. Each round is a decision
with its charge, a settlement and a new entry. Prints one JSON object.
"""

import json
import random
import time

from crowwinch.configuration import Snapshot
from crowwinch.coordination import SystemClock
from crowwinch.generated.documents import Workspace
from crowwinch.scheduling import Entry, FairQueue

_KNOWN = 10_000
_BACKLOGGED = 1_000
_ENTRIES = 10
_ROUNDS = 50_000


def measure() -> dict[str, float]:
    """Returns mean and percentiles in microseconds."""
    rng = random.Random(1)
    snapshot = Snapshot.build(
        1,
        "",
        [
            Workspace(name=f"w{i}", weight=rng.choice([1, 2, 5]), key_hashes=[])
            for i in range(_KNOWN)
        ],
        [],
    )
    queue = FairQueue(SystemClock(), lambda: snapshot)
    numbers = list(snapshot.workspaces)
    for number in numbers:
        queue.charge(number, rng.randint(1, 1000), 1.0, 1)
    for number in numbers[:_BACKLOGGED]:
        for request in range(_ENTRIES):
            queue.add(Entry("r", request, number, 1, 0))
    durations = []
    for request in range(_ROUNDS):
        cost = rng.randint(1, 1000)
        started = time.perf_counter()
        entry = queue.select(1)
        weight = queue.limits(entry.workspace).weight
        queue.charge(entry.workspace, 500, weight, 1)
        queue.begin(entry.workspace, 1, 500 / weight)
        queue.end(entry.workspace, 1, 500 / weight)
        queue.charge(entry.workspace, cost - 500, weight, 1)
        queue.add(Entry("r", request, entry.workspace, 1, 0))
        durations.append((time.perf_counter() - started) * 1e6)
    durations.sort()
    return {
        "rounds": _ROUNDS,
        "mean_us": round(sum(durations) / _ROUNDS, 1),
        "p50_us": round(durations[_ROUNDS // 2], 1),
        "p99_us": round(durations[_ROUNDS * 99 // 100], 1),
    }


if __name__ == "__main__":
    print(json.dumps({"measurement": "queue_cost", **measure()}))

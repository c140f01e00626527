"""Fleet and checks that the fault matrix uses; the load is in fault_load."""

import atexit
import collections
import json
import os
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence

from standins.processes import Fleet, call, workspace
from tests.fault_load import WORKSPACES, Record


def problems(
    records: Sequence[Record],
    runs: Mapping[str, int],
    lost_counts: bool = False,
) -> list[str]:
    """Compares what callers saw with what the targets counted.

    Args:
        records: All requests of a case.
        runs: Number of runs by text, over all targets.
        lost_counts: Whether a target lost its counter, so that a correct
            answer need not show in it.
    """
    found = []
    for record in records:
        count = runs.get(record.text, 0)
        if record.outcome not in ("correct", "refused", "broken"):
            found.append(f"wrong or no answer: {record}")
        if record.outcome == "correct" and not count and not lost_counts:
            found.append(f"answered but not counted: {record}")
        if record.runs_once and count > 1:
            found.append(f"ran {count} times: {record}")
        if record.run_state == "not_run" and count:
            found.append(f"not_run is false, ran {count} times: {record}")
    return found


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str
) -> float:
    """Waits for a condition and returns the seconds that it took.

    Raises:
        AssertionError: If it does not hold in time.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise AssertionError(f"not within {timeout_s:g} s: {what}")
        time.sleep(0.05)
    return time.monotonic() - started


def set_faults(url: str, **faults: object) -> None:
    """Sets faults of a stand-in."""
    call("POST", f"{url}/control/faults", json.dumps(faults).encode())


def state_of(operator_url: str) -> dict:
    """Returns the state that a router shows to operators."""
    return json.loads(call("GET", f"{operator_url}/v1/state")[1])


def count_runs(fleet: Fleet) -> collections.Counter:
    """Adds up the runs that the live targets counted."""
    runs: collections.Counter = collections.Counter()
    for target in fleet.targets.values():
        if target.handle.poll() is None:
            answer = call("GET", f"{target.url}/control/runs")[1]
            runs.update(json.loads(answer)["runs"])
    return runs


def start_fleet(routers: int = 4, relay: bool = False) -> Fleet:
    """Starts a fleet with room for every step of a request's life.

    Group `queue` and service `narrow` have one slot, which makes a second
    request wait. Service `slow` keeps a call at its target for 4 s.
    """
    descriptor, log_path = tempfile.mkstemp(prefix="crowwinch-", suffix=".log")
    os.close(descriptor)
    atexit.register(os.unlink, log_path)
    fleet = Fleet(log_path=log_path)
    try:
        fleet.start_platform()
        if relay:
            fleet.start_relay()
        for name in ("engine-0", "engine-1", "engine-2"):
            fleet.start_target(name, "engine")
        fleet.start_target("queue-0", "engine", "--token-seconds=0.02")
        fleet.start_target("roster-0", "plain_service")
        fleet.start_target("slow-0", "plain_service", "--seconds=4")
        for name in ("gate-0", "gate-1"):
            fleet.start_target(name, "plain_service")
        fleet.start_target("narrow-0", "plain_service", "--seconds=1.5")
        documents = [workspace(name, weight) for name, weight in WORKSPACES]
        fleet.publish(1, documents, groups(fleet))
        fleet.start_routers(routers, ("az-1", "az-2", "az-3"))
        wait_members(fleet)
    except BaseException:
        fleet.stop()
        raise
    return fleet


def groups(fleet: Fleet) -> list[dict[str, object]]:
    """Returns the groups of the targets of `start_fleet`."""

    def group(
        name: str, kind: str, model: str, prefix: str, slots: int
    ) -> dict[str, object]:
        targets = [
            {"name": each, "url": target.url, "slots": slots}
            for each, target in fleet.targets.items()
            if each.startswith(prefix)
        ]
        return {
            "name": name,
            "kind": kind,
            "region": "region-1",
            "model": model,
            "targets": targets,
            "idempotent": kind == "engine",
        }

    return [
        group("menus", "engine", "menu-model", "engine-", 8),
        group("queue", "engine", "queue-model", "queue-", 1),
        group("rosters", "service", "rosters", "roster-", 8),
        group("slow", "service", "slow", "slow-", 8),
        group("gate", "service", "gate", "gate-", 8),
        group("narrow", "service", "narrow", "narrow-", 1),
    ]


def wait_members(fleet: Fleet) -> None:
    """Waits until all routers know the present life of all others."""

    def is_complete() -> bool:
        states = [state_of(router.operator_url) for router in fleet.routers]
        lives = {state["router"]: state["life"] for state in states}
        return all(
            set(state["alive"]) == set(lives)
            and all(
                entry["life"] == lives[entry["name"]]
                for entry in state["members"]
            )
            for state in states
        )

    wait_until(is_complete, 20, "all routers know each other")


def scheduler_index(fleet: Fleet) -> int:
    """Returns the index of the router that hosts the scheduler."""
    name = state_of(fleet.routers[0].operator_url)["scheduler"]
    names = [router.name for router in fleet.routers]
    return names.index(name)

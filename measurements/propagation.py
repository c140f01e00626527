"""Measures how long edits take to reach real routers, with faults.

Prints one JSON line. Times run from the publication, or from the end of the
fault where the service or a router cannot take part before, to the last router
that has the edit in force.
"""

import argparse
import json
import signal
import sys
import time
from collections.abc import Callable

from crowwinch.configuration import Documents, digest_of
from crowwinch.generated.documents import Event
from measurements._propagation import Rig, documents, version_of
from measurements.latency import quantile

_EDITS = 50
_HEALTHY_P99_S = 2.0
_FAULT_S = 7.0


def healthy(rig: Rig, edits: int) -> list[float]:
    """Publishes edits one after another; returns the seconds of each."""
    times = []
    for _ in range(edits):
        built = rig.next()
        published = rig.publish(built)
        times.append(rig.wait(built) - published)
    return times


def down_then_back(rig: Rig) -> float:
    """The service is down during the edit."""
    rig.faults(down=True)
    built = rig.next()
    rig.publish(built)
    time.sleep(6)
    back = rig.faults(down=False)
    return rig.wait(built) - back


def stale(rig: Rig) -> float:
    """The service serves old values for a while after the edit."""
    rig.faults(stale=True)
    built = rig.next()
    rig.publish(built)
    time.sleep(4)
    fresh = rig.faults(stale=False)
    return rig.wait(built) - fresh


def flapping(rig: Rig) -> float:
    """The service goes down and comes back every 0.3 s."""
    built = rig.next()
    rig.faults(down=True)
    published = rig.publish(built)
    for index in range(20):
        time.sleep(0.3)
        rig.faults(down=index % 2 == 1)
    rig.faults(down=False)
    return rig.wait(built) - published


def rate_limited(rig: Rig) -> float:
    """The service answers 5 calls a second and refuses the others."""
    rig.faults(calls_per_second=5)
    try:
        # Watches that were pending have ended after 3 s, and the new ones
        # share the limit with reads of the VM list.
        time.sleep(4)
        built = rig.next()
        published = rig.publish(built)
        return rig.wait(built) - published
    finally:
        rig.faults(calls_per_second=2000)


def two_documents(rig: Rig) -> float:
    """Two documents of one revision are published in turn."""
    before = rig.counter("configuration_conflicts")
    rig.revision += 1
    low, high = sorted(
        (documents(rig.revision, weight) for weight in (5.0, 6.0)),
        key=version_of,
    )
    rig.publish(low)
    rig.wait(low)
    published = rig.publish(high)
    took = rig.wait(high) - published
    rig.publish(low)
    time.sleep(2)
    version = version_of(high)
    for state in rig.states:
        if (state["revision"], state["digest"]) != version:
            raise RuntimeError(f"another document is in force: {state}")
    after = rig.counter("configuration_conflicts")
    silent = sum(b <= a for a, b in zip(before, after, strict=True))
    if silent:
        raise RuntimeError(f"{silent} routers did not report the conflict")
    return took


def restarted_while_down(rig: Rig) -> float:
    """A router is killed and started again while the service is down."""
    rig.faults(configuration_down=True)
    try:
        router = rig.fleet.routers[3]
        router.kill()
        started = time.time()
        rig.fleet.restart_router(3)
        rig.wait_until(
            lambda: (
                rig.states[3]["ready"]
                and rig.states[3]["in_force_since"] > started
            )
        )
        return rig.states[3]["in_force_since"] - started
    finally:
        rig.faults(configuration_down=False)


def frozen(rig: Rig) -> float:
    """A router is stopped over an edit and over the start of an event."""
    router = rig.fleet.routers[2]
    start = int(time.time()) + 3
    event = Event("shift", "workspace-1", start, start + 600, weight=9.0)
    router.signal(signal.SIGSTOP)
    try:
        built = rig.next([event])
        rig.publish(built)
        time.sleep(max(0.0, start + 1 - time.time()))
        others = [each for each in rig.states if each["router"] != router.name]
        if any(each["active_events"] != 1 for each in others):
            raise RuntimeError(f"the event has not started: {others}")
    finally:
        resumed = time.time()
        router.signal(signal.SIGCONT)
    took = rig.wait(built) - resumed
    rig.wait_until(lambda: all(each["active_events"] for each in rig.states))
    return took


def refused(rig: Rig) -> float:
    """Malformed and partial documents are published before the edit."""
    rig.wait_until(lambda: len({_in_force(each) for each in rig.states}) == 1)
    before = _in_force(rig.states[0])
    invalid = b'{"groups":[{}]}'
    references = [{"name": "groups-000", "digest": digest_of(invalid)}]
    higher = {"revision": rig.revision + 50, "parts": references}
    partial = rig.next()
    attempts = (
        Documents(b"{", {}),
        Documents(json.dumps(higher).encode(), {"groups-000": invalid}),
        Documents(partial.manifest, {"workspaces-000": b"{}"}),
    )
    for attempt in attempts:
        rig.publish(attempt)
        time.sleep(1.5)
        if any(_in_force(each) != before for each in rig.states):
            raise RuntimeError("a refused document came into force")
    rig.wait_until(
        lambda: any(each["refused_documents"] for each in rig.states)
    )
    built = rig.next()
    published = rig.publish(built)
    return rig.wait(built) - published


def _in_force(state: dict) -> tuple[int, str]:
    return state["revision"], state["digest"]


FAULTS: tuple[Callable[[Rig], float], ...] = (
    down_then_back,
    stale,
    flapping,
    rate_limited,
    two_documents,
    restarted_while_down,
    frozen,
    refused,
)


def measure(edits: int = _EDITS, workspaces: int = 50) -> dict[str, object]:
    """Returns the times of healthy edits and of each fault."""
    rig = Rig(documents(1, 1.0, workspaces=workspaces))
    try:
        started, calls = time.monotonic(), rig.calls()
        times = healthy(rig, edits)
        seconds = time.monotonic() - started
        result: dict[str, object] = {
            "measurement": "propagation",
            "first_read_s": round(rig.first_s, 3),
            "calls_at_start": calls,
            "edits": edits,
            "p50_s": round(quantile(times, 0.5), 3),
            "p99_s": round(quantile(times, 0.99), 3),
            "max_s": round(max(times), 3),
            "calls_per_edit": round((rig.calls() - calls) / edits, 1),
            "calls_per_s": round((rig.calls() - calls) / seconds, 1),
        }
        met = result["p99_s"] < _HEALTHY_P99_S
        for fault in FAULTS:
            try:
                took = fault(rig)
            except RuntimeError as error:
                print(f"{fault.__name__}: {error}", file=sys.stderr)
                took = float("inf")
            result[f"{fault.__name__}_s"] = round(took, 3)
            met = met and took < _FAULT_S
        result |= {"reverts": rig.reverts, "polls": rig.polls}
        result |= {"calls": rig.calls(), "met": met and not rig.reverts}
        return result
    finally:
        rig.stop()


def main() -> int:
    """Prints the measurement; returns 0 if every target is met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--edits", type=int, default=_EDITS)
    parser.add_argument("--workspaces", type=int, default=50)
    arguments = parser.parse_args()
    result = measure(arguments.edits, arguments.workspaces)
    print(json.dumps(result))
    return 0 if result["met"] else 1


if __name__ == "__main__":
    sys.exit(main())

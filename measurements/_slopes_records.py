"""Slopes of the records and plans that single classes hold."""

import random
from collections.abc import Iterator
from typing import Any

import msgspec

from crowwinch.commands._plan import TargetState, plan_commands
from crowwinch.configuration import Snapshot
from crowwinch.coordination import (
    CounterKey,
    ManualClock,
    MaxMergeCounters,
    Membership,
    TimerService,
    owner,
)
from crowwinch.generated.documents import (
    Group,
    Target,
    VirtualMachine,
    VirtualMachineList,
)
from crowwinch.generated.peer_messages import (
    Claim,
    ConfirmAnswer,
    CrashReport,
    Outcome,
    Reserve,
    ReserveAnswer,
)
from crowwinch.idempotency._recorder import Recorder
from crowwinch.idempotency._store import AnswerStore
from crowwinch.idempotency._witness import Witness
from crowwinch.observability import Metrics
from crowwinch.routing import CrashRegistry
from measurements._fit import slope
from measurements._slopes_state import WORKSPACES, memory_of, microseconds


def crashes() -> Iterator[dict[str, Any]]:
    """Yields memory and time of the crash registry."""
    sizes = (1_000, 3_000, 10_000)

    def build(suspects: int) -> CrashRegistry:
        registry = CrashRegistry(ManualClock())
        for index in range(suspects):
            digest = CrashRegistry.digest(1, index.to_bytes(4, "big"))
            registry.on_report(CrashReport(digest, "target-1", False, False))
        return registry

    def verdict(suspects: int) -> float:
        registry = build(suspects)
        return microseconds(lambda: registry.verdict("0" * 32), 2_000)

    by = "suspects"
    yield slope(
        "crash_memory",
        "bytes",
        by,
        sizes,
        lambda size: memory_of(lambda: build(size)),
        8,
        10_000,
    )
    yield slope("crash_verdict", "us", by, sizes, verdict, 8, 10_000)


def idempotency() -> Iterator[dict[str, Any]]:
    """Yields memory of the keys at the recorder and the witness."""
    sizes = (1_000, 5_000, 20_000)
    clock = ManualClock()

    def recorder(keys: int) -> Recorder:
        """Returns a recorder whose keys were all used once."""
        timers = TimerService(clock)
        result = Recorder(
            "router-1",
            1_700_000_000_000,
            clock,
            timers,
            lambda peer, message: None,
            AnswerStore(1, 1),
        )
        for index in range(keys):
            key = str(
                result.issue(
                    "router-2", 1_700_000_000_000, lambda accepted: None
                )
            )
            attempt = f"{index:032x}-1"
            result.on_reserve_answer(ReserveAnswer(key, True))
            result.on_claim("router-3", Claim(key, f"{index:064x}", attempt))
            result.on_confirm_answer(ConfirmAnswer(key, attempt, True))
            result.on_outcome(Outcome(key, attempt, 1, b""))
        clock.move_to(clock.monotonic() + 2.0)
        timers.run_due()
        return result

    def witness(keys: int) -> Witness:
        result = Witness(clock, lambda peer, message: None, AnswerStore(1, 1))
        for index in range(keys):
            text = (
                f"1.router-1.1700000000000.router-2.1700000000000.{index:032}"
            )
            result.on_reserve("router-1", Reserve(text))
        return result

    for name, build in (("recorder", recorder), ("witness", witness)):
        yield slope(
            f"{name}_memory",
            "bytes",
            "keys",
            sizes,
            lambda size, build=build: memory_of(lambda: build(size)),
            1_000,
            50_000,
        )


def commands() -> Iterator[dict[str, Any]]:
    """Yields the time of one plan of engine commands, every 2 s."""

    def plan(targets: int) -> float:
        groups = [
            Group(
                name=f"g{index}",
                kind="engine",
                region="r",
                targets=[
                    Target(f"t{index}-{n}", "http://t", 8)
                    for n in range(targets // 20)
                ],
                model=f"m{index}",
                models=f"m{index}",
            )
            for index in range(20)
        ]
        snapshot = Snapshot.build(1, "", [], groups)
        states = {
            target.name: TargetState({group.model: ""})
            for group in groups
            for target in group.targets
        }
        return microseconds(lambda: plan_commands(snapshot, 0, states, "r"), 5)

    yield slope("command_plan", "us", "targets", (100, 200, 400), plan, 10, 375)


def virtual_machines() -> Iterator[dict[str, Any]]:
    """Yields bytes and time of one read of the VM list, every 2 s."""
    sizes = (34, 102, 340)
    clock = ManualClock()

    def listing(routers: int, targets: int) -> bytes:
        machines = [
            VirtualMachine(
                f"router-{index}",
                "live",
                f"10.0.{index // 250}.{index % 250}:8082",
                "router",
                f"region-{index % 8}-az-{index % 25}",
                f"region-{index % 8}",
            )
            for index in range(routers)
        ]
        machines += [
            VirtualMachine(f"target-{index}", "live", role="target")
            for index in range(targets)
        ]
        return msgspec.json.encode(VirtualMachineList(1, machines))

    def read(routers: int) -> float:
        raw = listing(routers, 0)
        view = Membership(
            "router-0",
            1,
            TimerService(clock),
            lambda peer, message: None,
            random.Random(1),
        )

        def apply() -> None:
            decoded = msgspec.json.decode(raw, type=VirtualMachineList)
            view.set_listed({each.name for each in decoded.machines})
            owner("domain:region-1", view.alive())

        return microseconds(apply, 20)

    by = "routers"
    yield slope(
        "vm_list_bytes",
        "bytes",
        by,
        sizes,
        lambda size: len(listing(size, 0)),
        8,
        340,
    )
    yield slope(
        "vm_list_bytes_with_targets",
        "bytes",
        "routers, 9 targets each",
        sizes,
        lambda size: len(listing(size, size * 3_000 // 340)),
        8,
        340,
    )
    yield slope("vm_list_read", "us", by, sizes, read, 8, 340)


def counters() -> Iterator[dict[str, Any]]:
    """Yields memory of service totals of 8 regions, and of metrics."""

    def build(names: int) -> MaxMergeCounters:
        result = MaxMergeCounters("region-0", 1)
        for region in range(8):
            result.merge(
                {
                    CounterKey(f"region-{region}", 1, f"workspace-{each}"): 1
                    for each in range(names)
                }
            )
        return result

    def render(durations: int) -> float:
        metrics = Metrics()
        for index in range(durations):
            metrics.observe(f"d{index}", 0.01)
        return microseconds(metrics.render, 3)

    yield slope(
        "service_totals_memory",
        "bytes",
        "workspaces",
        WORKSPACES,
        lambda size: memory_of(lambda: build(size)),
        15,
        10_000,
    )
    yield slope("metrics_render", "us", "histograms", (1, 4, 16), render, 1, 1)

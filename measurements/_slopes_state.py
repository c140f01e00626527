"""Slopes of the memory and processor time of single classes."""

import asyncio
import gc
import random
import time
import tracemalloc
import zlib
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from crowwinch.configuration import (
    CheckedTable,
    ConfigurationStore,
    Documents,
    Snapshot,
    build_documents,
)
from crowwinch.coordination import (
    ManualClock,
    TimerService,
    identifier,
)
from crowwinch.generated.documents import (
    Event,
    Group,
    Target,
    Workspace,
)
from crowwinch.scheduling import (
    Entry,
    FairQueue,
    RouterDispatcher,
    SlotRequest,
)
from measurements._fit import slope, slope_of

WORKSPACES = (1_000, 3_000, 10_000)
_GROUPS_PER_10_000 = 160
_TARGETS_PER_GROUP = 19


def memory_of(build: Callable[[], object]) -> float:
    """Returns the bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    held = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size


def microseconds(call: Callable[[], object], repeats: int) -> float:
    """Returns the processor time of a call in microseconds."""
    call()
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * 1e6


def table(workspaces: int) -> CheckedTable:
    """Returns a table in proportion to the plan, one key and event each."""
    names = [f"workspace-{index}" for index in range(workspaces)]
    groups = max(1, workspaces * _GROUPS_PER_10_000 // 10_000)
    return CheckedTable(
        [Workspace(name, 1.0, [f"{identifier(name):064x}"]) for name in names],
        [Event("shift", name, 1_000, 2_000, 2.0) for name in names],
        [
            Group(
                name=f"group-{index}",
                kind="engine",
                region=f"region-{index % 8}",
                targets=[
                    Target(
                        name=f"target-{index}-{number}",
                        url=f"http://10.0.{index}.{number}:8000",
                        slots=8,
                    )
                    for number in range(_TARGETS_PER_GROUP)
                ],
                model=f"model-{index // 8}",
                models=f"model-{index // 8}",
            )
            for index in range(groups)
        ],
    )


def snapshot_of(workspaces: int) -> Snapshot:
    """Returns a snapshot with that many workspaces."""
    return build_documents(table(workspaces), 1).snapshot()


def _compressed(documents: Documents) -> dict[str, bytes]:
    return {name: zlib.compress(each) for name, each in documents.parts.items()}


def queue() -> Iterator[dict[str, Any]]:
    """Yields memory and time of the fair queue, a tenth backlogged."""

    def build(workspaces: int, snapshot: Snapshot) -> FairQueue:
        result = FairQueue(ManualClock(), lambda: snapshot)
        numbers = list(snapshot.workspaces)
        for number in numbers:
            result.charge(number, 100, 1.0, 1)
        for number in numbers[: workspaces // 10]:
            for request in range(10):
                result.add(Entry("r", request, number, 1, 0))
        return result

    def memory(workspaces: int) -> float:
        snapshot = snapshot_of(workspaces)
        return memory_of(lambda: build(workspaces, snapshot))

    def decision(workspaces: int) -> float:
        snapshot = snapshot_of(workspaces)
        filled = build(workspaces, snapshot)
        rng = random.Random(1)

        def decide() -> None:
            entry = filled.select(1)
            filled.charge(entry.workspace, rng.randint(1, 1000), 1.0, 1)
            filled.begin(entry.workspace, 1, 100.0)
            filled.end(entry.workspace, 1, 100.0)
            filled.add(Entry("r", 11, entry.workspace, 1, 0))

        return microseconds(decide, 5_000)

    by = "workspaces"
    yield slope("queue_memory", "bytes", by, WORKSPACES, memory, 15, 10_000)
    yield slope("queue_decision", "us", by, WORKSPACES, decision, 15, 10_000)


def dispatcher() -> Iterator[dict[str, Any]]:
    """Yields memory and time of waiting requests without their bodies."""
    sizes = (500, 1_500, 5_000)
    snapshot = snapshot_of(1_000)
    group = next(iter(snapshot.groups))
    workspaces = list(snapshot.workspaces)

    async def measure(waiting: int) -> tuple[float, float]:
        clock = ManualClock()
        timers = TimerService(clock)
        dispatcher = RouterDispatcher(
            clock, timers, lambda: snapshot, lambda message: None
        )
        dispatcher.connect("s", 0)
        started = time.process_time()
        tasks = [
            asyncio.ensure_future(
                dispatcher.acquire(
                    SlotRequest(workspaces[index % 1_000], group, deadline=60)
                )
            )
            for index in range(waiting)
        ]
        await asyncio.sleep(0)
        spent = (time.process_time() - started) / waiting * 1e6
        size = tracemalloc.get_traced_memory()[0]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return size, spent

    def memory(waiting: int) -> float:
        gc.collect()
        tracemalloc.start()
        size = asyncio.run(measure(waiting))[0]
        tracemalloc.stop()
        return size

    by = "waiting requests"
    yield slope("waiting_memory", "bytes", by, sizes, memory, 20, 10_000)
    yield slope(
        "waiting_add",
        "us",
        by,
        sizes,
        lambda waiting: asyncio.run(measure(waiting))[1],
        20,
        10_000,
    )


def configuration() -> Iterator[dict[str, Any]]:
    """Yields memory, time and bytes of the configuration in force."""
    edits: list[tuple[float, float, float, float]] = []

    def memory(workspaces: int) -> float:
        documents = build_documents(table(workspaces), 1)
        parts = _compressed(documents)
        manifest = documents.manifest

        def build() -> ConfigurationStore:
            store = ConfigurationStore()
            copies = {name: bytes(bytearray(x)) for name, x in parts.items()}
            assert store.offer(manifest, copies)
            return store

        return memory_of(build)

    def edit(workspaces: int) -> None:
        checked = table(workspaces)
        before = build_documents(checked, 1)
        checked.workspaces[3] = msgspec.structs.replace(
            checked.workspaces[3], weight=7.0
        )
        after = build_documents(checked, 2)
        store = ConfigurationStore()
        store.offer(before.manifest, _compressed(before))
        parts = _compressed(after)
        started = time.process_time()
        assert store.offer(after.manifest, parts)
        spent = (time.process_time() - started) * 1e3
        changed = [
            name
            for name, part in after.parts.items()
            if before.parts.get(name) != part
        ]
        edits.append(
            (
                spent,
                sum(len(parts[name]) for name in changed),
                len(zlib.compress(after.manifest)),
                len(after.parts),
            )
        )

    by = "workspaces"
    yield slope("store_memory", "bytes", by, WORKSPACES, memory, 15, 10_000)
    for workspaces in WORKSPACES:
        edit(workspaces)
    for index, (name, unit) in enumerate(
        (
            ("edit_in_force", "ms"),
            ("edit_part", "bytes"),
            ("edit_manifest", "bytes"),
            ("parts", "parts"),
        )
    ):
        values = [each[index] for each in edits]
        yield slope_of(name, unit, by, WORKSPACES, values, 15, 10_000)

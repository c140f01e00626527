"""Slopes of router processes with sockets on loopback."""

import asyncio
import json
import pathlib
import time
from collections.abc import Iterator, Sequence
from typing import Any

import aiohttp
import msgspec

from crowwinch.configuration import digest_of
from crowwinch.generated.documents import (
    EventPart,
    GroupPart,
    Manifest,
    PartReference,
    WorkspacePart,
)
from measurements._fit import slope_of
from measurements._slopes_state import table
from measurements.latency import quantile
from standins.processes import Fleet, Process, call, workspace

_SECONDS = 3.0
_TOKEN_GAP_S = 0.05
_PAYLOAD = {"model": "menu-model", "messages": [{"content": "menu"}]}
_HEADERS = {"Authorization": "Bearer key-camp"}


def _processor(process: Process) -> float:
    """Returns the processor time of a process in seconds."""
    # /proc/PID/stat counts in steps of 10 ms, 0.3% of a core over 3 s.
    threads = pathlib.Path(f"/proc/{process.handle.pid}/task").iterdir()
    return sum(
        int((each / "schedstat").read_text().split()[0]) / 1e9
        for each in threads
    )


def _resident(process: Process) -> int:
    """Returns the resident size of a process in bytes."""
    with open(f"/proc/{process.handle.pid}/status", encoding="ascii") as file:
        line = next(each for each in file if each.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def _group(url: str, index: int, targets: int) -> dict[str, object]:
    # A user name makes each URL different, so that each target has its own
    # connections.
    host = url.removeprefix("http://")
    return {
        "name": f"group-{index}",
        "kind": "engine",
        "region": "region-1",
        "model": "menu-model" if index == 0 else f"model-{index}",
        "targets": [
            {
                "name": f"engine-{index}-{number}",
                "url": f"http://{index}-{number}@{host}",
                "slots": 512,
            }
            for number in range(targets)
        ],
    }


def _start(
    groups: Sequence[int], token_s: float = _TOKEN_GAP_S, routers: int = 1
) -> Fleet:
    """Starts an engine and routers with groups of that many targets."""
    fleet = Fleet()
    try:
        fleet.start_platform()
        fleet.start_target(
            "engine",
            "engine",
            "--batch=512",
            f"--token-seconds={token_s}",
            "--first-token-seconds=0",
        )
        url = fleet.targets["engine"].url
        fleet.publish(
            1,
            [workspace("camp")],
            [_group(url, index, count) for index, count in enumerate(groups)],
        )
        fleet.start_routers(routers, ("az-1",))
    except BaseException:
        fleet.stop()
        raise
    return fleet


async def _stream(
    session: aiohttp.ClientSession, url: str, tokens: int, gaps: list[float]
) -> int:
    """Reads one stream; returns its events and notes the time between them."""
    body = {**_PAYLOAD, "stream": True, "max_tokens": tokens}
    events, last = 0, 0.0
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=_HEADERS
    ) as response:
        async for chunk in response.content.iter_any():
            now = time.perf_counter()
            events += chunk.count(b"\n\n")
            if last:
                gaps.append((now - last) * 1e3)
            last = now
    return events


async def _streams(url: str, count: int) -> tuple[int, list[float]]:
    gaps: list[float] = []
    tokens = round(_SECONDS / _TOKEN_GAP_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def one(index: int) -> int:
            await asyncio.sleep(_TOKEN_GAP_S * index / count)
            return await _stream(session, url, tokens, gaps)

        events = await asyncio.gather(*(one(each) for each in range(count)))
    return sum(events), gaps


async def _requests(url: str, count: int) -> None:
    body = json.dumps({**_PAYLOAD, "max_tokens": 1}).encode()
    async with aiohttp.ClientSession() as session:
        for _ in range(count):
            async with session.post(
                f"{url}/v1/chat/completions", data=body, headers=_HEADERS
            ) as response:
                await response.read()


def tokens() -> Iterator[dict[str, Any]]:
    """Yields processor time and gaps by tokens a second of one router."""
    rates, shares, p95, direct, resident = [], [], [], [], []
    fleet = _start([1])
    try:
        router = fleet.routers[0]
        asyncio.run(_streams(router.url, 4))
        for streams in (10, 40, 100):
            idle = _resident(router)
            before, began = _processor(router), time.monotonic()
            events, gaps = asyncio.run(_streams(router.url, streams))
            seconds = time.monotonic() - began
            rates.append(round(events / seconds, 1))
            shares.append((_processor(router) - before) / seconds * 100)
            p95.append(quantile(gaps, 0.95))
            resident.append((_resident(router) - idle) / 1024)
            engine = fleet.targets["engine"].url
            _, gaps = asyncio.run(_streams(engine, streams))
            direct.append(quantile(gaps, 0.95))
    finally:
        fleet.stop()
    for name, unit, values in (
        ("token_relay", "% of a core", shares),
        ("token_gap_p95_routed", "ms", p95),
        ("token_gap_p95_direct", "ms", direct),
    ):
        yield slope_of(name, unit, "tokens/s", rates, values, 100, 3_235)
    yield {
        "measurement": "token_gap_of_the_engine",
        "ms": _TOKEN_GAP_S * 1e3,
        "resident_growth_kb": [round(each) for each in resident],
    }


def requests() -> Iterator[dict[str, Any]]:
    """Yields processor time of requests with one token."""
    sizes, values = (100, 300, 900), []
    fleet = _start([1], 0.0)
    try:
        router = fleet.routers[0]
        asyncio.run(_requests(router.url, 100))
        for count in sizes:
            before = _processor(router)
            asyncio.run(_requests(router.url, count))
            values.append((_processor(router) - before) * 1e3)
        yield slope_of("request", "ms", "requests", sizes, values, 1, 8.2)
        yield from _operators(router)
    finally:
        fleet.stop()


def _operators(router: Process) -> Iterator[dict[str, Any]]:
    sizes, values = (50, 150, 450), []
    for count in sizes:
        before = _processor(router)
        for _ in range(count):
            call("GET", router.operator_url + "/metrics")
        values.append((_processor(router) - before) * 1e3)
    yield slope_of("scrape", "ms", "reads", sizes, values, 1, 1)


def polling() -> Iterator[dict[str, Any]]:
    """Yields processor time of polls, by one router and divided over 8."""
    sizes, by = (16, 64, 192), "polled targets"
    unit = "% of a core"
    runs = [_polling(1, targets) for targets in sizes]
    alone = [each[0][0] for each in runs]
    resident = [each[1] / 1e6 for each in runs]
    yield slope_of("polling", unit, by, sizes, alone, 13, 375)
    yield slope_of("polling_resident", "MB", by, sizes, resident, 13, 375)
    runs = [_polling(8, targets) for targets in sizes]
    host = [each[0][0] for each in runs]
    others = [sum(each[0][1:]) / 7 for each in runs]
    yield slope_of("polling_divided_host", unit, by, sizes, host, 13, 375)
    # A router of the plan has the part that it would have of 72 targets here.
    yield slope_of("polling_divided", unit, by, sizes, others, 13, 72)


def _polling(routers: int, targets: int) -> tuple[list[float], int]:
    """Returns the processor time in % of a core, scheduler first.

    The second value is the resident size of the scheduler's router in bytes.
    """
    groups = [min(64, targets)] * max(1, targets // 64)
    fleet = _start(groups, routers=routers)
    try:
        time.sleep(2.0 if routers == 1 else 5.0)
        url = fleet.routers[0].operator_url + "/v1/state"
        scheduler = json.loads(call("GET", url)[1])["scheduler"]
        running = sorted(fleet.routers, key=lambda each: each.name != scheduler)
        before, began = [_processor(each) for each in running], time.monotonic()
        time.sleep(_SECONDS)
        seconds = time.monotonic() - began
        shares = [
            (_processor(each) - start) / seconds * 100
            for each, start in zip(running, before, strict=True)
        ]
        return shares, _resident(running[0])
    finally:
        fleet.stop()


def idle() -> Iterator[dict[str, Any]]:
    """Yields the resident size of a router without requests."""
    sizes, values = (500, 1_500, 4_000), []
    for workspaces in sizes:
        fleet = Fleet()
        try:
            fleet.start_platform()
            _publish(fleet, workspaces)
            fleet.start_routers(1, ("az-1",))
            time.sleep(1.0)
            values.append(_resident(fleet.routers[0]) / 1e6)
        finally:
            fleet.stop()
    yield slope_of(
        "idle_resident", "MB", "workspaces", sizes, values, 15, 10_000
    )


def _publish(fleet: Fleet, workspaces: int) -> None:
    """Publishes one large part of each kind, as a router reads 2 a second."""
    checked = table(workspaces)
    parts = {
        "workspaces-000": WorkspacePart(checked.workspaces),
        "events-000": EventPart(checked.events),
        "groups-000": GroupPart(checked.groups),
    }
    documents = {name: msgspec.json.encode(x) for name, x in parts.items()}
    references = [
        PartReference(name, digest_of(each)) for name, each in documents.items()
    ]
    for name, document in documents.items():
        fleet.put(f"/control/values/{name}", document)
    manifest = msgspec.json.encode(Manifest(1, references))
    fleet.put("/control/values/manifest", manifest)

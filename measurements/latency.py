"""Measures the time that a router adds to a request on loopback.

Asks the stand-in of an engine directly and through one router, in turn, at a
fixed rate. Prints one JSON object with the quantiles in milliseconds, the
processor time of the router for each request and the time that the host of a
virtual machine took meanwhile, which appears in the highest quantiles.
"""

import argparse
import asyncio
import json
import os
import pathlib
import sys
import time
from collections.abc import Sequence

import aiohttp

from standins.processes import Fleet, workspace

_RATE_PER_S = 30.0
_SECONDS = 10.0
_WARM_UP_REQUESTS = 30
_TARGET_P99_MS = 3.0
_BODY = json.dumps(
    {
        "model": "menu-model",
        "messages": [{"role": "user", "content": "menu for the week " * 20}],
        "max_tokens": 1,
    }
).encode()


def _start() -> Fleet:
    fleet = Fleet()
    try:
        fleet.start_platform()
        fleet.start_target(
            "engine-0", "engine", "--token-seconds=0", "--first-token-seconds=0"
        )
        target = {"name": "engine-0", "url": fleet.targets["engine-0"].url}
        group = {
            "name": "menus",
            "kind": "engine",
            "region": "region-1",
            "model": "menu-model",
            "targets": [{**target, "slots": 8}],
        }
        fleet.publish(1, [workspace("camp")], [group])
        fleet.start_routers(1, ("az-1",))
    except BaseException:
        fleet.stop()
        raise
    return fleet


async def _ask(session: aiohttp.ClientSession, url: str) -> float:
    started = time.perf_counter()
    async with session.post(
        f"{url}/v1/chat/completions",
        data=_BODY,
        headers={"Authorization": "Bearer key-camp"},
    ) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"{url}: status {response.status}")
    return (time.perf_counter() - started) * 1000


async def _measure(
    urls: Sequence[str], rate_per_s: float, seconds: float
) -> list[list[float]]:
    """Asks each URL at a rate; the URLs take turns at each point in time."""
    durations: list[list[float]] = [[] for _ in urls]
    async with aiohttp.ClientSession() as session:
        for url in urls:
            for _ in range(_WARM_UP_REQUESTS):
                await _ask(session, url)
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for index in range(int(rate_per_s * seconds)):
            for place, url in enumerate(urls):
                due = begin + (index + place / len(urls)) / rate_per_s
                await asyncio.sleep(max(0.0, due - loop.time()))
                durations[place].append(await _ask(session, url))
    return durations


def _processor_ms(pid: int) -> float:
    """Returns the processor time of a process with one busy thread."""
    stat = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    return int(stat.split()[0]) / 1e6


def _stolen_ms() -> float:
    """Returns the time that the host took from this machine's processors."""
    ticks = pathlib.Path("/proc/stat").read_text().split("\n", 1)[0].split()[8]
    return int(ticks) * 1000 / os.sysconf("SC_CLK_TCK")


def quantile(values: Sequence[float], fraction: float) -> float:
    """Returns a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def measure(
    rate_per_s: float = _RATE_PER_S, seconds: float = _SECONDS
) -> dict[str, object]:
    """Returns the quantiles of both paths and their difference."""
    fleet = _start()
    try:
        router = fleet.routers[0]
        urls = [fleet.targets["engine-0"].url, router.url]
        before = _processor_ms(router.handle.pid)
        stolen = _stolen_ms()
        direct, routed = asyncio.run(_measure(urls, rate_per_s, seconds))
        processor = _processor_ms(router.handle.pid) - before
        stolen = _stolen_ms() - stolen
    finally:
        fleet.stop()
    result: dict[str, object] = {
        "measurement": "added_latency",
        "rate_per_s": rate_per_s,
        "requests": len(routed),
        "processor_ms_per_request": round(
            processor / (len(routed) + _WARM_UP_REQUESTS), 3
        ),
        "stolen_ms_all_processors": round(stolen),
    }
    for name, fraction in (("p50", 0.5), ("p99", 0.99)):
        first, second = quantile(direct, fraction), quantile(routed, fraction)
        result[f"direct_{name}_ms"] = round(first, 3)
        result[f"routed_{name}_ms"] = round(second, 3)
        result[f"added_{name}_ms"] = round(second - first, 3)
    result["met"] = result["added_p99_ms"] < _TARGET_P99_MS
    return result


def main() -> int:
    """Prints the measurement; returns 0 if the target is met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=_RATE_PER_S)
    parser.add_argument("--seconds", type=float, default=_SECONDS)
    arguments = parser.parse_args()
    result = measure(arguments.rate, arguments.seconds)
    print(json.dumps(result))
    return 0 if result["met"] else 1


if __name__ == "__main__":
    sys.exit(main())

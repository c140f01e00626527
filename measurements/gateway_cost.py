"""Measures the processor time of `crowwinch gateway` for each kind of work.

Runs the gateway in this process, and its store, targets, peers and callers in
another one. Prints one JSON object with the lowest figure of several rounds, as
other work on the machine only adds to it, in microseconds of processor time;
what the router spends without requests is subtracted. With `--profile CASE` it
prints where one case spends its time.
"""

import argparse
import asyncio
import collections
import cProfile
import json
import logging
import math
import os
import pathlib
import pstats
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import aiomisc

from crowwinch.coordination import _loop_lag
from crowwinch.gateway._application import GatewayApplication
from crowwinch.observability import JsonLineFormatter
from crowwinch.observability._bounded_handler import BoundedHandler
from crowwinch.sharing import PromptPart, Ticket, Work
from standins.processes import free_ports

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ADDRESS = "127.0.0.1"
_IDLE_S = 2.0
# Age after which reports of peers carry no weight.
_PEER_EXPIRY_S = 3.0
_WAITING = 500
_POLLS = 40
_PROFILE_LINES = 45
# Path, requests, callers and whether connections are kept.
_CASES = {
    "plain": ("/look/x", 1200, 8, True),
    "connection": ("/look/x", 1200, 8, False),
    "stream_1": ("/chat/1", 500, 8, True),
    "stream_40": ("/chat/40", 160, 8, True),
    "limit": ("/chat/1", 1500, 32, True),
}


class _Bench:
    """A gateway in this process and the process that loads it."""

    def __init__(self, folder: str) -> None:
        self._folder = pathlib.Path(folder)
        self._ports = free_ports(4)
        self._peer_port = self._ports.pop()

    async def start(self) -> None:
        self._load = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "measurements._gateway_load",
            cwd=_ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        store = json.loads(await self._load.stdout.readline())["store"]
        caller, readiness, metrics = self._ports
        settings = self._folder / "settings.toml"
        settings.write_text(
            f'NodeName = "edge"\nIp = "{_ADDRESS}"\nZone = "az-1"\n'
            f"PortRange = [{self._peer_port}, {metrics}]\nSeeds = []\n"
            "HeartbeatMs = 1200\n"
            f'[Listen]\nFrontend = "{_ADDRESS}:{caller}"\n'
            f'Readiness = "{_ADDRESS}:{readiness}"\n'
            f'Control = "{_ADDRESS}:{self._peer_port + 1}"\n'
            "[Limits]\nMemoryMb = 300\nMaxFds = 4100\n"
            "[Bounds]\nDrainMs = 2000\nGraceS = 8\nReuseAfterS = 2\n"
            "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\n"
            f'[Platform]\nAddress = "{_ADDRESS}:{store}"\nHistoryS = 20\n'
        )
        # On a shared machine, a late turn of the loop would change the paths
        # that are measured.
        _loop_lag._LATE_S = math.inf
        self._application = GatewayApplication(str(settings))
        await self._application.start()
        while not self._application.is_ready:
            await asyncio.sleep(0.05)
        await self.set_peers("quiet")

    async def stop(self) -> None:
        self._load.kill()
        await self._load.wait()
        await self._application.stop()

    async def set_peers(self, mode: str) -> None:
        """Lets the peers report idle engines ("quiet") or full ones."""
        await self._command(peers=mode, port=self._peer_port, router=_ADDRESS)
        await asyncio.sleep(_PEER_EXPIRY_S)

    async def idle_us_per_s(self) -> float:
        began, used = time.monotonic(), time.process_time()
        await asyncio.sleep(_IDLE_S)
        used = time.process_time() - used
        return used / (time.monotonic() - began) * 1e6

    async def request_us(self, name: str, idle_us_per_s: float) -> float:
        path, count, callers, keep = _CASES[name]
        began, used = time.monotonic(), time.process_time()
        statuses = await self._command(
            address=[_ADDRESS, self._ports[0]],
            path=path,
            count=count,
            callers=callers,
            keep=keep,
        )
        used = time.process_time() - used
        idle = (time.monotonic() - began) * idle_us_per_s
        expected = "429" if name == "limit" else "200"
        if statuses.get(expected) != count:
            raise RuntimeError(f"{name}: {statuses}")
        return (used * 1e6 - idle) / count

    async def poll_us(self) -> float:
        """Returns the time of a decision on many waiting requests."""
        admission = self._application._sharing.admission
        now = time.monotonic()
        tickets = [
            Ticket(
                Work(
                    "llm",
                    f"w{number % 20}",
                    "m",
                    (PromptPart(f"p{number % 9}", 700), PromptPart("own", 50)),
                    750,
                    50,
                    target_latency_s=100.0,
                ),
                now,
                now + 100.0,
                lambda decision: None,
            )
            for number in range(_WAITING)
        ]
        for ticket in tickets:
            # Past the limit of a queue, new requests would be refused.
            queues = admission._queues.setdefault("llm", {})
            admission._timely.add(ticket)
            queues.setdefault(
                ticket.work.workspace, collections.deque()
            ).append(ticket)
            admission._waiting += 1
        used = time.process_time()
        for _ in range(_POLLS):
            admission.poll()
        used = time.process_time() - used
        left = admission.waiting
        for ticket in tickets:
            admission.withdraw(ticket)
        if left != _WAITING:
            raise RuntimeError(f"only {left} requests waited")
        return used / _POLLS * 1e6

    async def _command(self, **command: object) -> dict[str, int]:
        self._load.stdin.write(json.dumps(command).encode() + b"\n")
        return json.loads(await self._load.stdout.readline())


async def _measure(bench: _Bench, rounds: int) -> dict[str, float]:
    figures: dict[str, list[float]] = {}

    def add(name: str, value: float) -> None:
        figures.setdefault(name, []).append(value)

    for _ in range(rounds):
        idle = await bench.idle_us_per_s()
        add("periodic_us_per_s", idle)
        for name in ("plain", "connection", "stream_1", "stream_40"):
            add(name, await bench.request_us(name, idle))
    await bench.set_peers("full")
    for _ in range(rounds):
        idle = await bench.idle_us_per_s()
        add("limit", await bench.request_us("limit", idle))
        add("poll_500_waiting", await bench.poll_us())
    result = {name: min(each) for name, each in figures.items()}
    result["connection"] -= result["plain"]
    result["event"] = (result["stream_40"] - result["stream_1"]) / 39
    return {name: round(value, 1) for name, value in result.items()}


async def _profile(bench: _Bench, name: str) -> None:
    if name in ("limit", "poll", "full"):
        await bench.set_peers("full")
    cases: dict[str, Callable[[], Awaitable[float]]] = {
        "poll": bench.poll_us,
        "quiet": bench.idle_us_per_s,
        "full": bench.idle_us_per_s,
    }
    profile = cProfile.Profile(time.process_time)
    profile.enable()
    if name in cases:
        await cases[name]()
    else:
        await bench.request_us(name, 0.0)
    profile.disable()
    pstats.Stats(profile).sort_stats("tottime").print_stats(_PROFILE_LINES)


def main() -> int:
    """Prints the measurement, or the profile of one case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--profile", default="", metavar="CASE")
    arguments = parser.parse_args()
    with open(os.devnull, "wb") as output, tempfile.TemporaryDirectory() as at:
        handler = BoundedHandler(output.fileno(), lines_per_s=1e9, burst=1e9)
        handler.setFormatter(JsonLineFormatter())
        logging.basicConfig(level=logging.INFO, handlers=[handler])

        async def run() -> None:
            bench = _Bench(at)
            await bench.start()
            try:
                if arguments.profile:
                    await _profile(bench, arguments.profile)
                else:
                    print(json.dumps(await _measure(bench, arguments.rounds)))
            finally:
                await bench.stop()

        with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
            loop.run_until_complete(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

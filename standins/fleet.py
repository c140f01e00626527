"""Runs a small fleet on loopback: `run` checks answers, `serve` stays up."""

import argparse
import asyncio
import collections
import hashlib
import json
import signal
import sys
import tempfile
import time
from dataclasses import dataclass

import aiohttp

from standins.engine import expected_tokens
from standins.processes import Fleet, workspace

_WORKSPACES = (("camp-large", 4.0), ("camp-small", 1.0), ("supplier", 1.0))
_REQUESTS_PER_WORKSPACE = 24
_TOKENS = 24


@dataclass
class Tally:
    """What one workspace got."""

    requests: int = 0
    correct: int = 0
    tokens: int = 0
    slowest_s: float = 0.0


def build_fleet() -> Fleet:
    """Starts the platform, two engines, a plain service and three routers."""
    fleet = Fleet(log_path=tempfile.gettempdir() + "/crowwinch-run.log")
    try:
        start_all(fleet)
    except BaseException:
        fleet.stop()
        raise
    return fleet


def start_all(fleet: Fleet, routers: int = 3) -> None:
    """Starts every process of a small fleet and waits until it is ready."""
    fleet.start_platform()
    for name in ("engine-0", "engine-1"):
        fleet.start_target(name, "engine")
    fleet.start_target("roster-0", "plain_service")
    fleet.publish(1, _workspaces(), _groups(fleet))
    fleet.start_routers(routers, ("az-1", "az-2", "az-3"))


def _workspaces() -> list[dict[str, object]]:
    return [workspace(name, weight) for name, weight in _WORKSPACES]


def _groups(fleet: Fleet) -> list[dict[str, object]]:
    def target(name: str, slots: int) -> dict[str, object]:
        url = fleet.targets[name].url
        return {"name": name, "url": url, "slots": slots}

    return [
        {
            "name": "menus",
            "kind": "engine",
            "region": "region-1",
            "model": "menu-model",
            "targets": [target("engine-0", 8), target("engine-1", 8)],
        },
        {
            "name": "rosters",
            "kind": "service",
            "region": "region-1",
            "model": "rosters",
            "targets": [target("roster-0", 8)],
        },
    ]


async def _ask_engine(
    session: aiohttp.ClientSession, url: str, name: str, index: int
) -> tuple[bool, int]:
    prompt = f"{name} question {index}"
    stream = index % 2 == 0
    body = {
        "model": "menu-model",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": _TOKENS,
        "stream": stream,
    }
    async with session.post(
        f"{url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer key-{name}"},
    ) as response:
        text = await response.text()
        status = response.status
    answer = _streamed_text(text) if stream else _whole_text(text)
    expected = "".join(expected_tokens(prompt, _TOKENS))
    return status == 200 and answer == expected, _TOKENS


def _streamed_text(text: str) -> str:
    events = [line[6:] for line in text.splitlines() if line[:6] == "data: "]
    if not events or events[-1] != "[DONE]":
        return ""
    documents = [json.loads(event) for event in events[:-1]]
    return "".join(
        choice["delta"]["content"]
        for document in documents
        for choice in document.get("choices", ())
    )


def _whole_text(text: str) -> str:
    document = json.loads(text)
    if "choices" not in document:
        return ""
    return document["choices"][0]["message"]["content"]


async def _ask_service(
    session: aiohttp.ClientSession, url: str, name: str, index: int
) -> tuple[bool, int]:
    body = f"{name} roster {index}".encode()
    async with session.put(
        f"{url}/services/rosters/day/{index}?shift=a",
        data=body,
        headers={"Authorization": f"Bearer key-{name}"},
    ) as response:
        document = await response.json()
        correct = (
            response.status == 200
            and document.get("digest") == hashlib.sha256(body).hexdigest()
            and document.get("path") == f"/day/{index}?shift=a"
        )
    return correct, 0


async def _send_all(urls: list[str]) -> dict[str, Tally]:
    tallies: dict[str, Tally] = collections.defaultdict(Tally)

    async def ask(
        session: aiohttp.ClientSession, name: str, index: int
    ) -> None:
        started = time.monotonic()
        ask_one = _ask_service if index % 4 == 3 else _ask_engine
        url = urls[index % len(urls)]
        correct, tokens = await ask_one(session, url, name, index)
        tally = tallies[name]
        tally.requests += 1
        tally.correct += correct
        tally.tokens += tokens
        tally.slowest_s = max(tally.slowest_s, time.monotonic() - started)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(
                ask(session, name, index)
                for name, _ in _WORKSPACES
                for index in range(_REQUESTS_PER_WORKSPACE)
            )
        )
    return tallies


def run() -> int:
    """Sends requests and returns 0 if every answer was complete."""
    fleet = build_fleet()
    try:
        urls = [router.url for router in fleet.routers]
        tallies = asyncio.run(_send_all(urls))
    finally:
        fleet.stop()
    print(f"{'workspace':<12}{'weight':>7}{'asked':>7}{'correct':>9}", end="")
    print(f"{'tokens':>8}{'slowest':>9}")
    for name, weight in _WORKSPACES:
        tally = tallies[name]
        print(
            f"{name:<12}{weight:>7g}{tally.requests:>7}{tally.correct:>9}"
            f"{tally.tokens:>8}{tally.slowest_s:>8.2f}s"
        )
    complete = all(
        tallies[name].correct == _REQUESTS_PER_WORKSPACE
        for name, _ in _WORKSPACES
    )
    print("every answer complete" if complete else "some answers are wrong")
    return 0 if complete else 1


def serve() -> int:
    """Leaves the fleet running until SIGINT or SIGTERM."""
    fleet = build_fleet()
    try:
        for router in fleet.routers:
            print(
                f"{router.name}: {router.url}, operators {router.operator_url}"
            )
        print("bearer keys: key-camp-large, key-camp-small, key-supplier")
        print("models: menu-model; services: rosters; Ctrl-C stops")
        sys.stdout.flush()
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        fleet.stop()
    return 0


def main() -> int:
    """Runs the chosen mode."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mode", choices=("run", "serve"))
    mode = parser.parse_args().mode
    return run() if mode == "run" else serve()


if __name__ == "__main__":
    sys.exit(main())

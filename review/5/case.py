"""All processes are killed after the store has discarded its history."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins import (
    TROUBLE,
    Platform,
    Record,
    Requester,
    Worker,
    events_of,
    run_case,
)

_STREAMS = 24
_DEADLINE_MS = 12_000
# The leaving worker serves for DrainMs and some seconds.
_LINGER_S = 5.0
_KILL_AFTER_S = 0.5
_RETRY_S = 0.5
_DOWN_S = 0.5


async def watch_menu(
    platform: Platform, record: Record, number: int
) -> list[tuple[int, str]]:
    """Reads a stream and takes it up at another machine if it breaks off."""
    loop = asyncio.get_running_loop()
    end = loop.time() + _DEADLINE_MS / 1000
    first = f"chat-{number}"
    machines = platform.machines
    requester = Requester(record, machines[number % len(machines)])
    answer = await requester.ask("/chat/ask", first, deadline_ms=_DEADLINE_MS)
    requester.close()
    events = events_of(answer.body)
    tries = 0
    while events and not answer.is_whole and loop.time() < end - 1.0:
        await asyncio.sleep(_RETRY_S)
        tries += 1
        requester = Requester(
            record, machines[(number + tries) % len(machines)]
        )
        answer = await requester.ask(
            "/chat/ask",
            f"{first}-again-{tries}",
            headers={"Last-Event-Id": str(events[-1][0]), "Resumes": first},
            deadline_ms=int((end - loop.time()) * 1000),
        )
        requester.close()
        if answer.status == 200:
            events += events_of(answer.body)
        answer.is_whole = answer.is_whole and answer.status == 200
    return events


async def leave(record: Record, worker: Worker) -> None:
    """Lets a worker leave without a notice, serve on and exit."""
    record.note("planned", f"{worker.name} leaves: its entry is removed")
    worker.unregister()
    worker.leaving = True
    await asyncio.sleep(_LINGER_S)
    record.note("planned", f"{worker.name} exits")
    worker.exit()


async def kill_all(platform: Platform, record: Record) -> None:
    """Kills all processes at once; each is started again after a delay."""
    record.note("trouble", "the store discards its history")
    platform.store.discard_history()
    record.note("trouble", "all processes are killed")
    for machine in platform.machines:
        machine.kill()
    await asyncio.sleep(_DOWN_S)
    for machine in platform.machines:
        await machine.start()


async def case(record: Record) -> int:
    """Plays the case."""
    platform = Platform(record, machines=4)
    try:
        old = await platform.add("llm-old", "llm", "v1")
        for number in range(2):
            await platform.add(f"llm-new-{number}", "llm", "v2")
        await platform.add("desk", "desk")
        await platform.start()
        await asyncio.sleep(4.0)
        streams = [
            asyncio.ensure_future(watch_menu(platform, record, number))
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(1.0)
        leaving = asyncio.ensure_future(leave(record, old))
        await asyncio.sleep(_KILL_AFTER_S)
        if TROUBLE:
            await kill_all(platform, record)
        events = await asyncio.gather(*streams)
        await leaving
        return _judge(record, events)
    finally:
        await platform.stop()


def _judge(record: Record, streams: list[list[tuple[int, str]]]) -> int:
    mixed = 0
    for number, events in enumerate(streams):
        versions = sorted({version for _, version in events})
        mixed += len(versions) > 1
        numbers = [event for event, _ in events]
        record.note("stream", f"chat-{number} events {numbers} of {versions}")
    return record.finish(
        mixed > 2,
        f"{mixed} of {len(streams)} streams hold events of two software "
        "versions (ORDER allows 2)",
    )


if __name__ == "__main__":
    run_case(__file__, case)

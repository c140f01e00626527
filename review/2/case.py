"""A machine is cut off while the last worker of a software version leaves."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins import (
    TROUBLE,
    Answer,
    Platform,
    Record,
    Requester,
    events_of,
    run_case,
)

_STREAMS = 24
_DEADLINE_MS = 12_000
# How long the leaving worker serves after its entry was removed: DrainMs and
# a little longer.
_LINGER_S = 5.2
_OPEN_AFTER_S = 3.8
_RETURN_S = 0.1


async def watch_menu(
    platform: Platform, record: Record, number: int
) -> list[tuple[int, str]]:
    """Reads a stream and takes it up at another machine if it breaks off."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    first = f"chat-{number}"
    requester = Requester(record, platform.machines[0])
    answer: Answer = await requester.ask(
        "/chat/ask", first, deadline_ms=_DEADLINE_MS
    )
    requester.close()
    events = events_of(answer.body)
    if answer.is_whole or not events:
        return events
    await asyncio.sleep(_RETURN_S)
    spent_ms = int((loop.time() - started) * 1000)
    other = platform.machines[1 + number % (len(platform.machines) - 1)]
    requester = Requester(record, other)
    again = await requester.ask(
        "/chat/ask",
        f"{first}-again",
        headers={"Last-Event-Id": str(events[-1][0]), "Resumes": first},
        deadline_ms=_DEADLINE_MS - spent_ms,
    )
    requester.close()
    if again.status == 200:
        events += events_of(again.body)
    return events


async def case(record: Record) -> int:
    """Plays the case."""
    platform = Platform(record, machines=4)
    try:
        old = await platform.add("llm-old", "llm", "v1")
        for number in range(2):
            await platform.add(f"llm-new-{number}", "llm", "v2")
        await platform.add("desk", "desk")
        await platform.start()
        # The fleet has followed the store for longer than a stream lasts.
        await asyncio.sleep(8.0)
        if TROUBLE:
            record.note("trouble", "edge-0 is cut off from store and machines")
            platform.machines[0].cut_off(True)
        await asyncio.sleep(0.5)
        record.note("planned", "llm-old leaves: its entry is removed")
        old.unregister()
        old.leaving = True
        await asyncio.sleep(_OPEN_AFTER_S)
        streams = [
            asyncio.ensure_future(watch_menu(platform, record, number))
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(_LINGER_S - _OPEN_AFTER_S)
        record.note("planned", "llm-old exits")
        old.exit()
        await asyncio.sleep(1.5)
        platform.machines[0].cut_off(False)
        events = await asyncio.gather(*streams)
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

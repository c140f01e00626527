"""Another writer's entry names a service with a long name."""

import asyncio
import json
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
_RETURN_S = 0.2
_NAME_BYTES = 64_000


async def begin(platform: Platform, record: Record, number: int) -> bool:
    """Returns whether a new stream of a machine begins and ends well."""
    machine = platform.machines[1 + number % (len(platform.machines) - 1)]
    requester = Requester(record, machine)
    answer = await requester.ask(
        "/chat/ask", f"new-{number}", deadline_ms=_DEADLINE_MS
    )
    requester.close()
    return answer.status == 200 and bool(events_of(answer.body))


async def take_up(platform: Platform, record: Record, number: int) -> bool:
    """Returns whether a stream that broke off goes on at another machine."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    first = f"chat-{number}"
    requester = Requester(record, platform.machines[0])
    answer: Answer = await requester.ask(
        "/chat/ask", first, deadline_ms=_DEADLINE_MS
    )
    requester.close()
    events = events_of(answer.body)
    assert events and not answer.is_whole, "the stream did not break off"
    await asyncio.sleep(_RETURN_S)
    spent_ms = int((loop.time() - started) * 1000)
    machine = platform.machines[1 + number % (len(platform.machines) - 1)]
    requester = Requester(record, machine)
    again = await requester.ask(
        "/chat/ask",
        f"{first}-again",
        headers={"Last-Event-Id": str(events[-1][0]), "Resumes": first},
        deadline_ms=_DEADLINE_MS - spent_ms,
    )
    requester.close()
    return again.status == 200 and bool(events_of(again.body))


async def case(record: Record) -> int:
    """Plays the case."""
    platform = Platform(record, machines=4)
    try:
        for number in range(2):
            await platform.add(f"llm-a-{number}", "llm", "v1")
            await platform.add(f"llm-b-{number}", "llm", "v2")
        await platform.add("desk", "desk")
        await platform.start()
        await asyncio.sleep(2.0)
        if TROUBLE:
            record.note("trouble", "an entry of another writer")
            entry = {
                "Service": "x" * _NAME_BYTES,
                "Address": "127.0.0.1:9",
                "Zone": "zone-a",
                "Version": "1",
                "Slots": 1,
                "State": "ready",
                "Sequence": 1,
                "born": 1,
            }
            platform.store.put("servers/other", json.dumps(entry).encode())
        await asyncio.sleep(6.0)
        streams = [
            asyncio.ensure_future(take_up(platform, record, number))
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(1.5)
        record.note("kill", "edge-0 is killed")
        platform.machines[0].kill()
        new = [
            asyncio.ensure_future(begin(platform, record, number))
            for number in range(_STREAMS)
        ]
        gone_on = sum(await asyncio.gather(*streams))
        begun = sum(await asyncio.gather(*new))
        return record.finish(
            gone_on * 2 < begun,
            f"{gone_on} of {_STREAMS} streams that were taken up went on, "
            f"{begun} of {_STREAMS} new ones began (LOST wants half as many)",
        )
    finally:
        await platform.stop()


if __name__ == "__main__":
    run_case(__file__, case)

"""A worker answers streams with bytes that have no end.

With VARIANT=foreign it is one answer, which names another attempt; with
VARIANT=extra it is answers without end, which name another attempt.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins import (
    TROUBLE,
    Platform,
    Record,
    Requester,
    Run,
    Worker,
    answer_stream,
    message,
    run_case,
    status_line,
)

_REQUESTERS = 40
_VARIANT = os.environ.get("VARIANT", "")
_ENDLESS = 1 if _VARIANT else 3
# A third of the 1,000 Mbit/s of a machine's link.
_BYTES_PER_S = 40_000_000
_WORK_S = 0.6
_CHUNK = 65_536
_DEADLINE_MS = 15_000
_LOAD_S = 22.0


async def answer_without_end(
    worker: Worker, run: Run, writer: asyncio.StreamWriter
) -> bool:
    """Sends bytes that are no event until the caller closes."""
    if not run.attempt.startswith("endless"):
        return await answer_stream(worker, run, writer)
    headers = worker.answer_headers(run) | {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    if _VARIANT:
        headers["X-Crowwinch-Attempt-Id"] = "another"
    lines = [status_line(200), *(f"{n}: {v}" for n, v in headers.items())]
    piece = b"%x\r\n%s\r\n" % (_CHUNK, b"x" * _CHUNK)
    if _VARIANT == "extra":
        del headers["Transfer-Encoding"]
        answer = message(status_line(200), headers, b"x")
        piece = answer * (_CHUNK // len(answer))
    else:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    loop = asyncio.get_running_loop()
    started, sent = loop.time(), 0
    while True:
        writer.write(piece)
        await writer.drain()
        sent += len(piece)
        await asyncio.sleep(max(started + sent / _BYTES_PER_S - loop.time(), 0))


async def case(record: Record) -> int:
    """Plays the case."""
    platform = Platform(record, machines=2)
    try:
        for number in range(2):
            desk = await platform.add(f"desk-{number}", "desk")
            desk.work_s = _WORK_S
        behaviour = answer_without_end if TROUBLE else answer_stream
        await platform.add("llm-0", "llm", behaviour=behaviour)
        await platform.start()
        return await _play(platform, record)
    finally:
        await platform.stop()


async def _play(platform: Platform, record: Record) -> int:
    loop = asyncio.get_running_loop()
    end = loop.time() + _LOAD_S
    lost: list[str] = []
    machine = platform.machines[0]
    load = [
        asyncio.ensure_future(
            Requester(record, machine).repeat(
                "/desk/order", f"order-{number}", end, lost
            )
        )
        for number in range(_REQUESTERS)
    ]
    await asyncio.sleep(3.5)
    await asyncio.gather(
        *load,
        *(
            Requester(record, machine).ask(
                "/plan/menu", f"endless-{number}", deadline_ms=_DEADLINE_MS
            )
            for number in range(_ENDLESS)
        ),
    )
    runs = platform.runs()
    accepted = [attempt for attempt in lost if attempt in runs]
    record.note("lost", ", ".join(accepted))
    return record.finish(
        len(accepted) > 3,
        f"{len(accepted)} requests of kept connections were run by sound "
        f"workers and their connections closed without an answer (LOST allows "
        f"3); the gateway ended {machine.ends} times for its memory",
    )


if __name__ == "__main__":
    run_case(__file__, case)

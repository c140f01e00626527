"""Streams are taken up after most routers were killed, during a release."""

import asyncio
import pathlib
import re
import signal
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent))

from deployment_3 import (  # noqa: E402
    BROKEN,
    HELD,
    Answer,
    Connection,
    Deployment,
    Engine,
    Record,
    Router,
    route,
    run_case,
)

_ROUTERS = 8
# "share (.6) are killed at once"
_KILLED = 5
_STREAMS_PER_ROUTER = 6
# "More than two streams hold events from workers of two software versions"
_MAX_MIXED = 2
_DEADLINE_MS = 15_000
_TIMEOUT_MS = 8_000
# Times after the first stream.
_RELEASED_AT_S = 0.8
_KILLED_AT_S = 6.0
_TAKE_UP_DELAY_S = 0.3
_VERSION = re.compile(rb"data: \d+ of (v\d)")
_ID = re.compile(rb"^id: (\d+)\n", re.M)


def _versions(body: bytes) -> list[str]:
    """Returns the versions whose events a stream holds, in their order."""
    return list(dict.fromkeys(m.decode() for m in _VERSION.findall(body)))


def _key(router: Router) -> str:
    """Returns the key of the tenant whose requesters come to a router."""
    return f"key-{router.index}"


async def _use(
    deployment: Deployment, router: Router, survivor: Router
) -> tuple[Answer, Answer | None]:
    """Asks for a stream, and takes it up at another router if it breaks."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    connection = Connection(deployment, router)
    headers = {"X-Api-Key": _key(router)}
    first = await connection.ask(
        "/chat/a", "first", deadline_ms=_DEADLINE_MS, headers=headers
    )
    if first.is_whole or not first.body:
        return first, None
    await asyncio.sleep(_TAKE_UP_DELAY_S)
    left_ms = _DEADLINE_MS - int((loop.time() - began) * 1000)
    again = await Connection(deployment, survivor).ask(
        "/chat/a",
        "again",
        deadline_ms=left_ms,
        headers=headers
        | {
            "Last-Event-Id": _ID.findall(first.body)[-1].decode(),
            "Resumes": first.attempt,
        },
    )
    return first, again


async def case(record: Record, has_trouble: bool) -> int:
    """Plays the case."""
    deployment = Deployment(record, _ROUTERS)
    try:
        old = deployment.add_worker(Engine, "i-old", "triage-llm", slots=64)
        old.events, old.event_s = 40, 0.18
        deployment.configure(
            [
                route(
                    "chat",
                    "streaming",
                    "triage-llm",
                    StreamResume=True,
                    TimeoutMs=_TIMEOUT_MS,
                )
            ],
            [
                {
                    "Name": "triage-llm",
                    "MaxConnections": 370,
                    "Engine": {"Slots": 64, "KvCapacity": 431002},
                }
            ],
            keys=[_key(router) for router in deployment.routers],
        )
        await deployment.start()
        # The routers have followed the store for longer than a stream lasts.
        await asyncio.sleep(12.0)
        victims = deployment.routers[:_KILLED]
        survivors = deployment.routers[_KILLED:]
        streams = [
            asyncio.ensure_future(
                _use(deployment, router, survivors[number % len(survivors)])
            )
            for router in victims
            for number in range(_STREAMS_PER_ROUTER)
        ]
        began = record.now()
        await asyncio.sleep(_RELEASED_AT_S)
        new = deployment.add_worker(Engine, "i-new", "triage-llm", slots=64)
        new.version, new.events, new.event_s = "v2", 40, 0.1
        await new.start()
        deployment.register(new)
        await asyncio.sleep(0.3)
        old.extra_headers["Server-Leaving"] = "1"
        deployment.store.delete("servers/i-old")
        record.write("worker i-new serves, the entry of i-old is removed")
        await asyncio.sleep(began + _KILLED_AT_S - record.now())
        if has_trouble:
            record.write(f"{len(victims)} routers are killed")
            for router in victims:
                router.signal(signal.SIGKILL)
        mixed = 0
        for first, again in await asyncio.gather(*streams):
            body = first.body + (again.body if again is not None else b"")
            is_mixed = len(_versions(body)) > 1
            mixed += is_mixed
            record.write(
                f"{first.attempt}: taken up: "
                f"{again.status if again is not None else 'no'}, "
                f"{_versions(body)}"
            )
        record.write(f"result: streams with events of two versions: {mixed}")
        return BROKEN if mixed > _MAX_MIXED else HELD
    finally:
        await deployment.stop()


if __name__ == "__main__":
    run_case(str(_FOLDER), case)

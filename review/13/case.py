"""Streams of a route that is split over services are taken up after a kill."""

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
    NotRunError,
    Record,
    Router,
    route,
    run_case,
)

_ROUTERS = 8
# The route is split evenly over services, each with software of its own.
_SERVICES = {"triage-a": "v4", "triage-b": "v7", "triage-c": "v12"}
_WORKERS_EACH = 2
_STREAMS = 72
_MIN_TAKEN_UP = 12
# "the share that goes on is under half of the share of new streams that begin"
_MIN_SHARE = 0.5
_DEADLINE_MS = 12_000
_KILLED_AT_S = 2.0
_TAKE_UP_DELAY_S = 0.3
_LAST_ID = re.compile(rb"^id: (\d+)\n", re.M)


async def _use(
    deployment: Deployment, router: Router, other: Router
) -> tuple[Answer, Answer | None]:
    """Asks for a stream, and takes it up at another router if it breaks."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    first = await Connection(deployment, router).ask(
        "/chat/a", "first", deadline_ms=_DEADLINE_MS
    )
    if first.is_whole or not first.body:
        return first, None
    await asyncio.sleep(_TAKE_UP_DELAY_S)
    left_ms = _DEADLINE_MS - int((loop.time() - began) * 1000)
    again = await Connection(deployment, other).ask(
        "/chat/a",
        "again",
        deadline_ms=left_ms,
        headers={
            "Last-Event-Id": _LAST_ID.findall(first.body)[-1].decode(),
            "Resumes": first.attempt,
        },
    )
    return first, again


def _build(record: Record) -> Deployment:
    deployment = Deployment(record, _ROUTERS)
    for service, version in _SERVICES.items():
        for number in range(_WORKERS_EACH):
            engine = deployment.add_worker(
                Engine, f"i-{service}-{number}", service, slots=64
            )
            engine.version = version
            engine.events, engine.event_s = 40, 0.1
    split = [{"Service": name, "Weight": 1.0} for name in _SERVICES]
    deployment.configure(
        [
            route(
                "chat",
                "streaming",
                "",
                StreamResume=True,
                TrafficSplit=split,
            )
        ],
        [
            {
                "Name": name,
                "MaxConnections": 370,
                "Engine": {"Slots": 64, "KvCapacity": 431002},
            }
            for name in _SERVICES
        ],
    )
    return deployment


async def case(record: Record, has_trouble: bool) -> int:
    """Plays the case."""
    deployment = _build(record)
    try:
        await deployment.start()
        # All routers are in touch.
        await asyncio.sleep(3.0)
        killed, *others = deployment.routers
        streams = [
            asyncio.ensure_future(
                _use(deployment, killed, others[number % len(others)])
            )
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(_KILLED_AT_S)
        if has_trouble:
            record.write("router 0 is killed")
            killed.signal(signal.SIGKILL)
        new = [
            asyncio.ensure_future(
                deployment.ask(
                    others[number % len(others)],
                    "/chat/a",
                    "new",
                    deadline_ms=_DEADLINE_MS,
                )
            )
            for number in range(_STREAMS)
        ]
        results = await asyncio.gather(*streams)
        begun = [each for each in await asyncio.gather(*new) if each.body]
        taken_up = [again for _, again in results if again is not None]
        gone_on = [
            again for again in taken_up if again.body and again.status == 200
        ]
        record.write(
            f"result: streams taken up: {len(taken_up)}, that go on: "
            f"{len(gone_on)}; new streams: {len(new)}, that begin: {len(begun)}"
        )
        if not has_trouble:
            return HELD if not taken_up else BROKEN
        if len(taken_up) < _MIN_TAKEN_UP:
            raise NotRunError("too few streams were taken up")
        share = len(gone_on) / len(taken_up)
        new_share = len(begun) / len(new)
        return BROKEN if share < _MIN_SHARE * new_share else HELD
    finally:
        await deployment.stop()


if __name__ == "__main__":
    run_case(str(_FOLDER), case)

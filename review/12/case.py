"""Streams go on at a worker that has started again with other software."""

import asyncio
import pathlib
import re
import sys

_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_FOLDER.parent))

from deployment_3 import (  # noqa: E402
    BROKEN,
    HELD,
    Answer,
    Deployment,
    Engine,
    NotRunError,
    Record,
    route,
    run_case,
)

_ROUTERS = 3
_STREAMS = 6
# "More than two streams hold events from workers of two software versions"
_MAX_MIXED = 2
# Worker processes are replaced one after the other, in place.
_DOWN_S = 0.8
_REPLACE_INTERVAL_S = 0.4
# Short requests of the same service before, one after the other.
_SHORT_REQUESTS = 30
_OUTAGE_S = 4.5
_HEADERS = {
    "X-Crowwinch-Model": "m",
    "X-Crowwinch-Token-Count": "826,294",
    "X-Crowwinch-Prefix-Hash": "5c1e07a2:198,91bd3f06:628",
}
_VERSION = re.compile(rb"data: \d+ of (v\d)")


def _versions(answer: Answer) -> list[str]:
    """Returns the versions whose events a stream holds, in their order."""
    found: list[str] = []
    for match in _VERSION.findall(answer.body):
        if match.decode() not in found:
            found.append(match.decode())
    return found


async def _roll(
    deployment: Deployment, engines: list[Engine], has_outage: bool
) -> None:
    """Replaces workers in place while the store is away."""
    for engine in engines:
        await asyncio.sleep(_REPLACE_INTERVAL_S)
        await engine.restart(_DOWN_S, "v2")
        if not has_outage:
            deployment.register(engine)


async def case(record: Record, has_trouble: bool) -> int:
    """Plays the case."""
    deployment = Deployment(record, _ROUTERS)
    try:
        for number in range(2):
            deployment.add_worker(
                Engine, f"i-llm-{number}", "triage-llm", slots=64
            )
        deployment.configure(
            [
                route(
                    "chat",
                    "streaming",
                    "triage-llm",
                    StreamResume=True,
                    SessionAffinity=True,
                ),
                route("tag", "streaming", "triage-llm", SessionAffinity=True),
            ],
            [
                {
                    "Name": "triage-llm",
                    "MaxConnections": 370,
                    "Engine": {"Slots": 64, "KvCapacity": 431002},
                }
            ],
        )
        await deployment.start()
        router = deployment.routers[0]
        for _ in range(_SHORT_REQUESTS):
            await deployment.ask(router, "/tag/a", "tag", headers=_HEADERS)
        for worker in deployment.workers:
            worker.runs.clear()
        streams = []
        for _ in range(_STREAMS):
            streams.append(
                asyncio.ensure_future(
                    deployment.ask(router, "/chat/a", "chat", headers=_HEADERS)
                )
            )
            await asyncio.sleep(0.15)
        used = [each for each in deployment.workers if each.runs]
        if len(used) != 1:
            raise NotRunError("the streams did not begin at one worker")
        others = [each for each in deployment.workers if each not in used]
        # Both have the same software when the store goes away.
        deployment.register(used[0])
        await asyncio.sleep(0.2)
        if has_trouble:
            record.write("the store goes away")
            await deployment.store.stop()
        rolling = asyncio.ensure_future(
            _roll(deployment, [*others, *used], has_trouble)
        )
        await asyncio.sleep(_OUTAGE_S)
        await rolling
        if has_trouble:
            await deployment.store.start()
            record.write("the store is back")
            for worker in deployment.workers:
                deployment.register(worker)
        answers = await asyncio.gather(*streams)
        mixed = [each for each in answers if len(_versions(each)) > 1]
        for each in answers:
            record.write(
                f"{each.attempt}: status {each.status}, "
                f"{'whole' if each.is_whole else 'cut'}, {_versions(each)}"
            )
        record.write(
            f"result: streams with events of two versions: "
            f"{len(mixed)} of {len(answers)}"
        )
        return BROKEN if len(mixed) > _MAX_MIXED else HELD
    finally:
        await deployment.stop()


if __name__ == "__main__":
    run_case(str(_FOLDER), case)

"""All machines are stopped and started in turn; streams are taken up again."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stage_2 import TROUBLE, Fleet, Record, Router, Worker, run  # noqa: E402
from streams_2 import Requesters, stream  # noqa: E402

_ROUTERS = 8
_STREAMS_PER_S = 16.0
_CALM_S = 4.0
_GAP_S = 1.0
_RESTART_S = 0.5
_LENGTH_S = 26.0
_MIN_TAKE_UPS = 12
_GRACE_S = 8.0


async def _roll(fleet: Fleet) -> None:
    """Stops and starts each machine in turn."""

    async def restart(router: Router) -> None:
        router.signal(signal.SIGTERM)
        end = time.monotonic() + _GRACE_S
        while router.exit_code is None:
            if time.monotonic() > end:
                router.signal(signal.SIGKILL)
            await asyncio.sleep(0.05)
        await asyncio.sleep(_RESTART_S)
        router.start()

    restarts = []
    for router in fleet.routers:
        restarts.append(asyncio.ensure_future(restart(router)))
        await asyncio.sleep(_GAP_S)
    await asyncio.gather(*restarts)


async def _play(record: Record) -> bool:
    async with Fleet(record, _ROUTERS) as fleet:
        workers = [
            Worker(
                fleet.store,
                record,
                f"i-{number}",
                "triage",
                stream,
                f"v{1 + number % 2}",
            )
            for number in range(6)
        ]
        await fleet.start(*workers)
        await asyncio.sleep(2.5)
        requesters = Requesters(fleet, record)
        watches = [
            asyncio.ensure_future(requesters.watch(number))
            for number in range(_ROUTERS)
        ]
        asks = []
        rolling = None
        started = time.monotonic()
        for number in range(int(_LENGTH_S * _STREAMS_PER_S)):
            due = started + number / _STREAMS_PER_S
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            asks.append(asyncio.ensure_future(requesters.ask(number)))
            if TROUBLE and rolling is None and due - started >= _CALM_S:
                rolling = asyncio.ensure_future(_roll(fleet))
        await asyncio.gather(*asks)
        if rolling is not None:
            await rolling
        for watch in watches:
            watch.cancel()
        begun, taken_up, going_on = requesters.judge()
        if not TROUBLE:
            return taken_up > 0 or begun < 0.99
        if taken_up < _MIN_TAKE_UPS:
            raise RuntimeError(f"only {taken_up} streams were taken up")
        return going_on / taken_up < begun / 2


run(str(HERE), _play)

"""One run of the soak from a seed."""

import asyncio
import pathlib
import random
import shutil
import time
from dataclasses import dataclass

from tests.platform_fleet import KEY
from tests.soak._crowds import Crowds
from tests.soak._faults import Faults
from tests.soak._fleet import SoakFleet, version_key
from tests.soak._load import KINDS, Load, open_session
from tests.soak._promises import Promises

_FEW_ROUTERS = 4
_MANY_ROUTERS = 12
_CONFIG_APPLY_S = 2.0
_RECOVERY_S = 12.0
_WATCH_PERIOD_S = 0.1
_PROBE_PERIOD_S = 0.1


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one run.

    Attributes:
        seed: Seed of its faults and its load.
        served: Requests that were answered with success.
        asked: Requests that were sent.
        broken: One line for each broken promise.
        journal: What was done to the fleet, with Unix times.
    """

    seed: int
    served: int
    asked: int
    broken: list[str]
    journal: list[str]


class Soak:
    """Runs a fleet under load and faults and checks what callers see."""

    def __init__(self, seed: int, seconds: float) -> None:
        """Stores the plan.

        An odd seed has planned work only. Each fourth seed plays a fleet in
        which most routers hear of changes from a few readers of the store. Each
        third seed sends crowds to routers with little processor time.
        """
        self._seed = seed
        self._routers = _MANY_ROUTERS if seed % 4 == 0 else _FEW_ROUTERS
        self._seconds = seconds
        self._only_planned = seed % 2 == 1
        self._has_crowds = seed % 3 == 0
        self._is_over = False
        self._stale: list[str] = []

    def play(self, kept: pathlib.Path | None = None) -> Result:
        """Plays the run and returns its outcome.

        Args:
            kept: Folder for the logs of a run that broke a promise.
        """
        fleet = SoakFleet(self._routers)
        try:
            fleet.start()
            result = asyncio.run(self._play(fleet))
            if result.broken and kept is not None:
                shutil.copytree(fleet.path, kept / f"seed-{self._seed}")
            return result
        finally:
            fleet.stop()

    async def _play(self, fleet: SoakFleet) -> Result:
        rng = random.Random(self._seed)
        load = Load(fleet, random.Random(self._seed))
        faults = Faults(fleet, rng)
        running = [
            asyncio.ensure_future(load.run()),
            asyncio.ensure_future(self._watch(fleet)),
            asyncio.ensure_future(self._probe(fleet, load, faults)),
        ]
        crowds = Crowds(fleet, load, random.Random(self._seed))
        if self._has_crowds:
            running.append(asyncio.ensure_future(crowds.run(self._seconds)))
        await faults.run(self._seconds, only_planned=self._only_planned)
        unserved = await self._recover(load)
        self._is_over = True
        load.stop()
        await asyncio.gather(*running)
        promises = Promises(
            fleet, faults, load.records, crowds.records, load.streams
        )
        broken = promises.broken()
        broken += self._stale
        if unserved:
            broken.append(f"not served again after the faults: {unserved}")
        served = sum(record.status == 200 for record in load.records)
        return Result(
            self._seed,
            served,
            len(load.records),
            broken,
            sorted(faults.journal + crowds.journal),
        )

    async def _watch(self, fleet: SoakFleet) -> None:
        while not self._is_over:
            fleet.note_ended_routers()
            await asyncio.sleep(_WATCH_PERIOD_S)

    async def _probe(
        self, fleet: SoakFleet, load: Load, faults: Faults
    ) -> None:
        """Asks calm routers with the keys of the last two versions."""
        async with open_session() as session:
            while not self._is_over:
                await asyncio.sleep(_PROBE_PERIOD_S)
                if len(faults.versions) < 2:
                    continue
                before, last = faults.versions[-2:]
                index = len(load.records) % self._routers
                for version, allowed in ((before, False), (last, True)):
                    key = version_key(version.number)
                    record = await load.ask(session, index, "look", key)
                    is_settled = (
                        record.start > last.since + _CONFIG_APPLY_S
                        and faults.versions[-1] is last
                        and all(
                            fleet.is_calm(part, last.since, record.end)
                            for part in (f"router-{index}", "store")
                        )
                    )
                    if is_settled and record.accepts_key is (not allowed):
                        self._stale.append(
                            f"version {last} is not in force: {record}"
                        )

    async def _recover(self, load: Load) -> set[tuple[int, str]]:
        """Returns what is not served at the end of the time for recovery."""
        start = len(load.records)
        end = time.monotonic() + _RECOVERY_S
        missing = {
            (index, kind) for index in range(self._routers) for kind in KINDS
        }
        while missing and time.monotonic() < end:
            await asyncio.sleep(_WATCH_PERIOD_S)
            missing -= {
                (record.router, record.kind)
                for record in load.records[start:]
                if record.status == 200 and record.key == KEY
            }
        return missing

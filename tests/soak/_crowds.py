"""Crowds on new connections at routers with little processor time."""

import asyncio
import random
import time

from tests.crowd import ProcessorQuota
from tests.soak._fleet import SoakFleet
from tests.soak._load import KINDS, Load, Record, open_session

_SHARES = (0.15, 0.5)
_PER_S = 250.0
# The deadline of plain services on the operators' platform.
_PATIENCE_S = 1.5
_LONGEST_S = 2.5
_LONGEST_PAUSE_S = 2.0


class Crowds:
    """Sends crowds to one router after the other."""

    def __init__(
        self, fleet: SoakFleet, load: Load, rng: random.Random
    ) -> None:
        """Stores whom to ask; nothing is sent until `run`."""
        self._fleet = fleet
        self._load = load
        self._rng = rng
        # Those of crowds during which the router got its processor time.
        self.records: list[Record] = []
        self.journal: list[str] = []

    async def run(self, seconds: float) -> None:
        """Sends crowds for some time and waits for all answers."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(0, _LONGEST_PAUSE_S))
            await self._visit(
                self._rng.randrange(len(self._fleet.routers)),
                self._rng.uniform(*_SHARES),
                self._rng.uniform(0.5, _LONGEST_S),
            )

    async def _visit(self, index: int, share: float, seconds: float) -> None:
        router = self._fleet.routers[index]
        if router is None:
            return
        self.journal.append(
            f"{time.time():.2f} router-{index} crowd for {seconds:.2f} s"
            f" with {share:.2f} of a core"
        )
        with ProcessorQuota(router, share) as quota:
            visits = []
            for _ in range(int(_PER_S * seconds)):
                visits.append(asyncio.ensure_future(self._ask(index)))
                await asyncio.sleep(1 / _PER_S)
            records = await asyncio.gather(*visits)
        if quota.was_given:
            self.records += records

    async def _ask(self, index: int) -> Record:
        """Sends a request on a connection of its own."""
        kind = self._rng.choice(tuple(KINDS))
        async with open_session(_PATIENCE_S) as session:
            return await self._load.ask(session, index, kind)

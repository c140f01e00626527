"""Faults that come in series and overlap."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.soak._fleet import DESKS, ENGINES, VERSIONS, SoakFleet

# Time until a stopped router must have ended, as on the operators' platform.
GRACE_S = 8.0
# Time until an evacuation must be in force, as on the operators' platform.
EVACUATE_S = 5.0
_DRAIN_S = 2.0
_SERVICES = dict.fromkeys(DESKS, "desk") | ENGINES
_MOST_ROUTERS_SHARE = 0.6
# Services between which the route of streams that may be taken up changes.
_PLAN_SERVICES = (("llm",), ("llm", "llm-b"))


@dataclass(frozen=True, slots=True)
class Leaving:
    """A target that left and when the store knew, in Unix seconds."""

    target: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuated zone and when the store held its item, in Unix seconds."""

    zone: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration and when the store had it, in Unix seconds."""

    number: int
    since: float


class Faults:
    """Injects random faults; each part has one fault at a time."""

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        """Stores what to disturb."""
        self._fleet = fleet
        self._rng = rng
        self._busy: set[str] = set()
        self._version = 3
        self.versions: list[Version] = []
        self.leavings: list[Leaving] = []
        self.evacuations: list[Evacuation] = []
        self.late_stops: list[str] = []
        self.journal: list[str] = []
        self._planned: tuple[Callable[[], Awaitable[None]], ...] = (
            self._stop_router,
            self._stop_router,
            self._reload_router,
            self._publish,
            self._drain_target,
            self._evacuate_zone,
        )
        self._unplanned: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill_router,
            self._kill_all_routers,
            self._kill_most_routers,
            self._freeze_router,
            self._kill_target,
            self._freeze_target,
            self._disturb_store_link,
            self._disturb_target_link,
            self._freeze_store,
            self._compact_store,
            self._restart_in_place,
            self._cut_router_off,
        )

    async def run(self, seconds: float, *, only_planned: bool) -> None:
        """Injects faults for some time and waits until all have ended."""
        kinds = self._planned + (() if only_planned else self._unplanned)
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            fault = self._rng.choice(kinds)
            tasks.append(asyncio.ensure_future(fault()))
            # Some come together, some apart.
            await asyncio.sleep(self._rng.choice((0.05, 0.3, 1.0, 1.5)))
        await asyncio.gather(*tasks)

    def _take(self, *parts: str) -> str | None:
        """Reserves one of some parts that has no fault now."""
        free = [part for part in parts if part not in self._busy]
        if not free:
            return None
        part = self._rng.choice(free)
        self._busy.add(part)
        return part

    def _log(self, part: str, what: str) -> None:
        self.journal.append(f"{time.time():.2f} {part} {what}")

    def _take_router(self) -> tuple[int, str] | None:
        part = self._take(
            *(f"router-{index}" for index in range(len(self._fleet.routers)))
        )
        return None if part is None else (int(part[7:]), part)

    async def _start_again(self, index: int, part: str, began: float) -> None:
        fleet = self._fleet
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        fleet.start_router(index)
        while not await asyncio.to_thread(fleet.is_ready, index):
            await asyncio.sleep(0.05)
        fleet.note(part, began, time.time(), "start")
        self._log(part, "ready")
        self._busy.discard(part)

    async def _stop_router(self) -> None:
        taken = self._take_router()
        if taken is None:
            return
        index, part = taken
        router = self._fleet.take_router(index)
        assert router is not None
        self._log(part, "SIGTERM")
        began = time.time()
        disturbance = self._fleet.note(part, began, float("inf"), "stop")
        router.signal(signal.SIGTERM)
        while router.handle.poll() is None:
            if time.time() - began > GRACE_S:
                self.late_stops.append(part)
                router.kill()
            await asyncio.sleep(0.05)
        if router.handle.returncode != 0:
            self.late_stops.append(f"{part}: {router.handle.returncode}")
        self._log(part, f"ended after {time.time() - began:.2f} s")
        self._fleet.end(disturbance)
        await self._start_again(index, part, began)

    async def _reload_router(self) -> None:
        taken = self._take_router()
        if taken is None:
            return
        index, part = taken
        router = self._fleet.routers[index]
        assert router is not None
        self._log(part, "SIGHUP")
        for _ in range(self._rng.randint(1, 5)):
            router.signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        self._busy.discard(part)

    async def _kill(self, index: int, part: str) -> None:
        router = self._fleet.take_router(index)
        assert router is not None
        self._log(part, "SIGKILL")
        began = time.time()
        self._fleet.note(part, began, began, "kill")
        router.kill()
        await self._start_again(index, part, began)

    async def _kill_router(self) -> None:
        if (taken := self._take_router()) is not None:
            await self._kill(*taken)

    async def _kill_all_routers(self) -> None:
        await self._kill_routers(len(self._fleet.routers))

    async def _kill_most_routers(self) -> None:
        await self._kill_routers(
            round(_MOST_ROUTERS_SHARE * len(self._fleet.routers))
        )

    async def _kill_routers(self, count: int) -> None:
        """Kills some routers at the same moment."""
        taken = [self._take_router() for _ in range(count)]
        await asyncio.gather(
            *(self._kill(*each) for each in taken if each is not None)
        )

    async def _freeze_router(self) -> None:
        taken = self._take_router()
        if taken is None:
            return
        index, part = taken
        router = self._fleet.routers[index]
        assert router is not None
        await self._hold(part, lambda: router.signal(signal.SIGSTOP), "frozen")
        router.signal(signal.SIGCONT)
        self._busy.discard(part)

    async def _hold(
        self, part: str, disturb: Callable[[], None], what: str
    ) -> None:
        """Disturbs a part for a while; the caller undoes it at once after."""
        disturbance = self._fleet.note(part, time.time(), float("inf"), what)
        seconds = self._rng.uniform(0.2, 4.0)
        self._log(part, f"{what} for {seconds:.2f} s")
        disturb()
        await asyncio.sleep(seconds)
        self._fleet.end(disturbance)

    async def _kill_target(self) -> None:
        name = self._take(*_SERVICES)
        if name is None:
            return
        self._log(name, "SIGKILL")
        began = time.time()
        disturbance = self._fleet.note(name, began, float("inf"), "kill")
        self._end_target(name)
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        await asyncio.to_thread(self._fleet.start_target, name, _SERVICES[name])
        self._fleet.end(disturbance)
        self._busy.discard(name)

    def _end_target(self, name: str) -> None:
        target = self._fleet.targets[name]
        target.kill()
        assert target.handle.stdout is not None
        target.handle.stdout.close()

    async def _drain_target(self) -> None:
        """A planned end, announced or not, and a new start."""
        name = self._take(*_SERVICES)
        if name is None:
            return
        fleet = self._fleet
        if self._rng.random() < 0.5:
            self._log(name, "draining")
            await asyncio.to_thread(
                fleet.register, name, _SERVICES[name], "draining", time.time()
            )
        else:
            self._log(name, "removed")
            await asyncio.to_thread(fleet.delete, f"servers/{name}")
        since = time.time()
        await asyncio.sleep(_DRAIN_S + self._rng.uniform(1.0, 2.0))
        self.leavings.append(Leaving(name, since, time.time()))
        await asyncio.to_thread(fleet.delete, f"servers/{name}")
        # Streams that began before its leaving have ended by now.
        self._end_target(name)
        version = self._rng.choice(VERSIONS)
        await asyncio.to_thread(
            fleet.start_target, name, _SERVICES[name], version
        )
        self._log(name, f"started, {version}")
        self._busy.discard(name)

    async def _evacuate_zone(self) -> None:
        """Empties a zone for longer than the bound, and takes it back."""
        part = self._take(*(f"zone {zone}" for zone in self._fleet.zones))
        if part is None:
            return
        zone = part.removeprefix("zone ")
        key = f"op/evacuate/{zone}"
        await asyncio.to_thread(self._fleet.put, key, b"{}")
        since = time.time()
        self._log(part, "evacuated")
        await asyncio.sleep(EVACUATE_S + self._rng.uniform(0.5, 2.0))
        self.evacuations.append(Evacuation(zone, since, time.time()))
        await asyncio.to_thread(self._fleet.delete, key)
        self._log(part, "taken back")
        self._busy.discard(part)

    async def _restart_in_place(self) -> None:
        """Ends an engine; another version starts at its address."""
        name = self._take(*ENGINES)
        if name is None:
            return
        version = self._rng.choice(VERSIONS)
        self._log(name, f"restart in place, {version}")
        began = time.time()
        disturbance = self._fleet.note(name, began, float("inf"), "restart")
        self._end_target(name)
        await asyncio.to_thread(
            self._fleet.restart_in_place, name, _SERVICES[name], version
        )
        self._fleet.end(disturbance)
        self._busy.discard(name)

    async def _cut_router_off(self) -> None:
        """Cuts a router off from the store and from all others."""
        taken = self._take_router()
        if taken is None:
            return
        index, part = taken
        await self._hold(
            part, lambda: self._fleet.cut_off(index, is_cut=True), "cut off"
        )
        self._fleet.cut_off(index, is_cut=False)
        self._busy.discard(part)

    async def _freeze_target(self) -> None:
        name = self._take(*_SERVICES)
        if name is None:
            return
        target = self._fleet.targets[name]
        await self._hold(name, lambda: target.signal(signal.SIGSTOP), "frozen")
        target.signal(signal.SIGCONT)
        self._busy.discard(name)

    async def _disturb_link(self, link: str, part: str) -> None:
        fleet = self._fleet
        how = self._rng.choice(("cut", "forward", "back", "delayed", "closed"))
        ways = ["forward", "back"] if how == "cut" else [how]
        delay = self._rng.uniform(0.05, 0.4)

        def disturb() -> None:
            if how == "delayed":
                fleet.delay(link, delay)
            elif how == "closed":
                fleet.close(link, is_closed=True)
            else:
                fleet.cut(link, ways)

        await self._hold(part, disturb, f"link {how}")
        fleet.delay(link, 0.0)
        fleet.close(link, is_closed=False)
        fleet.cut(link, [])

    async def _disturb_store_link(self) -> None:
        taken = self._take_router()
        if taken is not None:
            index, part = taken
            await self._disturb_link(f"store-{index}", part)
            self._busy.discard(part)

    async def _disturb_target_link(self) -> None:
        name = self._take(*_SERVICES)
        if name is not None:
            await self._disturb_link(name, name)
            self._busy.discard(name)

    async def _freeze_store(self) -> None:
        if self._take("store") is None:
            return
        store = self._fleet.store
        await self._hold(
            "store", lambda: store.signal(signal.SIGSTOP), "frozen"
        )
        store.signal(signal.SIGCONT)
        self._busy.discard("store")

    async def _compact_store(self) -> None:
        if self._take("store") is None:
            return
        self._log("store", "history lost")
        now = time.time()
        self._fleet.note("store", now, now, "history lost")
        await asyncio.to_thread(self._fleet.compact)
        self._busy.discard("store")

    async def _publish(self) -> None:
        self._version += self._rng.randint(1, 3)
        number = self._version
        services = self._rng.choice(_PLAN_SERVICES)
        since = await asyncio.to_thread(self._fleet.publish, number, services)
        self._log("store", f"version {number}, {', '.join(services)}")
        self.versions.append(Version(number, since))

"""Callers, routers and fake targets on a manual clock."""

import asyncio
import selectors
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

from crowwinch.coordination import (
    ManualClock,
    TimerService,
    identifier,
)
from crowwinch.errors import RefusalError
from crowwinch.scheduling import Dispatcher, SlotOutcome, SlotRequest
from measurements._arrivals import Request
from measurements._meters import (
    GapMeter,
    StarvationMeter,
    UtilisationMeter,
    WorstGap,
)
from measurements._scenarios import Fault, Pool, Scenario
from measurements._targets import Attempt, FakeTarget

# Default of the setting `request_timeout_s`.
_REQUEST_TIMEOUT = 600.0
# A streaming target reports what it served at this interval.
_PROGRESS_PERIOD = 0.5
# A caller whose connection broke sends its request again after this time.
_REPEAT_DELAY = 0.1


class ClockSelector(selectors.SelectSelector):
    """Moves the clock to the next timer whenever the event loop is idle."""

    def __init__(self, clock: ManualClock, timers: TimerService) -> None:
        """Takes the clock and the timers that it drives."""
        super().__init__()
        self._clock = clock
        self._timers = timers

    def select(self, timeout: float | None = None) -> list:
        """Runs the next timers instead of waiting for input."""
        if timeout is None or timeout > 0:
            due = self._timers.next_due()
            if due is None:
                raise RuntimeError("nothing is left to run")
            self._clock.move_to(max(due, self._clock.monotonic()))
            self._timers.run_due()
        return []


class Policy(Protocol):
    """A way to give out slots."""

    name: str
    latency: float
    wants_progress: bool
    outlives_routers: bool

    def start(self, world: "World") -> None:
        """Creates the dispatchers."""

    def dispatcher(self, router: int) -> Dispatcher:
        """Returns the dispatcher of a router."""

    def on_fault(self, fault: Fault, active: bool) -> None:
        """Learns that a fault starts or ends."""


class World:
    """One run of one policy."""

    target_class = FakeTarget

    def __init__(
        self, scenario: Scenario, requests: list[Request], policy: Policy
    ) -> None:
        """Prepares a run."""
        self.scenario = scenario
        self.snapshot = scenario.snapshot()
        self.policy = policy
        self.clock = ManualClock(0.0, 1_000_000_000.0)
        self.timers = TimerService(self.clock)
        self.gap = GapMeter(
            {n: each.weight for n, each in self.snapshot.workspaces.items()}
        )
        self.utilisation = UtilisationMeter()
        self._gaps_before_recovery: dict[int, WorstGap] = {}
        self.starvation = StarvationMeter(scenario.starvation_window)
        self.answers: Counter[int] = Counter()
        self.started: Counter[int] = Counter()
        self.completed: Counter[int] = Counter()
        self.withdrawn: set[int] = set()
        self.unknown: set[int] = set()
        self.alive = [True] * scenario.routers
        self._requests = requests
        self._waiting: Counter[tuple[int, int]] = Counter()
        self._running: Counter[tuple[int, int]] = Counter()
        self._not_started: dict[int, Request] = {}
        self._backlogged: set[tuple[int, int]] = set()
        self.largest_backlog = 0
        self._tasks: dict[asyncio.Task[None], tuple[Request, int]] = {}
        self.targets = self._make_targets()
        self._targets_by_region = {
            region: [
                target
                for target in self.targets.values()
                if self.snapshot.groups[target.group].region == region
            ]
            for region in scenario.regions
        }

    @property
    def now(self) -> float:
        """The time of the run in seconds."""
        return self.clock.monotonic()

    @property
    def lost(self) -> int:
        """Requests without an answer that their callers still wait for."""
        return sum(
            not self.answers[request.number]
            and request.number not in self.withdrawn
            and request.number not in self.unknown
            for request in self._requests
        )

    @property
    def doubled(self) -> int:
        """Requests answered twice, or that ran twice and must not."""
        return sum(
            self.answers[request.number] > 1
            or (not request.idempotent and self.started[request.number] > 1)
            for request in self._requests
        )

    def requests_per_second(self) -> float:
        """Returns the rate of arrivals during the burst."""
        start, end = self.scenario.burst_start, self.scenario.burst_end
        count = sum(start <= each.time < end for each in self._requests)
        return count / (end - start)

    def targets_of(self, region: str) -> list[FakeTarget]:
        """Returns the targets of a region."""
        return self._targets_by_region[region]

    def worst_gap(self, pool: Pool) -> WorstGap:
        """Returns the largest gap in the service of a pool."""
        number = identifier(pool.name)
        before = self._gaps_before_recovery.get(number, WorstGap())
        return max(before, self.gap.worst(number), key=lambda gap: gap.gap)

    def gap_after_fault(self, pool: Pool) -> WorstGap:
        """Returns the largest gap since the recovery time of the scenario."""
        return self.gap.worst(identifier(pool.name))

    def run(self) -> None:
        """Runs from the first arrival until the end of the scenario."""
        loop = asyncio.SelectorEventLoop(ClockSelector(self.clock, self.timers))
        try:
            loop.run_until_complete(self._run())
        finally:
            loop.close()

    def service_started(self, request: Request, rate: float) -> None:
        """Records that a target starts an attempt."""
        self.started[request.number] += 1
        key = (request.group, request.workspace)
        self._running[key] += 1
        self.utilisation.change(self.now, request.group, busy=1)
        self.gap.change_rate(self.now, *key, rate)
        self._set_waiting(request, False)

    def service_ended(self, request: Request, rate: float) -> None:
        """Records that a target ends an attempt."""
        key = (request.group, request.workspace)
        self._running[key] -= 1
        self.utilisation.change(self.now, request.group, busy=-1)
        self.gap.change_rate(self.now, *key, -rate)
        self._update_starvation(key)

    def slot_request(
        self, request: Request, router: int, failed: frozenset[int]
    ) -> SlotRequest:
        """Returns what a router asks the dispatcher for."""
        del router
        return SlotRequest(
            request.workspace,
            request.group,
            estimate=request.hint,
            deadline=self.now + _REQUEST_TIMEOUT,
            excluded_targets=failed,
        )

    def answered(self, request: Request, router: int, target: int) -> None:
        """Called when a target has answered completely."""

    def arrive(self, request: Request) -> None:
        """Adds a request at its time."""
        self.timers.call_later(
            max(request.time - self.now, 0.0), lambda: self._arrive(request)
        )

    def stop_router(self, router: int) -> None:
        """Breaks every connection of a router; callers repeat elsewhere."""
        self.alive[router] = False
        for task, (request, home) in list(self._tasks.items()):
            if home != router:
                continue
            task.cancel()
            self._set_waiting(request, False)
            if self.started[request.number] and not request.idempotent:
                self.unknown.add(request.number)
                continue
            self.timers.call_later(
                _REPEAT_DELAY, lambda request=request: self._arrive(request)
            )

    def _make_targets(self) -> dict[int, FakeTarget]:
        pools = {pool.name: pool for pool in self.scenario.pools}
        targets = {}
        for number, group in self.snapshot.groups.items():
            for each in group.targets:
                target = self.target_class(
                    self,
                    identifier(each.name),
                    number,
                    each.slots,
                    pools[group.name].rate,
                )
                targets[target.number] = target
        return targets

    async def _run(self) -> None:
        self.policy.start(self)
        for fault in self.scenario.faults:
            self._plan(fault)
        if self.scenario.recovery is not None:
            self.timers.call_later(self.scenario.recovery, self._recover)
        for request in self._requests:
            self.arrive(request)
        await self._sleep(self.scenario.end)
        for task, (request, _) in list(self._tasks.items()):
            if request.number in self._not_started or not self.scenario.drains:
                self.withdrawn.add(request.number)
                self._set_waiting(request, False)
                task.cancel()
        if self.scenario.drains:
            await self._sleep(self.scenario.longest_run + 1.0)
        for task in self._tasks:
            task.cancel()
        self.gap.finish(self.now)
        self.starvation.finish(self.now)
        await asyncio.sleep(0)

    async def _sleep(self, seconds: float) -> None:
        future = asyncio.get_running_loop().create_future()
        self.timers.call_later(seconds, lambda: future.set_result(None))
        await future

    def _recover(self) -> None:
        self._gaps_before_recovery = self.gap.restart(self.now)

    def _plan(self, fault: Fault) -> None:
        def change(active: bool) -> None:
            if fault.kind == "target":
                list(self.targets.values())[fault.number].set_alive(not active)
            elif fault.kind in ("router", "scheduler"):
                if active:
                    self.stop_router(fault.number)
                else:
                    self.alive[fault.number] = True
            self.policy.on_fault(fault, active)

        self.timers.call_later(fault.start, lambda: change(True))
        self.timers.call_later(fault.end, lambda: change(False))

    def _arrive(self, request: Request) -> None:
        router = request.router
        while not self.alive[router]:
            router = (router + 1) % len(self.alive)
        self._set_waiting(request, True)
        task = asyncio.get_running_loop().create_task(
            self._serve(request, router)
        )
        self._tasks[task] = (request, router)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[None]) -> None:
        del self._tasks[task]
        if not task.cancelled():
            task.result()

    async def _serve(self, request: Request, router: int) -> None:
        dispatcher = self.policy.dispatcher(router)
        failed: frozenset[int] = frozenset()
        while True:
            try:
                slot = await dispatcher.acquire(
                    self.slot_request(request, router, failed)
                )
            except RefusalError:
                self._set_waiting(request, False)
                self.answers[request.number] += 1
                return
            if not slot.is_valid():
                slot.finish(0, SlotOutcome.UNUSED)
                continue
            try:
                cost, complete = await self._attempt(
                    request, router, slot.target, slot.report_served
                )
            except asyncio.CancelledError:
                if self.policy.outlives_routers:
                    slot.finish(0, SlotOutcome.FAILED)
                raise
            if complete:
                slot.finish(cost, SlotOutcome.SERVED)
                self.answers[request.number] += 1
                self.answered(request, router, slot.target)
                return
            slot.finish(cost, SlotOutcome.FAILED)
            failed |= {slot.target}
            if cost and not request.idempotent:
                self.unknown.add(request.number)
                return
            self._set_waiting(request, True)

    async def _attempt(
        self,
        request: Request,
        router: int,
        number: int,
        report: Callable[[int], None],
    ) -> tuple[int, bool]:
        target = self.targets[number]
        attempt = Attempt(request, router)
        latency = self.policy.latency
        self.timers.call_later(latency, lambda: target.submit(attempt))

        def progress() -> None:
            if not attempt.result.done():
                report(target.served(attempt))

        timer = None
        if self.policy.wants_progress:
            timer = self.timers.call_every(_PROGRESS_PERIOD, progress)
        try:
            return await attempt.result
        except asyncio.CancelledError:
            self.timers.call_later(latency, lambda: target.cancel(attempt))
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def _set_waiting(self, request: Request, waiting: bool) -> None:
        if waiting == (request.number in self._not_started):
            return
        key = (request.group, request.workspace)
        if waiting:
            self._not_started[request.number] = request
        else:
            del self._not_started[request.number]
        change = 1 if waiting else -1
        self._waiting[key] += change
        self.utilisation.change(self.now, request.group, waiting=change)
        backlogged = self._waiting[key] > 0
        self.gap.set_backlogged(self.now, *key, backlogged)
        (self._backlogged.add if backlogged else self._backlogged.discard)(key)
        self.largest_backlog = max(self.largest_backlog, len(self._backlogged))
        self._update_starvation(key)

    def _update_starvation(self, key: tuple[int, int]) -> None:
        unserved = self._waiting[key] > 0 and not self._running[key]
        self.starvation.update(self.now, *key, unserved)


def target_slots(world: World, group: int) -> Mapping[int, int]:
    """Returns the slots of each live target of a group."""
    return {
        number: target.slots
        for number, target in world.targets.items()
        if target.group == group and target.alive
    }

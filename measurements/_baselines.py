"""Policies that crowwinch is compared with, on the same arrivals."""

import asyncio
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping

from crowwinch.scheduling import SlotOutcome, SlotRequest
from measurements._scenarios import LATENCY, Fault
from measurements._world import World, target_slots

# Weight of the newest cost in the moving average of a workspace's costs.
_NEWEST_COST_WEIGHT = 0.2


class _Slot:
    def __init__(
        self,
        target: int,
        release: Callable[[int, int, SlotOutcome], None],
    ) -> None:
        self._target = target
        self._release = release
        self._finished = False

    @property
    def target(self) -> int:
        return self._target

    def is_valid(self) -> bool:
        return not self._finished

    def report_served(self, cost: int) -> None:
        del cost

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        if not self._finished:
            self._finished = True
            self._release(self._target, cost, outcome)


class FairQueue:
    """A virtual-service queue over slots that one party sees at once.

    The estimate is charged when a slot is given and corrected at the end.
    """

    def __init__(
        self,
        weights: Mapping[int, float],
        slots: Callable[[int], Mapping[int, int]],
    ) -> None:
        """Takes the weights and a function that returns a group's slots."""
        self._weights = weights
        self._slots = slots
        self._in_use: Counter[int] = Counter()
        self._waiting: dict[
            int, dict[int, deque[tuple[SlotRequest, asyncio.Future[_Slot]]]]
        ] = defaultdict(lambda: defaultdict(deque))
        self._running: Counter[tuple[int, int]] = Counter()
        self._service: dict[tuple[int, int], float] = defaultdict(float)
        self._means: dict[tuple[int, int], float] = {}

    async def acquire(self, request: SlotRequest) -> _Slot:
        """Waits for a slot."""
        future = asyncio.get_running_loop().create_future()
        key = (request.group, request.workspace)
        queue = self._waiting[request.group][request.workspace]
        if not queue and not self._running[key]:
            floor = self._floor(request.group)
            self._service[key] = max(self._service[key], floor)
        queue.append((request, future))
        self.assign(request.group)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                future.result().finish(0, SlotOutcome.UNUSED)
            raise

    def assign(self, group: int) -> None:
        """Gives free slots to the least served workspaces."""
        while True:
            candidates = [
                (self._service[group, workspace], workspace)
                for workspace, queue in self._waiting[group].items()
                if self._drop_cancelled(queue)
            ]
            if not any(
                self._serve_first(group, workspace)
                for _, workspace in sorted(candidates)
            ):
                return

    def _serve_first(self, group: int, workspace: int) -> bool:
        queue = self._waiting[group][workspace]
        request, future = queue[0]
        free = [
            (self._in_use[number] / slots, number)
            for number, slots in self._slots(group).items()
            if self._in_use[number] < slots
            and number not in request.excluded_targets
        ]
        if not free:
            return False
        queue.popleft()
        target = min(free)[1]
        key = (group, workspace)
        charged = min(self._means.get(key, request.estimate), request.estimate)
        self._in_use[target] += 1
        self._running[key] += 1
        self._service[key] += charged / self._weights[workspace]

        def release(target: int, cost: int, outcome: SlotOutcome) -> None:
            self._in_use[target] -= 1
            self._running[key] -= 1
            error = cost - charged
            self._service[key] += error / self._weights[workspace]
            if outcome is SlotOutcome.SERVED:
                mean = self._means.get(key, float(cost))
                self._means[key] = mean + _NEWEST_COST_WEIGHT * (cost - mean)
            self.assign(group)

        future.set_result(_Slot(target, release))
        return True

    def _floor(self, group: int) -> float:
        active = [
            self._service[group, workspace]
            for workspace, queue in self._waiting[group].items()
            if queue or self._running[group, workspace]
        ]
        return min(active, default=0.0)

    @staticmethod
    def _drop_cancelled(queue: deque) -> bool:
        while queue and queue[0][1].done():
            queue.popleft()
        return bool(queue)


def _weights(world: World) -> dict[int, float]:
    return {n: each.weight for n, each in world.snapshot.workspaces.items()}


class Oracle:
    """One fair queue that sees every event of the fleet at once."""

    name = "oracle"
    latency = 0.0
    wants_progress = False
    outlives_routers = True

    def start(self, world: World) -> None:
        """Creates the queue."""
        self._world = world
        self._queue = FairQueue(
            _weights(world), lambda group: target_slots(world, group)
        )

    def dispatcher(self, router: int) -> FairQueue:
        """Returns the one queue."""
        del router
        return self._queue

    def on_fault(self, fault: Fault, active: bool) -> None:
        """Uses a target that is back at once."""
        del fault, active
        for group in self._world.snapshot.groups:
            self._queue.assign(group)


class LocalFair:
    """A fair queue at each router over a fixed part of the slots."""

    name = "local_fair"
    latency = LATENCY
    wants_progress = False
    outlives_routers = False

    def start(self, world: World) -> None:
        """Deals the slots of each group to the routers in turn."""
        self._world = world
        self._parts: dict[int, Counter[tuple[int, int]]] = {}
        for group in world.snapshot.groups:
            slots = sorted(
                number
                for number, count in target_slots(world, group).items()
                for _ in range(count)
            )
            self._parts[group] = Counter(
                (index % world.scenario.routers, number)
                for index, number in enumerate(slots)
            )
        self._queues = [
            self._new_queue(router) for router in range(world.scenario.routers)
        ]

    def dispatcher(self, router: int) -> FairQueue:
        """Returns the queue of a router."""
        return self._queues[router]

    def on_fault(self, fault: Fault, active: bool) -> None:
        """Forgets the queue of a restarted router."""
        if fault.kind in ("router", "scheduler") and not active:
            self._queues[fault.number] = self._new_queue(fault.number)
        for queue in self._queues:
            for group in self._world.snapshot.groups:
                queue.assign(group)

    def _new_queue(self, router: int) -> FairQueue:
        def slots(group: int) -> Mapping[int, int]:
            return {
                number: self._parts[group][router, number]
                for number in target_slots(self._world, group)
            }

        return FairQueue(_weights(self._world), slots)


class Fifo:
    """Sends each request at once; targets serve in order of arrival."""

    name = "fifo"
    latency = LATENCY
    wants_progress = False
    outlives_routers = False

    def start(self, world: World) -> None:
        """Starts each router at another target."""
        self._dispatchers = [
            _RoundRobin(world, router)
            for router in range(world.scenario.routers)
        ]

    def dispatcher(self, router: int) -> "_RoundRobin":
        """Returns the dispatcher of a router."""
        return self._dispatchers[router]

    def on_fault(self, fault: Fault, active: bool) -> None:
        """Keeps no state that a fault changes."""


class _RoundRobin:
    def __init__(self, world: World, start: int) -> None:
        self._world = world
        self._next: Counter[int] = Counter(
            dict.fromkeys(world.snapshot.groups, start)
        )

    async def acquire(self, request: SlotRequest) -> _Slot:
        targets = sorted(target_slots(self._world, request.group))
        usable = [
            number
            for number in targets
            if number not in request.excluded_targets
        ]
        choices = usable or targets
        choice = choices[self._next[request.group] % len(choices)]
        self._next[request.group] += 1
        return _Slot(choice, lambda target, cost, outcome: None)

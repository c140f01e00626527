"""A dispatcher for tests that serves requests in arrival order."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from crowwinch.configuration import Snapshot
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.scheduling import Slot, SlotOutcome, SlotRequest


class _FirstFreeSlot:
    def __init__(self, owner: "FirstFreeDispatcher", target: int) -> None:
        self._owner = owner
        self._target = target
        self._finished = False

    @property
    def target(self) -> int:
        return self._target

    def is_valid(self) -> bool:
        return not self._finished

    def report_served(self, cost: int) -> None:
        del cost

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        del cost, outcome
        if not self._finished:
            self._finished = True
            self._owner.release(self._target)


class FirstFreeDispatcher:
    """Assigns slots in arrival order, up to the limit of each target."""

    def __init__(self, snapshot: Callable[[], Snapshot]) -> None:
        """Reads targets and limits from the configuration in force."""
        self._snapshot = snapshot
        self._in_use: Counter[int] = Counter()
        self._waiting: deque[tuple[SlotRequest, asyncio.Future[Slot]]] = deque()

    async def acquire(self, request: SlotRequest) -> Slot:
        """Waits for a slot of the group of the request."""
        group = self._snapshot().groups.get(request.group)
        if group is None or not group.targets:
            raise RefusalError(
                RefusalReason.NO_TARGET, "the group has no target"
            )
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((request, future))
        self._assign()
        return await future

    def release(self, target: int) -> None:
        """Releases a slot."""
        self._in_use[target] -= 1
        self._assign()

    def _assign(self) -> None:
        remaining: deque[tuple[SlotRequest, asyncio.Future[Slot]]] = deque()
        while self._waiting:
            request, future = self._waiting.popleft()
            if future.done():
                continue
            target = self._free_target(request)
            if target is None:
                remaining.append((request, future))
                continue
            self._in_use[target] += 1
            future.set_result(_FirstFreeSlot(self, target))
        self._waiting = remaining

    def _free_target(self, request: SlotRequest) -> int | None:
        snapshot = self._snapshot()
        group = snapshot.groups.get(request.group)
        if group is None:
            return None
        free = [
            (self._in_use[number] / target.slots, number)
            for number, target in snapshot.targets.items()
            if target in group.targets
            and self._in_use[number] < target.slots
            and number not in request.excluded_targets
        ]
        return min(free)[1] if free else None

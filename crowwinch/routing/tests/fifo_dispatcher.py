"""A test dispatcher that grants slots in arrival order."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from crowwinch.configuration import Snapshot
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.scheduling import Slot, SlotOutcome, SlotRequest


class _FifoSlot:
    def __init__(self, dispatcher: "FifoDispatcher", target: int) -> None:
        self._dispatcher = dispatcher
        self._target = target
        self._is_finished = False

    @property
    def target(self) -> int:
        return self._target

    def is_valid(self) -> bool:
        return not self._is_finished

    def report_served(self, cost: int) -> None:
        del cost

    def finish(self, cost: int, outcome: SlotOutcome) -> None:
        del cost, outcome
        if not self._is_finished:
            self._is_finished = True
            self._dispatcher.release(self._target)


class FifoDispatcher:
    """Grants slots in arrival order, up to the slot limit of each target.

    A request whose group has no free slot does not block later requests.
    """

    def __init__(self, snapshot: Callable[[], Snapshot]) -> None:
        """Initializes the dispatcher.

        Args:
            snapshot: Returns the current configuration.
        """
        self._snapshot = snapshot
        self._slots_in_use: Counter[int] = Counter()
        self._waiting: deque[tuple[SlotRequest, asyncio.Future[Slot]]] = deque()

    async def acquire(self, request: SlotRequest) -> Slot:
        """Waits for a slot in the group of the request.

        Raises:
            RefusalError: If the group has no target.
        """
        group = self._snapshot().groups.get(request.group)
        if group is None or not group.targets:
            raise RefusalError(
                RefusalReason.NO_TARGET, "the group has no target"
            )
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((request, future))
        self._grant_free_slots()
        return await future

    def release(self, target: int) -> None:
        """Releases one slot of a target."""
        self._slots_in_use[target] -= 1
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        remaining: deque[tuple[SlotRequest, asyncio.Future[Slot]]] = deque()
        while self._waiting:
            request, future = self._waiting.popleft()
            if future.done():
                continue
            target = self._least_used_target(request)
            if target is None:
                remaining.append((request, future))
                continue
            self._slots_in_use[target] += 1
            future.set_result(_FifoSlot(self, target))
        self._waiting = remaining

    def _least_used_target(self, request: SlotRequest) -> int | None:
        snapshot = self._snapshot()
        group = snapshot.groups.get(request.group)
        if group is None:
            return None
        candidates = [
            (self._slots_in_use[target_id] / target.slots, target_id)
            for target_id, target in snapshot.targets.items()
            if target in group.targets
            and self._slots_in_use[target_id] < target.slots
            and target_id not in request.excluded_targets
        ]
        return min(candidates)[1] if candidates else None

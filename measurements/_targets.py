"""Targets that run requests on a manual clock."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from crowwinch.coordination import Subscription
from measurements._arrivals import Request

if TYPE_CHECKING:
    from measurements._world import World


class Attempt:
    """One use of a slot of a target."""

    def __init__(self, request: Request, router: int) -> None:
        """Creates an attempt that has not reached its target."""
        self.request = request
        self.router = router
        self.started: float | None = None
        self.end: Subscription | None = None
        self.result: asyncio.Future[tuple[int, bool]] = (
            asyncio.get_running_loop().create_future()
        )


class FakeTarget:
    """Runs attempts in arrival order, each slot at a constant rate."""

    def __init__(
        self, world: "World", number: int, group: int, slots: int, rate: float
    ) -> None:
        """Starts idle."""
        self._world = world
        self.number = number
        self.group = group
        self.slots = slots
        self.rate = rate
        self.alive = True
        self.running: set[Attempt] = set()
        self.queue: deque[Attempt] = deque()
        world.utilisation.change(0.0, group, slots=slots)

    def submit(self, attempt: Attempt) -> None:
        """Takes an attempt, which fails if the target is down."""
        if attempt.result.done():
            return
        if not self.alive:
            self._report(attempt, 0, False)
            return
        self.queue.append(attempt)
        self._admit()

    def served(self, attempt: Attempt) -> int:
        """Returns the service units that an attempt received so far."""
        if attempt.started is None:
            return 0
        return int((self._world.now - attempt.started) * self.rate)

    def duration(self, request: Request) -> float:
        """Returns the seconds that a request, which starts now, will take."""
        return request.cost / self.rate

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt without an answer."""
        if attempt in self.running:
            self._stop(attempt)
            self._admit()
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def set_alive(self, alive: bool) -> None:
        """Crashes the target with all its attempts, or starts it."""
        self.alive = alive
        change = self.slots if alive else -self.slots
        if not alive:
            for attempt in sorted(
                self.running, key=lambda each: each.request.number
            ):
                served = self.served(attempt)
                self._stop(attempt)
                self._report(attempt, served, False)
            while self.queue:
                self._report(self.queue.popleft(), 0, False)
        self._world.utilisation.change(
            self._world.now, self.group, slots=change
        )

    def _admit(self) -> None:
        while self.queue and len(self.running) < self.slots:
            attempt = self.queue.popleft()
            self.running.add(attempt)
            attempt.started = self._world.now
            attempt.end = self._world.timers.call_later(
                self.duration(attempt.request),
                lambda attempt=attempt: self._complete(attempt),
            )
            self._world.service_started(attempt.request, self.rate)

    def _complete(self, attempt: Attempt) -> None:
        self._world.completed[attempt.request.number] += 1
        self._stop(attempt)
        self._report(attempt, attempt.request.cost, True)
        self._admit()

    def _stop(self, attempt: Attempt) -> None:
        if attempt.end is not None:
            attempt.end.cancel()
        self.running.remove(attempt)
        self._world.service_ended(attempt.request, self.rate)

    def _report(self, attempt: Attempt, cost: int, complete: bool) -> None:
        def deliver() -> None:
            if not attempt.result.done():
                attempt.result.set_result((cost, complete))

        self._world.timers.call_later(self._world.policy.latency, deliver)

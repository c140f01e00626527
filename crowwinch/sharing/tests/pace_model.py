"""Model of a fleet of routers in front of one target that starts.

The routers consist of the classes of the product. Only the network between
them and the target are models: updates go to 12 peers every 50 ms, and a
request that the target refuses goes to another target.
"""

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    StartPace,
    TargetLimits,
    TargetLoads,
    TargetView,
)

_STEP_S = 0.01
_UPDATE_STEPS = 5
_FAN_OUT = 12
_PATIENCE_S = 2.0
_FIRST_EVENT_S = 0.1
_REFUSED_DELAY_S = 0.005
SLOTS = 32
TARGET = TargetView("t", 1, "s", True, SLOTS, cold_start_s=10.0)


@dataclass
class _Request:
    router: "_Router"
    reservation: object
    sent_at: float
    first_at: float
    end_at: float
    has_begun: bool = False


class _Target:
    """Target with a capacity that changes.

    A target that refuses answers what it cannot hold with a refusal; another
    one lets it wait.
    """

    def __init__(self, capacity: Callable[[float], float], refuses: bool):
        self.capacity = capacity
        self.refuses = refuses
        self.running = 0
        self.waiting: deque[_Request] = deque()

    @property
    def in_flight(self):
        return self.running + len(self.waiting)


class _Router:
    def __init__(self, clock, name, is_paced, cold):
        self.name = name
        self.loads = TargetLoads(clock)
        self.pace = StartPace(clock, self.loads, cold)
        self.limits = TargetLimits([self.pace] if is_paced else [])
        # Arrival times of the waiting requests.
        self.queue: deque[float] = deque()
        self.next_peer = 0
        self.was_paced = False


@dataclass
class Outcome:
    """What the target and the callers saw until the pace ended.

    Attributes:
        overshoot: Most requests at the target beyond its capacity.
        refused: Requests that it refused.
        served: Requests that it answered.
        idle: Part of its capacity that was free while requests waited.
        reached_s: Time after which at least 0.8 of its capacity was first used.
    """

    overshoot: float = 0.0
    refused: int = 0
    served: int = 0
    idle: float = 0.0
    reached_s: float = float("inf")


class PaceModel:
    """Routers that send to one target as fast as its limits allow."""

    def __init__(
        self,
        size: int,
        capacity: Callable[[float], float],
        *,
        is_paced: bool = True,
        refuses: bool = True,
        duration_s: float = 0.5,
        per_s: float = 100.0,
        weights: Sequence[float] = (),
        cold: object = None,
    ) -> None:
        """Creates a fleet that has known its directory for a while.

        Args:
            size: Number of routers.
            capacity: Returns how many requests the target holds, by the time
                since it appeared.
            is_paced: Whether the rule is in force.
            refuses: Whether the target refuses what it cannot hold.
            duration_s: Time that a request takes.
            per_s: Requests per second of all callers.
            weights: Part of the requests at each router, all equal if empty.
            cold: Which targets are cold.
        """
        self.clock = ManualClock(100.0)
        self.rng = random.Random(size)
        self.routers = [
            _Router(self.clock, f"r{n}", is_paced, cold) for n in range(size)
        ]
        self.target = _Target(capacity, refuses)
        self.outcome = Outcome()
        self._duration_s = duration_s
        self._is_paced, self._has_ended = is_paced, False
        self._per_s = per_s
        self._weights = list(weights) or [1.0] * size
        self._requests: list[_Request] = []
        self._steps = 0
        self._due_s = 0.0
        self._possible_s = self._unused_s = 0.0
        for router in self.routers:
            names = [each.name for each in self.routers]
            router.pace.set_fleet(router.name, names)
        other = TargetView("other", 1, "s", True, SLOTS, cold_start_s=10.0)
        self._observe([other])
        self.run(5.0, is_sending=False)
        self._observe([other, TARGET])
        self.started_at = self.clock.monotonic()

    def _observe(self, targets):
        for router in self.routers:
            router.pace.observe_targets(targets)

    @property
    def age_s(self):
        return self.clock.monotonic() - self.started_at

    def run(self, seconds: float, *, is_sending: bool = True) -> Outcome:
        """Advances the model."""
        for _ in range(round(seconds / _STEP_S)):
            self.clock.move_to(self.clock.monotonic() + _STEP_S)
            self._steps += 1
            self._arrive()
            if is_sending:
                self._end_requests()
                self._start_waiting()
            if self._steps % _UPDATE_STEPS == 0:
                self._exchange()
            for router in self.routers:
                self._expire(router)
                while is_sending and router.queue and self._may_send(router):
                    router.queue.popleft()
                    self._send(router)
            if is_sending and not self._is_over():
                self._measure()
        possible = max(self._possible_s, 1e-9)
        self.outcome.idle = round(self._unused_s / possible, 3)
        return self.outcome

    def _is_over(self):
        """Returns whether the pace has ended at a router, once in force."""
        if self._is_paced and not self._has_ended:
            for router in self.routers:
                is_paced = router.pace.window(TARGET.identifier) is not None
                self._has_ended |= router.was_paced and not is_paced
                router.was_paced |= is_paced
        return self._is_paced and self._has_ended

    def _arrive(self):
        self._due_s += _STEP_S * self._per_s
        while self._due_s >= 1.0:
            self._due_s -= 1.0
            router = self.rng.choices(self.routers, self._weights)[0]
            router.pace.record_demand("s")
            router.queue.append(self.clock.monotonic())

    def _expire(self, router):
        now = self.clock.monotonic()
        while router.queue and now - router.queue[0] > _PATIENCE_S:
            router.queue.popleft()

    def _may_send(self, router):
        if router.loads.active(TARGET.identifier) >= SLOTS:
            return False
        return router.limits.allowance(TARGET).wait_s == 0.0

    def _send(self, router):
        now = self.clock.monotonic()
        reservation = router.loads.reserve(TARGET.identifier, 0.0)
        request = _Request(router, reservation, now, now, now)
        target = self.target
        capacity = target.capacity(self.age_s)
        over = target.in_flight + 1 - capacity
        if not self._is_over():
            self.outcome.overshoot = max(self.outcome.overshoot, over)
        if over > 0 and target.refuses:
            request.end_at = now + _REFUSED_DELAY_S
            request.first_at = float("inf")
            self._requests.append(request)
        else:
            target.waiting.append(request)

    def _start_waiting(self):
        target, now = self.target, self.clock.monotonic()
        while target.waiting and target.running < target.capacity(self.age_s):
            request = target.waiting.popleft()
            request.first_at = now + _FIRST_EVENT_S
            request.end_at = now + self._duration_s
            target.running += 1
            self._requests.append(request)

    def _end_requests(self):
        now = self.clock.monotonic()
        kept = []
        for request in self._requests:
            router = request.router
            if not request.has_begun and request.first_at <= now:
                request.has_begun = True
                late_s = now - request.sent_at - _FIRST_EVENT_S
                router.pace.record_first_event(
                    TARGET.identifier, late_s, now - request.sent_at
                )
            if request.end_at > now:
                kept.append(request)
                continue
            request.reservation.finish()
            if request.has_begun:
                self.target.running -= 1
                self.outcome.served += 1
            else:
                self.outcome.refused += not self._is_over()
                router.pace.record_refusal(TARGET.identifier)
        self._requests = kept

    def _exchange(self):
        for router in self.routers:
            router.loads.refresh()
            router.pace.refresh()
        size = len(self.routers)
        for position, router in enumerate(self.routers):
            uses, reports = router.loads.own_use(), router.pace.reports()
            for _ in range(min(_FAN_OUT, size - 1)):
                router.next_peer = router.next_peer % (size - 1) + 1
                peer = self.routers[(position + router.next_peer) % size]
                peer.loads.replace_peer_report(router.name, uses)
                peer.pace.merge_peer(router.name, reports)

    def _measure(self):
        capacity = self.target.capacity(self.age_s)
        running = self.target.running
        waiting = sum(len(router.queue) for router in self.routers)
        usable = min(capacity, running + waiting)
        self._possible_s += usable
        self._unused_s += max(usable - running, 0.0)
        if running >= 0.8 * capacity:
            self.outcome.reached_s = min(self.outcome.reached_s, self.age_s)

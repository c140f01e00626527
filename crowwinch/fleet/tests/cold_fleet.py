"""Simulated routers that send to cold targets, without a network.

Each router has the product's peer table and its limit on cold targets. Updates
pass through the codec and are delayed at random.
"""

import heapq
import itertools
import random
from dataclasses import dataclass

from crowwinch.coordination import ManualClock
from crowwinch.fleet import PeerTable
from crowwinch.fleet._update_codec import decode_cold, encode_cold
from crowwinch.generated.fleet_messages import FleetUpdate
from crowwinch.sharing import ColdTargets, TargetView

PER_S = 12.0
BOUND = 23
COLD_START_S = 3.0
_STEP_S = 0.01
_UPDATE_PERIOD_S = 0.05
_MAX_DELAY_S = 0.45
# Requests are under way to a target for up to this time.
_MAX_FLIGHT_S = 0.1
_SEEDS = 3


@dataclass(slots=True)
class _Arrival:
    time: float
    router: str


class SimulatedRouter:
    """One life of a router."""

    def __init__(self, fleet, name, life):
        self.fleet, self.name, self.life = fleet, name, life
        self.sequence = itertools.count()
        self.table = PeerTable(fleet.clock, name, fleet.seeds)
        self.views = {}
        self.cold = ColdTargets(fleet.clock, self.views.get)
        self.cold.set_enabled(True)
        self.frozen_until = 0.0
        self.has_just_woken = False
        self.inbox = []
        self.phase_s = fleet.rng.uniform(0.0, _UPDATE_PERIOD_S)
        self.next_tick = fleet.clock.monotonic() + self.phase_s

    def tick(self):
        """Does what `FleetService` does in each period."""
        self.cold.set_fleet(
            self.name, self.table.known_routers, self.table.is_settled
        )
        self.cold.refresh()
        destinations = self.table.take_destinations()
        if not destinations:
            return
        cold = encode_cold(self.cold.reports())
        with_members = set(self.table.take_due_for_members(destinations))
        for destination in destinations:
            members = destination in with_members
            self.fleet.post(
                self.name,
                destination,
                FleetUpdate(
                    router=self.name,
                    availability_zone="az",
                    life=self.life,
                    sequence=next(self.sequence),
                    control=self.name,
                    version=1,
                    revision=1,
                    reading="none",
                    is_leaving=False,
                    targets=[],
                    workspaces=None,
                    members=self.table.next_members() if members else [],
                    crashes=[],
                    prefixes=[],
                    cold=cold,
                ),
            )

    def receive(self, update):
        """Applies an update like `FleetService`."""
        if self.table.accept(update) and update.cold:
            self.cold.merge_peer(
                update.control, update.life, decode_cold(update.cold)
            )


class ColdFleet:
    """Routers, their updates and the arrivals at each target."""

    def __init__(self, routers, seed=1, per_s=2_000.0):
        """Starts all routers at once.

        Args:
            routers: Number of routers.
            seed: Seed of all random choices.
            per_s: Requests per second, for each target. They reach the routers
                very unevenly.
        """
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        names = [f"10.0.{n // 250}.{n % 250}:1" for n in range(routers)]
        self.rng.shuffle(names)
        self.seeds = names[:_SEEDS]
        self.per_s = per_s
        self.weights = {}
        self.routers = {}
        self.stopped = set()
        self.lives = itertools.count(1)
        # Names on one side of a partition.
        self.side = frozenset()
        # Names that neither hear others nor are heard.
        self.isolated = frozenset()
        self.in_flight = []
        self.order = itertools.count()
        self.arrivals = {}
        self.entries = {}
        for name in names:
            self.add(name)

    def add(self, name):
        """Starts a router."""
        # Two thirds of the requests reach a tenth of the routers, and a tenth
        # of the routers get none.
        rank = len(self.weights) % 10
        self.weights[name] = 0.0 if rank == 9 else 18.0 if rank == 4 else 1.0
        self.start(name)

    def start(self, name):
        """Starts a router anew, without memory."""
        self.stopped.discard(name)
        self.routers[name] = SimulatedRouter(self, name, next(self.lives))
        for target in self.arrivals:
            self._show(self.routers[name], target)

    def kill(self, name):
        """Stops a router at once."""
        self.stopped.add(name)

    def freeze(self, name, seconds):
        """Lets a router stand still; it reads its updates when it wakes."""
        router, now = self.routers[name], self.clock.monotonic()
        router.frozen_until = now + seconds
        router.has_just_woken = True
        # What it has granted but not sent arrives when it wakes.
        for arrivals in self.arrivals.values():
            for arrival in arrivals:
                if arrival.router == name and arrival.time > now:
                    arrival.time += seconds

    def post(self, sender, receiver, update):
        """Sends an update, which the partition may drop."""
        if (sender in self.side) != (receiver in self.side):
            return
        if sender in self.isolated or receiver in self.isolated:
            return
        at = self.clock.monotonic() + self.rng.uniform(0.0, _MAX_DELAY_S)
        heapq.heappush(self.in_flight, (at, next(self.order), receiver, update))

    def set_target(self, target, life, cold_s, heartbeats=1, delay_s=0.0):
        """Writes the entry of a target; each router reads it a little later."""
        self.arrivals.setdefault(target, [])
        self.entries[target] = (life, heartbeats, cold_s)
        for router in self.routers.values():
            at = self.clock.monotonic() + self.rng.uniform(0.0, delay_s)
            heapq.heappush(
                self.in_flight, (at, next(self.order), router.name, target)
            )

    def hide_target(self, target):
        """Removes a target from all directories, as an evacuation does."""
        for router in self.routers.values():
            router.views.pop(target, None)

    def _show(self, router, target):
        life, heartbeats, cold_s = self.entries[target]
        router.views[target] = TargetView(
            target,
            life,
            "llm",
            False,
            32,
            cold_start_s=COLD_START_S,
            cold_per_s=PER_S,
        )
        router.cold.observe_entry(target, life, heartbeats, cold_s)

    def run(self, seconds, sends=True):
        """Plays the fleet for a time."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            step_s = _STEP_S if sends else _UPDATE_PERIOD_S
            self.clock.move_to(self.clock.monotonic() + step_s)
            now = self.clock.monotonic()
            self._deliver(now)
            for name, router in self.routers.items():
                if name in self.stopped or router.frozen_until > now:
                    continue
                inbox, router.inbox = router.inbox, []
                if sends and router.has_just_woken:
                    # Requests that waited may be decided before the updates
                    # that arrived meanwhile are read.
                    router.has_just_woken = False
                    self._send_waiting(router)
                for message in inbox:
                    self._apply(router, message)
                if now >= router.next_tick:
                    router.next_tick += _UPDATE_PERIOD_S
                    router.next_tick = max(router.next_tick, now)
                    router.tick()
            if sends:
                self._send(now)

    def _deliver(self, now):
        while self.in_flight and self.in_flight[0][0] <= now:
            _, _, receiver, message = heapq.heappop(self.in_flight)
            if receiver in self.routers and receiver not in self.stopped:
                self.routers[receiver].inbox.append(message)

    def _apply(self, router, message):
        if isinstance(message, FleetUpdate):
            router.receive(message)
        else:
            self._show(router, message)

    def _send(self, now):
        names = list(self.weights)
        weights = list(self.weights.values())
        for target in self.arrivals:
            count = int(self.per_s * _STEP_S + self.rng.random())
            for name in set(self.rng.choices(names, weights, k=count)):
                router = self.routers[name]
                if name not in self.stopped and router.frozen_until <= now:
                    self._try_send(router, target)

    def _send_waiting(self, router):
        for target in self.arrivals:
            for _ in range(20):
                self._try_send(router, target)

    def _try_send(self, router, target):
        view = router.views.get(target)
        if view is None or router.cold.allowance(view).wait_s > 0.0:
            return
        router.cold.take(target, view.life)
        flight_s = self.rng.uniform(0.0, _MAX_FLIGHT_S)
        self.arrivals[target].append(
            _Arrival(self.clock.monotonic() + flight_s, router.name)
        )

    def most_in_a_second(self, target, start=0.0, end=float("inf")):
        """Returns the most arrivals at a target in any second of a time."""
        times = sorted(
            arrival.time
            for arrival in self.arrivals[target]
            if start <= arrival.time < end
        )
        most, first = 0, 0
        for position, time in enumerate(times):
            while times[first] < time - 1.0:
                first += 1
            most = max(most, position - first + 1)
        return most

    def count(self, target, start, end):
        """Returns the arrivals at a target in a time."""
        return sum(
            1
            for arrival in self.arrivals[target]
            if start <= arrival.time < end
        )

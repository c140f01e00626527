"""The fleet's decision classes on a fake network."""

from collections import Counter
from collections.abc import Callable
from time import perf_counter

import msgspec

from crowwinch.coordination import Subscription, TimerService, owner
from crowwinch.generated.peer_messages import (
    Demand,
    Grants,
    Registration,
    RegistrationRequest,
)
from crowwinch.scheduling import (
    DomainScheduler,
    RouterDispatcher,
    TargetReport,
)
from measurements._scenarios import (
    LATENCY,
    SCHEDULER_TIMEOUT,
    Fault,
    router_name,
)
from measurements._world import World

Message = Demand | Registration | Grants | RegistrationRequest

# Envelope, CURVE, ZMTP and TCP/IP headers of a message.
_HEADER_BYTES = 8 + 33 + 2 + 40
# Default of the setting `control_bytes_per_second`, for each direction.
_CONTROL_BYTES_PER_SECOND = 1200
_REPORT_PERIOD = 0.5
_SILENCE_CHECK_PERIOD = 0.1
# SWIM needs a probe period and the suspicion time to declare a member dead,
# and a probe period to spread that a member is back.
_DETECTION_DELAY = 3.0
_REJOIN_DELAY = 1.0


class TokenBucket:
    """Budget of control bytes that holds one second of credit."""

    def __init__(self, rate: float) -> None:
        """Starts full."""
        self._rate = rate
        self._credit = rate
        self._time = 0.0

    def allows(self, size: int, now: float) -> float:
        """Takes bytes while credit is left, else returns the wait in s."""
        gained = (now - self._time) * self._rate
        self._credit = min(self._credit + gained, self._rate)
        self._time = now
        if self._credit <= 0:
            return -self._credit / self._rate + 0.001
        self._credit -= size
        return 0.0


class RouterTimers(TimerService):
    """Timers of one life of a router, which end with it."""

    def __init__(self, shared: TimerService) -> None:
        """Takes the timers of the run."""
        super().__init__(shared.clock)
        self._shared = shared
        self.alive = True

    def call_later(
        self, delay: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls back once if the router still lives."""
        return self._shared.call_later(delay, lambda: self._call(callback))

    def call_every(
        self, period: float, callback: Callable[[], None]
    ) -> Subscription:
        """Calls back each period while the router lives."""
        return self._shared.call_every(period, lambda: self._call(callback))

    def _call(self, callback: Callable[[], None]) -> None:
        if self.alive:
            callback()


class Router:
    """One life of a router: a dispatcher and perhaps a scheduler."""

    def __init__(self, fleet: "Crowwinch", index: int) -> None:
        """Starts with a view of all live members."""
        world = fleet.world
        self._fleet = fleet
        self._world = world
        self.index = index
        self.name = router_name(index)
        self.region = world.scenario.region_of(index)
        self.timers = RouterTimers(world.timers)
        self.members: set[str] = set()
        self._suspects: set[str] = set()
        self.scheduler: DomainScheduler | None = None
        self._created = 0.0
        self.dispatcher = RouterDispatcher(
            world.clock,
            self.timers,
            lambda: world.snapshot,
            self._send_demand,
            pacing=TokenBucket(_CONTROL_BYTES_PER_SECOND),
        )
        self.timers.call_every(_SILENCE_CHECK_PERIOD, self._check_silence)
        self.timers.call_every(_REPORT_PERIOD, self._report_targets)

    def set_members(self, members: set[str]) -> None:
        """Takes over a membership view."""
        lost = self.members - members
        self.members = members
        self._suspects &= members
        if self.scheduler is not None:
            for name in sorted(lost):
                self.scheduler.remove_router(name)
        self._place()

    def rejoin(self, members: set[str]) -> None:
        """Takes over a view in which suspects have proved to be alive."""
        self._suspects.clear()
        self.set_members(members)

    def receive(self, sender: str, message: Message) -> None:
        """Passes a message to the class that it is for."""
        if isinstance(message, Demand):
            self._timed(
                lambda: self._own_scheduler().receive_demand(sender, message)
            )
        elif isinstance(message, Registration):
            self._timed(lambda: self._own_scheduler().register(sender, message))
        elif sender == self.dispatcher.scheduler:
            if isinstance(message, Grants):
                self.dispatcher.receive_grants(message)
            else:
                self._connect(sender, message.epoch)

    def _own_scheduler(self) -> DomainScheduler:
        if self.scheduler is None:
            self._created = self._world.now
            self.scheduler = DomainScheduler(
                self._world.clock,
                self.timers,
                lambda: self._world.snapshot,
                lambda name, message: self._fleet.send(
                    self.name, name, message
                ),
                lease=round(self._world.now * 1000) + 1,
                listed=lambda: len(
                    self._world.scenario.routers_of(self.region)
                ),
                pacing=lambda: TokenBucket(_CONTROL_BYTES_PER_SECOND),
                region=self.region,
            )
            self._report_targets()
        return self.scheduler

    def _place(self) -> None:
        chosen = owner(self.region, self.members - self._suspects)
        if chosen is None:
            return
        recent = self._world.now - self._created < _DETECTION_DELAY
        if chosen != self.name and self.scheduler is not None and not recent:
            self.scheduler.close()
            self.scheduler = None
        if chosen != self.dispatcher.scheduler:
            self._connect(chosen, 0)

    def _connect(self, name: str, lease: int) -> None:
        message = self.dispatcher.connect(name, lease)
        self._fleet.send(self.name, name, message)

    def _send_demand(self, message: Demand) -> None:
        name = self.dispatcher.scheduler
        if name is not None:
            self._fleet.send(self.name, name, message)

    def _check_silence(self) -> None:
        name = self.dispatcher.scheduler
        silent = self.dispatcher.silent_for() > SCHEDULER_TIMEOUT
        if silent and name is not None and name != self.name:
            self._suspects.add(name)
        self._place()

    def _report_targets(self) -> None:
        if self.scheduler is None:
            return
        for target in self._world.targets_of(self.region):
            report = TargetReport(
                target.number,
                1,
                len(target.running),
                len(target.queue),
                leaving=not target.alive,
            )
            self._timed(lambda report=report: self._report(report))

    def _report(self, report: TargetReport) -> None:
        if self.scheduler is not None:
            self.scheduler.report_target(report)

    def _timed(self, call: Callable[[], None]) -> None:
        start = perf_counter()
        call()
        self._fleet.scheduler_seconds += perf_counter() - start


class Crowwinch:
    """The fleet's own classes: one dispatcher a router, one scheduler."""

    name = "crowwinch"
    latency = LATENCY
    wants_progress = True
    outlives_routers = False

    def start(self, world: World) -> None:
        """Starts every router."""
        self.world = world
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.decisions = 0
        self.scheduler_seconds = 0.0
        self._sides: dict[str, int] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._routers = {
            router_name(index): Router(self, index)
            for index in range(world.scenario.routers)
        }
        for router in self._routers.values():
            router.set_members(self._reachable(router))

    @property
    def control_bytes(self) -> list[int]:
        """Bytes sent and received by each router during the burst."""
        return [self.bytes[name] for name in self._routers]

    def dispatcher(self, router: int) -> RouterDispatcher:
        """Returns the dispatcher of a router."""
        return self._routers[router_name(router)].dispatcher

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Delivers a message unless a fault is in the way."""
        if isinstance(message, Grants):
            self.decisions += len(message.grants)
        elif isinstance(message, Demand):
            self.decisions += len(message.reused)
        delay = 0.0
        if sender != receiver:
            delay = LATENCY
            self._count(sender, receiver, message)
        life = self._routers[receiver]

        def deliver() -> None:
            current = life is self._routers[receiver] and life.timers.alive
            if current and self._side(sender) == self._side(receiver):
                life.receive(sender, message)

        if self._side(sender) == self._side(receiver):
            self.world.timers.call_later(delay, deliver)

    def on_fault(self, fault: Fault, active: bool) -> None:
        """Applies a fault; members learn of it with SWIM's delay."""
        if fault.kind == "partition":
            half = len(self._routers) // 2
            self._sides = {
                name: int(active and index >= half)
                for index, name in enumerate(self._routers)
            }
        elif fault.kind in ("router", "scheduler"):
            name = router_name(fault.number)
            if active:
                self._routers[name].timers.alive = False
            else:
                self._routers[name] = Router(self, fault.number)
                self._routers[name].set_members(
                    self._reachable(self._routers[name])
                )
        else:
            return
        delay = _DETECTION_DELAY if active else _REJOIN_DELAY
        for index, router in enumerate(self._routers.values()):
            spread = delay * (0.5 + 0.5 * index / len(self._routers))
            router.timers.call_later(
                spread, lambda router=router: self._update(router)
            )

    def _update(self, router: Router) -> None:
        router.rejoin(self._reachable(router))

    def _reachable(self, router: Router) -> set[str]:
        return {
            name
            for name, other in self._routers.items()
            if other.timers.alive
            and other.region == router.region
            and self._side(name) == self._side(router.name)
        }

    def _side(self, name: str) -> int:
        return self._sides.get(name, 0)

    def _count(self, sender: str, receiver: str, message: Message) -> None:
        scenario = self.world.scenario
        if not scenario.burst_start <= self.world.now < scenario.burst_end:
            return
        size = len(self._encoder.encode(message)) + _HEADER_BYTES
        for name in (sender, receiver):
            self.bytes[name] += size
            self.messages[name] += 1

"""The fleet's decision classes on a fake network."""

from collections import Counter
from collections.abc import Callable
from time import process_time

from crowwinch.app._fleet_scheduling import ControlBudget
from crowwinch.coordination import LinkOptions, Subscription, TimerService
from crowwinch.generated.peer_messages import (
    Demand,
    Grants,
    Registration,
    RegistrationRequest,
)
from crowwinch.scheduling import (
    RouterDispatcher,
    SchedulingService,
    TargetReport,
)
from measurements._scenarios import (
    LATENCY,
    Fault,
    router_name,
)
from measurements._slopes_messages import ACKNOWLEDGEMENT_BYTES, linked_size
from measurements._world import World

SchedulingMessage = Demand | Registration | Grants | RegistrationRequest

# Default of the setting `control_bytes_per_second`.
_CONTROL_BYTES_PER_SECOND = 1080
# Time for a poll of a target on loopback.
_FIRST_REPORT_DELAY = 0.005
_ACKNOWLEDGE_DELAY = LinkOptions().acknowledge_delay_s + LATENCY
_REPORT_PERIOD = 1.0
# SWIM needs a probe period and the suspicion time to declare a member dead,
# and a probe period to spread that a member is back.
_DETECTION_DELAY = 3.0
_REJOIN_DELAY = 1.0


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
    """One life of a router with its membership view."""

    def __init__(self, fleet: "Crowwinch", index: int) -> None:
        """Starts with a view of itself."""
        world = fleet.world
        self._fleet = fleet
        self._world = world
        self.name = router_name(index)
        self.region = world.scenario.region_of(index)
        self.timers = RouterTimers(world.timers)
        self.members: set[str] = {self.name}
        listed = [
            router_name(each) for each in world.scenario.routers_of(self.region)
        ]
        self.service = SchedulingService(
            world.clock,
            self.timers,
            lambda: world.snapshot,
            self.name,
            round(world.clock.time() * 1000),
            self.region,
            lambda receiver, message: fleet.send(self.name, receiver, message),
            lambda: self.members,
            lambda: listed,
            suspect=self._suspect,
            pacing=lambda share: ControlBudget(
                world.clock.monotonic, _CONTROL_BYTES_PER_SECOND, share
            ),
            request_reports=lambda: self.timers.call_later(
                _FIRST_REPORT_DELAY, self._report_targets
            ),
        )
        self.timers.call_every(_REPORT_PERIOD, self._report_targets)

    def update_members(self) -> None:
        """Takes over the members that probes reach."""
        members = self._fleet.reachable(self)
        if members != self.members:
            self.members = members
            self.service.membership_changed()

    def receive(self, sender: str, message: SchedulingMessage) -> None:
        """Passes a message to the service and measures the scheduler."""
        start = process_time()
        self.service.receive(message, sender)
        if isinstance(message, Demand | Registration):
            self._fleet.scheduler_seconds += process_time() - start

    def _suspect(self, name: str) -> None:
        # A live member refutes the suspicion within a probe period.
        self.members.discard(name)

        def refute() -> None:
            if name in self._fleet.reachable(self):
                self.update_members()

        self.timers.call_later(_REJOIN_DELAY, refute)

    def _report_targets(self) -> None:
        if self.service.scheduler is None:
            return
        start = process_time()
        for target in self._world.targets_of(self.region):
            self.service.report_target(
                TargetReport(
                    target.number,
                    1,
                    len(target.running),
                    len(target.queue),
                    leaving=not target.alive,
                )
            )
        self._fleet.report_seconds += process_time() - start


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
        self.report_seconds = 0.0
        self._sides: dict[str, int] = {}
        # Time at which a router acknowledges another one by a frame without a
        # message unless a message leaves before.
        self._owed: dict[tuple[str, str], float] = {}
        self._held: list[tuple[str, Router, SchedulingMessage]] = []
        self._routers = {
            router_name(index): Router(self, index)
            for index in range(world.scenario.routers)
        }
        for router in self._routers.values():
            router.members = self.reachable(router)
            router.service.start()

    @property
    def control_bytes(self) -> list[int]:
        """Bytes sent and received by each router during the burst."""
        return [self.bytes[name] for name in self._routers]

    @property
    def control_messages(self) -> list[int]:
        """Messages sent and received by each router during the burst."""
        return [self.messages[name] for name in self._routers]

    def dispatcher(self, router: int) -> RouterDispatcher:
        """Returns the dispatcher of a router."""
        return self._routers[router_name(router)].service.dispatcher

    def send(
        self, sender: str, receiver: str, message: SchedulingMessage
    ) -> None:
        """Sends over a reliable link, which ends with the receiver's life."""
        self._count(sender, receiver, message)
        life = self._routers[receiver]
        self.world.timers.call_later(
            LATENCY, lambda: self._deliver(sender, life, message)
        )

    def on_fault(self, fault: Fault, active: bool) -> None:
        """Applies a fault; members learn of it with SWIM's delay."""
        if fault.kind == "partition":
            self._set_partition(active)
        elif fault.kind in ("router", "scheduler"):
            name = router_name(fault.number)
            if active:
                self._routers[name].timers.alive = False
            else:
                router = self._routers[name] = Router(self, fault.number)
                router.members = self.reachable(router)
                router.service.start()
        else:
            return
        delay = _DETECTION_DELAY if active else _REJOIN_DELAY
        for index, router in enumerate(self._routers.values()):
            # Views change one after another in the second half of the delay.
            spread = delay * (0.5 + 0.5 * index / len(self._routers))
            router.timers.call_later(spread, router.update_members)

    def reachable(self, router: Router) -> set[str]:
        """Returns the members of a router's region that answer its probes."""
        return {
            name
            for name, other in self._routers.items()
            if other.timers.alive
            and other.region == router.region
            and self._side(name) == self._side(router.name)
        }

    def _deliver(
        self, sender: str, life: Router, message: SchedulingMessage
    ) -> None:
        if not life.timers.alive:
            return
        if self._side(sender) == self._side(life.name):
            life.receive(sender, message)
        else:
            self._held.append((sender, life, message))

    def _set_partition(self, active: bool) -> None:
        half = len(self._routers) // 2
        self._sides = {
            name: int(active and index >= half)
            for index, name in enumerate(self._routers)
        }
        held, self._held = self._held, []
        for each in held:
            self._deliver(*each)

    def _side(self, name: str) -> int:
        return self._sides.get(name, 0)

    def _count(
        self, sender: str, receiver: str, message: SchedulingMessage
    ) -> None:
        if isinstance(message, Grants):
            self.decisions += len(message.grants)
        elif isinstance(message, Demand):
            self.decisions += len(message.reused)
        now = self.world.now
        is_late = self._owed.pop((sender, receiver), now) < now
        self._owed.setdefault((receiver, sender), now + _ACKNOWLEDGE_DELAY)
        scenario = self.world.scenario
        if not scenario.burst_start <= now < scenario.burst_end:
            return
        # A scheduler answers over the connection of the router.
        is_answer = isinstance(message, Grants | RegistrationRequest)
        size = linked_size(message, is_answer)
        size += ACKNOWLEDGEMENT_BYTES * is_late
        for name in (sender, receiver):
            self.bytes[name] += size
            self.messages[name] += 1 + is_late

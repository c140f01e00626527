"""Simulated fleet of routers and schedulers on a manual clock."""

from collections import Counter

from crowwinch.configuration import Snapshot
from crowwinch.coordination import ManualClock, TimerService, identifier
from crowwinch.generated.documents import Group, Target, Workspace
from crowwinch.generated.peer_messages import Grants, Registration
from crowwinch.scheduling import (
    DomainScheduler,
    RouterDispatcher,
    SlotOutcome,
    SlotRequest,
)

GROUP = identifier("model")


def make_snapshot(workspaces, targets=1, slots=4, **limits):
    """Builds a configuration with the given weights of workspaces."""
    return Snapshot.build(
        1,
        "",
        [
            Workspace(name=name, weight=weight, key_hashes=[], **limits)
            for name, weight in workspaces.items()
        ],
        [
            Group(
                name="model",
                kind="engine",
                region="here",
                targets=[
                    Target(name=f"t{i}", url="http://t", slots=slots)
                    for i in range(targets)
                ],
            )
        ],
    )


class Fleet:
    """Dispatchers and schedulers connected by links with a delay."""

    def __init__(
        self,
        snapshot,
        routers=2,
        delay=0.001,
        reuse=True,
        listed=0,
        pacing=None,
    ):
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.snapshot = snapshot
        self.delay = delay
        self.listed = listed or routers
        self.schedulers = {}
        self.paused = set()
        self.delayed_deliveries = []
        self.links = {}
        self.served = Counter()
        self.differences = {}
        self.duplicate_messages = False
        self.messages = 0
        self.starts = []
        self.refusals = []
        self.running = Counter()
        self.max_running = Counter()
        self.slots = {}
        self.dispatchers = {}
        self.connected_to = {}
        for number in range(routers):
            name = f"r{number}"
            self.dispatchers[name] = RouterDispatcher(
                self.clock,
                self.timers,
                lambda: self.snapshot,
                lambda message, name=name: self.to_scheduler(name, message),
                pacing,
                reuse_slots=reuse,
            )
        self.add_scheduler("s")
        for name in self.dispatchers:
            self.connect(name, "s")

    def add_scheduler(self, name, lease=1):
        self.schedulers[name] = DomainScheduler(
            self.clock,
            self.timers,
            lambda: self.snapshot,
            lambda router, message: self.to_router(name, router, message),
            lease=lease,
            listed=lambda: self.listed,
        )
        return self.schedulers[name]

    def connect(self, router, scheduler):
        self.connected_to[router] = scheduler
        message = self.dispatchers[router].connect(scheduler)
        self.to_scheduler(router, message)

    def to_scheduler(self, router, message):
        name = self.connected_to[router]
        self.messages += 1

        def deliver():
            scheduler = self.schedulers.get(name)
            if scheduler is None:
                return
            if isinstance(message, Registration):
                scheduler.register(router, message)
            else:
                scheduler.receive_demand(router, message)

        self.timers.call_later(self.delay, deliver)
        if self.duplicate_messages:
            self.timers.call_later(self.delay * 3, deliver)

    def to_router(self, scheduler, router, message):
        def deliver():
            if self.connected_to[router] != scheduler:
                return
            if router in self.paused:
                self.delayed_deliveries.append(deliver)
            elif isinstance(message, Grants):
                self.dispatchers[router].receive_grants(message)
            else:
                self.connect(router, scheduler)

        self.timers.call_later(self.delay, deliver)
        if self.duplicate_messages:
            self.timers.call_later(self.delay * 3, deliver)

    def request(self, workspace, cost, **options):
        """Returns a request whose estimate defaults to its cost."""
        options.setdefault("estimate", cost)
        return SlotRequest(identifier(workspace), GROUP, **options)

    def submit(
        self,
        router,
        workspace,
        cost,
        duration=None,
        on_end=None,
        **options,
    ):
        """Submits a request that takes 1 ms per unit of cost by default."""
        request = self.request(workspace, cost, **options)
        duration = cost / 1000 if duration is None else duration

        def start(slot):
            if not slot.is_valid():
                slot.finish(0, SlotOutcome.UNUSED)
                return
            target = slot.target
            self.running[target] += 1
            self.max_running[target] = max(
                self.max_running[target], self.running[target]
            )
            self.starts.append((self.clock.monotonic(), workspace, cost))
            step_count = 8

            def progress(step=1):
                served_units = cost * step // step_count
                slot.report_served(served_units)
                self.count(
                    workspace, served_units - cost * (step - 1) // step_count
                )
                if step < step_count:
                    self.timers.call_later(
                        duration / step_count, lambda: progress(step + 1)
                    )
                    return
                self.running[target] -= 1
                slot.finish(cost, SlotOutcome.SERVED)
                if on_end is not None:
                    on_end()

            self.timers.call_later(duration / step_count, progress)

        return self.dispatchers[router].submit(
            request,
            start,
            lambda error: self.refusals.append((workspace, error)),
        )

    def count(self, workspace, units):
        """Counts served units and updates the extremes of differences."""
        self.served[workspace] += units
        weights = {
            item.name: item.weight for item in self.snapshot.workspaces.values()
        }
        for other in weights:
            pair = tuple(sorted((workspace, other)))
            first, second = pair
            value = (
                self.served[first] / weights[first]
                - self.served[second] / weights[second]
            )
            low, high = self.differences.get(pair, (0.0, 0.0))
            self.differences[pair] = (min(low, value), max(high, value))

    def gap(self, first, second):
        """Returns the largest weighted difference over any interval."""
        low, high = self.differences.get(tuple(sorted((first, second))), (0, 0))
        return high - low

    def reset_gap(self):
        """Restarts the measurement of served units and gaps."""
        self.served.clear()
        self.differences.clear()

    def run(self, seconds):
        """Advances the clock and runs timers that are due."""
        end = self.clock.monotonic() + seconds
        while True:
            due = self.timers.next_due()
            if due is None or due > end:
                break
            self.clock.move_to(max(due, self.clock.monotonic()))
            self.timers.run_due()
        self.clock.move_to(end)

    def charged(self, scheduler="s"):
        """Returns the service charged to each workspace."""
        queue = self.schedulers[scheduler].queue
        return {
            name: sum(
                unit.virtual for unit in queue.account(number).units.values()
            )
            * item.weight
            for number, item in self.snapshot.workspaces.items()
            for name in [item.name]
        }

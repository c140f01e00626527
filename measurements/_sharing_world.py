"""Engines, callers and figures of played loads.

The routers' decisions are those of `crowwinch.sharing`; the engines and the
network are modelled. Time is that of a manual clock.
"""

import abc
import contextlib
import math
import random
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    Admission,
    Decision,
    EngineSpeeds,
    Placer,
    PrefixCacheTracker,
    TargetHealth,
    TargetLimits,
    TargetLoads,
    TargetRateLimits,
    TargetView,
    Ticket,
    Verdict,
    Work,
    WorkspaceShares,
    time_constant,
)
from standins.engine_model import EngineModel, Events, Job

DEADLINE_S = 15.0
PERIOD_S = 0.05
# Time after the last arrival in which answers still come.
_TAIL_S = 5.0


@dataclass(frozen=True, slots=True)
class Load:
    """What is played.

    Attributes:
        routers: Number of routers.
        engines: Number of engines.
        slots: Requests that an engine runs at once.
        capacity: Service units that all engines do in a second.
        window_s: Window of the shares.
        arrivals: Times and requests.
        seconds: Length of the load.
        fault: `none`, `frozen`, `cut` or `lagging`.
        routers_by_workspace: Number of routers that the callers of a workspace
            use; those of other workspaces use all.
        stay_s: Time in seconds after which the callers of a workspace move on
            to the next routers; those of other workspaces stay.
    """

    routers: int
    engines: int
    slots: int
    capacity: float
    window_s: float
    arrivals: Sequence[tuple[float, Work]]
    seconds: float
    fault: str = "none"
    routers_by_workspace: Mapping[str, int] = field(default_factory=dict)
    stay_s: Mapping[str, float] = field(default_factory=dict)

    @property
    def fault_start_s(self) -> float:
        """When the fault begins."""
        return self.seconds * 0.4

    @property
    def fault_end_s(self) -> float:
        """When the fault ends."""
        return self.seconds * 0.6


@dataclass(slots=True)
class Node:
    """One place where decisions are made."""

    loads: TargetLoads
    prefixes: PrefixCacheTracker
    shares: WorkspaceShares
    admission: Admission
    # Reads away from home with the number of updates that still tell them.
    reads: list[tuple[int, tuple[str, str]]] = field(default_factory=list)
    # Processor time that its decisions took, in seconds.
    busy_s: float = 0.0

    @contextlib.contextmanager
    def timed(self) -> Iterator[None]:
        """Adds the processor time of a block to that of the node."""
        start = time.process_time()
        try:
            yield
        finally:
            self.busy_s += time.process_time() - start

    def refresh(self) -> None:
        """Updates the totals and decides what waits."""
        with self.timed():
            self.loads.refresh()
            self.shares.refresh()
            self.admission.poll()

    def poll(self) -> None:
        """Decides what waits."""
        with self.timed():
            self.admission.poll()


class SharingWorld(abc.ABC):
    """Engines, callers and what all ways of sharing have in common."""

    def __init__(self, load: Load, seed: int) -> None:
        """Creates the engines; `play` runs the load."""
        self.load = load
        self.clock = ManualClock()
        self.events = Events(self.clock)
        self.rng = random.Random(seed)
        self.jobs: list[Job] = []
        self.all_nodes: list[Node] = []
        self.views = [
            TargetView(
                f"engine-{number}",
                0,
                "llm",
                False,
                load.slots,
                memory_tokens=500_000,
                is_engine=True,
            )
            for number in range(load.engines)
        ]
        self.engines = {
            view.identifier: EngineModel(
                self.events, self.clock, load.slots, lambda: None
            )
            for view in self.views
        }

    def play(self) -> list[Job]:
        """Plays the load and returns all requests."""
        for at, work in self.load.arrivals:
            router = self._choose_router(work.workspace, at)
            self.events.at(
                at,
                lambda work=work, router=router: self._arrive(work, router),
            )
        ticks = int((self.load.seconds + _TAIL_S) / PERIOD_S)
        for tick in range(ticks):
            self.events.at(tick * PERIOD_S, self.tick)
        self.events.run()
        return self.jobs

    def tick(self) -> None:
        """Runs once in each period; refreshes all nodes."""
        for node in self.all_nodes:
            node.refresh()

    @abc.abstractmethod
    def submit(self, job: Job, router: int) -> None:
        """Takes a request at a router."""

    @property
    def is_faulty(self) -> bool:
        """Whether the fault lasts now."""
        now = self.clock.monotonic()
        return self.load.fault_start_s <= now < self.load.fault_end_s

    def make_node(self) -> Node:
        """Returns the decision classes of a router."""
        loads = TargetLoads(self.clock)
        prefixes = PrefixCacheTracker(self.clock)
        shares = WorkspaceShares(self.clock, time_constant(self.load.window_s))
        shares.set_capacity(self.load.capacity)
        placer = Placer(
            loads,
            prefixes,
            EngineSpeeds(),
            TargetHealth(self.clock),
            TargetLimits([TargetRateLimits(self.clock)]),
        )
        admission = Admission(
            self.clock,
            placer,
            shares,
            lambda service: self.views,
            self.rng.random,
        )
        node = Node(loads, prefixes, shares, admission)
        self.all_nodes.append(node)
        return node

    def submit_to(self, node: Node, job: Job, hop_s: float = 0.0) -> None:
        """Lets a node decide about a request.

        Args:
            node: Where the decision is made.
            job: The request.
            hop_s: Time until the decision reaches the request's router.
        """
        node.shares.record_demand(job.work.workspace, job.work.cost)
        ticket = Ticket(
            job.work,
            job.arrived,
            job.deadline,
            lambda decision: self._end_wait(node, job, decision, hop_s),
        )
        with node.timed():
            node.admission.submit(ticket)

    def _choose_router(self, workspace: str, at: float) -> int:
        """Returns the router that a request arrives at."""
        load = self.load
        count = load.routers_by_workspace.get(workspace, load.routers)
        moves = int(at / load.stay_s.get(workspace, math.inf))
        return (moves * count + self.rng.randrange(count)) % load.routers

    def _arrive(self, work: Work, router: int) -> None:
        now = self.clock.monotonic()
        job = Job(work, now, now + DEADLINE_S)
        self.jobs.append(job)
        self.submit(job, router)

    def _end_wait(
        self, node: Node, job: Job, decision: Decision, hop_s: float
    ) -> None:
        now = self.clock.monotonic()
        if decision.verdict is not Verdict.SEND:
            job.refused = now + hop_s
            return
        work = job.work
        job.reservation = node.loads.reserve_decided(decision)
        node.shares.record_usage(work.workspace, work.cost)
        node.prefixes.record_prefill(decision.target, work, decision.is_home)
        engine = self.engines[decision.target]
        job.on_progress = lambda: self.events.at(
            self.clock.monotonic() + hop_s, node.poll
        )
        self.events.at(now + hop_s, lambda: engine.send(job))


@dataclass(frozen=True, slots=True)
class Outcome:
    """What callers got.

    Attributes:
        in_time: Service units answered in time, as part of what was asked.
        served: Requests with an answer, as part of all.
        refused: Requests that were refused, as part of all.
        refusal_s: Mean time to a refusal, 0 without any.
        worst_workspace: Least part of a workspace's requests in time.
        read: Prompt tokens read, as part of the prompts that were run.
        busiest: Cores that the decisions of the busiest router take.
    """

    in_time: float
    served: float
    refused: float
    refusal_s: float
    worst_workspace: float
    read: float
    busiest: float


def outcome(world: SharingWorld) -> Outcome:
    """Returns what the callers of a played load got."""
    jobs = world.jobs
    asked = sum(job.work.cost for job in jobs)
    ran = [job for job in jobs if job.first_event is not None]
    refusals = [job.refused - job.arrived for job in jobs if job.refused]
    by_workspace: dict[str, list[Job]] = {}
    for job in jobs:
        by_workspace.setdefault(job.work.workspace, []).append(job)
    read = sum(engine.tokens_read for engine in world.engines.values())
    return Outcome(
        in_time=sum(job.work.cost for job in jobs if job.is_in_time) / asked,
        served=len(ran) / len(jobs),
        refused=len(refusals) / len(jobs),
        refusal_s=sum(refusals) / max(len(refusals), 1),
        worst_workspace=min(
            sum(job.is_in_time for job in each) / len(each)
            for each in by_workspace.values()
        ),
        read=read / max(sum(job.work.prompt_tokens for job in ran), 1),
        busiest=max((node.busy_s for node in world.all_nodes), default=0.0)
        / world.load.seconds,
    )

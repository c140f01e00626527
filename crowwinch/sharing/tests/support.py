"""Test fixtures: engines on a manual clock behind the admission control."""

import random

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    Admission,
    CallerDeadlines,
    ColdTargets,
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
    WorkspaceShares,
)
from standins.engine_model import EngineModel, Events, Job, alone_s

SLOTS = 32
_WINDOW_S = 4.0


class Simulation:
    """Simulates engines behind the admission control."""

    def __init__(self, engines, capacity, returns=0, estimates_waits=True):
        """Creates the engines and an empty queue.

        Args:
            engines: Number of engines.
            capacity: Service units a second that the shares divide.
            returns: How often a caller returns after a refusal.
            estimates_waits: Whether the time that a caller has waited before
                is estimated.
        """
        self.returns = returns
        self.estimates_waits = estimates_waits
        self.retry_delays_s = []
        self.deadlines = CallerDeadlines()
        self.clock = ManualClock()
        self.events = Events(self.clock)
        self.loads = TargetLoads(self.clock)
        self.prefixes = PrefixCacheTracker(self.clock)
        self.rate_limits = TargetRateLimits(self.clock)
        self.cold = ColdTargets(self.clock, self._view)
        self.shares = WorkspaceShares(self.clock, _WINDOW_S)
        self.shares.set_capacity(capacity)
        self.views = [
            TargetView(
                f"e{number}",
                0,
                "llm",
                False,
                SLOTS,
                memory_tokens=500_000,
                is_engine=True,
            )
            for number in range(engines)
        ]
        self.admission = Admission(
            self.clock,
            Placer(
                self.loads,
                self.prefixes,
                EngineSpeeds(),
                TargetHealth(self.clock),
                TargetLimits([self.rate_limits, self.cold]),
            ),
            self.shares,
            lambda service: self.views,
            random.Random(1).random,
        )
        self.engines = {
            view.identifier: EngineModel(
                self.events, self.clock, SLOTS, self.admission.poll
            )
            for view in self.views
        }
        self.jobs = []

    def run(self, load, seconds):
        for time, work in load:
            self.events.at(time, lambda work=work: self._arrive(work))
        for tick in range(int((seconds + 5) / 0.05)):
            self.events.at(tick * 0.05, self._tick)
        self.events.run()
        return self.jobs

    def _view(self, identifier):
        for view in self.views:
            if view.identifier == identifier:
                return view
        return None

    def _tick(self):
        self.loads.refresh()
        self.shares.refresh()
        self.admission.poll()

    def _arrive(self, work):
        now = self.clock.monotonic()
        job = Job(work, now, now + 15.0)
        self.jobs.append(job)
        self._submit(job, self.returns)

    def _submit(self, job, returns):
        """Submits a request whose caller may still return after a refusal."""
        now = self.clock.monotonic()
        work = job.work
        self.shares.record_demand(work.workspace, work.cost)
        prior_wait_s = self.deadlines.record(
            work.workspace, "route", job.deadline - now
        )
        self.admission.submit(
            Ticket(
                work,
                now,
                job.deadline,
                lambda decision: self._apply(job, decision, returns),
                prior_wait_s=prior_wait_s if self.estimates_waits else 0.0,
            )
        )

    def _apply(self, job, decision, returns):
        now = self.clock.monotonic()
        if decision.verdict is not Verdict.SEND:
            self.retry_delays_s.append(decision.retry_after_s)
            if returns:
                self.events.at(
                    now + decision.retry_after_s,
                    lambda: self._submit(job, returns - 1),
                )
            else:
                job.refused = now
            return
        work = job.work
        job.reservation = self.loads.reserve_decided(decision)
        self.shares.record_usage(work.workspace, work.cost)
        self.prefixes.record_prefill(decision.target, work)
        self.engines[decision.target].send(job)


def run_baseline(load, engines):
    """Sends each request to the engine with the fewest requests."""
    clock = ManualClock()
    events = Events(clock)
    models = [
        EngineModel(events, clock, SLOTS, lambda: None) for _ in range(engines)
    ]
    jobs = []

    def arrive(work):
        job = Job(work, clock.monotonic(), clock.monotonic() + 15.0)
        jobs.append(job)
        model = min(models, key=lambda each: each.active + len(each.waiting))
        model.send(job)

    for time, work in load:
        events.at(time, lambda work=work: arrive(work))
    events.run()
    return jobs


def fraction_in_time(jobs, workspace=None):
    """Returns the fraction of jobs with the first event in time.

    Jobs that would be late even at an idle engine are left out.
    """
    feasible = [
        job
        for job in jobs
        if (workspace is None or job.work.workspace == workspace)
        and alone_s(job.work) <= job.work.target_latency_s
    ]
    return sum(job.is_in_time for job in feasible) / max(len(feasible), 1)


def cost_in_time(jobs):
    """Returns the service units that were answered in time."""
    return sum(job.work.cost for job in jobs if job.is_in_time)

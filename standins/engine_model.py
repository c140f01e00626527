"""Engines on a fake clock, for tests and experiments that play a load.

An engine admits requests in order of arrival, reads one prompt at a time and
writes the tokens of all running requests in common steps.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwinch.coordination import ManualClock
from crowwinch.sharing import PromptPart, Reservation, Work
from crowwinch.sharing._speeds import prefill_seconds

STEP_S = 0.006
# Steps of running requests come between the chunks of a prompt.
READING_RATIO = 1.2
# The first event holds the tokens of six steps.
FIRST_STEPS_S = 6 * STEP_S


@dataclass(eq=False)
class Job:
    """A request of the played load and what its caller got."""

    work: Work
    arrived: float
    deadline: float
    first_event: float | None = None
    refused: float | None = None
    reservation: Reservation | None = None
    # Called when the engine has read the prompt, and at the end.
    on_progress: Callable[[], None] = lambda: None

    @property
    def is_in_time(self) -> bool:
        """Whether the first event came within the wanted time."""
        return (
            self.first_event is not None
            and self.first_event - self.arrived <= self.work.target_latency_s
        )


def alone_s(work: Work) -> float:
    """Returns the time to the first event at an idle engine.

    The shared part is not kept there, as for the first request of a prefix.
    """
    return READING_RATIO * prefill_seconds(work.prompt_tokens) + FIRST_STEPS_S


class Events:
    """Runs calls in order of time."""

    def __init__(self, clock: ManualClock) -> None:
        """Creates an empty plan."""
        self._clock = clock
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Plans a call."""
        heapq.heappush(self._queue, (time, next(self._order), call))

    def run(self) -> None:
        """Runs all calls."""
        while self._queue:
            time, _, call = heapq.heappop(self._queue)
            self._clock.move_to(max(time, self._clock.monotonic()))
            call()


@dataclass(eq=False)
class EngineModel:
    """One engine."""

    events: Events
    clock: ManualClock
    slots: int
    on_progress: Callable[[], None]
    kept: set[str] = field(default_factory=set)
    active: int = 0
    tokens_read: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    reading: Job | None = None

    def send(self, job: Job) -> None:
        """Takes a request."""
        self.waiting.append(job)
        self._start()

    def _start(self) -> None:
        if self.reading is not None or self.active >= self.slots:
            return
        while self.waiting and self.waiting[0].deadline < (
            self.clock.monotonic()
        ):
            self._end(self.waiting.popleft())
        if not self.waiting:
            return
        job = self.reading = self.waiting.popleft()
        self.active += 1
        kept = 0
        for part in job.work.parts:
            if part.identifier not in self.kept:
                break
            kept += part.tokens
        self.kept.update(part.identifier for part in job.work.parts[:-1])
        unread = job.work.prompt_tokens - kept
        self.tokens_read += unread
        self.events.at(
            self.clock.monotonic()
            + READING_RATIO * prefill_seconds(unread, kept),
            lambda: self._read(job),
        )

    def _read(self, job: Job) -> None:
        self.reading = None
        job.first_event = self.clock.monotonic() + FIRST_STEPS_S
        if job.reservation is not None:
            job.reservation.record_first_event()
        end = self.clock.monotonic() + job.work.output_tokens * STEP_S
        self.events.at(end, lambda: self._finish(job))
        self._start()
        self.on_progress()
        job.on_progress()

    def _finish(self, job: Job) -> None:
        self.active -= 1
        self._end(job)
        self._start()

    def _end(self, job: Job) -> None:
        if job.reservation is not None:
            job.reservation.finish()
        self.on_progress()
        job.on_progress()


@dataclass(frozen=True, slots=True)
class PromptMix:
    """Sizes of the requests of a load.

    Attributes:
        shared_parts: Different shared parts of each workspace.
        shared_tokens: Size of a shared part.
        own_log_mean: Mean of the logarithm of the tokens that are not shared.
        longest_output: Bound of the tokens of an answer.
    """

    shared_parts: int
    shared_tokens: int
    own_log_mean: float
    longest_output: int


_MIX = PromptMix(30, 4_000, 7.5, 500)


def arrivals(
    rates: dict[str, float], seconds: float, seed: int
) -> list[tuple[float, Work]]:
    """Returns requests of workspaces at the given rates a second."""
    rng = random.Random(seed)
    load: list[tuple[float, Work]] = []
    for workspace, rate in rates.items():
        load += workspace_arrivals(rng, workspace, rate, (0.0, seconds), _MIX)
    return sorted(load, key=lambda entry: entry[0])


def workspace_arrivals(
    rng: random.Random,
    workspace: str,
    per_s: float,
    span: tuple[float, float],
    mix: PromptMix,
) -> list[tuple[float, Work]]:
    """Returns requests of a workspace that arrive at random.

    Args:
        rng: Source of times and sizes.
        workspace: Name of the workspace.
        per_s: Mean rate in requests per second.
        span: Start and end in seconds.
        mix: Sizes of the requests.
    """
    start, end = span
    load = []
    time = start + rng.expovariate(per_s)
    while time < end:
        load.append((time, make_work(rng, workspace, mix)))
        time += rng.expovariate(per_s)
    return load


def make_work(rng: random.Random, workspace: str, mix: PromptMix) -> Work:
    """Returns a request of a workspace."""
    own = int(min(rng.lognormvariate(mix.own_log_mean, 1.0), 40_000))
    shared = rng.randrange(mix.shared_parts)
    parts = (
        PromptPart(f"{workspace}-{shared}", mix.shared_tokens),
        PromptPart(f"own-{rng.random()}", own),
    )
    return Work(
        service="llm",
        workspace=workspace,
        model="m",
        parts=parts,
        prompt_tokens=mix.shared_tokens + own,
        output_tokens=rng.randrange(50, mix.longest_output),
        target_latency_s=0.8,
    )

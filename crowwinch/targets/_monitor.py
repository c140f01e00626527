"""Periodic polling of target load."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Subscription, TimerService
from crowwinch.targets._client import TargetError
from crowwinch.targets._load import TargetLoad

_POLL_PERIOD_S = 1.0
# Batching polls reduces wake-ups of the process. A poll takes about 0.1 ms of
# processor time and a report as much, so a batch delays a stream by less than
# 2 ms.
_POLLS_PER_BATCH = 8
_BATCH_SPACING_S = 0.01


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The state of one target as last polled.

    Attributes:
        target: Identifier of the target.
        incarnation: Changes when the target restarts; 0 when not known.
        age: Seconds since the target last answered.
        is_reachable: Whether the target answered the last poll.
    """

    target: int
    incarnation: int
    running: int
    waiting: int
    leaving: bool
    time_to_first_token_s: float
    age: float
    is_reachable: bool = True


Listener = Callable[[TargetReport], None]


@dataclass(slots=True)
class _Watched:
    base_url: str
    load: TargetLoad
    answered_at: float
    poll: asyncio.Task[None] | None = None
    is_reachable: bool = True


class TargetMonitor:
    """Polls `GET /load` of a given set of targets."""

    def __init__(
        self,
        timers: TimerService,
        fetch: Callable[[str], Awaitable[TargetLoad]],
        period_s: float = _POLL_PERIOD_S,
    ) -> None:
        """Initializes the monitor without targets.

        Args:
            timers: Schedules the polls.
            fetch: Fetches the load report of the target at a URL.
            period_s: Seconds between two polls of one target.
        """
        self._timers = timers
        self._fetch = fetch
        self._period_s = period_s
        self._watched: dict[int, _Watched] = {}
        self._listeners: list[Listener] = []
        self._unavailable: frozenset[int] = frozenset()
        self._timer: Subscription | None = None

    @property
    def unavailable(self) -> frozenset[int]:
        """Watched targets that are unreachable or leaving."""
        return self._unavailable

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener that is called with the report of each poll."""
        self._listeners.append(listener)

    def watch(self, targets: Mapping[int, str]) -> None:
        """Replaces the set of polled targets.

        The first polls start at once, because a new scheduler waits for them.
        They are spaced to avoid a burst of control traffic with many targets.

        Args:
            targets: Base URLs by identifier of the target.
        """
        for target, watched in list(self._watched.items()):
            if targets.get(target) != watched.base_url:
                self._drop(target)
        new = [target for target in targets if target not in self._watched]
        now = self._timers.clock.monotonic()
        for target in new:
            load = TargetLoad(running=0, waiting=0)
            self._watched[target] = _Watched(targets[target], load, now)
        self._poll_all(new)
        if self._timer is None and new:
            self._timer = self._timers.call_every(
                self._period_s, lambda: self._poll_all(tuple(self._watched))
            )

    def stop(self) -> None:
        """Cancels all polls."""
        for target in list(self._watched):
            self._drop(target)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _poll_all(self, targets: Sequence[int]) -> None:
        batches = -(-len(targets) // _POLLS_PER_BATCH)
        spacing = min(_BATCH_SPACING_S, self._period_s / max(batches, 1))
        for index in range(batches):
            batch = targets[
                index * _POLLS_PER_BATCH : (index + 1) * _POLLS_PER_BATCH
            ]
            self._timers.call_later(
                index * spacing, lambda batch=batch: self._poll_batch(batch)
            )

    def _poll_batch(self, targets: Sequence[int]) -> None:
        for target in targets:
            watched = self._watched.get(target)
            if watched is not None:
                self._start_poll(target, watched)

    def _drop(self, target: int) -> None:
        watched = self._watched.pop(target)
        self._unavailable -= {target}
        if watched.poll is not None:
            watched.poll.cancel()

    def _start_poll(self, target: int, watched: _Watched) -> None:
        if watched.poll is None or watched.poll.done():
            watched.poll = asyncio.ensure_future(self._poll(target, watched))

    async def _poll(self, target: int, watched: _Watched) -> None:
        try:
            watched.load = await self._fetch(watched.base_url)
            watched.answered_at = self._timers.clock.monotonic()
            watched.is_reachable = True
        except TargetError:
            watched.is_reachable = False
        load = watched.load
        if load.leaving or not watched.is_reachable:
            self._unavailable |= {target}
        elif target in self._unavailable:
            self._unavailable -= {target}
        report = TargetReport(
            target=target,
            incarnation=load.incarnation,
            running=load.running,
            waiting=load.waiting,
            leaving=load.leaving,
            time_to_first_token_s=load.time_to_first_token_s,
            age=self._timers.clock.monotonic() - watched.answered_at,
            is_reachable=watched.is_reachable,
        )
        for listener in self._listeners:
            listener(report)

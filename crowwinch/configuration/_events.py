"""Tells listeners when events start and end by wall clock."""

from collections.abc import Callable
from dataclasses import dataclass

from crowwinch.configuration._snapshot import Snapshot
from crowwinch.coordination import Subscription, TimerService
from crowwinch.generated.documents import Event

# Time synchronisation keeps the clocks of VMs within about 100 ms. Routers
# apply a boundary by their own clocks, so two of them may use different weights
# for up to this time around it.
CLOCK_SKEW_ALLOWANCE_S = 1.0
# A frozen VM's monotonic clock may stand still while wall time goes on, so a
# boundary must not depend on one long timer.
_LONGEST_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class EventChange:
    """An event that started, or ended when `started` is false."""

    event: Event
    started: bool


class EventClock:
    """Tells listeners at each start and end of an event.

    After a freeze, a step of the wall clock or a new configuration the active
    events are evaluated again. Events that started and ended meanwhile are not
    reported.
    """

    def __init__(
        self, timers: TimerService, snapshot: Callable[[], Snapshot]
    ) -> None:
        """Stores where events come from; call `start`."""
        self._timers = timers
        self._read_snapshot = snapshot
        self._snapshot = Snapshot()
        self._active: dict[tuple[str, str], Event] = {}
        self._next_boundary = float("inf")
        self._evaluated_at = 0.0
        self._listeners: list[Callable[[EventChange], None]] = []
        self._timer: Subscription | None = None

    @property
    def active(self) -> tuple[Event, ...]:
        """Events that are active now."""
        return tuple(self._active.values())

    def subscribe(self, listener: Callable[[EventChange], None]) -> None:
        """Calls a listener at each start and end."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Starts to follow the clock."""
        self._tick()

    def stop(self) -> None:
        """Stops; no listener is called afterwards."""
        if self._timer is not None:
            self._timer.cancel()

    def refresh(self) -> None:
        """Evaluates all events now, for instance after a new configuration."""
        now = self._timers.clock.time()
        self._snapshot = self._read_snapshot()
        self._evaluated_at = now
        self._next_boundary = float("inf")
        active: dict[tuple[str, str], Event] = {}
        for events in self._snapshot.events.values():
            for event in events:
                if event.start <= now < event.end:
                    active[event.workspace, event.name] = event
                for boundary in (event.start, event.end):
                    if now < boundary < self._next_boundary:
                        self._next_boundary = boundary
        before, self._active = self._active, active
        for key in sorted(before.keys() - active.keys()):
            self._tell(EventChange(before[key], False))
        for key in sorted(active.keys() - before.keys()):
            self._tell(EventChange(active[key], True))

    def _tick(self) -> None:
        now = self._timers.clock.time()
        try:
            if (
                now >= self._next_boundary
                or now < self._evaluated_at
                or self._read_snapshot() is not self._snapshot
            ):
                self.refresh()
        finally:
            delay = min(self._next_boundary - now, _LONGEST_DELAY_S)
            self._timer = self._timers.call_later(max(delay, 0.0), self._tick)

    def _tell(self, change: EventChange) -> None:
        for listener in self._listeners:
            listener(change)

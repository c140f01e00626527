"""Pace of a target that has just started or recovered.

Load: a target that has just started, stopped being cold or recovered from a
failure looks empty, so that all routers send to it at once; or it gets nothing
for too long. The requests in flight at it, over the whole fleet, stay within a
window that grows with responses in time and shrinks with refusals, failures and
late first events. docs/design/start-pace.md compares other ways.
"""

import logging
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from typing import Protocol

from crowwinch.coordination import Clock
from crowwinch.sharing._loads import TargetLoads
from crowwinch.sharing._model import TargetView
from crowwinch.sharing._pace_parts import ROUNDING, PaceParts
from crowwinch.sharing._pace_window import (
    INITIAL_WINDOW,
    PaceReport,
    PaceWindow,
)
from crowwinch.sharing._target_limits import (
    UNLIMITED,
    Allowance,
    LimitReason,
)

_LOGGER = logging.getLogger(__name__)

# A router that has known a directory for less may see targets for the first
# time that have long been there.
_SETTLED_S = 3.0
# A service has traffic while it gets more requests per second than this here.
_MIN_TRAFFIC_PER_S = 0.05
# A pace that has limited no request for this long ends.
_IDLE_S = 5.0
# A first event later than its forecast by less is in time, by more is late. In
# between it shows nothing.
_IN_TIME_S = 0.1
_LATE_S = 0.3
# A request that fails was sent this long ago; how long is not known.
_FAILURE_S = 0.6
# After a change of the window, requests that were sent before are still refused
# for this time, and those of peers until they have heard of it: updates go to
# so many peers in each period.
_MIN_SETTLING_S = 0.05
_FAN_OUT = 12
_UPDATE_PERIOD_S = 0.05
# A waiting request looks again after this time, the period of the updates.
_RECHECK_S = 0.05
# Routers that failed to connect and have no part of the window of a target that
# comes back try again after this time without a failure.
_RETRY_S = 3.0
# The end of a pace is reported for this time: two rounds of updates in a fleet
# of 200 routers.
_REPORT_S = 2.0
# Targets known by their last start; the oldest are forgotten first.
_MAX_LIVES = 2_000


class ColdView(Protocol):
    """Knows which targets are cold."""

    def is_cold(self, target: TargetView) -> bool:
        """Returns whether a target is cold."""


class NoColdTargets:
    """No target is cold."""

    def is_cold(self, target: TargetView) -> bool:
        """Returns whether a target is cold."""
        del target
        return False


class StartPace:
    """Limits the requests in flight at targets that start or recover."""

    def __init__(
        self,
        clock: Clock,
        loads: TargetLoads,
        cold: ColdView | None = None,
    ) -> None:
        """Creates an instance that limits nothing.

        Args:
            clock: Monotonic time.
            loads: Requests in flight at each target over the whole fleet.
            cold: Knows which targets are cold; a pace begins when one is no
                longer cold.
        """
        self._clock = clock
        self._loads = loads
        self._cold: ColdView = cold or NoColdTargets()
        self._targets: dict[str, TargetView] = {}
        # Time from which each cold target was seen to be cold.
        self._cold_since: dict[str, float] = {}
        # Start of each target that was seen, the one seen last at the end.
        self._lives: OrderedDict[str, int] = OrderedDict()
        self._first_directory_at: float | None = None
        self._windows: dict[str, PaceWindow] = {}
        # Last pace of each target that has ended, and when.
        self._ended: dict[str, tuple[PaceWindow, float]] = {}
        # Time of the last failed connection to targets that have not answered
        # since.
        self._failed: dict[str, float] = {}
        self._parts = PaceParts(clock)

    @property
    def paced_targets(self) -> int:
        """Number of targets with a pace."""
        return len(self._windows)

    def window(self, target: str) -> float | None:
        """Returns the window of a target, None without a pace."""
        window = self._windows.get(target)
        return None if window is None else window.size

    def set_fleet(self, own_name: str, members: Collection[str]) -> None:
        """Sets the routers that share the windows.

        Args:
            own_name: Name of this router.
            members: Names of all routers, with or without this one.
        """
        self._parts.set_fleet(own_name, members)

    def record_demand(self, service: str) -> None:
        """Counts a request for a service that arrived at this router."""
        self._parts.record_demand(service)

    def observe_targets(self, targets: Iterable[TargetView]) -> None:
        """Sets the targets in use; a pace begins for those that started.

        Args:
            targets: Targets of all services. Those whose services do not start
                cold are ignored.
        """
        now = self._clock.monotonic()
        previous = self._targets
        self._targets = {
            target.identifier: target
            for target in targets
            if target.cold_start_s > 0.0
        }
        for identifier in previous.keys() - self._targets.keys():
            self._forget(identifier)
            self._cold_since.pop(identifier, None)
        for identifier, target in self._targets.items():
            is_new = self._lives.get(identifier) != target.life
            self._lives[identifier] = target.life
            self._lives.move_to_end(identifier)
            if is_new:
                self._forget(identifier)
                if self._is_settled(now) and self._has_traffic(target):
                    self._begin(target, "start", now)
        while len(self._lives) > _MAX_LIVES:
            self._lives.popitem(last=False)
        if self._targets and self._first_directory_at is None:
            self._first_directory_at = now

    def refresh(self) -> None:
        """Begins the paces of targets that are no longer cold, and ends paces.

        The parts of this router are computed anew when they are next needed.
        """
        self._parts.refresh()
        now = self._clock.monotonic()
        for identifier, target in self._targets.items():
            if self._cold.is_cold(target):
                self._cold_since.setdefault(identifier, now)
                continue
            cold_since = self._cold_since.pop(identifier, None)
            if cold_since is None:
                continue
            window = self._windows.get(identifier)
            if window is not None and window.changed_at < cold_since:
                # It grew while the cold limit kept requests away.
                del self._windows[identifier]
                self._ended[identifier] = (window, now)
            self._begin(target, "no longer cold", now)
        for identifier, window in list(self._windows.items()):
            slots = self._targets[identifier].slots
            if window.size >= slots:
                self._end(identifier, "slots reached")
            elif now - max(window.limited_at, window.own_limited_at) > _IDLE_S:
                self._end(identifier, "not limiting")

    def record_first_event(
        self, target: str, late_s: float, waited_s: float = 0.0
    ) -> None:
        """Records the first event of a response.

        Args:
            target: Identifier of the target.
            late_s: Seconds from its forecast.
            waited_s: Seconds from the start of the attempt.
        """
        self._record_answer(target)
        window = self._windows.get(target)
        if window is None:
            return
        if late_s > _LATE_S:
            self._reduce(target, waited_s)
        elif late_s <= _IN_TIME_S:
            window.grow(self._loads.active(target))

    def record_refusal(self, target: str) -> None:
        """Records that a target refused a request."""
        self._reduce(target)

    def record_failure(self, target: str) -> None:
        """Records that a target failed to answer a request."""
        self._reduce(target, _FAILURE_S)

    def record_connection_failure(self, target: str) -> None:
        """Records that no connection to a target could be made."""
        if target in self._targets:
            self._failed[target] = self._clock.monotonic()

    def allowance(self, target: TargetView) -> Allowance:
        """Returns whether the pace leaves room for a request of this router."""
        identifier = target.identifier
        window = self._windows.get(identifier)
        if window is None and identifier not in self._failed:
            return UNLIMITED
        if self._cold.is_cold(target):
            # The cold limit alone decides.
            return UNLIMITED
        if window is not None and window.life == target.life:
            if self._has_room(target, window.size):
                return UNLIMITED
            now = self._clock.monotonic()
            window.own_limited_at = window.limited_at = now
            return Allowance(_RECHECK_S, LimitReason.PACE)
        failed_at = self._failed.get(identifier, -math.inf)
        is_over = self._clock.monotonic() - failed_at >= _RETRY_S
        if is_over or self._has_room(target, INITIAL_WINDOW):
            return UNLIMITED
        return Allowance(_RECHECK_S, LimitReason.PACE)

    def rate_per_s(self, target: TargetView) -> float:
        """Returns inf; requests in flight are limited, not their rate."""
        del target
        return math.inf

    def take(self, target: str, life: int) -> None:
        """Does nothing; requests in flight are counted by the loads."""

    def give_back(self, target: str, life: int) -> None:
        """Does nothing; requests in flight are counted by the loads."""

    def reports(self) -> list[PaceReport]:
        """Returns what peers must hear, nothing while no target has a pace."""
        if not self._windows and not self._ended:
            return []
        now = self._clock.monotonic()
        windows = dict(self._windows)
        for identifier, (window, ended_at) in self._ended.items():
            if now - ended_at <= _REPORT_S:
                windows.setdefault(identifier, window)
        return [
            PaceReport(
                identifier,
                window.life,
                window.epoch,
                window.base,
                window.is_first,
                window.grown,
                min(now - window.own_limited_at, _IDLE_S + _REPORT_S),
                self._parts.demand_per_s(self._targets[identifier].service),
            )
            for identifier, window in windows.items()
        ]

    def merge_peer(self, peer: str, reports: Sequence[PaceReport]) -> None:
        """Merges the paces that a peer knows.

        Args:
            peer: Name of the peer.
            reports: Its paces.
        """
        now = self._clock.monotonic()
        for report in reports:
            target = self._targets.get(report.target)
            if target is None or target.life != report.life:
                continue
            self._parts.set_peer_demand(
                peer, target.service, report.wanted_per_s
            )
            window = self._windows.get(report.target)
            if window is None:
                if report.epoch <= self._last_epoch(report.target):
                    continue
                window = self._start(target, report.epoch, report.base, now)
                window.is_first = report.is_first
                self._log("begins", report.target, "peer")
            window.merge(peer, report, now)
            self._failed.pop(report.target, None)

    def _begin(self, target: TargetView, cause: str, now: float) -> None:
        identifier = target.identifier
        if identifier in self._windows:
            return
        epoch = self._last_epoch(identifier) + 1
        base = max(INITIAL_WINDOW, self._loads.active(identifier))
        self._start(target, epoch, base, now)
        self._log("begins", identifier, cause)

    def _last_epoch(self, identifier: str) -> int:
        """Returns the epoch of the last pace that has ended, 0 without one."""
        ended = self._ended.get(identifier)
        return 0 if ended is None else ended[0].epoch

    def _start(
        self, target: TargetView, epoch: int, base: float, now: float
    ) -> PaceWindow:
        window = PaceWindow(target.life, epoch, base, now, now)
        self._windows[target.identifier] = window
        return window

    def _end(self, identifier: str, cause: str) -> None:
        window = self._windows.pop(identifier)
        slots = self._targets[identifier].slots
        if window.size >= slots:
            # Peers that have not heard of all growth end it with this report.
            window.grown = max(window.grown, slots - window.base)
        self._ended[identifier] = (window, self._clock.monotonic())
        self._log("ends", identifier, cause, window)

    def _forget(self, identifier: str) -> None:
        self._windows.pop(identifier, None)
        self._ended.pop(identifier, None)
        self._failed.pop(identifier, None)

    def _log(
        self,
        what: str,
        identifier: str,
        cause: str,
        window: PaceWindow | None = None,
    ) -> None:
        window = window or self._windows[identifier]
        _LOGGER.info(
            f"pace of a target {what}",
            extra={
                "target": identifier,
                "started_ms": window.life,
                "cause": cause,
                "window": round(window.size, 1),
            },
        )

    def _record_answer(self, identifier: str) -> None:
        if self._failed.pop(identifier, None) is not None:
            self._begin(
                self._targets[identifier], "answer", self._clock.monotonic()
            )

    def _reduce(self, identifier: str, waited_s: float = 0.0) -> None:
        window = self._windows.get(identifier)
        if window is None:
            return
        now = self._clock.monotonic()
        rounds = -(-(self._parts.routers - 1) // _FAN_OUT)
        settling_s = _MIN_SETTLING_S + rounds * _UPDATE_PERIOD_S
        settled_at = now - max(settling_s, waited_s)
        active = self._loads.active(identifier)
        window.reduce(active, now, settled_at)

    def _has_room(self, target: TargetView, size: float) -> bool:
        active = self._loads.active(target.identifier)
        if active + 1.0 > size + ROUNDING:
            return False
        own_active = self._loads.own_active(target.identifier)
        return own_active < self._parts.part(target, size)

    def _is_settled(self, now: float) -> bool:
        first = self._first_directory_at
        return first is not None and now - first >= _SETTLED_S

    def _has_traffic(self, target: TargetView) -> bool:
        """Returns whether requests come here; others report their paces."""
        return self._parts.demand_per_s(target.service) > _MIN_TRAFFIC_PER_S

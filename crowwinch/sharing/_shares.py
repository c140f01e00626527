"""Max-min fair shares of workspaces in the capacity of all targets."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock

# Service units below which a decayed count is dropped.
_NEGLIGIBLE_UNITS = 1.0
# Fraction of what is asked for below which the service shows contention. The
# rest covers requests that wait for less than their target latency.
_CONTENDED_FRACTION = 0.9
# Age after which the report of a peer is dropped.
_PEER_EXPIRY_S = 10.0
# Age of the reference time, in time constants, after which it is moved. The
# scale factor is then 5e8.
_MAX_REFERENCE_AGE = 20.0

# Requested and served units, scaled to the reference time.
_Scaled = tuple[float, float]


def time_constant(window_s: float) -> float:
    """Returns the time constant of the counts of a share window in seconds.

    It is less than half of the window, with which entries have the mean age of
    those in a sliding window: a workspace that has used all capacity alone
    waits, when another one turns hot, until its count is down to an even use.

    Args:
        window_s: Time in seconds in which workspaces are owed their shares.
    """
    return window_s / 3


@dataclass(frozen=True, slots=True)
class WorkspaceUse:
    """Service units of a workspace at one router.

    Attributes:
        workspace: Name of the workspace.
        asked: Units requested in the window.
        served: Units served in the window.
    """

    workspace: str
    asked: float
    served: float


def max_min_shares(
    asked: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divides a capacity by max-min fairness.

    Args:
        asked: Amount requested by each workspace.
        capacity: Amount to divide.

    Returns:
        The share of each workspace: its request, or the common level if
        that is less.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    demands = sorted(asked.items(), key=lambda entry: entry[1])
    for index, (workspace, amount) in enumerate(demands):
        level = max(remaining, 0.0) / (len(demands) - index)
        shares[workspace] = min(amount, level)
        remaining -= shares[workspace]
    return shares


class WorkspaceShares:
    """Counts requested and served units of workspaces across the fleet.

    Every router counts its own requests and receives the counts of its peers.
    The max-min level limits the use of a workspace under contention.
    """

    def __init__(self, clock: Clock, time_constant_s: float) -> None:
        """Creates an instance without counts.

        Args:
            clock: Monotonic time, used to decay counts.
            time_constant_s: Time constant of all counts in seconds.
        """
        self._clock = clock
        self._time_constant_s = time_constant_s
        # All counts decay at the same rate, so they are stored scaled to the
        # reference time. Adding a count then needs no update of the others.
        self._own: dict[str, _Scaled] = {}
        self._peers: dict[str, tuple[float, dict[str, _Scaled]]] = {}
        # Sums over all peers.
        self._remote: dict[str, _Scaled] = {}
        self._reference = clock.monotonic()
        self._capacity_per_s: float | None = None
        self._level = math.inf
        self._even_use = math.inf
        self._totals: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._mean = 0.0
        self._asked_per_s = 0.0
        self._served_per_s = 0.0

    @property
    def asked_per_s(self) -> float:
        """Units per second that all workspaces ask for."""
        return self._asked_per_s

    @property
    def served_per_s(self) -> float:
        """Units per second that all workspaces get."""
        return self._served_per_s

    @property
    def oldest_report_s(self) -> float:
        """Age in seconds of the oldest report of a peer, 0 without one."""
        arrived_at = min(
            (arrived_at for arrived_at, _ in self._peers.values()),
            default=None,
        )
        if arrived_at is None:
            return 0.0
        return self._clock.monotonic() - arrived_at

    @property
    def time_constant_s(self) -> float:
        """Time constant of all counts in seconds."""
        return self._time_constant_s

    @property
    def level(self) -> float:
        """Units that a workspace may use in a window, inf without a limit."""
        return self._level

    @property
    def even_use(self) -> float:
        """Units that a workspace gets in a window if all served is even.

        It is inf unless less is served than asked for.
        """
        return self._even_use

    def set_time_constant(self, time_constant_s: float) -> None:
        """Changes the time constant of all counts."""
        now = self._clock.monotonic()
        previous_s, self._time_constant_s = (
            self._time_constant_s,
            time_constant_s,
        )
        _multiply(self._own, math.exp((self._reference - now) / previous_s))
        self._remote = {}
        for peer, (arrived_at, counts) in self._peers.items():
            # Restore the reported value, then decay it since its arrival
            # with the new time constant.
            factor = math.exp(
                (self._reference - arrived_at) / previous_s
                + (arrived_at - now) / time_constant_s
            )
            scaled = {
                workspace: (asked * factor, served * factor)
                for workspace, (asked, served) in counts.items()
            }
            self._peers[peer] = (arrived_at, scaled)
            self._add_remote(scaled, 1.0)
        self._reference = now

    def set_capacity(self, units_per_s: float | None) -> None:
        """Sets the units that all targets serve per second, None if unknown."""
        self._capacity_per_s = units_per_s

    def record_demand(self, workspace: str, units: float) -> None:
        """Counts a request that arrived at this router."""
        self._add(workspace, units, 0.0)
        self._asked[workspace] = self._asked.get(workspace, 0.0) + units

    def record_usage(self, workspace: str, units: float) -> None:
        """Counts a request that was sent to a target."""
        self._add(workspace, 0.0, units)
        self._totals[workspace] = self._totals.get(workspace, 0.0) + units

    def revert_usage(self, workspace: str, units: float) -> None:
        """Reverts the count of a request that did not run."""
        self.record_usage(workspace, -units)

    def own_use(self, interval_s: float = 0.0) -> list[WorkspaceUse]:
        """Returns the counts of this router to report to peers.

        A peer lets them decay until the next report. They are raised so that
        they are right in the mean until then if the use goes on as before.
        Otherwise workspaces with callers at many routers count as using less
        than those with callers at one.

        Args:
            interval_s: Time in seconds until the next report.
        """
        scale = self._scale(self._clock.monotonic())
        _drop_negligible(self._own, scale)
        decay = interval_s / self._time_constant_s
        scale *= -math.expm1(-decay) / decay if decay else 1.0
        return [
            WorkspaceUse(workspace, asked / scale, max(served / scale, 0.0))
            for workspace, (asked, served) in self._own.items()
        ]

    def replace_peer_report(
        self, peer: str, uses: Sequence[WorkspaceUse]
    ) -> None:
        """Replaces the counts of a peer."""
        now = self._clock.monotonic()
        scale = self._scale(now)
        counts = {
            use.workspace: (use.asked * scale, use.served * scale)
            for use in uses
        }
        self._remove_peer(peer)
        self._peers[peer] = (now, counts)
        self._add_remote(counts, 1.0)

    def refresh(self) -> None:
        """Recomputes totals and the max-min level from all counts."""
        now = self._clock.monotonic()
        for peer, (arrived_at, _) in list(self._peers.items()):
            if now - arrived_at > _PEER_EXPIRY_S:
                self._remove_peer(peer)
        scale = self._scale(now)
        _drop_negligible(self._remote, scale)
        asked: dict[str, float] = {}
        self._asked = asked
        self._totals = {}
        for counts in (self._remote, self._own):
            for workspace, (asked_units, served_units) in counts.items():
                asked[workspace] = (
                    asked.get(workspace, 0.0) + asked_units / scale
                )
                self._totals[workspace] = (
                    self._totals.get(workspace, 0.0) + served_units / scale
                )
        self._asked_per_s = sum(asked.values()) / self._time_constant_s
        self._served_per_s = sum(self._totals.values()) / self._time_constant_s
        busy = [units for units in self._totals.values() if units >= 1.0]
        self._mean = sum(busy) / len(busy) if busy else 0.0
        self._even_use = self._even_use_of_served(asked)
        if self._capacity_per_s is None:
            self._level = math.inf
            return
        capacity = self._capacity_per_s * self._time_constant_s
        if sum(asked.values()) <= capacity:
            self._level = math.inf
            return
        self._level = max(max_min_shares(asked, capacity).values())

    def _even_use_of_served(self, asked: Mapping[str, float]) -> float:
        """Returns the use at which all that is served would be shared evenly.

        It is inf unless less is served than asked for. The configured capacity
        does not matter: engines that are down or slow serve less.
        """
        served = sum(self._totals.values())
        if served >= sum(asked.values()) * _CONTENDED_FRACTION:
            return math.inf
        return max(max_min_shares(asked, served).values(), default=math.inf)

    def lead(self, workspace: str) -> float:
        """Returns the use of a workspace divided by an even use of all served.

        Above 1, the workspace gets more than others that also wait. Returns 0
        if no workspace waits.
        """
        return self.served(workspace) / max(self._even_use, 1.0)

    def asked(self, workspace: str) -> float:
        """Returns the units that a workspace asked for in the window."""
        return self._asked.get(workspace, 0.0)

    def served(self, workspace: str) -> float:
        """Returns the units served to a workspace in the window."""
        return self._totals.get(workspace, 0.0)

    def relative_use(self, workspace: str) -> float:
        """Returns units served divided by the mean of active workspaces.

        Distinguishes large workspaces from small ones even while all are within
        their shares, for instance at the start of a load spike.
        """
        if self._mean <= 0.0:
            return 0.0
        return self.served(workspace) / self._mean

    def use_of_share(self, workspace: str, units: float) -> float:
        """Returns share use of a workspace including a request; 1 is all of it.

        Only half of the request counts, so that small shares still admit large
        requests. Returns 0 without contention.
        """
        if math.isinf(self._level):
            return 0.0
        return (self.served(workspace) + units / 2) / max(self._level, 1.0)

    def _scale(self, now: float) -> float:
        """Returns the factor from current counts to the reference time."""
        age = (now - self._reference) / self._time_constant_s
        if age > _MAX_REFERENCE_AGE:
            self._move_reference(now)
            return 1.0
        return math.exp(age)

    def _move_reference(self, now: float) -> None:
        """Moves the reference time to now, to bound the scale factor."""
        factor = math.exp((self._reference - now) / self._time_constant_s)
        for counts in (
            self._own,
            self._remote,
            *(each for _, each in self._peers.values()),
        ):
            _multiply(counts, factor)
        self._reference = now

    def _remove_peer(self, peer: str) -> None:
        _, counts = self._peers.pop(peer, (0.0, {}))
        self._add_remote(counts, -1.0)

    def _add_remote(self, counts: Mapping[str, _Scaled], sign: float) -> None:
        for workspace, (asked, served) in counts.items():
            asked_sum, served_sum = self._remote.get(workspace, (0.0, 0.0))
            self._remote[workspace] = (
                asked_sum + sign * asked,
                served_sum + sign * served,
            )

    def _add(self, workspace: str, asked: float, served: float) -> None:
        scale = self._scale(self._clock.monotonic())
        asked_sum, served_sum = self._own.get(workspace, (0.0, 0.0))
        self._own[workspace] = (
            asked_sum + asked * scale,
            served_sum + served * scale,
        )


def _multiply(counts: dict[str, _Scaled], factor: float) -> None:
    for workspace, (asked, served) in counts.items():
        counts[workspace] = (asked * factor, served * factor)


def _drop_negligible(counts: dict[str, _Scaled], scale: float) -> None:
    """Removes counts that decayed or consist of rounding errors."""
    least = _NEGLIGIBLE_UNITS * scale
    negligible = [
        workspace
        for workspace, (asked, served) in counts.items()
        if asked < least and served < least
    ]
    for workspace in negligible:
        del counts[workspace]

"""Shares of workspaces in the capacity of all targets."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock

# Below this, a count is as good as none.
_NEGLIGIBLE = 1.0
# A router that has been silent this long no longer counts.
_PEER_EXPIRY_S = 10.0
# Time constants after which the reference of the others' counts is moved; the
# factor is then 5e8.
_LONGEST_SCALE = 20.0

# Units asked for and served, as they would have been at the reference time.
_Scaled = tuple[float, float]


def time_constant(window_s: float) -> float:
    """Returns the time constant of counts that stand for a sliding window.

    What is counted in a sliding window is half of the window old on average,
    and the average age in a decaying count is its time constant. With a whole
    window as time constant, a workspace paid for a burst long after it.
    """
    return window_s / 2


@dataclass(frozen=True, slots=True)
class WorkspaceUse:
    """Service units of a workspace at one router.

    Attributes:
        workspace: Name of the workspace.
        asked: Units asked for in the window.
        served: Units given out in the window.
    """

    workspace: str
    asked: float
    served: float


def max_min_shares(
    asked: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divides a capacity so that the smallest shares are as large as possible.

    Args:
        asked: Amount that each workspace asks for.
        capacity: Amount to divide.

    Returns:
        The share of each workspace: what it asks, or the common level.
    """
    shares: dict[str, float] = {}
    left = capacity
    waiting = sorted(asked.items(), key=lambda entry: entry[1])
    for index, (workspace, amount) in enumerate(waiting):
        level = max(left, 0.0) / (len(waiting) - index)
        shares[workspace] = min(amount, level)
        left -= shares[workspace]
    return shares


class WorkspaceShares:
    """Counts what workspaces ask and get over the fleet.

    Every router counts its own requests and hears the counts of the others.
    The max-min level is what a workspace may use while others wait.
    """

    def __init__(self, clock: Clock, time_constant_s: float) -> None:
        """Creates empty counts.

        Args:
            clock: Decides how far counts have faded.
            time_constant_s: Time constant of all counts.
        """
        self._clock = clock
        self._time_constant_s = time_constant_s
        # All counts fade alike, so they are kept as they would have been at the
        # reference time: a count that is added needs no computation for those
        # that are there.
        self._own: dict[str, _Scaled] = {}
        self._peers: dict[str, tuple[float, dict[str, _Scaled]]] = {}
        # Sums over the other routers.
        self._remote: dict[str, _Scaled] = {}
        self._reference = clock.monotonic()
        self._capacity_per_s: float | None = None
        self._level = math.inf
        self._totals: dict[str, float] = {}
        self._mean = 0.0

    @property
    def time_constant_s(self) -> float:
        """Time constant of all counts in seconds."""
        return self._time_constant_s

    @property
    def level(self) -> float:
        """Units that a workspace may use in a window, inf without a limit."""
        return self._level

    def set_time_constant(self, time_constant_s: float) -> None:
        """Changes the time constant of all counts."""
        now = self._clock.monotonic()
        previous_s, self._time_constant_s = (
            self._time_constant_s,
            time_constant_s,
        )
        _multiply(self._own, math.exp((self._reference - now) / previous_s))
        self._remote = {}
        for peer, (heard, counts) in self._peers.items():
            # As reported, and faded since then with the new time constant.
            factor = math.exp(
                (self._reference - heard) / previous_s
                + (heard - now) / time_constant_s
            )
            scaled = {
                workspace: (asked * factor, served * factor)
                for workspace, (asked, served) in counts.items()
            }
            self._peers[peer] = (heard, scaled)
            self._add_remote(scaled, 1.0)
        self._reference = now

    def set_capacity(self, units_per_s: float | None) -> None:
        """Sets what all targets serve a second, None if unknown."""
        self._capacity_per_s = units_per_s

    def note_asked(self, workspace: str, units: float) -> None:
        """Counts a request that arrived here."""
        self._add(workspace, units, 0.0)

    def note_served(self, workspace: str, units: float) -> None:
        """Counts a request that was sent to a target."""
        self._add(workspace, 0.0, units)
        self._totals[workspace] = self._totals.get(workspace, 0.0) + units

    def note_returned(self, workspace: str, units: float) -> None:
        """Takes back a count of a request that did not run."""
        self.note_served(workspace, -units)

    def own_use(self) -> list[WorkspaceUse]:
        """Returns the counts of this router for the others."""
        scale = self._scale(self._clock.monotonic())
        _drop_negligible(self._own, scale)
        return [
            WorkspaceUse(workspace, asked / scale, max(served / scale, 0.0))
            for workspace, (asked, served) in self._own.items()
        ]

    def note_peer(self, peer: str, uses: Sequence[WorkspaceUse]) -> None:
        """Replaces the counts of another router."""
        now = self._clock.monotonic()
        scale = self._scale(now)
        counts = {
            use.workspace: (use.asked * scale, use.served * scale)
            for use in uses
        }
        self._forget_peer(peer)
        self._peers[peer] = (now, counts)
        self._add_remote(counts, 1.0)

    def refresh(self) -> None:
        """Computes totals and the max-min level from all counts."""
        now = self._clock.monotonic()
        for peer, (heard, _) in list(self._peers.items()):
            if now - heard > _PEER_EXPIRY_S:
                self._forget_peer(peer)
        scale = self._scale(now)
        _drop_negligible(self._remote, scale)
        asked: dict[str, float] = {}
        self._totals = {}
        for counts in (self._remote, self._own):
            for workspace, (asked_there, served_there) in counts.items():
                asked[workspace] = (
                    asked.get(workspace, 0.0) + asked_there / scale
                )
                self._totals[workspace] = (
                    self._totals.get(workspace, 0.0) + served_there / scale
                )
        busy = [units for units in self._totals.values() if units >= 1.0]
        self._mean = sum(busy) / len(busy) if busy else 0.0
        if self._capacity_per_s is None:
            self._level = math.inf
            return
        capacity = self._capacity_per_s * self._time_constant_s
        if sum(asked.values()) <= capacity:
            self._level = math.inf
            return
        self._level = max(max_min_shares(asked, capacity).values())

    def served(self, workspace: str) -> float:
        """Returns the units that a workspace got in the window."""
        return self._totals.get(workspace, 0.0)

    def relative_use(self, workspace: str) -> float:
        """Returns what a workspace got against the mean of those that got any.

        Tells large workspaces from small ones also while all of them are
        within their shares, for instance when a crowd has just begun.
        """
        if self._mean <= 0.0:
            return 0.0
        return self.served(workspace) / self._mean

    def use_of_share(self, workspace: str, units: float) -> float:
        """Returns what a workspace uses with a request, as part of its share.

        Half of the request counts, so that large requests are not kept out of
        small shares. Without contention it is 0.
        """
        if math.isinf(self._level):
            return 0.0
        return (self.served(workspace) + units / 2) / max(self._level, 1.0)

    def _scale(self, now: float) -> float:
        """Returns the factor from counts of now to those at the reference."""
        age = (now - self._reference) / self._time_constant_s
        if age > _LONGEST_SCALE:
            self._move_reference(now)
            return 1.0
        return math.exp(age)

    def _move_reference(self, now: float) -> None:
        """Keeps the factor between counts small enough for a float."""
        factor = math.exp((self._reference - now) / self._time_constant_s)
        for counts in (
            self._own,
            self._remote,
            *(each for _, each in self._peers.values()),
        ):
            _multiply(counts, factor)
        self._reference = now

    def _forget_peer(self, peer: str) -> None:
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
    """Removes counts that faded, or of which rounding errors are left."""
    least = _NEGLIGIBLE * scale
    faded = [
        workspace
        for workspace, (asked, served) in counts.items()
        if asked < least and served < least
    ]
    for workspace in faded:
        del counts[workspace]

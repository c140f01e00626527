"""Exact figures from the service that targets produce."""

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple


class WorstGap(NamedTuple):
    """The largest gap and the interval's pair of workspaces and end."""

    gap: float = 0.0
    first: int = 0
    second: int = 0
    time: float = 0.0


class _Account:
    """Weighted service of one workspace, linear between two events."""

    __slots__ = ("rate", "service", "time")

    def __init__(self) -> None:
        self.rate = 0.0
        self.service = 0.0
        self.time = 0.0

    def at(self, now: float) -> float:
        return self.service + self.rate * (now - self.time)


class GapMeter:
    """Largest gap in weighted service between backlogged workspaces.

    Service is linear between events. The difference of a pair is therefore
    extreme at an event of one of the two, and its range over the interval in
    which both are backlogged is the largest gap of any sub-interval.
    An event costs one step for each backlogged workspace of its pool.
    """

    def __init__(self, weights: Mapping[int, float]) -> None:
        """Takes the weight of each workspace."""
        self._weights = weights
        self._accounts: dict[tuple[int, int], _Account] = defaultdict(_Account)
        self._spans: dict[int, dict[int, dict[int, list[float]]]] = defaultdict(
            dict
        )
        self._worst: dict[int, WorstGap] = defaultdict(WorstGap)

    def worst(self, pool: int) -> WorstGap:
        """Returns the largest gap seen in a pool so far."""
        return self._worst[pool]

    def restart(self, now: float) -> dict[int, WorstGap]:
        """Measures anew from a time on.

        Returns:
            The largest gaps up to then, by pool.
        """
        self.finish(now)
        before = dict(self._worst)
        self._worst.clear()
        for pool, spans in self._spans.items():
            for others in spans.values():
                for span in others.values():
                    span[:] = (math.inf, -math.inf)
            for workspace in spans:
                self._extend(now, pool, workspace)
        return before

    def change_rate(
        self, now: float, pool: int, workspace: int, change: float
    ) -> None:
        """Adds to the service that a workspace receives per second."""
        account = self._accounts[pool, workspace]
        account.service = account.at(now)
        account.time = now
        account.rate += change / self._weights[workspace]
        if abs(account.rate) < 1e-9:
            account.rate = 0.0
        if workspace in self._spans[pool]:
            self._extend(now, pool, workspace)

    def set_backlogged(
        self, now: float, pool: int, workspace: int, backlogged: bool
    ) -> None:
        """Starts or ends an interval in which a workspace has waiting work."""
        spans = self._spans[pool]
        if backlogged == (workspace in spans):
            return
        if backlogged:
            spans[workspace] = {}
            for other in spans:
                if other != workspace:
                    span = [math.inf, -math.inf]
                    spans[workspace][other] = span
                    spans[other][workspace] = span
            self._extend(now, pool, workspace)
            return
        self._extend(now, pool, workspace)
        for other in spans.pop(workspace):
            del spans[other][workspace]

    def finish(self, now: float) -> None:
        """Ends every interval."""
        for pool, spans in self._spans.items():
            for workspace in list(spans):
                self._extend(now, pool, workspace)

    def _extend(self, now: float, pool: int, workspace: int) -> None:
        own = self._accounts[pool, workspace].at(now)
        largest = self._worst[pool].gap
        for other, span in self._spans[pool][workspace].items():
            difference = own - self._accounts[pool, other].at(now)
            if workspace > other:
                difference = -difference
            if difference < span[0]:
                span[0] = difference
            if difference > span[1]:
                span[1] = difference
            if span[1] - span[0] > largest:
                largest = span[1] - span[0]
                self._worst[pool] = WorstGap(largest, workspace, other, now)


class UtilisationMeter:
    """Busy slot time over slot time while compatible work waits."""

    def __init__(self) -> None:
        """Starts without slots."""
        self._state: dict[int, list[float]] = defaultdict(lambda: [0.0] * 4)
        self.busy_time = 0.0
        self.slot_time = 0.0

    @property
    def utilisation(self) -> float:
        """The quotient, 1 if no work ever waited."""
        return self.busy_time / self.slot_time if self.slot_time else 1.0

    def change(
        self,
        now: float,
        group: int,
        *,
        slots: int = 0,
        busy: int = 0,
        waiting: int = 0,
    ) -> None:
        """Adds to the slots, busy slots and waiting requests of a group."""
        state = self._state[group]
        if state[3] > 0:
            self.slot_time += state[1] * (now - state[0])
            self.busy_time += state[2] * (now - state[0])
        state[0] = now
        state[1] += slots
        state[2] += busy
        state[3] += waiting


class StarvationMeter:
    """Finds workspaces that wait for a whole window without service."""

    def __init__(self, window: float) -> None:
        """Takes the window in seconds."""
        self._window = window
        self._since: dict[tuple[int, int], float] = {}
        self.starved: set[int] = set()

    def update(
        self, now: float, pool: int, workspace: int, unserved: bool
    ) -> None:
        """Records whether a workspace waits and receives no service."""
        key = (pool, workspace)
        if unserved:
            self._since.setdefault(key, now)
            return
        since = self._since.pop(key, now)
        if now - since >= self._window:
            self.starved.add(workspace)

    def finish(self, now: float) -> None:
        """Ends every interval."""
        for pool, workspace in list(self._since):
            self.update(now, pool, workspace, False)

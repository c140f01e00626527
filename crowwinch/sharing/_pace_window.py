"""Limit on the requests in flight at a target, found from its responses.

Each router sees a part of the responses. All of them compute the same window
from what each reports: the window at the last reduction, and the growth since
that the responses to each router allow.
"""

import math
from dataclasses import dataclass, field

# Requests in flight, over the whole fleet, with which a pace begins.
INITIAL_WINDOW = 2.0
# Factor of the window after a refusal, a failure or a late first event. The
# second one holds if the last reduction was less than this time ago: the
# capacity has fallen, and is not just reached.
_REDUCTION = 0.9
_REPEATED_REDUCTION = 0.6
_REPEATED_S = 0.9
# Growth after a reduction, in requests for each full window of responses in
# time. It rises with the growth since then: if the target bears that much more,
# its capacity has risen.
_FIRST_SPEED = 0.5
# Speed added by each request of that growth. With 2, 8 routers had 14 requests
# more at a target than it could hold, with 1.5 they had 11.
_ACCELERATION = 1.5
# A window that is not used this far shows nothing about the target.
_MIN_USE = 0.5
_MIN_WINDOW = 1.0


@dataclass(frozen=True, slots=True)
class PaceReport:
    """What a router knows of the pace of a target.

    Attributes:
        target: Identifier of the target.
        life: Start of the target.
        epoch: Number of the last reduction or begin; the highest one holds.
        base: Window at that moment.
        is_first: Whether the window was not reduced since the pace began.
        grown: Growth since then that the responses to this router allow.
        idle_s: Seconds since the pace limited a request at this router.
        wanted_per_s: Requests per second that the router gets for the service.
    """

    target: str
    life: int
    epoch: int
    base: float
    is_first: bool
    grown: float
    idle_s: float
    wanted_per_s: float


@dataclass(slots=True)
class PaceWindow:
    """Window of one target, as this router knows it.

    Attributes:
        life: Start of the target.
        epoch: Number of the last reduction or begin.
        base: Window at that moment.
        changed_at: Time at which this router learned of it.
        limited_at: Time at which the pace last limited a request, here or at a
            peer.
        is_first: Whether the window was not reduced since the pace began.
        own_limited_at: Time at which it last limited a request here.
        grown: Growth since the epoch that the responses to this router allow.
        peers_grown: Same for each peer.
    """

    life: int
    epoch: int
    base: float
    changed_at: float
    limited_at: float
    is_first: bool = True
    own_limited_at: float = -math.inf
    grown: float = 0.0
    peers_grown: dict[str, float] = field(default_factory=dict)

    @property
    def size(self) -> float:
        """Requests that may be in flight over the whole fleet."""
        return self.base + self.growth

    @property
    def growth(self) -> float:
        """Growth since the epoch over all routers."""
        return self.grown + sum(self.peers_grown.values())

    def grow(self, active: float) -> None:
        """Records a response in time.

        Args:
            active: Requests in flight at the target over the whole fleet.
        """
        size = self.size
        if active < size * _MIN_USE:
            return
        if self.is_first:
            self.grown += 1.0
        else:
            speed = _FIRST_SPEED + _ACCELERATION * self.growth
            self.grown += min(speed / size, 1.0)

    def reduce(self, active: float, now: float, settled_at: float) -> bool:
        """Records a refusal, a failure or a late first event.

        Args:
            active: Requests in flight at the target over the whole fleet.
            now: Monotonic time.
            settled_at: A change of the window after this time is too late to
                show in the response.

        Returns:
            Whether the window was reduced.
        """
        if self.changed_at > settled_at:
            return False
        # The count of requests in flight is late and may be far too low.
        seen = min(max(active, self.size / 2.0), self.size)
        is_repeated = now - self.changed_at < _REPEATED_S
        factor = _REPEATED_REDUCTION if is_repeated else _REDUCTION
        # Fast growth may have gone far beyond what the target can hold.
        middle = (min(self.base, seen) + seen) / 2.0
        base = max(min(seen * factor, middle), _MIN_WINDOW)
        self.start_epoch(self.epoch + 1, base, now, is_first=False)
        return True

    def start_epoch(
        self, epoch: int, base: float, now: float, *, is_first: bool
    ) -> None:
        """Replaces the window."""
        self.epoch, self.base, self.is_first = epoch, base, is_first
        self.changed_at = now
        self.grown = 0.0
        self.peers_grown.clear()

    def merge(self, peer: str, report: PaceReport, now: float) -> None:
        """Adds what a peer knows."""
        self.limited_at = max(self.limited_at, now - report.idle_s)
        if report.epoch < self.epoch:
            return
        if report.epoch > self.epoch:
            self.start_epoch(
                report.epoch, report.base, now, is_first=report.is_first
            )
        self.base = min(self.base, report.base)
        self.is_first = self.is_first and report.is_first
        # A peer that restarted reports no growth; what it saw still holds.
        known = self.peers_grown.get(peer, 0.0)
        self.peers_grown[peer] = max(known, report.grown)

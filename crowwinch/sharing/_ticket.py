"""A request that waits for a decision."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from crowwinch.sharing._model import Decision, TargetView, Work

# Target latency of requests whose route does not set one.
_DEFAULT_LATENCY_S = 1.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A request waiting for a target.

    Attributes:
        work: Work of the request.
        arrived: Monotonic time of its arrival.
        deadline: Monotonic time after which an answer is useless.
        on_decision: Called once with the decision.
        excluded: Identifiers of targets that must not be used.
        prior_wait_s: Time that the caller has waited before the request
            arrived.
        is_taken_up: Whether it goes on with a stream of which the caller has
            the first events.
        software_version: Only targets of this version may run it, None if any
            may.
        home_regions: Only targets in these regions may run it, None if all may.
        latest_start: Monotonic time from which an answer is likely late; set
            when it is submitted.
    """

    work: Work
    arrived: float
    deadline: float
    on_decision: Callable[[Decision], None]
    excluded: Collection[str] = ()
    prior_wait_s: float = 0.0
    is_taken_up: bool = False
    software_version: str | None = None
    home_regions: frozenset[str] | None = None
    latest_start: float = field(default=0.0, init=False)
    is_done: bool = field(default=False, init=False)

    @property
    def is_restricted(self) -> bool:
        """Whether some targets of its service must not run it."""
        return bool(
            self.excluded
            or self.software_version is not None
            or self.home_regions is not None
        )

    def accepts(self, target: TargetView) -> bool:
        """Returns whether targets of this version and region may run it."""
        return self.accepts_region(target) and self.software_version in (
            None,
            target.software_version,
        )

    def accepts_region(self, target: TargetView) -> bool:
        """Returns whether targets in this region may run it."""
        return self.home_regions is None or target.region in self.home_regions

    def has_same_homes(self, other: "Ticket") -> bool:
        """Returns whether two requests may run in the same regions."""
        return self.home_regions == other.home_regions

    @property
    def latency_s(self) -> float:
        """Target latency in seconds."""
        return self.work.target_latency_s or _DEFAULT_LATENCY_S

    @property
    def is_late(self) -> bool:
        """Whether its caller had waited for the target latency before."""
        return self.prior_wait_s >= self.latency_s

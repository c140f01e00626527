"""What a waiting request may claim of the targets."""

from dataclasses import dataclass


@dataclass(slots=True)
class Claim:
    """Share use and latency limits of a waiting request.

    Attributes:
        share_use: Use of its workspace's share including this request; above 1
            the workspace is over its share.
        relative_use: Use of its workspace divided by the mean of all.
        lead: Use of its workspace divided by an even use of all that is served,
            0 if no workspace waits; above 1, others that wait get less.
        latency_s: Target latency in seconds.
        waited_s: Seconds since its arrival.
        prior_wait_s: Seconds that its caller had waited before.
        is_contended: Whether other requests wait that can be in time.
    """

    share_use: float
    relative_use: float
    latency_s: float
    waited_s: float
    prior_wait_s: float = 0.0
    is_contended: bool = False
    lead: float = 0.0

    @property
    def is_within(self) -> bool:
        """Whether the request is within its workspace's share."""
        return self.share_use <= 1.0

    @property
    def is_large(self) -> bool:
        """Whether its workspace uses at least the mean of all."""
        return self.relative_use >= 1.0

    @property
    def total_wait_s(self) -> float:
        """Seconds that its caller has waited."""
        return self.prior_wait_s + self.waited_s

"""Admission limits on the load of a target.

The more of its share a workspace uses, the shorter the queue that its requests
may join. This leaves capacity for workspaces that use less of theirs.
"""

from dataclasses import dataclass

from crowwinch.sharing._placer import Candidate

# Fractions of the batch and of the target latency available to a request just
# over its share. Both decrease with share use, so that workspaces over their
# share get about equal amounts of the spare capacity.
_OVER_SHARE_BATCH_FRACTION = 0.95
_OVER_SHARE_LATENCY_FRACTION = 1.0
_OVER_SHARE_EXPONENT = 0.7
# Cap on the prefill time of a request over its share, as a fraction of the
# target latency. Without the cap 0.46 of the longest tenth of prompts were
# served where 1.00 of all were; with prefill ignored, long prompts took the
# time of many short ones.
_MAX_PREFILL_FRACTION = 0.5
# Highest use at which an engine recomputes a prefix cached by another engine
# for a request over its share. At 0.4 and 0.5 the recomputation took time from
# requests within their shares.
_MAX_RECOMPUTE_USE = 0.2
# Fraction of the target latency available to a workspace within its share but
# with above-average use. The limit decreases with relative use, so that small
# workspaces find short queues even in the first seconds of a load spike.
_ABOVE_AVERAGE_LATENCY_FRACTION = 0.8
# Fraction of the target latency that a forecast may take. The rest covers its
# error.
_IN_TIME_FRACTION = 0.8
# Fraction of the target latency that the last wait and the time at an idle
# target may take together. The rest covers the time at a busy one and what
# other routers have sent meanwhile.
_START_FRACTION = 0.7
# An engine with a shorter queue accepts a request even if its forecast exceeds
# the target latency, such as that of a very long prompt.
_SHORT_QUEUE_S = 0.02
# Fraction of the batch available to a request that cannot be answered in time,
# of a workspace just over its share or with at least average use. In a full
# batch, each late answer takes the slot of one in time.
_LATE_BATCH_FRACTION = 0.2
# The same where no request that can be in time waits at this router. Others may
# wait elsewhere in the fleet, which shows in nearly full batches.
_UNCONTENDED_LATE_BATCH_FRACTION = 0.75


@dataclass(slots=True)
class Claim:
    """Share use and latency limits of a waiting request.

    Attributes:
        share_use: Use of its workspace's share including this request; above 1
            the workspace is over its share.
        relative_use: Use of its workspace divided by the mean of all.
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


def has_room(candidate: Candidate, claim: Claim) -> bool:
    """Returns whether a target can accept a request now."""
    if candidate.use >= 1.0:
        return False
    if not candidate.target.is_engine:
        return True
    if claim.is_within:
        return _has_room_within_share(candidate, claim)
    return _has_room_over_share(candidate, claim)


def latest_start_s(latency_s: float, alone_s: float) -> float:
    """Returns the longest wait after which an answer is likely in time.

    Args:
        latency_s: Target latency in seconds.
        alone_s: Time to the first event at an idle target in seconds.

    Returns:
        Seconds, below 0 if no wait is short enough.
    """
    return latency_s * _START_FRACTION - alone_s


def _has_room_within_share(candidate: Candidate, claim: Claim) -> bool:
    latency = claim.latency_s
    total_s = claim.total_wait_s + candidate.expected_s
    has_short_queue = candidate.waiting_s <= _SHORT_QUEUE_S
    if claim.is_large and total_s > latency:
        batch_fraction = (
            _LATE_BATCH_FRACTION
            if claim.is_contended
            else _UNCONTENDED_LATE_BATCH_FRACTION
        )
        return has_short_queue and candidate.use < batch_fraction
    if claim.relative_use > 1.0:
        factor = claim.relative_use**-_OVER_SHARE_EXPONENT
        latency *= _ABOVE_AVERAGE_LATENCY_FRACTION * factor
    return total_s <= latency * _IN_TIME_FRACTION or has_short_queue


def _is_too_late(candidate: Candidate, claim: Claim) -> bool:
    """Returns whether the answer to a returning caller would be late."""
    total_s = claim.total_wait_s + candidate.expected_s
    return claim.prior_wait_s > 0.0 and total_s > claim.latency_s


def _has_room_over_share(candidate: Candidate, claim: Claim) -> bool:
    if candidate.recompute_tokens and candidate.use > _MAX_RECOMPUTE_USE:
        return False
    factor = claim.share_use**-_OVER_SHARE_EXPONENT
    own_s = candidate.expected_s - candidate.queue_s
    expected_s = candidate.queue_s + min(
        own_s, claim.latency_s * _MAX_PREFILL_FRACTION
    )
    limit = claim.latency_s * _OVER_SHARE_LATENCY_FRACTION * factor
    if _is_too_late(candidate, claim):
        return (
            candidate.use < _LATE_BATCH_FRACTION * factor
            and expected_s <= limit
        )
    return (
        candidate.use < _OVER_SHARE_BATCH_FRACTION * factor
        and expected_s + claim.waited_s <= limit
    )

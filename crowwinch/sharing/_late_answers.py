"""Limit on answers that can only be late.

Load: more is asked than all targets serve. Each late answer takes a slot in
which another one could be in time, so late answers get engines that have room
to spare.
"""

from crowwinch.sharing._claim import Claim
from crowwinch.sharing._forecasts import Candidate

# Fraction of the batch available to late answers of a workspace that is over
# its share, or while requests that can be in time wait.
_BATCH_FRACTION = 0.2
# The same where no request that can be in time waits at this router. Others may
# wait elsewhere in the fleet, which shows in nearly full batches.
_UNCONTENDED_BATCH_FRACTION = 0.75


class LateAnswers:
    """Decides which answers would be late and how much of a batch they get."""

    @staticmethod
    def is_late(candidate: Candidate, claim: Claim) -> bool:
        """Returns whether the answer of a target would be late."""
        return claim.total_wait_s + candidate.expected_s > claim.latency_s

    @staticmethod
    def batch_fraction(claim: Claim) -> float:
        """Returns the fraction of a batch up to which late answers start."""
        if claim.is_within and not claim.is_contended:
            return _UNCONTENDED_BATCH_FRACTION
        return _BATCH_FRACTION

"""Admission limits on the load of a target.

The more of its share a workspace uses, the shorter the queue that its requests
may join. This leaves capacity for workspaces that use less of theirs.
"""

from crowwinch.sharing._claim import Claim
from crowwinch.sharing._forecasts import Candidate
from crowwinch.sharing._late_answers import LateAnswers
from crowwinch.sharing._leads import Leads

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
# An engine with a shorter queue accepts a request even if its forecast exceeds
# the target latency, such as that of a very long prompt.
_SHORT_QUEUE_S = 0.02


def use_limit(claim: Claim) -> float:
    """Returns the use from which no engine has room for a request.

    It bounds what `has_room` decides without a forecast for any target.
    """
    if claim.is_within:
        return min(Leads.limit_fraction(claim), 1.0)
    factor = _over_share_factor(claim)
    fraction = max(
        _OVER_SHARE_BATCH_FRACTION, LateAnswers.batch_fraction(claim)
    )
    return min(fraction * factor, 1.0)


def has_room(candidate: Candidate, claim: Claim) -> bool:
    """Returns whether a target can accept a request now."""
    if candidate.use >= 1.0 or candidate.limit_wait_s > 0.0:
        return False
    if not candidate.target.is_engine:
        return True
    if claim.is_within:
        return _has_room_within_share(candidate, claim)
    return _has_room_over_share(candidate, claim)


def _has_room_within_share(candidate: Candidate, claim: Claim) -> bool:
    lead_fraction = Leads.limit_fraction(claim)
    if candidate.use >= lead_fraction:
        return False
    latency = claim.latency_s * lead_fraction
    has_short_queue = candidate.waiting_s <= _SHORT_QUEUE_S
    if claim.is_large and LateAnswers.is_late(candidate, claim):
        fraction = LateAnswers.batch_fraction(claim)
        return has_short_queue and candidate.use < fraction
    if claim.relative_use > 1.0 and not Leads.is_behind(claim.lead):
        factor = claim.relative_use**-_OVER_SHARE_EXPONENT
        latency *= _ABOVE_AVERAGE_LATENCY_FRACTION * factor
    total_s = claim.total_wait_s + candidate.expected_s
    return total_s <= latency * _IN_TIME_FRACTION or has_short_queue


def _has_room_over_share(candidate: Candidate, claim: Claim) -> bool:
    if candidate.recompute_tokens and candidate.use > _MAX_RECOMPUTE_USE:
        return False
    factor = _over_share_factor(claim)
    own_s = candidate.expected_s - candidate.queue_s
    expected_s = candidate.queue_s + min(
        own_s, claim.latency_s * _MAX_PREFILL_FRACTION
    )
    limit = claim.latency_s * _OVER_SHARE_LATENCY_FRACTION * factor
    if claim.prior_wait_s > 0.0 and LateAnswers.is_late(candidate, claim):
        fraction = LateAnswers.batch_fraction(claim)
        return candidate.use < fraction * factor and expected_s <= limit
    return (
        candidate.use < _OVER_SHARE_BATCH_FRACTION * factor
        and expected_s + claim.waited_s <= limit
    )


def _over_share_factor(claim: Claim) -> float:
    """Returns the fraction of its limits that a request over its share gets.

    Targets may serve more than the configured capacity, of which shares are
    computed. A workspace that gets clearly less than others of what is served
    is not held back by its share.
    """
    if Leads.is_behind(claim.lead):
        return 1.0
    return claim.share_use**-_OVER_SHARE_EXPONENT * Leads.limit_fraction(claim)

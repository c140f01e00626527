"""How full a target may be to take one more request.

Answers unequal workspaces: the more of its share a workspace uses, the shorter
the queue that its requests may join, so that others find room.
"""

from dataclasses import dataclass

from crowwinch.sharing._placer import Candidate

# A request just beyond the share may use this part of a batch and of its target
# latency. Both shrink with the use of the share, so that workspaces beyond it
# get about equal amounts of what is left over.
_OVER_SHARE_USE = 0.8
_OVER_SHARE_LATENCY = 0.8
_OVER_SHARE_EXPONENT = 0.7
# The reading of a long prompt counts up to this part of the target latency, so
# that long prompts are not left out as soon as their workspace is beyond its
# share. Without a limit 0.46 of the longest tenth were served where 1.00 of all
# were; not counted at all, they took the time of many short ones.
_LARGEST_OWN_TIME = 0.5
# Only engines with less use than this read for requests beyond the share what
# another engine keeps. At 0.4 and 0.5 the time of reading again was missing to
# requests within their shares.
_IDLE_USE = 0.2
# Within the shares, the queue that a workspace may build up at an engine
# shrinks with its size against the others, so that small ones find short queues
# also in the first seconds of a crowd.
_LARGE_LATENCY = 0.8
# An engine with less unread work takes a request even if it will be late.
_IDLE_WAIT_S = 0.15


@dataclass(slots=True)
class Claim:
    """What a waiting request may claim.

    Attributes:
        share_use: Use of its workspace's share with this request; above 1 the
            workspace is beyond its share.
        relative_use: What its workspace got against the mean of all.
        latency_s: Time in which the answer is worth most.
        waited_s: Time since its arrival.
    """

    share_use: float
    relative_use: float
    latency_s: float
    waited_s: float

    @property
    def is_within(self) -> bool:
        """Whether the request is within its workspace's share."""
        return self.share_use <= 1.0


def has_room(candidate: Candidate, claim: Claim) -> bool:
    """Returns whether a target may take a request now."""
    if candidate.use >= 1.0:
        return False
    if not candidate.target.is_engine:
        return True
    if claim.is_within:
        return _has_room_within(candidate, claim)
    return _has_room_beyond(candidate, claim)


def _has_room_within(candidate: Candidate, claim: Claim) -> bool:
    latency = claim.latency_s
    if claim.relative_use > 1.0:
        part = claim.relative_use**-_OVER_SHARE_EXPONENT
        latency *= _LARGE_LATENCY * part
    return (
        candidate.expected_s + claim.waited_s <= latency
        or candidate.waiting_s <= _IDLE_WAIT_S
    )


def _has_room_beyond(candidate: Candidate, claim: Claim) -> bool:
    if candidate.read_again and candidate.use > _IDLE_USE:
        return False
    part = claim.share_use**-_OVER_SHARE_EXPONENT
    own = candidate.expected_s - candidate.queue_s
    expected = candidate.queue_s + min(own, claim.latency_s * _LARGEST_OWN_TIME)
    limit = claim.latency_s * _OVER_SHARE_LATENCY * part
    return (
        candidate.use < _OVER_SHARE_USE * part
        and expected + claim.waited_s <= limit
    )

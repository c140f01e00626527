"""Answers to a claim."""

import enum


class ClaimVerdict(enum.IntEnum):
    """What a claimant may do. The numbers are part of the wire format."""

    RUN = 0
    """The attempt may run, once."""
    IN_PROGRESS = 1
    """Another attempt runs; a further answer follows when it ends."""
    RECORDED = 2
    """The call ran; the content is its answer, empty if no longer held."""
    NOT_STARTED = 3
    """The attempt did not run and will not; the key can be used again."""
    CLOSED = 4
    """No attempt ran under this key and none ever will."""
    UNKNOWN = 5
    """Nobody who answers knows whether the call ran."""
    MISMATCH = 6
    """The key belongs to another request."""

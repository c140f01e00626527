"""Pacing of control messages."""

from typing import Protocol

import msgspec

from crowwinch.generated.bases import MessageStruct

# Headers of a message over a reliable link: CURVE, ZMTP and TCP/IP, the link
# frame and the envelope of its payload.
HEADER_BYTES = 33 + 2 + 40 + 9 + 2
# An answer goes back over the connection of the router, with the life of its
# sender.
ANSWER_HEADER_BYTES = HEADER_BYTES + 6
# Parts of a router's budget for what it sends and for answers. The answers to
# all routers of a domain share one budget, so that a router that serves a large
# workspace may use what others leave: with budgets of their own, utilisation
# missed its target in a flood at the same mean.
DEMAND_SHARE = 0.63
ANSWER_SHARE = 1.0 - DEMAND_SHARE
_ENCODER = msgspec.msgpack.Encoder()


class Pacing(Protocol):
    """Budget of control bytes.

    The credit may become negative, so that a message larger than the whole
    budget passes when some credit is left.
    """

    def delay(self, now: float) -> float:
        """Returns seconds until there is credit, 0 if there is some.

        Args:
            now: Monotonic time in seconds.
        """

    def spend(self, size: int, now: float) -> None:
        """Takes the bytes of a message that is sent from the credit."""


class UnlimitedPacing:
    """Lets every message pass, for messages that leave no process."""

    def delay(self, now: float) -> float:
        """Returns 0."""
        del now
        return 0.0

    def spend(self, size: int, now: float) -> None:
        """Does nothing."""


def message_size(message: MessageStruct, header: int = HEADER_BYTES) -> int:
    """Returns the bytes of a message with all headers."""
    return header + len(_ENCODER.encode(message))

"""Rate limiting of control messages."""

from typing import Protocol

import msgspec

from crowwinch.generated.bases import MessageStruct

# Headers of a message over a reliable link: CURVE, ZMTP and TCP/IP, the link
# frame and the envelope of its payload.
HEADER_BYTES = 33 + 2 + 40 + 9 + 2
# An answer is sent over the router's connection and also carries the life
# number of its sender.
ANSWER_HEADER_BYTES = HEADER_BYTES + 6
# Fractions of a router's byte budget for sent messages and for answers. The
# answers to all routers of a domain share one budget, so that a router that
# serves a large workspace can use what others leave unused: with a budget per
# router, utilisation missed its target in a flood at the same mean rate.
DEMAND_SHARE = 0.63
ANSWER_SHARE = 1.0 - DEMAND_SHARE
_ENCODER = msgspec.msgpack.Encoder()


class Pacing(Protocol):
    """Byte budget of control messages.

    The credit may become negative, so that a message larger than the whole
    budget can be sent while the credit is positive.
    """

    def delay(self, now: float) -> float:
        """Returns the seconds until credit is available, 0 if it is now.

        Args:
            now: Monotonic time in seconds.
        """

    def spend(self, size: int, now: float) -> None:
        """Deducts the size of a sent message in bytes from the credit."""


class UnlimitedPacing:
    """No limit, for messages that stay within the process."""

    def delay(self, now: float) -> float:
        """Returns 0."""
        del now
        return 0.0

    def spend(self, size: int, now: float) -> None:
        """Does nothing."""


def message_size(message: MessageStruct, header: int = HEADER_BYTES) -> int:
    """Returns the size of a message in bytes, including all headers."""
    return header + len(_ENCODER.encode(message))

"""Pacing of control messages."""

from typing import Protocol

# Envelope, CURVE, ZMTP and TCP/IP headers of one message, and the mean size of
# one event in it (section 4 of the design page).
MESSAGE_BYTES = 83
EVENT_BYTES = 12


class Pacing(Protocol):
    """Budget of control bytes."""

    def allows(self, size: int, now: float) -> float:
        """Takes bytes from the budget if it has credit.

        The credit may become negative, so that a message larger than the
        whole budget passes when some credit is left.

        Args:
            size: Bytes to send.
            now: Monotonic time in seconds.

        Returns:
            0 if the bytes were taken, else seconds until credit returns.
        """


class UnlimitedPacing:
    """Lets every message pass, for messages that leave no process."""

    def allows(self, size: int, now: float) -> float:
        """Returns 0."""
        del size, now
        return 0.0


def message_size(events: int) -> int:
    """Returns the bytes of a message with a number of events."""
    return MESSAGE_BYTES + EVENT_BYTES * events

"""Budget of control bytes."""

from collections.abc import Callable


class TokenBucket:
    """Credit in bytes that grows with time up to a burst.

    A message is sent while there is any credit and may overdraw it, since its
    size is known only once events are coalesced into it. The mean rate holds
    regardless of message sizes.
    """

    def __init__(
        self,
        monotonic: Callable[[], float],
        bytes_per_second: float,
        burst_bytes: float,
    ) -> None:
        """Creates a full bucket.

        Args:
            monotonic: Returns seconds that never go back.
            bytes_per_second: Growth of the credit.
            burst_bytes: Highest credit.

        Raises:
            ValueError: If the rate or the burst is not positive.
        """
        if bytes_per_second <= 0 or burst_bytes <= 0:
            raise ValueError("rate and burst must be positive")
        self._monotonic = monotonic
        self._rate = bytes_per_second
        self._burst = burst_bytes
        self._credit = burst_bytes
        self._at = monotonic()

    def set_rate(self, bytes_per_second: float, burst_bytes: float) -> None:
        """Changes the growth and the highest credit from now on."""
        self._refill()
        self._rate = bytes_per_second
        self._burst = burst_bytes

    def has_credit(self) -> bool:
        """Returns whether a message may be sent now."""
        self._refill()
        return self._credit > 0

    def spend(self, size: int) -> None:
        """Takes the bytes of a sent message, with framing."""
        self._refill()
        self._credit -= size

    def delay_s(self) -> float:
        """Returns seconds until there is credit, 0 if there is some."""
        self._refill()
        if self._credit > 0:
            return 0.0
        # One byte more than the debt, so that credit exists at that time.
        return (1.0 - self._credit) / self._rate

    def _refill(self) -> None:
        now = self._monotonic()
        grown = self._credit + (now - self._at) * self._rate
        self._credit = min(self._burst, grown)
        self._at = now

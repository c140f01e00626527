"""Leases on the holder's monotonic clock, with fencing numbers."""

from crowwinch.coordination._timers import Clock


class LeaseExpiredError(Exception):
    """The lease is not held, or not for long enough."""


class Lease:
    """The holder's side of a lease.

    The time runs from the moment the holder asked, on the holder's clock. The
    grantor starts later, so the holder stops first without any comparison of
    clocks. A holder checks after every wait, because it may have been paused.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates a lease that is not held."""
        self._clock = clock
        self._fencing = 0
        self._expires = float("-inf")

    @property
    def fencing(self) -> int:
        """Fencing number of the latest grant, 0 before the first one."""
        return self._fencing

    def renew(self, fencing: int, asked_at: float, duration_s: float) -> bool:
        """Takes a grant or an extension.

        Args:
            fencing: Number of the grant.
            asked_at: The holder's monotonic time when it asked, in seconds.
            duration_s: Length of the lease.

        Returns:
            Whether the lease is held afterwards; an answer to an earlier
            grant, or one that arrives too late, does not prolong anything.
        """
        expires = asked_at + duration_s
        if fencing > self._fencing:
            self._fencing, self._expires = fencing, expires
        elif fencing == self._fencing:
            self._expires = max(self._expires, expires)
        return self.is_held()

    def is_held(self, need_s: float = 0.0) -> bool:
        """Returns whether the lease lasts for more than `need_s` seconds."""
        return self._clock.monotonic() + need_s < self._expires

    def check(self, need_s: float = 0.0) -> int:
        """Returns the fencing number to act with.

        Raises:
            LeaseExpiredError: If the lease does not last for `need_s` seconds.
        """
        if not self.is_held(need_s):
            late = self._clock.monotonic() + need_s - self._expires
            raise LeaseExpiredError(
                f"lease {self._fencing} ends {late:.3f} s too early"
            )
        return self._fencing

    def release(self) -> None:
        """Gives the lease up; the fencing number stays used."""
        self._expires = float("-inf")


class FencingGuard:
    """The side that acts for holders; it refuses a superseded one."""

    def __init__(self) -> None:
        """Creates a guard that has seen no number."""
        self._highest = 0

    @property
    def highest(self) -> int:
        """Highest number seen."""
        return self._highest

    def admit(self, fencing: int) -> bool:
        """Returns whether the number is not lower than an earlier one."""
        if fencing < self._highest:
            return False
        self._highest = fencing
        return True

"""Time stamps that a scheduler copies into its answers."""

from crowwinch.coordination import Clock
from crowwinch.scheduling._slots import GRANT_LIFETIME_S


class EchoTracker:
    """Tells which message an answer belongs to and how long one is due.

    Only time stamps of this process are compared with its clock.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates a tracker that has sent nothing."""
        self._clock = clock
        self._last = 0
        self._registered = 0
        self._heard = 0
        self._heard_at = 0.0
        self._sent_at = 0.0
        self._unanswered: tuple[float, int] | None = None

    @property
    def fresh_until(self) -> float:
        """Monotonic time until which the last answer counts, 0 for none."""
        if self._heard < self._registered:
            return 0.0
        return expiry(self._heard)

    def send(self) -> int:
        """Returns the time stamp of a message that is sent now."""
        # Strictly increasing, so that a registration can be told from the
        # message before it.
        now = self._clock.monotonic()
        self._last = max(int(now * 1000), self._last + 1)
        self._sent_at = now
        if self._unanswered is None:
            self._unanswered = (now, self._last)
        return self._last

    def register(self) -> int:
        """Returns the time stamp of a registration that is sent now."""
        self._unanswered = None
        self._registered = self.send()
        self._heard_at = self._sent_at
        return self._registered

    def disconnect(self) -> None:
        """Expects no answer any more."""
        self._unanswered = None

    def hear(self, echo: int) -> bool:
        """Counts an answer.

        Returns:
            Whether the scheduler knew the registration when it answered.
        """
        self.excuse_silence()
        if echo < self._registered:
            return False
        self._heard = max(self._heard, echo)
        if echo >= self._last:
            self._unanswered = None
        elif self._unanswered is not None and echo >= self._unanswered[1]:
            self._unanswered = (self._heard_at, self._last)
        return True

    def excuse_silence(self) -> None:
        """Starts the time of silence anew."""
        self._heard_at = self._clock.monotonic()

    def silent_for(self) -> float:
        """Returns how long an answer has been due, in seconds."""
        if self._unanswered is None:
            return 0.0
        since = max(self._unanswered[0], self._heard_at)
        return self._clock.monotonic() - since

    def idle_for(self) -> float:
        """Returns seconds since the last message was sent."""
        return self._clock.monotonic() - self._sent_at


def expiry(echo: int) -> float:
    """Returns the monotonic time at which a grant with an echo expires."""
    return echo / 1000 + GRANT_LIFETIME_S

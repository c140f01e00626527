"""Tracking of the timestamps that a scheduler echoes in its answers."""

from crowwinch.coordination import Clock
from crowwinch.scheduling._slots import GRANT_LIFETIME_S


class EchoTracker:
    """Matches answers to messages and measures how long an answer is overdue.

    Only timestamps of this process are compared with its clock, so the clocks
    of router and scheduler need not agree.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates a tracker without messages."""
        self._clock = clock
        self._last_sent_ms = 0
        self._registered_ms = 0
        self._last_echo_ms = 0
        self._silent_since = 0.0
        self._sent_at = 0.0
        self._unanswered: tuple[float, int] | None = None

    @property
    def fresh_until(self) -> float:
        """Monotonic time until which the last answer is valid, 0 for none."""
        if self._last_echo_ms < self._registered_ms:
            return 0.0
        return expiry(self._last_echo_ms)

    def record_message(self) -> int:
        """Records a sent message and returns its timestamp in milliseconds."""
        # Timestamps are strictly increasing, so that a registration can be
        # distinguished from the message before it.
        now = self._clock.monotonic()
        self._last_sent_ms = max(int(now * 1000), self._last_sent_ms + 1)
        self._sent_at = now
        if self._unanswered is None:
            self._unanswered = (now, self._last_sent_ms)
        return self._last_sent_ms

    def record_registration(self) -> int:
        """Records a sent registration and returns its timestamp."""
        self._unanswered = None
        self._registered_ms = self.record_message()
        self._silent_since = self._sent_at
        return self._registered_ms

    def disconnect(self) -> None:
        """Stops waiting for an answer."""
        self._unanswered = None

    def record_answer(self, echo: int) -> bool:
        """Records an answer.

        Args:
            echo: Timestamp of the latest message that the scheduler had
                received when it answered.

        Returns:
            Whether the scheduler had received the last registration by then.
        """
        self.restart_answer_timeout()
        if echo < self._registered_ms:
            return False
        self._last_echo_ms = max(self._last_echo_ms, echo)
        if echo >= self._last_sent_ms:
            self._unanswered = None
        elif self._unanswered is not None and echo >= self._unanswered[1]:
            self._unanswered = (self._silent_since, self._last_sent_ms)
        return True

    def restart_answer_timeout(self) -> None:
        """Restarts the measurement of the time without an answer."""
        self._silent_since = self._clock.monotonic()

    def unanswered_s(self) -> float:
        """Returns how long an answer has been outstanding, in seconds."""
        if self._unanswered is None:
            return 0.0
        since = max(self._unanswered[0], self._silent_since)
        return self._clock.monotonic() - since

    def idle_s(self) -> float:
        """Returns the seconds since the last message was sent."""
        return self._clock.monotonic() - self._sent_at


def expiry(echo: int) -> float:
    """Returns the monotonic time at which a grant expires.

    Args:
        echo: Timestamp echoed with the grant.
    """
    return echo / 1000 + GRANT_LIFETIME_S

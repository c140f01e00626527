"""Requests that a router may send to a target now, and those that it sent."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestWindow:
    """Token bucket and sliding window of the requests to a target.

    Attributes:
        length_s: Length of the window in seconds.
        tokens: Requests that this router may send now.
        filled_at: Time up to which the tokens are counted.
        sent: Times of the requests that this router sent in the window.
    """

    length_s: float
    tokens: float
    filled_at: float
    sent: deque[float] = field(default_factory=deque)

    def fill(self, rate: float, capacity: float, now: float) -> None:
        """Adds the tokens since the last call.

        Args:
            rate: Tokens per second.
            capacity: Maximum number of tokens.
            now: Monotonic time.
        """
        added = (now - self.filled_at) * rate
        self.tokens = min(self.tokens + added, capacity)
        self.filled_at = now

    def take(self, now: float) -> None:
        """Counts a request that is sent."""
        self.tokens -= 1.0
        self.sent.append(now)

    def give_back(self) -> None:
        """Reverts `take` for the last request."""
        if self.sent:
            self.tokens += 1.0
            self.sent.pop()

    def count_sent(self, now: float) -> int:
        """Returns the requests that this router sent in the window."""
        while self.sent and self.sent[0] <= now - self.length_s:
            self.sent.popleft()
        return len(self.sent)

"""Whether a router has time for new connections."""

import logging
from collections.abc import Callable

from crowwinch.coordination import Clock

_LOGGER = logging.getLogger(__name__)

# One late turn of the event loop refuses what came meanwhile; only refusals
# that go on for this long, with no longer pause, show a lack of processor time.
_LASTING_S = 0.5
_LONGEST_PAUSE_S = 0.25
# The balancer asks once a second and takes a router out after two answers.
_NOTICED_S = 2.0
# A shorter time would end just after the balancer has noticed.
_SHORTEST_HOLD_S = 4.0
_LONGEST_HOLD_S = 32.0
# Holds of several routers do not end together.
_HOLD_SPREAD = 0.5
# Callers of one crowd do not return together.
_SHORTEST_RETRY_S = 0.05
_RETRY_SPREAD_S = 0.25


class OverloadDetector:
    """Tells when other routers should take new connections.

    The balancer sends all connections of a caller to one router, so a crowd of
    one workspace may overload it while others idle. Each hold that follows
    soon after another is twice as long.
    """

    def __init__(self, clock: Clock, random: Callable[[], float]) -> None:
        """Starts without overload.

        Args:
            clock: Monotonic time.
            random: Returns a number from 0 to 1.
        """
        self._clock = clock
        self._random = random
        self._first_refusal = float("-inf")
        self._last_refusal = float("-inf")
        self._since = float("-inf")
        self._until = float("-inf")
        self._hold_s = _SHORTEST_HOLD_S

    @property
    def is_overloaded(self) -> bool:
        """Whether this router should get no new connections."""
        return self._clock.monotonic() < self._until

    def retry_after_s(self) -> float:
        """Returns after how many seconds a refused caller may come back.

        Until the balancer has noticed, it sends callers here again.
        """
        unnoticed = 0.0
        if self.is_overloaded:
            unnoticed = self._since + _NOTICED_S - self._clock.monotonic()
        spread = _RETRY_SPREAD_S * self._random()
        return _SHORTEST_RETRY_S + max(unnoticed, 0.0) + spread

    def note_refusal(self) -> None:
        """Records that a connection was refused for lack of time."""
        now = self._clock.monotonic()
        if now - self._last_refusal > _LONGEST_PAUSE_S:
            self._first_refusal = now
        self._last_refusal = now
        if now - self._first_refusal < _LASTING_S:
            return
        if now >= self._until:
            self._start_hold(now)
        else:
            # New connections arrive until the balancer has asked twice.
            self._until = max(self._until, now + _SHORTEST_HOLD_S)

    def _start_hold(self, now: float) -> None:
        if now - self._until > _LONGEST_HOLD_S:
            self._hold_s = _SHORTEST_HOLD_S
        hold_s = self._hold_s * (1 + _HOLD_SPREAD * self._random())
        self._since, self._until = now, now + hold_s
        _LOGGER.warning(
            "not ready for new connections: no processor time",
            extra={"hold_s": round(hold_s, 1)},
        )
        self._hold_s = min(self._hold_s * 2, _LONGEST_HOLD_S)

"""Detects that a router lacks processor time for new connections."""

import logging
from collections.abc import Callable

from crowwinch.coordination import Clock

_LOGGER = logging.getLogger(__name__)

# A single slow event loop iteration refuses the connections that arrived during
# it. Only refusals that continue for this long, without a gap longer than
# _MAX_REFUSAL_GAP_S, indicate a lack of processor time. A process that runs in
# turns refuses at the start of each turn what came before it, so that a gap
# holds the time in which it did not run and a turn of about the same length.
# Longer stops, of more than half of _MAX_LAG_GAP_S, are no turns.
_MIN_OVERLOAD_S = 0.5
_MAX_REFUSAL_GAP_S = 0.25
_GAP_PER_LAG = 2.0
_MAX_LAG_GAP_S = 1.0
# The load balancer checks readiness once per second and removes a router after
# two negative answers.
_BALANCER_REACTION_S = 2.0
# A shorter hold would end just after the load balancer has removed the router.
_MIN_HOLD_S = 4.0
_MAX_HOLD_S = 32.0
# Jitter, so that the holds of several routers do not end at the same time.
_HOLD_JITTER_RATIO = 0.5
# Jitter, so that callers refused together do not retry at the same time.
_MIN_RETRY_S = 0.05
_RETRY_JITTER_S = 0.25


class OverloadDetector:
    """Decides when new connections should go to other routers.

    The load balancer sends all connections of a caller to one router, so a
    burst from one workspace may overload that router while others are idle.
    While overloaded, the router reports itself as not ready for a hold period.
    Each hold that starts soon after the previous one is twice as long.
    """

    def __init__(
        self,
        clock: Clock,
        random: Callable[[], float],
        lag_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Initializes the detector as not overloaded.

        Args:
            clock: Monotonic time.
            random: Returns a number from 0 to 1.
            lag_s: Returns for how many seconds the event loop recently did not
                run.
        """
        self._clock = clock
        self._random = random
        self._lag_s = lag_s
        self._first_refusal = float("-inf")
        self._last_refusal = float("-inf")
        self._hold_start = float("-inf")
        self._hold_end = float("-inf")
        self._hold_s = _MIN_HOLD_S

    @property
    def is_overloaded(self) -> bool:
        """Whether this router should receive no new connections."""
        return self._clock.monotonic() < self._hold_end

    @property
    def is_out_of_rotation(self) -> bool:
        """Whether the load balancer sends new connections elsewhere by now."""
        now = self._clock.monotonic()
        return self._hold_start + _BALANCER_REACTION_S <= now < self._hold_end

    def retry_after_s(self) -> float:
        """Returns the delay in seconds after which a refused caller may retry.

        Until the load balancer has removed this router, it keeps sending
        callers here.
        """
        balancer_delay_s = 0.0
        if self.is_overloaded:
            balancer_delay_s = (
                self._hold_start
                + _BALANCER_REACTION_S
                - self._clock.monotonic()
            )
        jitter_s = _RETRY_JITTER_S * self._random()
        return _MIN_RETRY_S + max(balancer_delay_s, 0.0) + jitter_s

    def note_refusal(self) -> None:
        """Records that a connection was refused for lack of processor time."""
        now = self._clock.monotonic()
        lag_gap_s = min(_GAP_PER_LAG * self._lag_s(), _MAX_LAG_GAP_S)
        if now - self._last_refusal > _MAX_REFUSAL_GAP_S + lag_gap_s:
            self._first_refusal = now
        self._last_refusal = now
        if now - self._first_refusal < _MIN_OVERLOAD_S:
            return
        if now >= self._hold_end:
            self._start_hold(now)
        else:
            # New connections arrive until two readiness checks have failed.
            self._hold_end = max(self._hold_end, now + _MIN_HOLD_S)

    def _start_hold(self, now: float) -> None:
        if now - self._hold_end > _MAX_HOLD_S:
            self._hold_s = _MIN_HOLD_S
        hold_s = self._hold_s * (1 + _HOLD_JITTER_RATIO * self._random())
        self._hold_start, self._hold_end = now, now + hold_s
        _LOGGER.warning(
            "not ready for new connections: no processor time",
            extra={"hold_s": round(hold_s, 1)},
        )
        self._hold_s = min(self._hold_s * 2, _MAX_HOLD_S)

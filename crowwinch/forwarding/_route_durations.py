"""How long the answers of each route took lately."""

import math

from crowwinch.coordination import Clock

# Time constant with which the longest duration is forgotten.
_TIME_CONSTANT_S = 60.0
# Allowed for answers that take longer than any lately.
_MARGIN = 1.25
# The route with the oldest answer is forgotten first.
_MAX_ROUTES = 2_000


class RouteDurations:
    """Tracks the longest recent duration of the answers of each route."""

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without answers.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # Longest duration and the time of the latest answer.
        self._longest: dict[str, tuple[float, float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Records the duration of a complete answer."""
        longest = max(self._decayed(route), seconds)
        self._longest.pop(route, None)
        self._longest[route] = (longest, self._clock.monotonic())
        if len(self._longest) > _MAX_ROUTES:
            del self._longest[next(iter(self._longest))]

    def expected_s(self, route: str) -> float:
        """Returns the time that an answer may take, 0 if none is known."""
        return self._decayed(route) * _MARGIN

    def _decayed(self, route: str) -> float:
        longest, at = self._longest.get(route, (0.0, 0.0))
        age_s = self._clock.monotonic() - at
        return longest * math.exp(-age_s / _TIME_CONSTANT_S)

"""Choice of the time at which a refused caller may return.

Load: sustained overload. Callers who returned within a second met the same
overload and were refused again. Callers who return at the same time meet each
other, so their times are spread.
"""

from collections.abc import Callable

# Fractions of the time left to a caller after which it may return. Callers
# wait for at most a third of it, whatever they are told.
_MIN_FRACTION = 0.25
_MAX_FRACTION = 0.33
# Most overloads last for seconds; callers with more time need not wait longer.
_MAX_TIME_LEFT_S = 15.0
_MIN_DELAY_S = 0.1


class ReturnTimes:
    """Spreads the return of refused callers over the time they have left."""

    def __init__(self, random: Callable[[], float]) -> None:
        """Creates an instance.

        Args:
            random: Returns a number from 0 to 1.
        """
        self._random = random

    def delay_s(self, time_left_s: float) -> float:
        """Returns the seconds after which a caller may return.

        Args:
            time_left_s: Time in seconds that the caller still waits.
        """
        time_left_s = min(time_left_s, _MAX_TIME_LEFT_S)
        spread = (_MAX_FRACTION - _MIN_FRACTION) * self._random()
        return max(time_left_s * (_MIN_FRACTION + spread), _MIN_DELAY_S)

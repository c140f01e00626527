"""Parts of prompts to which targets have answered."""

import math
from collections import OrderedDict
from collections.abc import Iterable

from crowwinch.coordination import Clock

_CAPACITY = 4096
# Targets may have changed since an older answer.
_RETENTION_S = 600.0


class AnsweredParts:
    """Time of the last answer to requests with each part of a prompt.

    What was answered before targets crash is less likely to be the cause.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without answers.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # The part that was answered least recently first.
        self._last_answers: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str], at: float) -> None:
        """Records an answer.

        Args:
            parts: Digests of the parts of its request.
            at: Monotonic time at which the answer was complete.
        """
        for part in parts:
            self._last_answers[part] = at
            self._last_answers.move_to_end(part)
            if len(self._last_answers) > _CAPACITY:
                self._last_answers.popitem(last=False)

    def last_answer(self, part: str) -> float:
        """Returns the time of the last answer, minus infinity without one."""
        at = self._last_answers.get(part, -math.inf)
        is_recent = self._clock.monotonic() - at <= _RETENTION_S
        return at if is_recent else -math.inf

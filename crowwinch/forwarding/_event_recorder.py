"""Records the times of the events of one attempt."""

from collections.abc import Callable

from crowwinch.coordination import Clock
from crowwinch.forwarding._request_context import RequestContext
from crowwinch.sharing import Reservation


class EventRecorder:
    """Records the times of the events of one attempt."""

    def __init__(
        self,
        clock: Clock,
        context: RequestContext,
        reservation: Reservation,
        started: float,
        on_first_event: Callable[[float], None],
    ) -> None:
        """Initializes the recorder at the start of an attempt.

        Args:
            clock: Monotonic clock.
            context: State of the request.
            reservation: Load reserved at the target.
            started: Monotonic time at which the attempt started.
            on_first_event: Called with the time in seconds from the start of
                the attempt to its first event.
        """
        self._clock = clock
        self._context = context
        self._reservation = reservation
        self._on_first_event = on_first_event
        self._started = started
        self._is_first_event = True

    def record_event(self) -> None:
        """Records that the target has sent an event."""
        now = self._clock.monotonic()
        self._context.record_event(now)
        if not self._is_first_event:
            return
        self._is_first_event = False
        self._context.attempt_began_at = now
        self._reservation.record_first_event()
        seconds = now - self._started
        self._context.attempts[-1]["first_event_s"] = round(seconds, 3)
        self._on_first_event(seconds)

"""Moves kept connections from an overloaded router to its peers."""

import logging
from collections.abc import Callable

from crowwinch.coordination import Clock
from crowwinch.forwarding._overload import OverloadDetector

_LOGGER = logging.getLogger(__name__)

# An event loop that was later than this lacks processor time; turns of a router
# with time to spare take a few milliseconds. The lag that is compared fades, so
# that a single late turn counts for less than a second.
_SHORT_LAG_S = 0.02
# Open connections that end per second, as a fraction. Reports of peers are up
# to 0.45 s old, so less than a third moves before it shows that the peers that
# take them are short as well.
_CLOSED_FRACTION_PER_S = 0.5
# Connections that may end at once, as the time in which they accumulate.
_MAX_ACCUMULATION_S = 0.2


class LoadShedding:
    """Decides which connections end with their responses.

    Load: one workspace sends four tenths of all requests, and the balancer
    brings all its callers to one router, which lacks processor time while its
    peers have it to spare. The balancer already sends new connections to other
    routers, but the kept ones stay.

    A connection ends only while new ones go elsewhere, this router lacks
    processor time, and a peer that they may reach does not. Otherwise its
    caller would only come back, with the work of a new connection.
    """

    def __init__(
        self,
        clock: Clock,
        overload: OverloadDetector,
        lag_s: Callable[[], float],
        has_relief: Callable[[], bool],
    ) -> None:
        """Creates an instance that keeps all connections.

        Args:
            clock: Monotonic time.
            overload: Tells whether the balancer sends connections elsewhere.
            lag_s: Returns for how many seconds the event loop recently did not
                run.
            has_relief: Returns whether a peer in the same availability zone
                accepts connections and has processor time to spare.
        """
        self._clock = clock
        self._overload = overload
        self._lag_s = lag_s
        self._has_relief = has_relief
        # Connections that may end now.
        self._allowance = 0.0
        self._accumulated_at = clock.monotonic()
        # Since the last log line on kept connections.
        self._closed = 0

    @property
    def is_short(self) -> bool:
        """Whether this router lacks processor time, which peers must know."""
        return self._overload.is_overloaded or self._is_late

    @property
    def _is_late(self) -> bool:
        return self._lag_s() > _SHORT_LAG_S

    def take_connection(self, open_connections: int) -> bool:
        """Returns whether a connection ends with its next response.

        Args:
            open_connections: Number of open connections.
        """
        if not self._overload.is_out_of_rotation:
            self._note_end()
            return False
        if not (self._is_late and self._has_relief()):
            return False
        now = self._clock.monotonic()
        per_s = open_connections * _CLOSED_FRACTION_PER_S
        self._allowance = min(
            self._allowance + per_s * (now - self._accumulated_at),
            max(per_s * _MAX_ACCUMULATION_S, 1.0),
        )
        self._accumulated_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        self._note_closed()
        return True

    def _note_closed(self) -> None:
        if not self._closed:
            _LOGGER.warning(
                "connections end with their responses: no processor time",
                extra={"lag_s": round(self._lag_s(), 3)},
            )
        self._closed += 1

    def _note_end(self) -> None:
        if self._closed:
            _LOGGER.info(
                "connections are kept again", extra={"closed": self._closed}
            )
            self._closed = 0

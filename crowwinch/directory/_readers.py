"""Which routers read the store themselves."""

import enum
import functools
import zlib
from collections.abc import Collection
from dataclasses import dataclass

from crowwinch.coordination import Clock

# A fleet of this size reads the store directly: 8 routers make some 6 calls a
# second, which cost 0.4% of a day's worth.
_LARGEST_DIRECT_FLEET = 8
# Readers of a larger fleet, of which any but one may fail at a moment. Each
# watches the store at any time; the others hear of changes from them.
_READERS = 4
# The store answers a reader's watch within 0.7 s; a slower one is in doubt.
_FRESH_S = 1.2
# A new reader is waited for this long before another one takes its place.
_START_S = 0.3
# A reader too many goes on this long, so that one that returns to a fleet which
# it does not know yet is not followed by all others at once.
_SURPLUS_S = 1.0
# Calls a second of a large fleet to a store that answers none of them.
_MOST_RETRIES_PER_S = 30
# A router that knows of a change and cannot get it from others for this long
# reads the store itself. A request to another router fails after 0.6 s.
_LONGEST_LAG_S = 0.8
_NAMES_CACHED = 1_024


class Reading(enum.Enum):
    """Whether a router reads the store itself."""

    NONE = "none"
    STARTING = "starting"
    FRESH = "fresh"
    FAILING = "failing"


@dataclass(slots=True)
class _Peer:
    reading: Reading
    heard: float


class StoreReaders:
    """Decides whether this router reads the store or relies on others.

    Each router decides alone from what it heard of the others. Different views
    lead to more readers for a moment, never to a router that relies on none.
    """

    def __init__(self, clock: Clock, own_name: str) -> None:
        """Starts as a reader that knows no other.

        Args:
            clock: Monotonic time.
            own_name: Name by which the others know this router.
        """
        self._clock = clock
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._is_reading = True
        self._is_failing = False
        self._started = clock.monotonic()
        self._answered = float("-inf")
        self._lagging_since: float | None = None
        self._surplus_since: float | None = None

    @property
    def reading(self) -> Reading:
        """What the others are told."""
        if not self._is_reading:
            return Reading.NONE
        now = self._clock.monotonic()
        if self._is_failing:
            return Reading.FAILING
        if self._answered < self._started:
            is_late = now - self._started > _START_S
            return Reading.FAILING if is_late else Reading.STARTING
        is_late = now - self._answered > _FRESH_S
        return Reading.FAILING if is_late else Reading.FRESH

    @property
    def is_reading(self) -> bool:
        """Whether this router reads the store itself."""
        return self._is_reading

    @property
    def is_direct(self) -> bool:
        """Whether the fleet is so small that all routers read."""
        return len(self._peers) < _LARGEST_DIRECT_FLEET

    @property
    def retry_period_s(self) -> float:
        """Mean time between calls of a router that the store does not answer.

        It bounds the calls of a large fleet that all fail, in seconds; a small
        fleet needs no bound.
        """
        if self.is_direct:
            return 0.0
        return (len(self._peers) + 1) / _MOST_RETRIES_PER_S

    @property
    def has_fresh_peer(self) -> bool:
        """Whether a router that was heard a moment ago reads the store."""
        return any(
            peer.reading is Reading.FRESH for peer in self._peers.values()
        )

    def note_answer(self) -> None:
        """Records that the store answered this router."""
        self._answered = self._clock.monotonic()
        self._is_failing = False

    def note_failure(self) -> None:
        """Records that the store failed or refused a call of this router."""
        self._is_failing = True

    def note_lag(self, *, is_lagging: bool) -> None:
        """Records whether another router knows of a change unknown here."""
        if not is_lagging:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = self._clock.monotonic()

    def note_peer(self, name: str, reading: Reading) -> None:
        """Records what another router says of itself."""
        now = self._clock.monotonic()
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer(reading, now)
        else:
            peer.reading, peer.heard = reading, now

    def forget(self, name: str) -> None:
        """Stops to count a router that is about to stop."""
        self._peers.pop(name, None)

    def decide(self, silence_s: float) -> bool:
        """Decides again and returns whether this router is to read.

        Args:
            silence_s: A router that was not heard for this long counts as lost.
        """
        now = self._clock.monotonic()
        lost = [
            name
            for name, peer in self._peers.items()
            if now - peer.heard > silence_s
        ]
        for name in lost:
            del self._peers[name]
        is_wanted = self._is_wanted(now)
        if is_wanted:
            self._surplus_since = None
        elif self._surplus_since is None:
            self._surplus_since = now
        if is_wanted:
            if not self._is_reading:
                self._is_failing = False
                self._started = now
            self._is_reading = True
        elif self._is_failing or now - self._surplus_since >= _SURPLUS_S:
            self._is_reading = False
        return self._is_reading

    def _is_wanted(self, now: float) -> bool:
        if self.is_direct:
            return True
        lagging_since = self._lagging_since
        if lagging_since is not None and now - lagging_since > _LONGEST_LAG_S:
            return True
        fresh = self._with(Reading.FRESH)
        missing = _READERS - len(fresh) - len(self._with(Reading.STARTING))
        if self._is_reading:
            if self.reading is Reading.FAILING:
                return len(fresh) < _READERS
            better = [name for name in fresh if self._is_before(name)]
            return len(better) < _READERS
        if not fresh:
            return True
        if missing <= 0:
            return False
        better = [
            name for name in self._with(Reading.NONE) if self._is_before(name)
        ]
        return len(better) < missing

    def _with(self, reading: Reading) -> Collection[str]:
        return [
            name
            for name, peer in self._peers.items()
            if peer.reading is reading
        ]

    def _is_before(self, name: str) -> bool:
        return _rank(name) < _rank(self._own_name)


@functools.lru_cache(maxsize=_NAMES_CACHED)
def _rank(name: str) -> tuple[int, str]:
    """Returns an order that spreads the readers over availability zones."""
    return zlib.crc32(name.encode()), name

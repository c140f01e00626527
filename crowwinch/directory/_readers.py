"""Selection of the routers that read the store directly."""

import enum
import functools
import zlib
from collections.abc import Collection
from dataclasses import dataclass

from crowwinch.coordination import Clock

# Up to this fleet size, every router reads the store directly: 8 routers make
# about 6 calls per second, whose cost lowers the score of a measured day by
# 0.4%.
_MAX_DIRECT_FLEET_SIZE = 8
# Number of readers in a larger fleet. Each watches the store continuously and
# propagates changes to the other routers, so that all but one may fail at the
# same time.
_READER_COUNT = 4
# The store answers a reader's watch within 0.7 s. A reader without an answer
# within this limit is considered failing.
_ANSWER_TIMEOUT_S = 1.2
# Time for the first answer to a new reader before another one replaces it.
_START_TIMEOUT_S = 0.3
# Time for which a surplus reader continues. It keeps the readers from stopping
# all at once when a router rejoins a fleet that it has not discovered yet.
_SURPLUS_GRACE_S = 1.0
# Limit on the calls per second of a large fleet while the store answers none.
_MAX_RETRIES_PER_S = 30
# A router that cannot fetch a known change from its peers for this long reads
# the store directly. A request to a peer times out after 0.6 s.
_MAX_LAG_S = 0.8
_RANK_CACHE_SIZE = 1_024


class ReaderStatus(enum.Enum):
    """Status of a router as a reader of the store."""

    NONE = "none"
    STARTING = "starting"
    FRESH = "fresh"
    FAILING = "failing"


@dataclass(slots=True)
class _Peer:
    status: ReaderStatus
    last_update: float


class StoreReaderSelector:
    """Decides whether this router reads the store or relies on its peers.

    Each router decides independently from the status that its peers report.
    Inconsistent views of the fleet can temporarily lead to surplus readers, but
    never leave a router relying on a fleet without readers.
    """

    def __init__(self, clock: Clock, own_name: str) -> None:
        """Initializes this router as a reader without known peers.

        Args:
            clock: Source of monotonic time.
            own_name: Name of this router as its peers know it.
        """
        self._clock = clock
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}
        self._is_reading = True
        self._is_failing = False
        self._started = clock.monotonic()
        self._last_answer = float("-inf")
        self._lagging_since: float | None = None
        self._surplus_since: float | None = None

    @property
    def status(self) -> ReaderStatus:
        """Status of this router as reported to its peers."""
        if not self._is_reading:
            return ReaderStatus.NONE
        now = self._clock.monotonic()
        if self._is_failing:
            return ReaderStatus.FAILING
        if self._last_answer < self._started:
            is_late = now - self._started > _START_TIMEOUT_S
            return ReaderStatus.FAILING if is_late else ReaderStatus.STARTING
        is_late = now - self._last_answer > _ANSWER_TIMEOUT_S
        return ReaderStatus.FAILING if is_late else ReaderStatus.FRESH

    @property
    def is_reading(self) -> bool:
        """Whether this router reads the store directly."""
        return self._is_reading

    @property
    def is_small_fleet(self) -> bool:
        """Whether the fleet is small enough for all routers to read."""
        return len(self._peers) < _MAX_DIRECT_FLEET_SIZE

    @property
    def retry_period_s(self) -> float:
        """Mean time in seconds between failing calls of this router.

        It limits the call rate of a large fleet while all calls fail. It is 0
        for a small fleet, which needs no limit.
        """
        if self.is_small_fleet:
            return 0.0
        return (len(self._peers) + 1) / _MAX_RETRIES_PER_S

    @property
    def has_fresh_peer(self) -> bool:
        """Whether a live peer has a recent answer from the store."""
        return any(
            peer.status is ReaderStatus.FRESH for peer in self._peers.values()
        )

    def fresh_peers(self) -> list[str]:
        """Returns the peers that have a recent answer from the store."""
        return list(self._peers_with_status(ReaderStatus.FRESH))

    def record_answer(self) -> None:
        """Records an answer of the store to this router."""
        self._last_answer = self._clock.monotonic()
        self._is_failing = False

    def record_failure(self) -> None:
        """Records a call of this router that the store failed or rejected."""
        self._is_failing = True

    def record_lag(self, *, is_lagging: bool) -> None:
        """Records whether a peer has a change that is missing here."""
        if not is_lagging:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = self._clock.monotonic()

    def record_peer(self, name: str, status: ReaderStatus) -> None:
        """Records the status that a peer reports."""
        now = self._clock.monotonic()
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer(status, now)
        else:
            peer.status, peer.last_update = status, now

    def remove_peer(self, name: str) -> None:
        """Removes a peer that is shutting down."""
        self._peers.pop(name, None)

    def decide(self, silence_s: float) -> bool:
        """Re-evaluates whether this router reads the store.

        Args:
            silence_s: Seconds without an update after which a peer is removed.

        Returns:
            Whether this router is to read the store.
        """
        now = self._clock.monotonic()
        expired = [
            name
            for name, peer in self._peers.items()
            if now - peer.last_update > silence_s
        ]
        for name in expired:
            del self._peers[name]
        should_read = self._should_read(now)
        if should_read:
            self._surplus_since = None
        elif self._surplus_since is None:
            self._surplus_since = now
        if should_read:
            if not self._is_reading:
                self._is_failing = False
                self._started = now
            self._is_reading = True
        elif self._is_failing or now - self._surplus_since >= _SURPLUS_GRACE_S:
            self._is_reading = False
        return self._is_reading

    def _should_read(self, now: float) -> bool:
        if self.is_small_fleet:
            return True
        lagging_since = self._lagging_since
        if lagging_since is not None and now - lagging_since > _MAX_LAG_S:
            return True
        fresh = self._peers_with_status(ReaderStatus.FRESH)
        missing = (
            _READER_COUNT
            - len(fresh)
            - len(self._peers_with_status(ReaderStatus.STARTING))
        )
        if self._is_reading:
            if self.status is ReaderStatus.FAILING:
                return len(fresh) < _READER_COUNT
            preferred = [name for name in fresh if self._precedes_self(name)]
            return len(preferred) < _READER_COUNT
        if not fresh:
            return True
        if missing <= 0:
            return False
        preferred = [
            name
            for name in self._peers_with_status(ReaderStatus.NONE)
            if self._precedes_self(name)
        ]
        return len(preferred) < missing

    def _peers_with_status(self, status: ReaderStatus) -> Collection[str]:
        return [
            name for name, peer in self._peers.items() if peer.status is status
        ]

    def _precedes_self(self, name: str) -> bool:
        return _rank(name) < _rank(self._own_name)


@functools.lru_cache(maxsize=_RANK_CACHE_SIZE)
def _rank(name: str) -> tuple[int, str]:
    """Returns a sort key that spreads readers over availability zones."""
    return zlib.crc32(name.encode()), name

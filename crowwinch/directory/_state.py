"""The configuration and targets in force at one router."""

import logging
from collections.abc import Callable, Mapping, Sequence

from crowwinch.coordination import Clock
from crowwinch.directory._model import (
    Changes,
    DocumentDecoder,
    Item,
    Listing,
    TargetEntry,
)
from crowwinch.forwarding import RoutingTable

_LOGGER = logging.getLogger(__name__)

# A silence of the store this long may have let entries of live targets lapse.
_OUTAGE_S = 1.0
# Live targets register again within 2 s of the store's return.
_LAPSE_GRACE_S = 2.2
# Removals kept for routers that lag; one that is further behind gets all items.
_REMOVALS_KEPT = 1000


class DirectoryState:
    """Merges items from the store and from other routers by revision.

    A revision is never taken back: neither a store that was rewound nor a
    router that lags can undo a change.
    """

    def __init__(self, clock: Clock, decoder: DocumentDecoder) -> None:
        """Creates an empty state."""
        self._clock = clock
        self._decoder = decoder
        self._items: dict[str, Item] = {}
        self._targets: dict[str, TargetEntry] = {}
        # Entries that lapsed during an outage, with the time to drop them.
        self._lapsed: dict[str, float] = {}
        self._routing: RoutingTable | None = None
        self._revision = 0
        # Revisions of removals by key, the latest one last.
        self._removals: dict[str, int] = {}
        # Removals after this revision are all kept.
        self._removals_after = 0
        self._contacted = float("inf")
        self._failing_since: float | None = None
        self._recovered_at = float("-inf")
        self._subscribers: list[Callable[[], None]] = []

    @property
    def routing(self) -> RoutingTable | None:
        """The configuration in force, None before the first."""
        return self._routing

    @property
    def targets(self) -> Mapping[str, TargetEntry]:
        """Targets by the key of their item."""
        return self._targets

    @property
    def revision(self) -> int:
        """All changes up to this revision are included."""
        return self._revision

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return 0 if self._routing is None else self._routing.version

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Calls back after each change."""
        self._subscribers.append(on_change)

    @property
    def is_connected(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._failing_since is None

    @property
    def store_age_s(self) -> float:
        """Seconds for which the store has not answered, 0 while it does."""
        if self._failing_since is None:
            return 0.0
        return round(self._clock.monotonic() - self._failing_since, 2)

    def listing(self) -> Listing:
        """Returns what another router needs to catch up."""
        return Listing(
            self._revision,
            tuple(
                item
                for key, item in self._items.items()
                if key not in self._lapsed
            ),
        )

    def changes_since(self, revision: int) -> Changes | None:
        """Returns what a router needs that knows all up to a revision.

        Returns:
            None if removals since then are no longer known.
        """
        if revision < self._removals_after:
            return None
        removed = (Item(key, at, None) for key, at in self._removals.items())
        return Changes(
            self._revision,
            tuple(
                item
                for item in (*self.listing().items, *removed)
                if item.revision > revision
            ),
        )

    def note_failure(self, since: float) -> None:
        """Records that the store has not answered since a monotonic time."""
        if self._failing_since is None:
            self._failing_since = min(since, self._contacted)

    def note_contact(self) -> None:
        """Records an answer of the store, to this or to another router."""
        self._note_news()
        self._failing_since = None
        self._contacted = self._clock.monotonic()

    def apply_listing(self, listing: Listing) -> None:
        """Takes a complete list; one older than what is known is ignored."""
        if listing.revision < self._revision:
            _LOGGER.warning(
                "older listing ignored",
                extra={"offered": listing.revision, "known": self._revision},
            )
            return
        self._note_news()
        present = {item.key for item in listing.items}
        gone = [
            Item(key, listing.revision, None)
            for key, item in self._items.items()
            if key not in present and item.revision <= listing.revision
        ]
        self._apply([*listing.items, *gone], listing.revision)
        # What came and went since the last revision is not in the listing.
        self._removals_after = self._revision

    def apply_changes(self, changes: Changes) -> None:
        """Takes changes that follow the known revision."""
        self._apply(changes.items, changes.revision)

    def apply_peer_changes(self, changes: Changes) -> None:
        """Takes changes that another router knows of.

        Changes up to a lower revision than the known one are ignored: an item
        among them may have been removed since.
        """
        if changes.revision >= self._revision:
            self._note_news()
            self._apply(changes.items, changes.revision)

    def expire_lapsed(self) -> None:
        """Drops entries that did not come back in time after an outage."""
        now = self._clock.monotonic()
        expired = [key for key, end in self._lapsed.items() if end <= now]
        for key in expired:
            del self._lapsed[key]
            self._drop(key)
        if expired:
            self._notify()

    def _note_news(self) -> None:
        """Starts the time in which entries may be missing by an outage."""
        now = self._clock.monotonic()
        since = self._failing_since
        if since is not None and now - since > _OUTAGE_S:
            self._recovered_at = now

    def _apply(self, items: Sequence[Item], revision: int) -> None:
        changed = False
        for item in sorted(items, key=lambda entry: entry.revision):
            known = self._items.get(item.key)
            if known is not None and item.revision <= known.revision:
                continue
            # A watch's answer may cross a newer page of another router.
            if item.revision <= self._removals.get(item.key, 0):
                continue
            if item.value is None:
                changed |= known is not None
                self._remember_removal(item.key, item.revision)
                self._remove(item.key)
                continue
            changed = True
            self._lapsed.pop(item.key, None)
            self._items[item.key] = item
            self._take(item.key, item.value)
        self._revision = max(self._revision, revision)
        if changed:
            self._notify()

    def _take(self, key: str, value: bytes) -> None:
        decoded = self._decoder.decode(key, value)
        if isinstance(decoded, RoutingTable):
            if decoded.version > self.version:
                self._routing = decoded
                _LOGGER.info(
                    "configuration in force",
                    extra={
                        "version": decoded.version,
                        "routes": len(decoded.routes),
                    },
                )
            elif decoded.version < self.version:
                _LOGGER.warning(
                    "older configuration ignored",
                    extra={"offered": decoded.version, "known": self.version},
                )
            return
        if decoded is None:
            self._targets.pop(key, None)
            return
        before = self._targets.get(key)
        self._targets[key] = decoded
        if before != decoded:
            _LOGGER.info(
                "target changed",
                extra={
                    "target": decoded.identifier,
                    "service": decoded.service,
                    "state": decoded.state.value,
                    "started_ms": decoded.started_ms,
                },
            )

    def _remove(self, key: str) -> None:
        if key in self._lapsed:
            return
        end = self._recovered_at + _LAPSE_GRACE_S
        if key in self._targets and self._clock.monotonic() < end:
            self._lapsed[key] = end
            return
        self._drop(key)

    def _remember_removal(self, key: str, revision: int) -> None:
        self._removals.pop(key, None)
        self._removals[key] = revision
        if len(self._removals) > _REMOVALS_KEPT:
            oldest = next(iter(self._removals))
            self._removals_after = max(
                self._removals_after, self._removals.pop(oldest)
            )

    def _drop(self, key: str) -> None:
        self._items.pop(key, None)
        target = self._targets.pop(key, None)
        if target is not None:
            _LOGGER.info("target removed", extra={"target": target.identifier})

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()

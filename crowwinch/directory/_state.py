"""Configuration and targets that a router currently uses."""

import dataclasses
import logging
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from crowwinch.coordination import Clock
from crowwinch.directory._departures import Departures
from crowwinch.directory._evacuations import EvacuatedZones
from crowwinch.directory._model import (
    Changes,
    DocumentDecoder,
    HistoryLostError,
    Item,
    Listing,
    TargetEntry,
    TargetState,
    ZoneEvacuation,
)
from crowwinch.directory._origin_history import OriginHistory
from crowwinch.forwarding import RoutingTable

_LOGGER = logging.getLogger(__name__)

# An outage of the store longer than this may let the registrations of live
# targets expire.
_MIN_OUTAGE_S = 1.0
# Live targets register again within 2 s of the store's recovery.
_LAPSE_GRACE_S = 2.2
# A router without contact for longer may have missed an outage in which
# registrations expired. Calls follow each other within 2 s; an entry expires at
# the earliest 2.4 s after its last heartbeat was due.
_MAX_CONTACT_GAP_S = 2.4
# Limit on the removals kept for lagging routers. A router that is further
# behind gets a complete listing.
_MAX_REMOVALS = 1000
# Values that cannot be read are kept up to this size. Other writers may put
# more into the store than fits into memory.
_MAX_UNREADABLE_BYTES = 1_024
# A listing shows all versions that were there since the last contact, if that
# is no longer ago than this: the entry of a target stays for three heartbeats.
_MAX_UNSEEN_S = 3.0


class DirectoryState:
    """Merges items from the store and from peers by revision.

    Revisions never decrease: neither a store that was rolled back nor a lagging
    router can revert a change.
    """

    def __init__(
        self,
        clock: Clock,
        decoder: DocumentDecoder,
        is_known_zone: Callable[[str], bool] = lambda zone: True,
    ) -> None:
        """Initializes an empty state.

        Args:
            clock: Source of monotonic time.
            decoder: Decodes the values of store items.
            is_known_zone: Returns whether the deployment has an availability
                zone. Others cannot be evacuated.
        """
        self._clock = clock
        self._decoder = decoder
        self._items: dict[str, Item] = {}
        self._targets: dict[str, TargetEntry] = {}
        self._evacuations = EvacuatedZones(is_known_zone)
        # Keys of targets whose registration expired during an outage, and of
        # evacuations that a restored store lacks, with the monotonic time at
        # which they are deleted.
        self._lapsed: dict[str, float] = {}
        self._routing: RoutingTable | None = None
        self._revision = 0
        self._era = 0
        # Revision of each removal by key, in order of arrival.
        self._removals: dict[str, int] = {}
        # The removals after this revision are complete.
        self._removals_complete_after = 0
        self._departures = Departures(clock)
        self._origins = OriginHistory(
            clock, self._targets.values, lambda: self._routing
        )
        self._last_contact = float("inf")
        self._synced_at = float("-inf")
        self._failing_since: float | None = None
        self._recovered_at = float("-inf")
        self._resumed_at = float("-inf")
        self._subscribers: list[Callable[[], None]] = []

    @property
    def routing(self) -> RoutingTable | None:
        """Current configuration, or None before the first one."""
        return self._routing

    @property
    def targets(self) -> Mapping[str, TargetEntry]:
        """Targets by item key."""
        return self._targets

    @property
    def evacuated_zones(self) -> Mapping[str, int]:
        """Revisions at which evacuations became known, by zone."""
        return self._evacuations.revisions

    def available_targets(self) -> list[TargetEntry]:
        """Returns the targets that accept requests and may get them."""
        evacuated = self._evacuations.revisions
        return [
            entry
            for entry in self._accepting_targets()
            if entry.availability_zone not in evacuated
        ]

    def evacuated_targets(self) -> list[TargetEntry]:
        """Returns the targets that accept requests in evacuated zones."""
        evacuated = self._evacuations.revisions
        if not evacuated:
            return []
        return [
            entry
            for entry in self._accepting_targets()
            if entry.availability_zone in evacuated
        ]

    def _accepting_targets(self) -> list[TargetEntry]:
        """Returns the targets that accept requests, in all zones.

        Targets whose departure was announced by a peer are left out before the
        change itself is applied.
        """
        return [
            entry
            for key, entry in self._targets.items()
            if entry.state is TargetState.READY
            and not self._departures.is_announced(key, self._revision + 1)
            and not self._departures.is_outdated(key, entry, self._era)
        ]

    @property
    def origins(self) -> OriginHistory:
        """Services and software versions at which streams may have begun."""
        return self._origins

    def extend_history(
        self, changes: Changes, heartbeat_s: float, limit_s: float
    ) -> None:
        """Adds what was in use before the first listing.

        Args:
            changes: Latest changes of the store, all that it still keeps.
            heartbeat_s: Interval in seconds at which targets write their
                entries.
            limit_s: Maximum time in seconds for which the store keeps changes.
        """
        if changes.era == self._era:
            self._origins.extend(
                changes.items, self._decoder, heartbeat_s, limit_s
            )

    @property
    def revision(self) -> int:
        """Revision up to which all changes are included."""
        return self._revision

    @property
    def era(self) -> int:
        """Era of the store to which the revision belongs."""
        return self._era

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 before the first one."""
        return 0 if self._routing is None else self._routing.version

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Registers a callback that runs after each change."""
        self._subscribers.append(on_change)

    @property
    def is_connected(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._failing_since is None

    @property
    def store_age_s(self) -> float:
        """Seconds since the store stopped answering, 0 while it answers."""
        if self._failing_since is None:
            return 0.0
        return round(self._clock.monotonic() - self._failing_since, 2)

    @property
    def synced_at(self) -> float:
        """Monotonic time up to which all changes of the store are included."""
        return self._synced_at

    def record_sync(self, at: float) -> None:
        """Records that all changes of the store up to a time are included.

        Args:
            at: Monotonic time at which a call started whose answer was applied,
                by this router or by a peer.
        """
        self._synced_at = max(self._synced_at, at)

    def includes(self, era: int, revision: int) -> bool:
        """Returns whether all changes up to a revision are included."""
        return (era, revision) <= (self._era, self._revision)

    def listing(self) -> Listing:
        """Returns all items for a lagging peer, without lapsed targets."""
        return Listing(
            self._revision,
            tuple(
                item
                for key, item in self._items.items()
                if key not in self._lapsed
            ),
            self._era,
        )

    def changes_since(self, revision: int) -> Changes | None:
        """Returns the changes after a revision for a lagging peer.

        Args:
            revision: Revision up to which the peer knows all changes.

        Returns:
            The changes, or None if the removals since then are incomplete.
        """
        if revision < self._removals_complete_after:
            return None
        removed = (Item(key, at, None) for key, at in self._removals.items())
        return Changes(
            self._revision,
            tuple(
                item
                for item in (*self.listing().items, *removed)
                if item.revision > revision
            ),
            self._era,
        )

    def record_failure(self, since: float) -> None:
        """Records that the store has not answered since a given time.

        Args:
            since: Monotonic time in seconds at which the failed call started.
        """
        if self._failing_since is None:
            self._failing_since = min(since, self._last_contact)

    def record_contact(self) -> None:
        """Records an answer of the store to this router or to a peer."""
        self._start_lapse_grace()
        self._failing_since = None
        now = self._clock.monotonic()
        if now - self._last_contact > _MAX_CONTACT_GAP_S:
            self._resumed_at = now
        self._last_contact = now

    def apply_listing(self, listing: Listing) -> None:
        """Applies a complete listing unless it is older than this state."""
        if listing.era > self._era:
            self._start_era(listing)
        if (listing.era, listing.revision) < (self._era, self._revision):
            _LOGGER.warning(
                "older listing ignored",
                extra={
                    "offered": listing.revision,
                    "known": self._revision,
                    "offered_era": listing.era,
                    "era": self._era,
                },
            )
            return
        if self._misses_changes(listing):
            self._origins.restart()
        self._start_lapse_grace()
        present = {item.key for item in listing.items}
        missing = [
            Item(key, listing.revision, None)
            for key, item in self._items.items()
            if key not in present and item.revision <= listing.revision
        ]
        self._apply([*listing.items, *missing], listing.revision)
        self._origins.start()
        # The listing lacks items that were both added and removed since the
        # last revision, so removals before it are incomplete.
        self._removals_complete_after = self._revision

    def _misses_changes(self, listing: Listing) -> bool:
        """Returns whether targets may have come and gone before a listing."""
        is_new = listing.revision > self._revision
        unseen_s = self._clock.monotonic() - self._synced_at
        return is_new and unseen_s > _MAX_UNSEEN_S

    def apply_changes(self, changes: Changes) -> None:
        """Applies changes of the store that follow the known revision.

        Raises:
            HistoryLostError: If the store is in another era.
        """
        if changes.era != self._era:
            raise HistoryLostError(
                f"store is in era {changes.era}, the directory in {self._era}"
            )
        self._apply(changes.items, changes.revision)

    def apply_peer_changes(self, changes: Changes) -> None:
        """Applies changes received from a peer.

        Changes with an older revision than this state are ignored because their
        items may have been removed since.
        """
        if changes.era == self._era and changes.revision >= self._revision:
            self._start_lapse_grace()
            self._apply(changes.items, changes.revision)

    def recent_departures(
        self, since: float = math.inf
    ) -> list[tuple[str, int]]:
        """Returns keys and revisions of the latest departures, for peers.

        Args:
            since: Monotonic time from which on the peer may have missed them.
        """
        return self._departures.recent(since)

    def merge_departures(self, departures: Iterable[tuple[str, int]]) -> None:
        """Stops using targets that a peer knows to be leaving or removed.

        Such an announcement arrives before the page of the peer's directory,
        which may be late. It holds until this directory has caught up. A
        target that is kept as lapsed has left if a peer removed it.

        Args:
            departures: Keys of the targets and revisions of the changes.
        """
        departures = list(departures)
        announced = self._departures.announce(departures, self._revision)
        for key, revision in announced:
            _LOGGER.info(
                "departure announced by a peer",
                extra={"key": key, "revision": revision},
            )
        removed = [
            key
            for key, revision in departures
            if key in self._lapsed and revision > self._items[key].revision
        ]
        for key in removed:
            del self._lapsed[key]
            self._delete(key)
        if announced or removed:
            self._notify()

    def expire_lapsed(self) -> None:
        """Deletes lapsed items that were not written again in time."""
        now = self._clock.monotonic()
        expired = [key for key, end in self._lapsed.items() if end <= now]
        for key in expired:
            del self._lapsed[key]
            self._delete(key)
        is_trust_restored = self._departures.expire()
        if expired or is_trust_restored:
            self._notify()

    def _start_era(self, listing: Listing) -> None:
        """Starts anew, after the store was restored or with the first listing.

        What an older copy lacks is written again within about two seconds, as
        after an outage. The newest configuration stays in force, and targets
        that left are not used because the copy still holds their entries.
        """
        is_restored = bool(self._items)
        if is_restored:
            _LOGGER.warning(
                "store restored from a copy",
                extra={
                    "era": listing.era,
                    "revision": listing.revision,
                    "known": self._revision,
                },
            )
            self._recovered_at = self._clock.monotonic()
        present = {item.key for item in listing.items}
        for key in [key for key in self._items if key not in present]:
            self._remove(key, may_lapse=key in self._evacuations)
        # Values that the copy repeats are applied again at any revision.
        self._items = {
            key: Item(key, 0, item.value) for key, item in self._items.items()
        }
        self._removals.clear()
        self._departures.start_era(is_restored=is_restored)
        self._era = listing.era
        self._revision = 0
        self._removals_complete_after = 0

    def _start_lapse_grace(self) -> None:
        """Starts the grace period for lapsed targets after an outage."""
        now = self._clock.monotonic()
        since = self._failing_since
        if since is not None and now - since > _MIN_OUTAGE_S:
            self._recovered_at = now

    def _apply(self, items: Sequence[Item], revision: int) -> None:
        changed = False
        for item in sorted(items, key=lambda entry: entry.revision):
            known = self._items.get(item.key)
            if known is not None and item.revision <= known.revision:
                continue
            # The answer to a watch may arrive after a newer page of a peer.
            if item.revision <= self._removals.get(item.key, 0):
                continue
            if item.value is None:
                changed |= known is not None
                self._record_removal(item.key, item.revision)
                self._remove(item.key)
                continue
            changed = True
            self._lapsed.pop(item.key, None)
            self._items[item.key] = item
            self._apply_value(item.key, item.value, known)
        self._revision = max(self._revision, revision)
        if changed:
            self._notify()

    def _apply_value(self, key: str, value: bytes, known: Item | None) -> None:
        decoded = self._decoder.decode(key, value)
        if isinstance(decoded, RoutingTable):
            if decoded.version > self.version:
                self._origins.record_configuration(decoded)
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
        elif isinstance(decoded, ZoneEvacuation):
            self._apply_evacuation(key, decoded, known)
        elif decoded is not None:
            self._apply_target(key, decoded)
        else:
            self._targets.pop(key, None)
            if len(value) > _MAX_UNREADABLE_BYTES:
                self._items[key] = dataclasses.replace(
                    self._items[key], value=b""
                )

    def _apply_target(self, key: str, decoded: TargetEntry) -> None:
        before = self._targets.get(key)
        if before is not None:
            self._origins.record_target(before)
        self._targets[key] = decoded
        if decoded.state is TargetState.LEAVING:
            self._departures.record(
                key, decoded, self._items[key].revision, self._era
            )
        if before != decoded:
            _LOGGER.info(
                "target changed",
                extra={
                    "target": decoded.identifier,
                    "service": decoded.service,
                    "state": decoded.state.value,
                    "started_ms": decoded.started_ms,
                    "revision": self._items[key].revision,
                },
            )

    def _apply_evacuation(
        self, key: str, decoded: ZoneEvacuation, known: Item | None
    ) -> None:
        """Starts an evacuation; one whose value cannot be read changes nothing.

        One that is in force stays so, also at peers that learn of it from this
        router: they get the last value that could be read. Without one they get
        an empty value, since pages between routers hold text only and a value
        that is none is sent as a removal, which would end an evacuation.

        Args:
            key: Key of the item.
            decoded: The evacuation.
            known: The item before, None without one.
        """
        item = self._items[key]
        if decoded.is_readable:
            self._evacuations.start(key, decoded.zone, item.revision)
            return
        is_in_force = known is not None and key in self._evacuations
        self._items[key] = dataclasses.replace(
            item, value=known.value if is_in_force else b""
        )

    def _remove(self, key: str, *, may_lapse: bool = False) -> None:
        """Deletes an item now, or later if it may be written again.

        Args:
            key: Key of the item.
            may_lapse: Whether it may also lapse if it is no target.
        """
        if key in self._lapsed:
            return
        end = self._recovered_at + _LAPSE_GRACE_S
        may_lapse = may_lapse or (
            key in self._targets and not self._is_departed(key)
        )
        if may_lapse and self._clock.monotonic() < end:
            self._lapsed[key] = end
            return
        self._delete(key)

    def _is_departed(self, key: str) -> bool:
        """Returns whether a peer announced a departure after the known entry.

        A peer that was in contact with the store deleted the target, so its
        registration did not expire in an outage.
        """
        return self._departures.is_announced(key, self._items[key].revision + 1)

    def _may_have_lapsed(self, target: TargetEntry) -> bool:
        """Returns whether a removed target may live after an outage.

        A router that stood still during an outage does not notice it. Peers
        that did would drop the targets that they keep, if it told them.
        """
        now = self._clock.monotonic()
        is_late = now - self._last_contact > _MAX_CONTACT_GAP_S
        is_resuming = now < self._resumed_at + _LAPSE_GRACE_S
        is_ready = target.state is TargetState.READY
        return is_ready and (is_late or is_resuming)

    def _record_removal(self, key: str, revision: int) -> None:
        self._removals.pop(key, None)
        self._removals[key] = revision
        if len(self._removals) > _MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._removals_complete_after = max(
                self._removals_complete_after, self._removals.pop(oldest)
            )

    def _delete(self, key: str) -> None:
        self._items.pop(key, None)
        revision = self._removals.get(key, self._revision)
        self._evacuations.end(key, revision)
        target = self._targets.pop(key, None)
        if target is not None:
            self._origins.record_target(target)
            self._departures.record(
                key,
                target,
                revision,
                self._era,
                is_reported=not self._may_have_lapsed(target),
            )
            _LOGGER.info(
                "target removed",
                extra={"target": target.identifier, "revision": revision},
            )

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()

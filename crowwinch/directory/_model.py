"""Data types of the store: items, listings, changes and targets."""

import enum
from dataclasses import dataclass
from typing import Protocol

from crowwinch.errors import CrowwinchError
from crowwinch.forwarding import RoutingTable, SocketAddress


class StoreError(CrowwinchError):
    """The store is unavailable, rejected a call or sent an invalid answer."""


class HistoryLostError(StoreError):
    """The requested changes have been compacted out of the store."""


class TargetState(enum.Enum):
    """Lifecycle state that a target reports."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Registration of a target.

    Attributes:
        identifier: Stable identifier of the target.
        service: Name of the service that the target belongs to.
        address: Address that the target listens on.
        availability_zone: Availability zone that the target runs in.
        slots: Maximum number of requests that it runs concurrently.
        state: Whether the target accepts new requests.
        started_ms: Start time in Unix milliseconds. It distinguishes restarts
            of a target that keeps its identifier.
        software_version: Version of its software, empty if unknown. What two
            versions write cannot be joined in one stream.
        heartbeats: Number of heartbeats of the target until it wrote this.
        cold_s: Time in seconds for which the target stays cold after it wrote
            this, 0 if it is warm.
    """

    identifier: str
    service: str
    address: SocketAddress
    availability_zone: str
    slots: int
    state: TargetState
    started_ms: int
    software_version: str = ""
    heartbeats: int = 0
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """The operator's order to send nothing more to an availability zone.

    Attributes:
        zone: Name of the availability zone.
        is_readable: Whether the value of the item can be read. One that cannot
            changes nothing, so that it neither starts nor ends an evacuation.
    """

    zone: str
    is_readable: bool = True


@dataclass(frozen=True, slots=True)
class Item:
    """A key-value item of the store.

    Attributes:
        key: Key of the item.
        revision: Store revision of the last change to the item.
        value: Raw value, or None if the item was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All items of the store, complete up to `revision`.

    Attributes:
        revision: Store revision of the listing.
        items: All items.
        era: Rises each time the store was restored from a copy. Revisions of
            different eras cannot be compared.
    """

    revision: int
    items: tuple[Item, ...]
    era: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes after an earlier revision, complete up to `revision`.

    Attributes:
        revision: Store revision up to which the changes are complete.
        items: Changed items.
        era: Era of the store, as in `Listing`.
    """

    revision: int
    items: tuple[Item, ...]
    era: int = 0


class DocumentDecoder(Protocol):
    """Decodes the values of store items."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingTable | TargetEntry | ZoneEvacuation | None:
        """Decodes the value of an item.

        Returns:
            The configuration, target or evacuation, or None if the item is of
            another kind or malformed.
        """


class Store(Protocol):
    """Read access to the store by listing and watching."""

    async def list_items(self) -> Listing:
        """Returns all items.

        Raises:
            StoreError: If the items cannot be read.
        """

    async def watch(self, revision: int, wait_s: float) -> Changes:
        """Waits for changes after a revision.

        Args:
            revision: Latest revision that the caller knows.
            wait_s: Maximum wait in seconds.

        Raises:
            HistoryLostError: If the changes are no longer available.
            StoreError: If the changes cannot be read.
        """

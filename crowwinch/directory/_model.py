"""What the store says: items, targets and their changes."""

import enum
from dataclasses import dataclass
from typing import Protocol

from crowwinch.errors import CrowwinchError
from crowwinch.forwarding import RoutingTable, SocketAddress


class StoreError(CrowwinchError):
    """The store is down, refuses a call or answers nonsense."""


class HistoryLostError(StoreError):
    """The store no longer has the changes that were asked for."""


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target that registered itself.

    Attributes:
        identifier: Identifies the target over its whole life.
        service: Service that it belongs to.
        address: Where it listens.
        availability_zone: Where it runs.
        slots: Requests that it runs at once.
        state: Whether it takes new requests.
        started_ms: Unix milliseconds of its start; a target that starts again
            may keep its identifier.
    """

    identifier: str
    service: str
    address: SocketAddress
    availability_zone: str
    slots: int
    state: TargetState
    started_ms: int


@dataclass(frozen=True, slots=True)
class Item:
    """One item of the store.

    Attributes:
        key: Name of the item.
        revision: Revision of its last change.
        value: Its bytes, None if it was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All items, complete up to a revision."""

    revision: int
    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes since an earlier revision, complete up to `revision`."""

    revision: int
    items: tuple[Item, ...]


class DocumentDecoder(Protocol):
    """Decodes items of the store."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingTable | TargetEntry | None:
        """Decodes an item; None if it is neither of both or malformed."""


class Store(Protocol):
    """A store that can be listed and watched."""

    async def list_items(self) -> Listing:
        """Returns all items.

        Raises:
            StoreError: If they cannot be read.
        """

    async def watch(self, revision: int, wait_s: float) -> Changes:
        """Waits for changes after a revision.

        Raises:
            HistoryLostError: If the changes are no longer available.
            StoreError: If they cannot be read.
        """

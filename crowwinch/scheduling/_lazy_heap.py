"""Priority queue with lazy key updates."""

import heapq
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

# The heap is rebuilt when stale entries outnumber live ones by more than this,
# which keeps the amortised cost of rebuilding per update constant.
_MAX_EXCESS_STALE_ENTRIES = 64


Item = TypeVar("Item")


class LazyHeap(Generic[Item]):
    """Finds the item with the lowest key in amortised logarithmic time.

    Keys may increase without notification. An item whose key has decreased
    must be pushed again.
    """

    def __init__(self, key: Callable[[Item], float]) -> None:
        """Creates an empty heap.

        Args:
            key: Returns the current key of an item.
        """
        self._key = key
        self._entries: list[tuple[float, int, Item]] = []
        self._keys: dict[Item, float] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Returns the number of items."""
        return len(self._keys)

    def __contains__(self, item: object) -> bool:
        """Returns whether an item is in the heap."""
        return item in self._keys

    def push(self, item: Item) -> None:
        """Adds an item or applies its decreased key."""
        key = self._keys[item] = self._key(item)
        heapq.heappush(self._entries, (key, next(self._numbers), item))
        if len(self._entries) > 2 * len(self._keys) + _MAX_EXCESS_STALE_ENTRIES:
            self._rebuild()

    def discard(self, item: Item) -> None:
        """Removes an item; one that is not in the heap is ignored."""
        self._keys.pop(item, None)

    def first(self) -> Item | None:
        """Returns the item with the lowest key, or None."""
        entries = self._entries
        while entries:
            key, _, item = entries[0]
            if self._keys.get(item) != key:
                heapq.heappop(entries)
            elif (current := self._key(item)) > key:
                self._keys[item] = current
                entry = (current, next(self._numbers), item)
                heapq.heapreplace(entries, entry)
            else:
                return item
        return None

    def _rebuild(self) -> None:
        self._entries = [
            (key, next(self._numbers), item) for item, key in self._keys.items()
        ]
        heapq.heapify(self._entries)

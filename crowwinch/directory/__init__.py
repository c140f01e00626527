"""Configuration and target registrations read from the platform's store."""

from crowwinch.directory._model import (
    Changes,
    DocumentDecoder,
    HistoryLostError,
    Item,
    Listing,
    Store,
    StoreError,
    TargetEntry,
    TargetState,
    ZoneEvacuation,
)
from crowwinch.directory._readers import ReaderStatus, StoreReaderSelector
from crowwinch.directory._state import DirectoryState
from crowwinch.directory._variant_history import VariantAge
from crowwinch.directory._watcher import DirectoryWatcher

__all__ = [
    "Changes",
    "DirectoryState",
    "DirectoryWatcher",
    "DocumentDecoder",
    "HistoryLostError",
    "Item",
    "Listing",
    "ReaderStatus",
    "Store",
    "StoreError",
    "StoreReaderSelector",
    "TargetEntry",
    "TargetState",
    "VariantAge",
    "ZoneEvacuation",
]

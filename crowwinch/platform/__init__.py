"""Adapter for the operators' platform: names, formats and API calls."""

from crowwinch.platform._documents import DocumentCodec
from crowwinch.platform._headers import HeaderCodec
from crowwinch.platform._settings import (
    SETTINGS_VARIABLE,
    decode_boot_settings,
    load_boot_settings,
)
from crowwinch.platform._store import StoreClient

__all__ = [
    "SETTINGS_VARIABLE",
    "DocumentCodec",
    "HeaderCodec",
    "StoreClient",
    "decode_boot_settings",
    "load_boot_settings",
]

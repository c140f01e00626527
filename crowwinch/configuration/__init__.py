"""Documents that operators publish and the configuration in force."""

from crowwinch.configuration._loader import (
    digest_of,
    load_snapshot,
    parse_manifest,
)
from crowwinch.configuration._snapshot import (
    EffectiveLimits,
    Snapshot,
    key_hash,
)

__all__ = [
    "EffectiveLimits",
    "Snapshot",
    "digest_of",
    "key_hash",
    "load_snapshot",
    "parse_manifest",
]

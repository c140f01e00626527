"""Shortens updates that are too large for a datagram."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec

from crowwinch.generated.fleet_messages import (
    FleetUpdate,
    RouteReport,
    VersionReport,
)

# Lists in the order in which they are shortened: what only improves placement
# goes before what keeps targets from requests that they must not get.
_LISTS = (
    "prefixes",
    "demand",
    "workspaces",
    "waits",
    "targets",
    "crashes",
    "paces",
    "rate_limits",
    "cold",
    "routes",
    "versions",
    "departures",
)
# Time for which a list is complete, which ends with an entry that is left out.
_COVERED_FIELDS = {"versions": "history_ms", "routes": "routes_ms"}
# Names in the store may be longer than any that is in use.
_MAX_ENTRY_BYTES = 1_000
# A list that takes more than this part of the room is shortened first.
_LIST_QUOTAS = 4
_ENCODER = msgspec.msgpack.Encoder()


def shorten_update(
    update: FleetUpdate, limit_bytes: int
) -> tuple[FleetUpdate, Counter[str]]:
    """Returns an update that fits, without entries that are too large.

    Entries of more than `_MAX_ENTRY_BYTES` are left out first, then the last
    ones of lists that take more than a quarter of the room, then those of the
    other lists.

    Args:
        update: Update to shorten.
        limit_bytes: Maximum size of the encoded update.

    Returns:
        The update, and the number of entries left out of each list.
    """
    excess = len(_ENCODER.encode(update)) - limit_bytes
    left_out: Counter[str] = Counter()
    quota = limit_bytes // _LIST_QUOTAS
    for may_drop_small, kept_bytes in ((False, 0), (True, quota), (True, 0)):
        for name in _LISTS:
            if excess <= 0:
                return update, left_out
            entries = getattr(update, name) or []
            sizes = [len(_ENCODER.encode(entry)) for entry in entries]
            droppable = max(min(excess, sum(sizes) - kept_bytes), 0)
            kept, dropped, freed = _shorten(
                entries, sizes, droppable, may_drop_small
            )
            if dropped:
                excess -= freed
                left_out[name] += len(dropped)
                update = _replace(update, name, kept, dropped)
    return update, left_out


def _shorten(
    entries: Sequence[Any],
    sizes: Sequence[int],
    excess: int,
    may_drop_small: bool,
) -> tuple[list[Any], list[Any], int]:
    """Returns the entries that stay, those left out, and the latter's size."""
    kept, dropped, freed = list(entries), [], 0
    for position in range(len(kept) - 1, -1, -1):
        if freed >= excess:
            break
        if may_drop_small or sizes[position] > _MAX_ENTRY_BYTES:
            dropped.append(kept.pop(position))
            freed += sizes[position]
    return kept, dropped, freed


def _replace(
    update: FleetUpdate, name: str, kept: list[Any], dropped: Sequence[Any]
) -> FleetUpdate:
    update = msgspec.structs.replace(update, **{name: kept})
    covered = _COVERED_FIELDS.get(name)
    if covered is None:
        return update
    covered_ms = min(getattr(update, covered), *map(_age_ms, dropped))
    return msgspec.structs.replace(update, **{covered: covered_ms})


def _age_ms(report: VersionReport | RouteReport) -> int:
    """Returns the time since a version or service may last have been used."""
    if report.used_age_ms < 0:
        return report.age_ms
    return min(report.age_ms, report.used_age_ms)

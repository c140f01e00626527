"""Rendezvous placement and short identifiers."""

from collections.abc import Iterable

import xxhash


def identifier(name: str) -> int:
    """Returns a 32-bit identifier of a name, for compact messages."""
    return xxhash.xxh32_intdigest(name.encode())


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Orders members by rendezvous weight for a key, highest first.

    When a member leaves, only keys that it held move (Thaler and Ravishankar,
    1998).

    Args:
        key: What is placed.
        members: Candidates, in any order.

    Returns:
        All members, ordered.
    """
    return sorted(
        set(members), key=lambda each: _weight(key, each), reverse=True
    )


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that holds a key, or None without members."""
    return max(members, key=lambda each: _weight(key, each), default=None)


def _weight(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode()), member

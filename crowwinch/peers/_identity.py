"""Names of routers on the wire."""

import re
from dataclasses import dataclass

_PATTERN = re.compile(rb"([A-Za-z0-9_.-]{1,64})/([0-9]{1,18})")


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """One life of a router.

    Attributes:
        name: Name in the VM list.
        life: Start time of the process in milliseconds of Unix time.
    """

    name: str
    life: int

    def to_bytes(self) -> bytes:
        """Returns the routing id of the sockets."""
        return f"{self.name}/{self.life}".encode()

    @classmethod
    def from_bytes(cls, raw: bytes) -> "PeerIdentity | None":
        """Returns the identity in a routing id, or None if malformed."""
        match = _PATTERN.fullmatch(raw)
        if match is None:
            return None
        return cls(match[1].decode(), int(match[2]))

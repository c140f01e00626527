"""Authenticated identifiers for resuming a stream at any router."""

import hashlib
import hmac
import re
from collections.abc import Callable, Iterable

from crowwinch.configuration import Snapshot

_KEY_DERIVATION_CONTEXT = b"crowwinch stream id"
_MAC_BYTES = 16
_PATTERN = re.compile(
    r"(?P<target>[0-9a-f]{1,16})\.(?P<attempt>[0-9a-f]{32}-[0-9]{1,9})"
    r"\.(?P<mac>[0-9a-f]{32})"
)


class StreamIds:
    """Issues and verifies stream identifiers, which any router can verify."""

    def __init__(self, secret: str, snapshot: Callable[[], Snapshot]) -> None:
        """Initializes the issuer.

        Args:
            secret: Secret of the fleet. If empty, the key is derived from
                the hash of a bearer key of the workspace.
            snapshot: Returns the configuration in force.
        """
        self._secret = secret.encode()
        self._snapshot = snapshot

    def issue(self, workspace: int, target: int, attempt: str) -> str:
        """Returns the identifier of an attempt, or "" without a key."""
        for key in self._keys(workspace):
            mac = _mac(key, workspace, target, attempt)
            return f"{target:x}.{attempt}.{mac}"
        return ""

    def parse(self, workspace: int, text: str) -> tuple[int, str] | None:
        """Returns the target and attempt that an identifier names.

        Returns:
            None if the identifier is malformed, forged or was issued to
            another workspace.
        """
        match = _PATTERN.fullmatch(text)
        if match is None:
            return None
        target = int(match["target"], 16)
        attempt = match["attempt"]
        for key in self._keys(workspace):
            mac = _mac(key, workspace, target, attempt)
            if hmac.compare_digest(mac, match["mac"]):
                return target, attempt
        return None

    def _keys(self, workspace: int) -> Iterable[bytes]:
        if self._secret:
            return (self._secret,)
        item = self._snapshot().workspaces.get(workspace)
        return [value.encode() for value in item.key_hashes] if item else ()


def _mac(key: bytes, workspace: int, target: int, attempt: str) -> str:
    text = f"{workspace:x}.{target:x}.{attempt}".encode()
    derived = hmac.digest(key, _KEY_DERIVATION_CONTEXT, hashlib.sha256)
    return hmac.digest(derived, text, hashlib.sha256)[:_MAC_BYTES].hex()

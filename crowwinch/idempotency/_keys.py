"""Idempotency keys that the fleet issues."""

import hashlib
import re
import secrets
from dataclasses import dataclass

_VERSION = "ck1"
_RANDOM_BYTES = 16
_PATTERN = re.compile(
    r"ck1~([A-Za-z0-9_.-]{1,64})~([0-9]{1,16})"
    r"~([A-Za-z0-9_.-]{0,64})~([0-9]{1,16})~([0-9a-f]{32})"
)


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A key with the two routers that keep its record.

    Attributes:
        recorder: Name of the router that issued the key.
        recorder_incarnation: Incarnation of the recorder at the issue.
        witness: Name of the witness, "" if there was none.
        witness_incarnation: Incarnation of the witness at the issue.
        nonce: Random part, 32 hexadecimal digits.
    """

    recorder: str
    recorder_incarnation: int
    witness: str
    witness_incarnation: int
    nonce: str

    def __str__(self) -> str:
        """Returns the form that callers send."""
        return "~".join(
            (
                _VERSION,
                self.recorder,
                str(self.recorder_incarnation),
                self.witness,
                str(self.witness_incarnation),
                self.nonce,
            )
        )


def new_key(
    recorder: str,
    recorder_incarnation: int,
    witness: str,
    witness_incarnation: int,
) -> IdempotencyKey:
    """Returns a new key with an unguessable random part."""
    return IdempotencyKey(
        recorder,
        recorder_incarnation,
        witness,
        witness_incarnation,
        secrets.token_hex(_RANDOM_BYTES),
    )


def parse_key(text: str) -> IdempotencyKey | None:
    """Returns the key, or None if the text is no key of this fleet."""
    match = _PATTERN.fullmatch(text)
    if match is None:
        return None
    recorder, first, witness, second, nonce = match.groups()
    return IdempotencyKey(recorder, int(first), witness, int(second), nonce)


def request_digest(workspace: int, method: str, path: str, body: bytes) -> str:
    """Returns the digest that ties a key to one request of a workspace."""
    content = hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()
    return query_digest(workspace) + content


def query_digest(workspace: int) -> str:
    """Returns the digest of a claim that only asks for the result."""
    return f"{workspace:08x}:"


def is_query(digest: str) -> bool:
    """Returns whether a claim only asks for the result."""
    return digest.endswith(":")


def digests_match(recorded: str, claimed: str) -> bool:
    """Returns whether a claim may use a key.

    Args:
        recorded: Digest of the first claim, "" before it.
        claimed: Digest of this claim.
    """
    if not recorded or recorded == claimed:
        return True
    return is_query(claimed) and recorded.startswith(claimed)

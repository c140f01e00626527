"""At-most-once execution of calls by keys that the fleet issues.

The classes hold no sockets; see the section on idempotency in docs/design.md.
"""

from crowwinch.idempotency._claim import ClaimAttempt
from crowwinch.idempotency._keys import (
    IdempotencyKey,
    parse_key,
    query_digest,
    request_digest,
)
from crowwinch.idempotency._recorder import KEY_LIFETIME_S, Recorder
from crowwinch.idempotency._service import (
    MESSAGE_KINDS,
    ClaimResult,
    IdempotencyService,
    WitnessCandidate,
)
from crowwinch.idempotency._store import AnswerStore
from crowwinch.idempotency._verdicts import ClaimVerdict
from crowwinch.idempotency._witness import Witness

__all__ = [
    "KEY_LIFETIME_S",
    "MESSAGE_KINDS",
    "AnswerStore",
    "ClaimAttempt",
    "ClaimResult",
    "ClaimVerdict",
    "IdempotencyKey",
    "IdempotencyService",
    "Recorder",
    "Witness",
    "WitnessCandidate",
    "parse_key",
    "query_digest",
    "request_digest",
]

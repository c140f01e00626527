"""Exceptions, refusal and retry reasons."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

# Errors of decoders for malformed input. Nesting that is too deep is not a
# `DecodeError`.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class RunState(enum.IntEnum):
    """Whether a refused or failed request reached a target."""

    NOT_RUN = 0
    RAN = 1
    UNKNOWN = 2


class RefusalReason(enum.IntEnum):
    """Why a request was refused. The numbers are part of the wire format."""

    UNKNOWN_KEY = 1
    UNKNOWN_MODEL = 2
    UNKNOWN_SERVICE = 3
    NOT_FOUND = 4
    MALFORMED_BODY = 5
    BODY_TOO_LARGE = 6
    QUEUE_FULL = 7
    WORKSPACE_LIMIT = 8
    DEADLINE_UNREACHABLE = 9
    DEADLINE_EXCEEDED = 10
    CRASH_SUSPECT = 11
    SHUTTING_DOWN = 12
    NOT_READY = 13
    NO_TARGET = 14
    TARGET_FAILED = 15
    RETRY_BUDGET_SPENT = 16
    STREAM_INCOMPLETE = 17
    IDEMPOTENCY_KEY_REQUIRED = 18
    IDEMPOTENCY_KEY_MALFORMED = 19
    IDEMPOTENCY_KEY_MISMATCH = 20
    IDEMPOTENCY_KEY_CLOSED = 21
    OUTCOME_UNKNOWN = 22
    CALLER_GONE = 23
    IDEMPOTENCY_KEY_UNUSED = 24
    ANSWER_NOT_KEPT = 25
    ROUTER_OVERLOADED = 26
    STREAM_VERSION_UNKNOWN = 27
    EVACUATED = 28
    NO_HOME_TARGET = 29
    STREAM_SERVICE_REMOVED = 30
    HEAD_TOO_LARGE = 35


class RetryReason(enum.IntEnum):
    """Why an attempt or a message was repeated."""

    CONNECTION_REFUSED = 1
    TARGET_REFUSED = 2
    CONNECTION_LOST = 3
    TARGET_CRASHED = 4
    STREAM_RESUMED = 5
    GRANT_EXPIRED = 6
    TARGET_LEAVING = 7
    LINK_RETRANSMIT = 8


_STATUS = {
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.MALFORMED_BODY: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEAD_TOO_LARGE: 431,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.WORKSPACE_LIMIT: 429,
    RefusalReason.DEADLINE_UNREACHABLE: 503,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.CRASH_SUSPECT: 422,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.STREAM_INCOMPLETE: 502,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: 400,
    RefusalReason.IDEMPOTENCY_KEY_MALFORMED: 400,
    RefusalReason.IDEMPOTENCY_KEY_MISMATCH: 422,
    RefusalReason.IDEMPOTENCY_KEY_CLOSED: 409,
    RefusalReason.IDEMPOTENCY_KEY_UNUSED: 409,
    RefusalReason.ANSWER_NOT_KEPT: 410,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.CALLER_GONE: 499,
}


class CrowwinchError(Exception):
    """Base of all errors that this project raises."""


class RefusalError(CrowwinchError):
    """A request that the fleet gives up on.

    Attributes:
        reason: Why it was refused.
        run_state: Whether the request reached a target.
        retry_after_s: Seconds after which a repeat may succeed, or None.
    """

    def __init__(
        self,
        reason: RefusalReason,
        message: str,
        run_state: RunState = RunState.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        """Stores the reason and a message for the caller."""
        super().__init__(message)
        self.reason = reason
        self.run_state = run_state
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return _STATUS.get(self.reason, 503)

    @property
    def code(self) -> str:
        """Stable code of the error body."""
        return self.reason.name.lower()


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in a set of inputs.

    Attributes:
        place: Where it is, for instance a setting or sheet, row and column.
        message: What is wrong.
    """

    place: str
    message: str

    def __str__(self) -> str:
        """Renders the finding on one line."""
        return f"{self.place}: {self.message}"


class FindingsError(CrowwinchError):
    """Carries every finding of one input, with its place."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        """Stores the findings."""
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsError(FindingsError):
    """Settings are missing or invalid."""


class DocumentError(FindingsError):
    """A configuration document is malformed or incomplete."""


class PeerRejection(enum.IntEnum):
    """Why a message from another router was not accepted."""

    UNKNOWN_VERSION = 1
    UNKNOWN_TYPE = 2
    MALFORMED = 3
    OVERSIZED = 4
    UNKNOWN_PEER = 5
    NO_HANDLER = 6
    HANDLER_FAILED = 7


class PeerMessageError(CrowwinchError):
    """A message from another router cannot be accepted.

    Attributes:
        reason: Why it was rejected.
    """

    def __init__(self, reason: PeerRejection, message: str) -> None:
        """Stores the reason and a description."""
        super().__init__(message)
        self.reason = reason


class PlatformError(CrowwinchError):
    """A service of the platform failed or answered nonsense."""

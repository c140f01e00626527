"""Platform-specific headers of requests and responses."""

import math
import re
from collections.abc import Iterable, Mapping

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from crowwinch.errors import DECODE_ERRORS
from crowwinch.forwarding import (
    AttemptHead,
    PromptPart,
    RequestHead,
    ResponseHead,
)

ATTEMPT_ID = "X-Crowwinch-Attempt-Id"
_DEADLINE_MS = "X-Crowwinch-Deadline-Ms"
_API_KEY = "X-Api-Key"
# Number of prompt tokens and maximum number of output tokens.
_TOKEN_COUNT = "X-Crowwinch-Token-Count"
# Despite its name, this is not a hash but a list of the prompt's parts in
# order, as ID:TOKENS entries.
_PROMPT_PARTS = "X-Crowwinch-Prefix-Hash"
_LENGTH_HINT = "X-Crowwinch-Length-Hint"
_MODEL = "X-Crowwinch-Model"
_LAST_EVENT_ID = "Last-Event-Id"
# Attempt that brought the first event of the stream that is resumed.
_RESUMES = "Resumes"
# Identifier of the target that must run the request.
_EXPECT_TARGET = "X-Crowwinch-Expect-Instance"
_TENANT = "X-Crowwinch-Tenant"
# Address of the target from which cached parts of the prompt are fetched.
_FETCH_FROM = "Kv-Fetch"
# Proves that the target itself produced the answer.
_SERVER_SEAL = "X-Crowwinch-Server-Seal"
_NOT_EXECUTED = "X-Crowwinch-Not-Executed"
# In all answers of a target that leaves.
_SERVER_LEAVING = "Server-Leaving"
_LEAVING_VALUE = "1"
# Requests per second from all routers together, a decimal number.
_SERVER_LIMIT = "Server-Limit"
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,7}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
# How long the target stays cold, certain only in health responses.
_COLD_MS = "X-Crowwinch-Cold-Ms"
# In seconds, possibly a fraction.
_RETRY_AFTER = "Retry-After"
_MAX_RETRY_AFTER_S = 3_600.0
_UNAVAILABLE_STATUS = 503
_MISDIRECTED_STATUS = 421

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "http2-settings",
        "expect",
    }
)
# Callers must not control placement, leases, copies of the KV cache or their
# own workspace, so only routers set these headers.
_ROUTER_HEADERS = frozenset(
    {
        "content-length",
        "kv-from",
        "wait-ms",
        _API_KEY.lower(),
        _DEADLINE_MS.lower(),
        _EXPECT_TARGET.lower(),
        _FETCH_FROM.lower(),
        _TENANT.lower(),
        "x-crowwinch-expect-version",
        "x-crowwinch-hold",
        "x-crowwinch-kv-backup",
        "x-crowwinch-pin-ms",
        "x-crowwinch-not-executed",
        "x-crowwinch-server-seal",
    }
)
_REMOVED_HEADERS = _HOP_BY_HOP_HEADERS | _ROUTER_HEADERS
_MAX_PROMPT_PARTS = 256
_REPORT_PATH = "/report"


class _Report(msgspec.Struct):
    # Start time in Unix milliseconds.
    born: int


class HeaderCodec:
    """Converts between headers and the types of the forwarding package."""

    @property
    def attempt_header(self) -> str:
        """Name of the header that identifies an attempt in both directions."""
        return ATTEMPT_ID

    @property
    def report_path(self) -> str:
        """Path at which a target reports on itself."""
        return _REPORT_PATH

    def decode_start_time(self, report: bytes) -> int | None:
        """Returns when a target started, in Unix ms, None if it does not say.

        Args:
            report: Body of the response at `report_path`.
        """
        try:
            return msgspec.json.decode(report, type=_Report).born
        except DECODE_ERRORS:
            return None

    def decode_request(self, headers: Mapping[str, str]) -> RequestHead:
        """Decodes the headers that describe a caller's request.

        Malformed values are treated as absent because they are only used for
        estimates.
        """
        prompt, output = _decode_token_counts(headers.get(_TOKEN_COUNT, ""))
        hint = _decode_count(headers.get(_LENGTH_HINT, ""))
        deadline = _decode_count(headers.get(_DEADLINE_MS, ""))
        return RequestHead(
            attempt_id=headers.get(ATTEMPT_ID, ""),
            key=headers.get(_API_KEY, ""),
            deadline_s=None if deadline is None else deadline / 1000,
            model=headers.get(_MODEL, ""),
            prompt_tokens=prompt,
            output_tokens=min(hint, output) if hint and output else output,
            parts=_decode_parts(headers.get(_PROMPT_PARTS, "")),
            last_event_id=headers.get(_LAST_EVENT_ID),
            resumed_attempt_id=headers.get(_RESUMES) or None,
        )

    def encode_attempt(
        self, headers: Iterable[tuple[str, str]], attempt: AttemptHead
    ) -> CIMultiDict[str]:
        """Encodes the headers of an attempt to forward a request to a target.

        Args:
            headers: Headers of the caller's request.
            attempt: Values that the router sets.
        """
        pairs = list(headers)
        excluded = _REMOVED_HEADERS | _connection_headers(pairs)
        encoded = CIMultiDict(
            (name, value)
            for name, value in pairs
            if name.lower() not in excluded
        )
        encoded[_DEADLINE_MS] = str(max(int(attempt.remaining_s * 1000), 1))
        encoded[_EXPECT_TARGET] = attempt.target_id
        if attempt.fetch_from is not None:
            encoded[_FETCH_FROM] = attempt.fetch_from
        if attempt.workspace is not None:
            encoded[_TENANT] = attempt.workspace
        if attempt.last_event_id is not None:
            encoded[_LAST_EVENT_ID] = attempt.last_event_id
        return encoded

    def decode_response(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Decodes the headers that describe a target's answer."""
        limit_text = headers.get(_SERVER_LIMIT)
        rate_limit = _decode_rate(limit_text)
        return ResponseHead(
            attempt_id=headers.get(ATTEMPT_ID, ""),
            is_sealed=_SERVER_SEAL in headers,
            not_run=_NOT_EXECUTED in headers or status == _MISDIRECTED_STATUS,
            is_other_target=status == _MISDIRECTED_STATUS,
            is_leaving=headers.get(_SERVER_LEAVING, "").strip()
            == _LEAVING_VALUE,
            hold_s=(
                _decode_seconds(headers.get(_RETRY_AFTER, ""))
                if status == _UNAVAILABLE_STATUS
                else None
            ),
            rate_limit=rate_limit,
            has_unreadable_limit=limit_text is not None and rate_limit is None,
            cold_s=_decode_cold_s(headers.get(_COLD_MS, "")),
        )

    def relayed_headers(
        self, headers: CIMultiDictProxy[str]
    ) -> list[tuple[str, str]]:
        """Returns the end-to-end headers of an answer for the caller."""
        pairs = list(headers.items())
        excluded = _HOP_BY_HOP_HEADERS | {"content-length"}
        excluded |= _connection_headers(pairs)
        return [pair for pair in pairs if pair[0].lower() not in excluded]


def _connection_headers(pairs: Iterable[tuple[str, str]]) -> set[str]:
    """Returns the headers that `Connection` lists as hop-by-hop.

    The attempt identifier and `Host` are excluded: a caller must not be able to
    remove them.
    """
    return {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    } - {ATTEMPT_ID.lower(), "host"}


def _decode_count(text: str) -> int | None:
    try:
        value = int(text) if len(text) <= 12 else -1
    except ValueError:
        return None
    return value if value >= 0 else None


def _decode_seconds(text: str) -> float | None:
    """Decodes a time in seconds; a date or a malformed value yields None."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not 0.0 < seconds < math.inf:
        return None
    return min(seconds, _MAX_RETRY_AFTER_S)


def _decode_cold_s(text: str) -> float | None:
    """Decodes a time in milliseconds; malformed values yield None."""
    milliseconds = _decode_count(text.strip())
    return None if milliseconds is None else milliseconds / 1000


def _decode_rate(text: str | None) -> float | None:
    """Decodes a rate per second; absent and malformed values yield None."""
    if text is None or _DECIMAL_NUMBER.fullmatch(text.strip()) is None:
        return None
    return float(text)


def _decode_token_counts(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    return _decode_count(first) or 0, _decode_count(second) or 0


def _decode_parts(text: str) -> tuple[PromptPart, ...]:
    if not text:
        return ()
    entries = text.split(",")
    if len(entries) > _MAX_PROMPT_PARTS:
        return ()
    parts = []
    for entry in entries:
        identifier, _, tokens = entry.strip().partition(":")
        count = _decode_count(tokens)
        if not identifier or count is None:
            return ()
        parts.append(PromptPart(identifier, count))
    return tuple(parts)

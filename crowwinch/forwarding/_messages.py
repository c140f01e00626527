"""Metadata of requests and responses, independent of the wire format."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from crowwinch.sharing import PromptPart


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Metadata that a caller sends with its request.

    Attributes:
        attempt_id: Identifier of the request, repeated in responses.
        key: API key of the workspace, empty if none was sent.
        deadline_s: Time in seconds that the caller waits, None if not sent.
        model: Name of the model, empty for services without models.
        prompt_tokens: Size of the prompt in tokens.
        output_tokens: Expected size of the output in tokens.
        parts: Parts of the prompt in order; the last is not shared with other
            requests.
        last_event_id: Id of the event after which to resume a stream.
        resumed_attempt_id: Identifier of the attempt that brought the first
            event of that stream, None if it was not sent.
    """

    attempt_id: str
    key: str
    deadline_s: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: str | None
    resumed_attempt_id: str | None = None


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """Metadata that a router sends to a target.

    Attributes:
        target_id: Id of the only target that may run the request.
        remaining_s: Time in seconds left for the response.
        workspace: Name of the workspace, or None.
        last_event_id: Id of the event after which to resume a stream, None to
            keep the value from the caller.
        fetch_from: Address (`IP:PORT`) of the target from which the cached part
            of the prompt is to be fetched, None to fetch nothing.
    """

    target_id: str
    remaining_s: float
    workspace: str | None
    last_event_id: str | None
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Metadata that a target sends with its response.

    Attributes:
        attempt_id: Identifier of the request.
        is_sealed: Whether the response carries the seal of the target.
        not_run: Whether the target guarantees that it did not run the request.
        is_other_target: Whether the address now belongs to another target.
        is_leaving: Whether the target says that it is leaving.
        hold_s: Seconds for which an overloaded target wants no more requests
            from this router, None if it does not say.
        rate_limit: Requests per second that the target accepts from all
            routers together, None without a limit.
        has_unreadable_limit: Whether the response names a limit that cannot be
            read, so that it does not tell whether there is one.
        cold_s: Seconds for which the target stays cold, None if it does not
            say.
    """

    attempt_id: str
    is_sealed: bool
    not_run: bool
    is_other_target: bool
    is_leaving: bool = False
    hold_s: float | None = None
    rate_limit: float | None = None
    has_unreadable_limit: bool = False
    cold_s: float | None = None


class WireCodec(Protocol):
    """Translates between HTTP headers and metadata."""

    @property
    def attempt_header(self) -> str:
        """Name of the header that identifies an attempt in both directions."""

    @property
    def report_path(self) -> str:
        """Path at which a target reports on itself."""

    def decode_start_time(self, report: bytes) -> int | None:
        """Returns when a target started, in Unix ms, None if it does not say.

        Args:
            report: Body of the response at `report_path`.
        """

    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestHead:
        """Decodes the headers of a request from a caller."""

    def encode_attempt(
        self, headers: Iterable[tuple[str, str]], attempt: AttemptHead
    ) -> CIMultiDict[str]:
        """Returns the headers of a request to a target.

        Args:
            headers: Headers from the caller.
            attempt: Metadata that the router adds.
        """

    def decode_response(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Decodes the headers of a response from a target."""

    def relayed_headers(
        self, headers: CIMultiDictProxy[str]
    ) -> list[tuple[str, str]]:
        """Returns the headers of a response to relay to the caller."""

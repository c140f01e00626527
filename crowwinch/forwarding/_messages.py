"""What requests and answers say of themselves, apart from any wire format."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from crowwinch.sharing import PromptPart


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller says of its request.

    Attributes:
        attempt_id: Identifies this request; answers repeat it.
        key: Key of the workspace, empty if none was sent.
        deadline_s: How long the caller waits, None if it does not say.
        model: Name of the model, empty for plain services.
        prompt_tokens: Size of the prompt.
        output_tokens: Expected size of the answer.
        parts: Parts of the prompt in order; the last is not shared.
        last_event_id: Event after which a stream is to go on.
    """

    attempt_id: str
    key: str
    deadline_s: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """What a router tells a target.

    Attributes:
        target_id: The target that must run the request, and no other.
        remaining_s: Time left for the answer.
        workspace: Name of the workspace, None without.
        last_event_id: Event after which a stream goes on, None to keep what
            the caller sent.
    """

    target_id: str
    remaining_s: float
    workspace: str | None
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What a target says of its answer.

    Attributes:
        attempt_id: The request that it answers.
        is_sealed: Whether the target signed the answer.
        not_run: Whether the target promises that it did not run the request.
        is_other_target: Whether another target has the address now.
    """

    attempt_id: str
    is_sealed: bool
    not_run: bool
    is_other_target: bool


class WireCodec(Protocol):
    """Translates between headers and these types."""

    @property
    def attempt_header(self) -> str:
        """Name of the header that identifies an attempt in both directions."""

    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestHead:
        """Reads what a caller says of its request."""

    def encode_attempt(
        self, headers: Iterable[tuple[str, str]], attempt: AttemptHead
    ) -> CIMultiDict[str]:
        """Returns the headers of an attempt at a target."""

    def decode_answer(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> AnswerHead:
        """Reads what a target says of its answer."""

    def passed_on(
        self, headers: CIMultiDictProxy[str]
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer that concern the caller."""

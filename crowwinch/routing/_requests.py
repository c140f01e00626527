"""Request and response types shared within the router."""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from crowwinch.scheduling import RequestClass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """An authenticated request.

    Attributes:
        request_id: Unique in the fleet.
        workspace: Identifier of the workspace.
        groups: Groups that can serve it, preferred first.
        path: Path and query at the target.
        stream: Whether the answer is a stream of server-sent events.
        estimate: Estimated cost in service units.
        deadline: Monotonic time in seconds when the caller stops waiting.
        idempotency_key: Key issued by the fleet, or "".
        prompt: Messages or prompt of an engine request as in the body.
    """

    request_id: str
    workspace: int
    groups: tuple[int, ...]
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    stream: bool
    request_class: RequestClass
    estimate: int
    deadline: float
    idempotency_key: str = ""
    prompt: bytes | msgspec.Raw = b""


class AnswerParts(Protocol):
    """Chunks of an answer, yielded as they arrive.

    Iterating raises RefusalError when the answer turns out to be incomplete.
    """

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns an iterator; the parts can be iterated only once."""

    async def aclose(self) -> None:
        """Cancels the attempt if the answer is unfinished."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A fully buffered answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """An answer streamed as server-sent events.

    Attributes:
        stream_id: Identifier for resuming the stream at any router.
    """

    status: int
    headers: Mapping[str, str]
    events: AnswerParts
    stream_id: str = ""


@dataclass(frozen=True, slots=True)
class BodyAnswer:
    """A large plain-service answer that is streamed to the caller.

    Attributes:
        length: Declared length in bytes, or None if not declared.
    """

    status: int
    headers: Mapping[str, str]
    chunks: AnswerParts
    length: int | None


Answer = WholeAnswer | StreamAnswer | BodyAnswer

"""Requests and answers as the rest of the router sees them."""

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
        estimate: Hint of the cost in service units.
        deadline: Monotonic time in seconds at which the caller gives up.
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
    """Parts of an answer that arrive one after the other.

    Iterating raises RefusalError when the answer turns out to be incomplete.
    """

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the parts; they can be iterated once."""

    async def aclose(self) -> None:
        """Gives up an unfinished answer and cancels its attempt."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamAnswer:
    """An answer that arrives as server-sent events.

    Attributes:
        stream_id: With it, the caller resumes the stream at any router.
    """

    status: int
    headers: Mapping[str, str]
    events: AnswerParts
    stream_id: str = ""


@dataclass(frozen=True, slots=True)
class BodyAnswer:
    """A large answer of a plain service that is passed on as it arrives.

    Attributes:
        length: Declared length in bytes, or None.
    """

    status: int
    headers: Mapping[str, str]
    chunks: AnswerParts
    length: int | None


Answer = WholeAnswer | StreamAnswer | BodyAnswer

"""One attempt at a target and how it ends."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from crowwinch.errors import CrowwinchError
from crowwinch.forwarding._messages import AnswerHead, WireCodec
from crowwinch.forwarding._target_client import TargetClient

# Larger answers are passed on as they come, and can then not be repeated.
_LARGEST_WHOLE_BYTES = 1_048_576
_STREAM_TYPE = "text/event-stream"


class AttemptError(CrowwinchError):
    """An attempt that gave no answer to pass on.

    Attributes:
        may_have_run: Whether the target may have run the request.
        is_unreachable: Whether no connection could be made.
        is_refusal: Whether the target said that it did not run the request.
    """

    def __init__(
        self,
        message: str,
        may_have_run: bool,
        is_unreachable: bool = False,
        is_refusal: bool = False,
    ) -> None:
        """Stores the cause."""
        super().__init__(message)
        self.may_have_run = may_have_run
        self.is_unreachable = is_unreachable
        self.is_refusal = is_refusal


@dataclass(slots=True)
class TargetAnswer:
    """The head of an answer, and its body when it is short.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers for the caller.
        body: The whole body, None if it is to be read with `chunks`.
        is_stream: Whether it is a stream of events.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes | None
    is_stream: bool

    @property
    def is_success(self) -> bool:
        """Whether the target ran the request to a good end."""
        return 200 <= self.status < 300


class Exchange:
    """Sends one attempt; closes its connection unless the answer ended."""

    def __init__(
        self,
        client: TargetClient,
        codec: WireCodec,
        address: str,
        attempt_id: str,
    ) -> None:
        """Stores where to send."""
        self._client = client
        self._codec = codec
        self._address = address
        self._attempt_id = attempt_id
        self._response: aiohttp.ClientResponse | None = None
        self._first = b""

    async def open(
        self,
        method: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> TargetAnswer:
        """Sends the request and reads the head of the answer.

        Raises:
            AttemptError: If there is no answer that may be passed on.
        """
        try:
            response = await self._client.send(
                method, self._address, raw_path, headers, body
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise AttemptError(
                f"no connection: {error!r}",
                may_have_run=False,
                is_unreachable=True,
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptError(
                f"connection lost: {error!r}", may_have_run=True
            ) from error
        self._response = response
        head = self._codec.decode_answer(response.status, response.headers)
        if head.not_run:
            response.release()
            raise AttemptError(
                f"not run, status {response.status}",
                may_have_run=False,
                is_refusal=True,
                is_unreachable=head.is_other_target,
            )
        return await self._read_head(response, head)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it comes.

        Raises:
            AttemptError: If the body breaks off.
        """
        response = self._response
        assert response is not None
        if self._first:
            yield self._first
        try:
            while data := await response.content.readany():
                yield data
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptError(
                f"answer broke off: {error!r}", may_have_run=True
            ) from error

    def close(self) -> None:
        """Closes the connection if the answer has not ended."""
        if self._response is not None:
            self._response.close()

    async def _read_head(
        self, response: aiohttp.ClientResponse, head: AnswerHead
    ) -> TargetAnswer:
        is_success = 200 <= response.status < 300
        if is_success and not (
            head.is_sealed and head.attempt_id == self._attempt_id
        ):
            response.close()
            raise AttemptError(
                "the answer belongs to another request", may_have_run=True
            )
        answer = TargetAnswer(
            status=response.status,
            reason=response.reason or "",
            headers=self._codec.passed_on(response.headers),
            body=None,
            is_stream=response.content_type == _STREAM_TYPE,
        )
        if not (answer.is_stream and is_success):
            answer.body = await self._read_whole(response)
        return answer

    async def _read_whole(
        self, response: aiohttp.ClientResponse
    ) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        async for data in self.chunks():
            parts.append(data)
            size += len(data)
            if size > _LARGEST_WHOLE_BYTES:
                self._first = b"".join(parts)
                return None
        return b"".join(parts)

"""Sends one attempt to a target and reads its response."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from crowwinch.errors import CrowwinchError
from crowwinch.forwarding._memory import Allocation, MemoryPool
from crowwinch.forwarding._messages import ResponseHead, WireCodec
from crowwinch.forwarding._target_client import (
    OversizedResponseError,
    TargetClient,
)

# Larger responses are relayed without buffering. Once their first bytes are
# sent to the caller, the request cannot be retried.
_MAX_BUFFERED_BYTES = 1_048_576
_EVENT_STREAM_TYPE = "text/event-stream"


class StalePlacementError(CrowwinchError):
    """A request may no longer be sent to the target that was chosen for it.

    Nothing was sent, and the target is not at fault.
    """


class AttemptError(CrowwinchError):
    """An attempt without a response that may be relayed to the caller.

    Attributes:
        may_have_run: Whether the target may have run the request.
        is_unreachable: Whether the target could not be reached at its address.
        is_refusal: Whether the target reported that it did not run the
            request.
        is_connection_lost: Whether the connection broke before the response
            was complete.
        is_oversized: Whether the target sent more bytes than are kept.
    """

    def __init__(
        self,
        message: str,
        may_have_run: bool,
        is_unreachable: bool = False,
        is_refusal: bool = False,
        is_connection_lost: bool = False,
        is_oversized: bool = False,
    ) -> None:
        """Initializes the error with its message and outcome."""
        super().__init__(message)
        self.may_have_run = may_have_run
        self.is_unreachable = is_unreachable
        self.is_refusal = is_refusal
        self.is_connection_lost = is_connection_lost
        self.is_oversized = is_oversized


@dataclass(slots=True)
class TargetResponse:
    """The head of a response, and its body if it was buffered.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        headers: Headers to relay to the caller.
        body: The complete body, or None if it must be read with `chunks`.
        is_stream: Whether the body is a stream of server-sent events.
        has_marked_end: Whether a body that is cut can be told from a whole one.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes | None
    is_stream: bool
    has_marked_end: bool

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class Exchange:
    """One request to a target and its response."""

    def __init__(
        self,
        client: TargetClient,
        codec: WireCodec,
        address: str,
        attempt_id: str,
        memory: MemoryPool,
        on_head: Callable[[ResponseHead], None] = lambda head: None,
    ) -> None:
        """Initializes the exchange without sending.

        Args:
            client: Sends the request.
            codec: Translates headers.
            address: `IP:PORT` of the target.
            attempt_id: Identifier that the response must repeat.
            memory: Pool for bytes that are kept before they are relayed.
            on_head: Called with the head of each response of the target, also
                of one that is not relayed.
        """
        self._client = client
        self._codec = codec
        self._address = address
        self._attempt_id = attempt_id
        self._memory = memory.allocate()
        self._on_head = on_head
        self._response: aiohttp.ClientResponse | None = None
        self._buffered = b""

    @property
    def memory(self) -> Allocation:
        """Memory for bytes that are kept before they are relayed."""
        return self._memory

    async def open(
        self,
        method: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> TargetResponse:
        """Sends the request and reads the head of the response.

        Raises:
            AttemptError: If there is no response that may be relayed.
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
        except OversizedResponseError as error:
            raise AttemptError(
                str(error), may_have_run=True, is_oversized=True
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptError(
                f"connection lost: {error!r}",
                may_have_run=True,
                is_connection_lost=True,
            ) from error
        self._response = response
        head = self._codec.decode_response(response.status, response.headers)
        if not head.is_other_target:
            self._on_head(head)
        if head.not_run:
            response.release()
            raise AttemptError(
                f"not run, status {response.status}",
                may_have_run=False,
                is_refusal=True,
                is_unreachable=head.is_other_target,
            )
        return await self._read_response(response, head)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AttemptError: If the connection breaks before the end of the body.
        """
        response = self._response
        assert response is not None
        if self._buffered:
            yield self._buffered
            self._buffered = b""
            self._memory.release()
        try:
            while data := await response.content.readany():
                yield data
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptError(
                f"answer broke off: {error!r}",
                may_have_run=True,
                is_connection_lost=True,
            ) from error

    def close(self) -> None:
        """Closes the connection if the response is incomplete."""
        self._memory.release()
        if self._response is not None:
            self._response.close()

    async def _read_response(
        self, response: aiohttp.ClientResponse, head: ResponseHead
    ) -> TargetResponse:
        is_success = 200 <= response.status < 300
        if is_success and not (
            head.is_sealed and head.attempt_id == self._attempt_id
        ):
            response.close()
            raise AttemptError(
                "the answer belongs to another request", may_have_run=True
            )
        relayed = TargetResponse(
            status=response.status,
            reason=response.reason or "",
            headers=self._codec.relayed_headers(response.headers),
            body=None,
            is_stream=response.content_type == _EVENT_STREAM_TYPE,
            has_marked_end=(
                "Content-Length" in response.headers
                or "Transfer-Encoding" in response.headers
            ),
        )
        if not (relayed.is_stream and is_success):
            relayed.body = await self._read_body(response)
        return relayed

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> bytes | None:
        """Returns the body, None if it is too large to be buffered."""
        parts: list[bytes] = []
        size = 0
        async for data in self.chunks():
            parts.append(data)
            size += len(data)
            if size > _MAX_BUFFERED_BYTES or not self._memory.resize(size):
                self._buffered = b"".join(parts)
                return None
        return b"".join(parts)

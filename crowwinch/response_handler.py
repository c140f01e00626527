"""Reading of HTTP responses that may be invalid or cut."""

from typing import Any

import aiohttp
from aiohttp.client_exceptions import ClientOSError
from aiohttp.client_proto import ResponseHandler

_SWITCHING_PROTOCOLS = 101


class InvalidStatusError(aiohttp.ClientError):
    """A response has a status that no response to a request may have."""


def is_valid_status(status: int) -> bool:
    """Returns whether a response may have a status.

    No request asks for another protocol, so 101 is invalid.
    """
    return 100 <= status <= 599 and status != _SWITCHING_PROTOCOLS


class StrictResponseHandler(ResponseHandler):
    """Rejects responses that the library takes as sound.

    The library takes each number of three digits for a status. It takes a body
    without a length for complete when its connection is reset.
    """

    async def read(self) -> Any:
        """Returns the head and the payload of the next response.

        Raises:
            InvalidStatusError: If its status is invalid.
        """
        message, payload = await super().read()
        if not is_valid_status(message.code):
            error = InvalidStatusError(f"invalid status {message.code:03}")
            self.set_exception(error)
            self.close()
            raise error
        return message, payload

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a body that a reset cuts, also one that is not read yet."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientOSError(*exc.args))
        super().connection_lost(exc)

"""Reading of HTTP responses that may be cut."""

from aiohttp.client_exceptions import ClientOSError
from aiohttp.client_proto import ResponseHandler


class StrictResponseHandler(ResponseHandler):
    """Rejects responses that the library takes as sound.

    It takes a body without a length for complete when its connection is reset.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a body that a reset cuts, also one that is not read yet."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientOSError(*exc.args))
        super().connection_lost(exc)

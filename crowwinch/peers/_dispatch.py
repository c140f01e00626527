"""Hands decoded messages to the component that handles their type."""

import functools
import logging
from collections.abc import Callable
from typing import TypeVar

from crowwinch.errors import PeerMessageError, PeerRejection
from crowwinch.generated.bases import MessageStruct
from crowwinch.peers._codec import decode
from crowwinch.peers._identity import PeerIdentity

_LOGGER = logging.getLogger(__name__)
_Message = TypeVar("_Message", bound=MessageStruct)


class MessageDispatcher:
    """Single dispatch on the type of a message."""

    def __init__(self, count: Callable[[PeerRejection], None]) -> None:
        """Creates a dispatcher without handlers.

        Args:
            count: Called with the reason of each rejected message.
        """
        self._count = count

        @functools.singledispatch
        def handle(message: MessageStruct, sender: PeerIdentity) -> None:
            raise PeerMessageError(
                PeerRejection.NO_HANDLER,
                f"{type(message).__name__} from {sender.name}",
            )

        self._handle = handle

    def register(
        self,
        kind: type[_Message],
        handler: Callable[[PeerIdentity, _Message], None],
    ) -> None:
        """Sets the handler of a message type; a later one replaces it."""
        self._handle.register(
            kind, lambda message, sender: handler(sender, message)
        )

    def dispatch(self, sender: PeerIdentity, message: MessageStruct) -> None:
        """Calls the handler of a message.

        A failing handler is logged and counted: one message must not stop the
        receipt of others.
        """
        try:
            self._handle(message, sender)
        except PeerMessageError as error:
            self._reject(sender, error)
        except Exception:
            self._count(PeerRejection.HANDLER_FAILED)
            _LOGGER.exception("handler of %s failed", type(message).__name__)

    def dispatch_raw(self, sender: PeerIdentity, raw: bytes) -> None:
        """Decodes a message and calls its handler; rejects a bad one."""
        try:
            message = decode(raw)
        except PeerMessageError as error:
            self._reject(sender, error)
            return
        self.dispatch(sender, message)

    def _reject(self, sender: PeerIdentity, error: PeerMessageError) -> None:
        self._count(error.reason)
        _LOGGER.debug("message of %s rejected: %s", sender.name, error)

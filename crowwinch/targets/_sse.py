"""Parsing of server-sent events from engines."""

from collections.abc import Iterator

import msgspec

from crowwinch.errors import DECODE_ERRORS
from crowwinch.targets._client import IncompleteAnswerError

_SEPARATOR = b"\n\n"
# Longer than any event of an engine; limits the memory that a faulty target
# can consume.
_MAX_EVENT_BYTES = 1_048_576
TERMINAL_EVENT = b"data: [DONE]"


class _Event(msgspec.Struct):
    choices: list[msgspec.Raw] = []


_DECODER = msgspec.json.Decoder(_Event)


class EventSplitter:
    """Splits a byte stream into server-sent events."""

    def __init__(self) -> None:
        """Initializes an empty buffer."""
        self._buffer = b""

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yields the events that a chunk completes, without separators.

        Raises:
            IncompleteAnswerError: If an event is too long.
        """
        # A line end may be split between two chunks.
        self._buffer += chunk
        if b"\r\n" in self._buffer:
            self._buffer = self._buffer.replace(b"\r\n", b"\n")
        while True:
            event, separator, rest = self._buffer.partition(_SEPARATOR)
            if not separator:
                break
            self._buffer = rest
            if event.strip():
                yield event
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise IncompleteAnswerError(
                f"an event of the stream exceeds {_MAX_EVENT_BYTES} bytes"
            )


def is_token_event(event: bytes) -> bool:
    """Returns whether an event counts for the offset of a stream.

    These are the events with choices; comments, the usage report and the
    terminal event do not count.
    """
    if not event.startswith(b"data:") or event.startswith(TERMINAL_EVENT):
        return False
    try:
        document = _DECODER.decode(event.removeprefix(b"data:"))
    except DECODE_ERRORS:
        return False
    return bool(document.choices)

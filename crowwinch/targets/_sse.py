"""Server-sent events of engines."""

from collections.abc import Iterator

_SEPARATOR = b"\n\n"
TERMINAL_EVENT = b"data: [DONE]"


class EventSplitter:
    """Splits a byte stream into server-sent events."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = b""

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yields the events that a chunk completes, without separators."""
        self._buffer += chunk.replace(b"\r\n", b"\n")
        while True:
            event, separator, rest = self._buffer.partition(_SEPARATOR)
            if not separator:
                return
            self._buffer = rest
            if event.strip():
                yield event

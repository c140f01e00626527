"""Splits a byte stream into complete server-sent events."""

_LF_SEPARATOR = b"\n\n"
_CRLF_SEPARATOR = b"\r\n\r\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers an event until it is complete.

    A stream may break within an event. Only complete events are relayed, so
    that another target can resume the stream after the last of them.
    """

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = b""
        self._last_id: str | None = None

    @property
    def last_id(self) -> str | None:
        """Id of the last complete event with an id, None before the first."""
        return self._last_id

    @property
    def has_incomplete_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns those of all events that are now complete."""
        data = self._buffer + data
        end = max(
            data.rfind(_LF_SEPARATOR) + len(_LF_SEPARATOR)
            if _LF_SEPARATOR in data
            else 0,
            data.rfind(_CRLF_SEPARATOR) + len(_CRLF_SEPARATOR)
            if _CRLF_SEPARATOR in data
            else 0,
        )
        complete, self._buffer = data[:end], data[end:]
        self._update_last_id(complete)
        return complete

    def take_incomplete_event(self) -> bytes:
        """Returns and removes the bytes after the last complete event."""
        incomplete, self._buffer = self._buffer, b""
        return incomplete

    def _update_last_id(self, events: bytes) -> None:
        position = events.rfind(b"\n" + _ID_FIELD)
        if position >= 0:
            start = position + 1
        elif events.startswith(_ID_FIELD):
            start = 0
        else:
            return
        line = events[start:].split(b"\n", 1)[0]
        value = line[len(_ID_FIELD) :].strip()
        self._last_id = value.decode("ascii", "replace")

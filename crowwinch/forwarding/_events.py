"""Splits a byte stream into complete server-sent events."""

import re

_LF_SEPARATOR = b"\n\n"
_CRLF_SEPARATOR = b"\r\n\r\n"
_ID_LINE = re.compile(rb"^id:(.*)$", re.MULTILINE)


class EventSplitter:
    """Buffers an event until it is complete.

    A stream may break within an event. Only complete events are relayed, so
    that another target can resume the stream after the last of them.
    """

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = bytearray()
        self._first_id: str | None = None
        self._last_id: str | None = None

    @property
    def first_id(self) -> str | None:
        """Id of the first complete event with an id, None before it."""
        return self._first_id

    @property
    def last_id(self) -> str | None:
        """Id of the last complete event with an id, None before the first."""
        return self._last_id

    @property
    def has_incomplete_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """Number of buffered bytes, all of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Adds bytes and returns those of all events that are now complete."""
        buffer = self._buffer
        if not buffer and data.endswith(_LF_SEPARATOR):
            # Most reads hold exactly one event.
            self._update_ids(data)
            return data
        # Only a separator that ends in the new bytes can be missing so far.
        start = max(len(buffer) - len(_CRLF_SEPARATOR) + 1, 0)
        buffer += data
        end = max(
            _find_end(buffer, separator, start)
            for separator in (_LF_SEPARATOR, _CRLF_SEPARATOR)
        )
        complete = bytes(buffer[:end])
        del buffer[:end]
        self._update_ids(complete)
        return complete

    def repeats(self, last_id: str) -> bool:
        """Returns whether the stream begins with events up to a given one.

        Ids that are not numbers cannot be compared.
        """
        try:
            return int(self._first_id or "") <= int(last_id)
        except ValueError:
            return False

    def _update_ids(self, events: bytes) -> None:
        ids = _ID_LINE.findall(events)
        if not ids:
            return
        self._last_id = ids[-1].strip().decode("ascii", "replace")
        if self._first_id is None:
            self._first_id = ids[0].strip().decode("ascii", "replace")


def _find_end(buffer: bytearray, separator: bytes, start: int) -> int:
    """Returns the end of the last separator, 0 if there is none."""
    position = buffer.rfind(separator, start)
    return 0 if position < 0 else position + len(separator)

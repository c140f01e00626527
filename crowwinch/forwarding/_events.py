"""Splits a stream of bytes into whole server-sent events."""

_LF_END = b"\n\n"
_CRLF_END = b"\r\n\r\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Holds back an event until its last byte has arrived.

    A target may break off in the middle of an event; only whole events may be
    passed on, so that another target can go on after the last of them.
    """

    def __init__(self) -> None:
        """Starts before the first byte."""
        self._rest = b""
        self._last_id: str | None = None

    @property
    def last_id(self) -> str | None:
        """Id of the last whole event, None before the first with an id."""
        return self._last_id

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an incomplete event are held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns those of all events that are now whole."""
        data = self._rest + data
        end = max(
            data.rfind(_LF_END) + len(_LF_END) if _LF_END in data else 0,
            data.rfind(_CRLF_END) + len(_CRLF_END) if _CRLF_END in data else 0,
        )
        whole, self._rest = data[:end], data[end:]
        self._note_id(whole)
        return whole

    def take_rest(self) -> bytes:
        """Returns the bytes after the last whole event and forgets them."""
        rest, self._rest = self._rest, b""
        return rest

    def _note_id(self, events: bytes) -> None:
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

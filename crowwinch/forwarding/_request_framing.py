"""Finds where requests begin and end in the bytes of a connection."""

import re

from crowwinch.errors import RefusalError, RefusalReason

_HEAD_END = b"\r\n\r\n"
_NEWLINES = b"\r\n"
# Longer sizes of chunks are not accepted; the HTTP library would skip any
# number of leading zeros.
_MAX_SIZE_DIGITS = 64
_SIZE = re.compile(rb"[0-9a-fA-F]{1,%d}" % _MAX_SIZE_DIGITS)


class _FieldSection:
    """Counts the bytes of a head or of trailers until their end."""

    def __init__(self, what: str, limit: int) -> None:
        self._what = what
        self._limit = limit
        self._size = 0
        # Last bytes, in case the end is split between two pieces of data.
        self._last = b""

    @property
    def size(self) -> int:
        """Bytes so far."""
        return self._size

    def reset(self, last: bytes = b"") -> None:
        """Begins a section.

        Args:
            last: Preceding bytes that may be part of its end.
        """
        self._size = 0
        self._last = last

    def add(self, count: int) -> None:
        """Counts bytes.

        Raises:
            RefusalError: If the section is too large.
        """
        self._size += count
        if self._size > self._limit:
            raise RefusalError(
                RefusalReason.HEAD_TOO_LARGE,
                f"the {self._what} have over {self._limit} bytes",
            )

    def find_end(self, data: bytes, start: int) -> int:
        """Returns the index after the section, -1 if it does not end here.

        Raises:
            RefusalError: If the section is too large.
        """
        end = -1
        if self._last:
            joined = self._last + data[start : start + len(_HEAD_END) - 1]
            found = joined.find(_HEAD_END)
            if found >= 0:
                end = start + found + len(_HEAD_END) - len(self._last)
        if end < 0:
            found = data.find(_HEAD_END, start)
            if found >= 0:
                end = found + len(_HEAD_END)
        if end >= 0:
            self.add(end - start)
            return end
        self.add(len(data) - start)
        keep = len(_HEAD_END) - 1
        self._last = (self._last + data[max(start, len(data) - keep) :])[-keep:]
        return -1


class RequestFraming:
    """Position within the current request of a connection.

    The HTTP library limits each line and the number of fields. This class
    limits the head as a whole, leading empty lines included, and the trailers,
    without parsing fields: the caller says how long a body is.

    Attributes:
        is_in_body: Whether the next bytes belong to a body or its trailers.
    """

    def __init__(self, max_header_bytes: int) -> None:
        """Begins before the first request.

        Args:
            max_header_bytes: Maximum size of a head, of trailers, and of the
                line before a chunk, in bytes.
        """
        self._limit = max_header_bytes
        self._head = _FieldSection("headers", max_header_bytes)
        self._trailers = _FieldSection("trailers", max_header_bytes)
        self._is_started = False
        self.is_in_body = False
        # Body bytes until the end of the body, or of a chunk with its newline.
        self._left = 0
        self._is_chunked = False
        self._is_in_trailers = False
        self._size_line = b""
        self._size_line_bytes = 0

    @property
    def head_bytes(self) -> int:
        """Size of the incomplete head."""
        return self._head.size

    def find_head_end(self, data: bytes, start: int) -> int:
        """Returns the index after the head, -1 if it does not end here.

        Args:
            data: Received bytes.
            start: Index of the first byte that was not processed yet.

        Raises:
            RefusalError: If the head is too large.
        """
        if not self._is_started:
            if not self._head.size:
                # Most heads arrive whole, without empty lines.
                end = data.find(_HEAD_END, start) + len(_HEAD_END)
                if (
                    len(_HEAD_END) <= end <= start + self._limit
                    and data[start] not in _NEWLINES
                ):
                    return end
            first = start
            if data[start] in _NEWLINES:
                first = len(data) - len(data[start:].lstrip(_NEWLINES))
                self._head.add(first - start)
                if first == len(data):
                    return -1
            self._is_started = True
            start = first
        end = self._head.find_end(data, start)
        if end >= 0:
            self._is_started = False
            self._head.reset()
        return end

    def begin_body(self, length: int | None) -> None:
        """Begins the body of the head that has just ended.

        Args:
            length: Its size in bytes, None if it comes in chunks.
        """
        self._is_chunked = length is None
        self._left = length or 0
        self._is_in_trailers = False
        self.is_in_body = self._is_chunked or self._left > 0

    def find_body_end(self, data: bytes, start: int) -> int:
        """Returns the index after the last byte that belongs to the body.

        Raises:
            RefusalError: If the trailers or the line before a chunk are too
                large, or that line is malformed.
        """
        if self._is_chunked:
            return self._find_last_chunk(data, start)
        taken = min(self._left, len(data) - start)
        self._left -= taken
        self.is_in_body = self._left > 0
        return start + taken

    def _find_last_chunk(self, data: bytes, start: int) -> int:
        size = len(data)
        while start < size:
            if self._left:
                taken = min(self._left, size - start)
                self._left -= taken
                start += taken
            elif self._is_in_trailers:
                end = self._trailers.find_end(data, start)
                if end < 0:
                    return size
                self.is_in_body = False
                return end
            else:
                start = self._read_size_line(data, start)
        return start

    def _read_size_line(self, data: bytes, start: int) -> int:
        """Reads the line before a chunk; returns the index after it."""
        newline = data.find(b"\n", start)
        end = len(data) if newline < 0 else newline + 1
        self._size_line_bytes += end - start
        if self._size_line_bytes > self._limit:
            raise RefusalError(
                RefusalReason.HEAD_TOO_LARGE,
                f"the line of a chunk has over {self._limit} bytes",
            )
        room = _MAX_SIZE_DIGITS + 1 - len(self._size_line)
        self._size_line += data[start : min(end, start + room)]
        if newline < 0:
            return end
        digits = self._size_line.partition(b";")[0].rstrip(_NEWLINES)
        self._size_line = b""
        self._size_line_bytes = 0
        if not _SIZE.fullmatch(digits):
            raise RefusalError(
                RefusalReason.MALFORMED_BODY, "the size of a chunk is malformed"
            )
        size = int(digits, 16)
        if size:
            self._left = size + len(_NEWLINES)
        else:
            self._is_in_trailers = True
            self._trailers.reset(_NEWLINES)
        return end

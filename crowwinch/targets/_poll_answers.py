"""Parses the HTTP answer to one poll."""

import re
from dataclasses import dataclass

_MAX_BYTES = 65_536
_HEAD_END = b"\r\n\r\n"
_STATUS = re.compile(rb"HTTP/1\.([01]) ([0-9]{3})[ \r]")
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*\r\n")
_CHUNKED = re.compile(rb"\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n")
_CLOSE = re.compile(rb"\r\nconnection:[ \t]*close[ \t]*\r\n")
_CHUNK = re.compile(rb"([0-9a-fA-F]{1,8})[^\r\n]*\r\n")


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """A complete answer.

    Attributes:
        keeps_open: Whether the connection may be used again.
    """

    status: int
    body: bytes
    keeps_open: bool


def parse_answer(data: bytes, at_end: bool) -> PollAnswer | None:
    """Returns the answer that the received bytes hold, None if incomplete.

    Args:
        data: All bytes since the request.
        at_end: Whether the target closed the connection.

    Raises:
        ValueError: If the bytes are not an HTTP answer or too many.
    """
    if len(data) > _MAX_BYTES:
        raise ValueError(f"more than {_MAX_BYTES} bytes")
    end = data.find(_HEAD_END)
    if end < 0:
        return None
    status = _STATUS.match(data)
    if status is None:
        raise ValueError("no HTTP status")
    start = end + len(_HEAD_END)
    head = data[:start].lower()
    if _CHUNKED.search(head):
        body, after = _chunks(data, start)
    elif (length := _LENGTH.search(head)) is not None:
        after = start + int(length[1])
        body = data[start:after] if len(data) >= after else None
    else:
        after = len(data)
        body = data[start:] if at_end else None
    if body is None:
        return None
    return PollAnswer(
        int(status[2]),
        body,
        # Bytes after the answer would be read as the next one.
        status[1] == b"1"
        and len(data) == after
        and not at_end
        and not _CLOSE.search(head),
    )


def _chunks(data: bytes, position: int) -> tuple[bytes | None, int]:
    """Returns a chunked body, None if incomplete, and where it ends.

    Raises:
        ValueError: If a chunk has no size.
    """
    body = b""
    while (line := _CHUNK.match(data, position)) is not None:
        size = int(line[1], 16)
        if size == 0:
            # Trailers end with an empty line, like a head.
            end = data.find(_HEAD_END, line.end() - 2)
            return (body, end + len(_HEAD_END)) if end >= 0 else (None, 0)
        position = line.end() + size + 2
        body += data[line.end() : line.end() + size]
    if b"\r\n" in data[position:]:
        raise ValueError("a chunk without a size")
    return None, 0

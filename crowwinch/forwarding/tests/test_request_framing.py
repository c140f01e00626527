"""Tests of where requests end, at the limits and in pieces of any size."""

import unittest

from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.forwarding._request_framing import RequestFraming

_LIMIT = 64
_START = b"GET /a HTTP/1.1\r\nHost: h\r\n"


def _head(size: int) -> bytes:
    """Returns a head of the given size."""
    padding = size - len(_START) - len(b"x: \r\n\r\n")
    return _START + b"x: " + b"a" * padding + b"\r\n\r\n"


def _pieces(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


def _read(data: bytes, piece: int, lengths=()) -> list[int]:
    """Returns the indexes after each head and each body.

    Args:
        data: All bytes of a connection.
        piece: Size of the pieces in which they arrive.
        lengths: Length of the body of each request, None for chunks.
    """
    framing = RequestFraming(_LIMIT)
    bodies = iter(lengths)
    ends, base = [], 0
    for part in _pieces(data, piece):
        at = 0
        while at < len(part):
            if framing.is_in_body:
                at = framing.find_body_end(part, at)
                if not framing.is_in_body:
                    ends.append(base + at)
                continue
            end = framing.find_head_end(part, at)
            if end < 0:
                break
            at = end
            ends.append(base + end)
            framing.begin_body(next(bodies, 0))
        base += len(part)
    return ends


class RequestFramingTest(unittest.TestCase):
    """Guards against heads and trailers that are not limited as a whole."""

    def _assert_limit(self, make, limit, lengths=(), heads=1):
        """Checks a limit on what `make` returns for a size, at all pieces."""
        for size in (limit - 1, limit, limit + 1):
            data = make(size)
            for piece in (1, 2, 3, 4, 5, 7, 64, len(data)):
                with self.subTest(size=size, piece=piece):
                    if size <= limit:
                        ends = _read(data, piece, lengths)
                        self.assertEqual(ends[-1], len(data))
                        continue
                    with self.assertRaises(RefusalError) as caught:
                        _read(data, piece, lengths)
                    self.assertIs(
                        caught.exception.reason, RefusalReason.HEAD_TOO_LARGE
                    )

    def test_head(self):
        self._assert_limit(_head, _LIMIT)

    def test_leading_empty_lines_count(self):
        for lines in (b"\r\n", b"\n\n\n", b"\r\n\r\n\r\n", b"\r\r\n"):
            with self.subTest(lines=lines):
                self._assert_limit(
                    lambda size, lines=lines: lines + _head(size - len(lines)),
                    _LIMIT,
                )

    def test_second_head_has_the_whole_limit(self):
        self._assert_limit(lambda size: _head(60) + _head(size), _LIMIT)

    def test_trailers(self):
        def request(size):
            field = b"x: " + b"a" * (size - len(b"x: \r\n\r\n")) + b"\r\n\r\n"
            return _START + b"\r\n4\r\nbody\r\n0\r\n" + field

        self._assert_limit(request, _LIMIT, (None,))

    def test_line_of_a_chunk(self):
        def request(size):
            extension = b"a" * (size - len(b"4;\r\n"))
            line = b"4;" + extension + b"\r\n"
            return _START + b"\r\n" + line + b"body\r\n0\r\n\r\n"

        self._assert_limit(request, _LIMIT, (None,))

    def test_incomplete_parts_are_limited(self):
        """Guards against parts whose end never comes."""
        chunked = _START + b"\r\n"
        for name, start, lengths in (
            ("head", _START, ()),
            ("request line", b"GET /", ()),
            ("trailers", chunked + b"0\r\n", (None,)),
            ("line of a chunk", chunked + b"4;", (None,)),
        ):
            for piece in (1, 3, 1_000):
                with self.subTest(name, piece=piece):
                    with self.assertRaises(RefusalError):
                        _read(start + b"a" * 2 * _LIMIT, piece, lengths)
        with self.assertRaises(RefusalError):
            _read(b"\r\n" * _LIMIT, 3)

    def test_head_cut_after_each_byte(self):
        for data in (_head(60), b"\r\n\r\n" + _head(60), b"\r" + _head(60)):
            for cut in range(len(data)):
                with self.subTest(data=data[:4], cut=cut):
                    framing = RequestFraming(_LIMIT)
                    if cut:
                        self.assertEqual(
                            framing.find_head_end(data[:cut], 0), -1
                        )
                    self.assertEqual(
                        framing.find_head_end(data[cut:], 0), len(data) - cut
                    )

    def test_pipelined_requests(self):
        """Guards against a body that is taken for a head, or a head for it."""
        chunks = b"5\r\nab\r\nc\r\nA;e=f\r\n\r\n\r\n0123\r\n\r\n00\r\n"
        cases = (
            ([_head(40), b""], 0),
            ([_head(50), b"\r\n\r\nGET"], 7),
            ([_head(60), chunks + b"\r\n"], None),
            ([_head(60), chunks + b"x: y\r\nz: \r\n\r\n"], None),
            ([_head(64), b"x"], 1),
        )
        data = b"".join(part for (parts, _) in cases for part in parts)
        expected, at = [], 0
        for parts, _ in cases:
            for part in parts:
                at += len(part)
                if part:
                    expected.append(at)
        lengths = [length for _, length in cases]
        for piece in range(1, len(data) + 1):
            with self.subTest(piece=piece):
                self.assertEqual(_read(data, piece, lengths), expected)

    def test_malformed_chunks(self):
        start = _START + b"\r\n"
        for line in (b"\r\n", b"x\r\n", b"-1\r\n", b" 4\r\n", b"0x4\r\n"):
            with self.subTest(line=line):
                with self.assertRaises(RefusalError) as caught:
                    _read(start + line, 100, (None,))
                self.assertIs(
                    caught.exception.reason, RefusalReason.MALFORMED_BODY
                )


if __name__ == "__main__":
    unittest.main()

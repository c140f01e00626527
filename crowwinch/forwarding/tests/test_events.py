"""Tests of splitting streams into events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crowwinch.forwarding import EventSplitter

_EVENTS = b"".join(
    f"id: {number}\ndata: a\ndata: b\n\n".encode() for number in range(1, 8)
)


class EventSplitterTest(unittest.TestCase):
    """Guards against relaying incomplete events."""

    @given(st.lists(st.integers(0, len(_EVENTS)), max_size=12))
    def test_returns_complete_events_for_any_chunks(self, positions):
        splitter = EventSplitter()
        received = b""
        boundaries = sorted({0, *positions, len(_EVENTS)})
        for start, end in zip(boundaries, boundaries[1:], strict=False):
            received += splitter.feed(_EVENTS[start:end])
            self.assertTrue(received == b"" or received.endswith(b"\n\n"))
            last = received.count(b"id:")
            self.assertEqual(splitter.last_id, str(last) if last else None)
        self.assertEqual(received, _EVENTS)
        self.assertFalse(splitter.has_incomplete_event)

    def test_other_line_endings_and_fields(self):
        cases = {
            b"id: 4\r\ndata: x\r\n\r\n": "4",
            b"x-version: 2\nid:5\ndata: x\n\n": "5",
            b"data: id: 9\n\n": None,
            b": comment\n\n": None,
        }
        for data, last_id in cases.items():
            with self.subTest(data):
                splitter = EventSplitter()
                self.assertEqual(splitter.feed(data), data)
                self.assertEqual(splitter.last_id, last_id)

    def test_buffers_an_incomplete_event(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\n\nid: 2\nda"), b"id: 1\n\n")
        self.assertTrue(splitter.has_incomplete_event)
        self.assertEqual(splitter.last_id, "1")

"""Splitting streams into whole events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crowwinch.forwarding import EventSplitter

_EVENTS = b"".join(
    f"id: {number}\ndata: a\ndata: b\n\n".encode() for number in range(1, 8)
)


class EventSplitterTest(unittest.TestCase):
    """Guards against parts of events that are passed on."""

    @given(st.lists(st.integers(0, len(_EVENTS)), max_size=12))
    def test_any_cuts_give_whole_events(self, cuts):
        splitter = EventSplitter()
        passed = b""
        places = sorted({0, *cuts, len(_EVENTS)})
        for start, end in zip(places, places[1:], strict=False):
            passed += splitter.feed(_EVENTS[start:end])
            self.assertTrue(passed == b"" or passed.endswith(b"\n\n"))
            last = passed.count(b"id:")
            self.assertEqual(splitter.last_id, str(last) if last else None)
        self.assertEqual(passed, _EVENTS)
        self.assertFalse(splitter.has_rest)

    def test_other_line_ends_and_fields(self):
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

    def test_the_rest_is_held_back(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\n\nid: 2\nda"), b"id: 1\n\n")
        self.assertTrue(splitter.has_rest)
        self.assertEqual(splitter.last_id, "1")

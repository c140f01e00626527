"""Tests of link frames as they travel."""

import unittest

from crowwinch.app._peer_messages import frame_from_wire, frame_to_wire
from crowwinch.coordination import (
    Frame,
    ManualClock,
    ReliableLink,
    TimerService,
)
from crowwinch.peers import decode, encode

_LIFE = 1_764_700_000_000


class FrameTest(unittest.TestCase):
    """Guards against shortened numbers that are taken for others."""

    def setUp(self):
        self.timers = TimerService(ManualClock())
        self.got = {"a": [], "b": []}
        self.lives, self.ends = {}, {}
        self.start("a", _LIFE)
        self.start("b", _LIFE)

    def start(self, name, life):
        other = "b" if name == "a" else "a"
        self.lives[name] = life
        self.ends[name] = ReliableLink(
            life,
            self.timers,
            lambda frame: self.carry(life, other, encode(frame_to_wire(frame))),
            self.got[name].append,
        )

    def carry(self, life, to, raw):
        self.ends[to].receive(
            frame_from_wire(decode(raw), life, self.lives[to], self.ends[to])
        )

    def test_numbers_beyond_16_bits_and_a_new_life(self):
        sent = [b"%d" % number for number in range(70_000)]
        for payload in sent:
            self.ends["a"].send(payload)
            self.ends["b"].send(payload)
        self.assertEqual(self.got, {"a": sent, "b": sent})
        # Numbers of a new life start at 1 while those of the other end are
        # far on; its first frame may be lost.
        frame = Frame(_LIFE + 1, _LIFE, 1, 0, b"x")
        self.carry(_LIFE + 1, "a", encode(frame_to_wire(frame)))
        self.assertEqual(self.got["a"][70_000:], [b"x"])

    def test_frame_for_another_life_is_not_delivered(self):
        for receiver, expected in (
            (0, []),
            (_LIFE - 1, []),
            (_LIFE, [b"x"]),
        ):
            frame = Frame(_LIFE, receiver, 1, 0, b"x")
            self.carry(_LIFE, "b", encode(frame_to_wire(frame)))
            self.assertEqual(self.got["b"], expected)

    def test_header_is_short(self):
        # Section 4 of the design page counts on 9 bytes.
        frame = Frame(_LIFE, _LIFE, 100_000, 100_000, b"x")
        self.assertEqual(len(encode(frame_to_wire(frame))), 10)


if __name__ == "__main__":
    unittest.main()

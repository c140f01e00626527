"""Tests of what updates say about cold targets."""

import unittest

import msgspec

from crowwinch.fleet._update_codec import decode_cold, encode_cold
from crowwinch.generated.fleet_messages import ColdMessage
from crowwinch.sharing import ColdReport

_DECODER = msgspec.msgpack.Decoder(list[ColdMessage])


class ColdCodecTest(unittest.TestCase):
    """Guards against routers that take a cold target as warm."""

    def test_reports_arrive_as_they_were_sent(self):
        cases = (
            ("observed", ColdReport("t", 5, 2.5, 0), 2.5),
            ("only sent to", ColdReport("t", 5, 0.0, 3), 0.0),
            ("less than a millisecond", ColdReport("t", 5, 0.0002, 3), 0.001),
            ("start of unknown time", ColdReport("t", 0, 1.0, 0), 1.0),
        )
        for name, report, left_s in cases:
            with self.subTest(name):
                data = msgspec.msgpack.encode(encode_cold([report]))
                (decoded,) = decode_cold(_DECODER.decode(data))
                self.assertEqual(
                    (decoded.target, decoded.life, decoded.sent),
                    (report.target, report.life, report.sent),
                )
                self.assertEqual(decoded.left_s, left_s)

    def test_invalid_messages_are_rejected(self):
        for values in (["t", 1, -1, 0], ["t", 1, 5, -1], ["t", "x", 5, 0]):
            with self.subTest(values), self.assertRaises(msgspec.DecodeError):
                _DECODER.decode(msgspec.msgpack.encode([values]))

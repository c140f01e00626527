"""Tests of encoding, dispatch, identities and pacing."""

import contextlib
import inspect
import unittest

from hypothesis import given
from hypothesis import strategies as st

from crowwinch.coordination import ManualClock
from crowwinch.errors import PeerMessageError, PeerRejection
from crowwinch.generated import peer_messages as messages
from crowwinch.generated.bases import MessageStruct
from crowwinch.peers import (
    MAX_MESSAGE_BYTES,
    MESSAGE_TYPES,
    MessageDispatcher,
    PeerIdentity,
    TokenBucket,
    decode,
    encode,
)

_PING = messages.Ping(1, 2, 3, "d", [messages.MemberUpdate("a", 9, 1)])
_SENDER = PeerIdentity("router-1", 5)
# Structs that occur only inside messages.
_INNER = {
    "MemberUpdate",
    "DemandEntry",
    "Completion",
    "ReusedSlot",
    "Grant",
    "RefusedDemand",
    "GroupStatus",
    "InFlight",
    "WorkspaceLag",
}


class CodecTest(unittest.TestCase):
    """Guards against accepting what another router did not mean."""

    def test_round_trip(self):
        self.assertEqual(decode(encode(_PING)), _PING)

    def test_every_message_has_a_type_number(self):
        defined = {
            name
            for name, kind in inspect.getmembers(messages, inspect.isclass)
            if issubclass(kind, MessageStruct) and kind is not MessageStruct
        }
        numbered = {kind.__name__ for kind in MESSAGE_TYPES.values()}
        self.assertEqual(numbered, defined - _INNER)

    def test_rejections(self):
        good = encode(_PING)
        cases = (
            ("empty", b"", PeerRejection.MALFORMED),
            ("no type", b"\x01", PeerRejection.MALFORMED),
            ("version", b"\x02" + good[1:], PeerRejection.UNKNOWN_VERSION),
            ("type", b"\x01\xff" + good[2:], PeerRejection.UNKNOWN_TYPE),
            ("cut", good[:-1], PeerRejection.MALFORMED),
            ("trailing", good + b"\x00", PeerRejection.MALFORMED),
            ("cut frame", b"\x01\x05" + bytes(6), PeerRejection.MALFORMED),
            ("not text", b"\x01\x04\x91\xa1\xff", PeerRejection.MALFORMED),
            ("state", good[:-1] + b"\x09", PeerRejection.MALFORMED),
            (
                "large",
                bytes(MAX_MESSAGE_BYTES + 1),
                PeerRejection.OVERSIZED,
            ),
        )
        for name, raw, reason in cases:
            with self.subTest(name):
                with self.assertRaises(PeerMessageError) as caught:
                    decode(raw)
                self.assertIs(caught.exception.reason, reason)

    def test_oversized_message_is_not_sent(self):
        part = messages.ConfigurationPart(1, "d", "n", bytes(MAX_MESSAGE_BYTES))
        with self.assertRaises(PeerMessageError):
            encode(part)

    @given(st.binary(max_size=60), st.integers(0, 21))
    def test_any_bytes_decode_or_are_rejected(self, raw, number):
        with contextlib.suppress(PeerMessageError):
            decode(bytes((1, number)) + raw)

    def test_identities(self):
        self.assertEqual(PeerIdentity.from_bytes(_SENDER.to_bytes()), _SENDER)
        for raw in (b"", b"a", b"a/", b"/1", b"a/x", b"a b/1", b"\x00abcd"):
            self.assertIsNone(PeerIdentity.from_bytes(raw), raw)


class DispatchTest(unittest.TestCase):
    """Guards against one message that stops the others."""

    def test_handlers_and_rejections(self):
        counted, seen = [], []
        dispatcher = MessageDispatcher(counted.append)
        dispatcher.register(messages.Ping, lambda *got: seen.append(got))
        dispatcher.register(messages.Leaving, lambda *got: 1 / 0)
        dispatcher.dispatch_raw(_SENDER, encode(_PING))
        self.assertEqual(seen, [(_SENDER, _PING)])
        dispatcher.dispatch_raw(_SENDER, b"\x07")
        dispatcher.dispatch(_SENDER, messages.RegistrationRequest(1))
        with self.assertLogs(level="ERROR"):
            dispatcher.dispatch(_SENDER, messages.Leaving(1))
        self.assertEqual(
            counted,
            [
                PeerRejection.MALFORMED,
                PeerRejection.NO_HANDLER,
                PeerRejection.HANDLER_FAILED,
            ],
        )


class PacingTest(unittest.TestCase):
    """Guards against control traffic over the budget."""

    def test_mean_rate_holds_for_any_size(self):
        clock = ManualClock()
        bucket = TokenBucket(clock.monotonic, 1200, 600)
        spent = 0
        for step in range(1000):
            size = 83 + (step * 37) % 400
            if bucket.has_credit():
                bucket.spend(size)
                spent += size
            else:
                clock.move_to(clock.monotonic() + bucket.delay_s())
                self.assertTrue(bucket.has_credit())
        self.assertLessEqual(spent, 600 + 483 + 1200 * clock.monotonic())
        self.assertEqual(bucket.delay_s() > 0, not bucket.has_credit())

    def test_overdrawn_credit_returns_at_the_rate(self):
        clock = ManualClock()
        bucket = TokenBucket(clock.monotonic, 50, 50)
        self.assertEqual(bucket.delay_s(), 0.0)
        bucket.set_rate(100, 100)
        clock.move_to(clock.monotonic() + 1.0)
        bucket.spend(250)
        clock.move_to(clock.monotonic() + 0.5)
        self.assertAlmostEqual(bucket.delay_s(), 1.0, delta=0.02)
        clock.move_to(clock.monotonic() + 1.1)
        self.assertEqual(bucket.delay_s(), 0.0)

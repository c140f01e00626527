"""One claim against answers of the recorder and the witness."""

import unittest

from crowwinch.generated.peer_messages import ClaimAnswer, Close, CloseAnswer
from crowwinch.idempotency import ClaimVerdict
from crowwinch.idempotency._claim import ClaimAttempt
from crowwinch.idempotency._keys import new_key


class _Timers:
    """Timers that never fire."""

    def call_later(self, delay, callback):
        """Ignores the call."""


class RestartedRecorderTest(unittest.TestCase):
    """Guards against a lost answer that the witness still holds."""

    def _claim(self, witness):
        self.sent = []
        self.decided = []
        key = new_key("p", 1, witness, 1 if witness else 0)
        claim = ClaimAttempt(
            key,
            "digest",
            "a1",
            _Timers(),
            lambda router, message: self.sent.append((router, message)),
            lambda verdict, content: self.decided.append((verdict, content)),
        )
        claim.start()
        return claim, str(key)

    def test_witness_is_asked_when_the_recorder_does_not_know(self):
        for verdict, content in (
            (ClaimVerdict.RECORDED, b"answer"),
            (ClaimVerdict.CLOSED, b""),
            (ClaimVerdict.UNKNOWN, b""),
        ):
            with self.subTest(verdict.name):
                claim, key = self._claim("w")
                unknown = int(ClaimVerdict.UNKNOWN)
                claim.on_claim_answer(ClaimAnswer(key, "a1", unknown, b""))
                self.assertEqual(self.sent[1:], [("w", Close(key, "a1"))])
                self.assertEqual(self.decided, [])
                claim.on_close_answer(
                    CloseAnswer(key, "a1", int(verdict), content)
                )
                self.assertEqual(self.decided, [(verdict, content)])

    def test_key_without_a_witness_is_unknown(self):
        claim, key = self._claim("")
        unknown = int(ClaimVerdict.UNKNOWN)
        claim.on_claim_answer(ClaimAnswer(key, "a1", unknown, b""))
        self.assertEqual(self.decided, [(ClaimVerdict.UNKNOWN, b"")])

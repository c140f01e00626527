"""Headers in both directions."""

import unittest

from multidict import CIMultiDict, CIMultiDictProxy

from crowwinch.forwarding import AttemptHead
from crowwinch.platform import HeaderCodec
from crowwinch.sharing import PromptPart

_CODEC = HeaderCodec()
_ATTEMPT = AttemptHead("i-1", 1.5, "tenant", None)


def _encode(*pairs, attempt=_ATTEMPT):
    return _CODEC.encode_attempt(pairs, attempt)


class RequestHeadTest(unittest.TestCase):
    """Guards against callers' estimates that are misread or harmful."""

    def _decode(self, **headers):
        names = {
            "tokens": "X-Crowwinch-Token-Count",
            "parts": "X-Crowwinch-Prefix-Hash",
            "hint": "X-Crowwinch-Length-Hint",
            "deadline": "X-Crowwinch-Deadline-Ms",
        }
        return _CODEC.decode_request(
            CIMultiDictProxy(
                CIMultiDict(
                    {names[name]: value for name, value in headers.items()}
                )
            )
        )

    def test_fields(self):
        head = self._decode(
            tokens="1460,80", parts="5c1e:800,91bd:660", deadline="1500"
        )
        self.assertEqual((head.prompt_tokens, head.output_tokens), (1460, 80))
        self.assertEqual(
            head.parts, (PromptPart("5c1e", 800), PromptPart("91bd", 660))
        )
        self.assertEqual(head.deadline_s, 1.5)

    def test_hint_replaces_the_largest_output(self):
        self.assertEqual(
            self._decode(tokens="10,80", hint="30").output_tokens, 30
        )
        self.assertEqual(
            self._decode(tokens="10,80", hint="300").output_tokens, 80
        )

    def test_malformed_estimates_count_as_absent(self):
        for text in ("x", "-1,-1", "9" * 40, "1.5,2", ","):
            with self.subTest(text):
                head = self._decode(tokens=text, deadline=text)
                self.assertEqual(
                    (head.prompt_tokens, head.deadline_s), (0, None)
                )
        for text in ("a", "a:b", ":5", "a:-1", ",", "a:1," * 300):
            with self.subTest(text):
                self.assertEqual(self._decode(parts=text).parts, ())


class AttemptHeadersTest(unittest.TestCase):
    """Guards against callers that set what only routers may set."""

    def test_headers_of_the_system_are_dropped(self):
        names = (
            "X-Api-Key",
            "X-Crowwinch-Hold",
            "X-Crowwinch-Pin-Ms",
            "X-Crowwinch-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "X-Crowwinch-Expect-Version",
            "Connection",
            "Transfer-Encoding",
            "Content-Length",
            "Keep-Alive",
            "Expect",
        )
        for name in names:
            for spelling in (name, name.lower(), name.upper()):
                with self.subTest(spelling):
                    self.assertNotIn(name, _encode((spelling, "x")))

    def test_values_of_the_router_replace_those_of_the_caller(self):
        encoded = _encode(
            ("x-crowwinch-tenant", "other"),
            ("X-Crowwinch-Expect-Instance", "i-9"),
            ("X-Crowwinch-Deadline-Ms", "99999"),
        )
        self.assertEqual(encoded.getall("X-Crowwinch-Tenant"), ["tenant"])
        self.assertEqual(encoded.getall("X-Crowwinch-Expect-Instance"), ["i-1"])
        self.assertEqual(encoded.getall("X-Crowwinch-Deadline-Ms"), ["1500"])

    def test_without_a_workspace_none_is_told(self):
        attempt = AttemptHead("i-1", 1.0, None, None)
        encoded = _encode(("X-Crowwinch-Tenant", "x"), attempt=attempt)
        self.assertNotIn("X-Crowwinch-Tenant", encoded)

    def test_headers_named_by_connection_are_dropped(self):
        encoded = _encode(("Connection", "X-One, close"), ("X-One", "1"))
        self.assertNotIn("X-One", encoded)

    def test_the_attempt_id_cannot_be_dropped_by_connection(self):
        encoded = _encode(
            ("Connection", "x-crowwinch-attempt-id, host"),
            ("X-Crowwinch-Attempt-Id", "a"),
            ("Host", "h"),
        )
        self.assertEqual(encoded["X-Crowwinch-Attempt-Id"], "a")
        self.assertEqual(encoded["Host"], "h")

    def test_other_headers_are_kept_with_their_repeats(self):
        encoded = _encode(("X-Other", "1"), ("X-Other", "2"), ("Host", "h"))
        self.assertEqual(encoded.getall("X-Other"), ["1", "2"])
        self.assertEqual(encoded["Host"], "h")

    def test_resumed_streams_name_the_last_event(self):
        attempt = AttemptHead("i-1", 1.0, None, "17")
        encoded = _encode(("Last-Event-Id", "3"), attempt=attempt)
        self.assertEqual(encoded.getall("Last-Event-Id"), ["17"])
        self.assertEqual(_encode(("Last-Event-Id", "3"))["Last-Event-Id"], "3")


class AnswerHeadTest(unittest.TestCase):
    """Guards against a promise of a target that is missed or invented."""

    def test_promises(self):
        seal = {"X-Crowwinch-Server-Seal": "s"}
        promise = {"X-Crowwinch-Not-Executed": "1"}
        cases = (
            (200, seal, False, False),
            (503, promise, True, False),
            (429, promise, True, False),
            (503, {}, False, False),
            (500, seal, False, False),
            (421, {}, True, True),
        )
        for status, headers, not_run, is_other in cases:
            with self.subTest(status=status, headers=headers):
                head = _CODEC.decode_response(
                    status, CIMultiDictProxy(CIMultiDict(headers))
                )
                self.assertEqual(head.not_run, not_run)
                self.assertEqual(head.is_other_target, is_other)

    def test_headers_of_the_connection_are_not_passed_on(self):
        headers = CIMultiDictProxy(
            CIMultiDict(
                [
                    ("Connection", "close, X-Hop"),
                    ("X-Hop", "1"),
                    ("Keep-Alive", "timeout=5"),
                    ("Transfer-Encoding", "chunked"),
                    ("Content-Length", "3"),
                    ("X-Crowwinch-Server-Seal", "s"),
                    ("Set-Cookie", "a"),
                    ("Set-Cookie", "b"),
                ]
            )
        )
        self.assertEqual(
            _CODEC.relayed_headers(headers),
            [
                ("X-Crowwinch-Server-Seal", "s"),
                ("Set-Cookie", "a"),
                ("Set-Cookie", "b"),
            ],
        )

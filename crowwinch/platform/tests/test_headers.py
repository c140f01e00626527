"""Tests decoding and encoding of request and answer headers."""

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
    """Guards against misinterpreted or harmful estimates of callers."""

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

    def test_request_headers_are_decoded(self):
        head = self._decode(
            tokens="1460,80", parts="5c1e:800,91bd:660", deadline="1500"
        )
        self.assertEqual((head.prompt_tokens, head.output_tokens), (1460, 80))
        self.assertEqual(
            head.parts, (PromptPart("5c1e", 800), PromptPart("91bd", 660))
        )
        self.assertEqual(head.deadline_s, 1.5)

    def test_length_hint_reduces_output_tokens(self):
        self.assertEqual(
            self._decode(tokens="10,80", hint="30").output_tokens, 30
        )
        self.assertEqual(
            self._decode(tokens="10,80", hint="300").output_tokens, 80
        )

    def test_malformed_estimates_are_ignored(self):
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
    """Guards against callers that set headers reserved for routers."""

    def test_reserved_and_hop_by_hop_headers_are_removed(self):
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

    def test_router_values_replace_caller_values(self):
        encoded = _encode(
            ("x-crowwinch-tenant", "other"),
            ("X-Crowwinch-Expect-Instance", "i-9"),
            ("X-Crowwinch-Deadline-Ms", "99999"),
        )
        self.assertEqual(encoded.getall("X-Crowwinch-Tenant"), ["tenant"])
        self.assertEqual(encoded.getall("X-Crowwinch-Expect-Instance"), ["i-1"])
        self.assertEqual(encoded.getall("X-Crowwinch-Deadline-Ms"), ["1500"])

    def test_workspace_header_is_removed_without_workspace(self):
        attempt = AttemptHead("i-1", 1.0, None, None)
        encoded = _encode(("X-Crowwinch-Tenant", "x"), attempt=attempt)
        self.assertNotIn("X-Crowwinch-Tenant", encoded)

    def test_headers_listed_in_connection_are_removed(self):
        encoded = _encode(("Connection", "X-One, close"), ("X-One", "1"))
        self.assertNotIn("X-One", encoded)

    def test_connection_cannot_remove_attempt_id_or_host(self):
        encoded = _encode(
            ("Connection", "x-crowwinch-attempt-id, host"),
            ("X-Crowwinch-Attempt-Id", "a"),
            ("Host", "h"),
        )
        self.assertEqual(encoded["X-Crowwinch-Attempt-Id"], "a")
        self.assertEqual(encoded["Host"], "h")

    def test_other_headers_keep_repeated_values(self):
        encoded = _encode(("X-Other", "1"), ("X-Other", "2"), ("Host", "h"))
        self.assertEqual(encoded.getall("X-Other"), ["1", "2"])
        self.assertEqual(encoded["Host"], "h")

    def test_source_of_cached_parts_is_the_router_s(self):
        """Guards against callers that choose what an engine fetches."""
        attempt = AttemptHead("i-1", 1.0, None, None, "10.0.0.1:80")
        encoded = _encode(("kv-fetch", "10.9.9.9:1"), attempt=attempt)
        self.assertEqual(encoded.getall("Kv-Fetch"), ["10.0.0.1:80"])
        self.assertNotIn("Kv-Fetch", _encode(("kv-fetch", "10.9.9.9:1")))

    def test_resumed_stream_replaces_last_event_id(self):
        attempt = AttemptHead("i-1", 1.0, None, "17")
        encoded = _encode(("Last-Event-Id", "3"), attempt=attempt)
        self.assertEqual(encoded.getall("Last-Event-Id"), ["17"])
        self.assertEqual(_encode(("Last-Event-Id", "3"))["Last-Event-Id"], "3")


class ResponseHeadTest(unittest.TestCase):
    """Guards against missed or false not-executed marks of targets."""

    def test_not_executed_answers_are_recognized(self):
        seal = {"X-Crowwinch-Server-Seal": "s"}
        not_executed = {"X-Crowwinch-Not-Executed": "1"}
        cases = (
            (200, seal, False, False),
            (503, not_executed, True, False),
            (429, not_executed, True, False),
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

    def test_state_that_a_target_reports(self):
        """Guards against pauses that never end and states that are ignored."""
        cases = (
            (200, {"Server-Leaving": "1"}, True, None),
            (200, {"Server-Leaving": "0"}, False, None),
            (503, {"Retry-After": "1.5"}, False, 1.5),
            (429, {"Retry-After": "1.5"}, False, None),
            (503, {"Retry-After": "1e9"}, False, 3_600.0),
            *(
                (503, {"Retry-After": text}, False, None)
                for text in ("", "soon", "-1", "0", "nan", "inf", "Sat, 5 Dec")
            ),
        )
        for status, headers, is_leaving, hold_s in cases:
            with self.subTest(status=status, headers=headers):
                head = _CODEC.decode_response(
                    status, CIMultiDictProxy(CIMultiDict(headers))
                )
                self.assertEqual(head.is_leaving, is_leaving)
                self.assertEqual(head.hold_s, hold_s)

    def test_rate_limit_of_a_target(self):
        """Guards against limits that are misread or end by a broken header."""
        cases = (
            ({}, None, False),
            ({"Server-Limit": "7.1"}, 7.1, False),
            ({"Server-Limit": " 40 "}, 40.0, False),
            ({"Server-Limit": "0"}, 0.0, False),
            *(
                ({"Server-Limit": text}, None, True)
                for text in (
                    "",
                    "many",
                    "-1",
                    "+1",
                    "nan",
                    "inf",
                    "1e3",
                    "1_0",
                    "7,1",
                    "7.1.2",
                    "99999999",
                    "\u0667",
                )
            ),
        )
        for headers, rate_limit, is_unreadable in cases:
            with self.subTest(headers=headers):
                head = _CODEC.decode_response(
                    200, CIMultiDictProxy(CIMultiDict(headers))
                )
                self.assertEqual(head.rate_limit, rate_limit)
                self.assertEqual(head.has_unreadable_limit, is_unreadable)

    def test_remaining_time_of_a_cold_target(self):
        """Guards against a malformed time that ends the protection."""
        cases = (
            ({}, None),
            ({"X-Crowwinch-Cold-Ms": "2500"}, 2.5),
            ({"X-Crowwinch-Cold-Ms": " 0 "}, 0.0),
            *(
                ({"X-Crowwinch-Cold-Ms": text}, None)
                for text in ("", "soon", "-1", "1.5", "9" * 13)
            ),
        )
        for headers, cold_s in cases:
            with self.subTest(headers=headers):
                head = _CODEC.decode_response(
                    200, CIMultiDictProxy(CIMultiDict(headers))
                )
                self.assertEqual(head.cold_s, cold_s)

    def test_hop_by_hop_headers_of_answers_are_removed(self):
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

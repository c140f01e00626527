"""Tests of the prompt-prefix affinity."""

import json
import unittest

from crowwinch.coordination import ManualClock, identifier
from crowwinch.generated.documents import Target
from crowwinch.routing import (
    BLOCK_BYTES,
    PrefixHints,
    PromptAffinity,
    prompt_prefixes,
)
from crowwinch.routing._prefixes import HINT_LIFETIME_S, Conversation
from crowwinch.routing.tests.support import (
    Router,
    start_targets,
    target_identifier,
)
from standins.scripted_target import ScriptedTarget, stream, whole

_TEXT = bytes(range(256)) * (4 * BLOCK_BYTES // 256)


class PrefixesTest(unittest.TestCase):
    """Guards against digests shared between workspaces or models."""

    def test_only_equal_prefixes_of_one_workspace_and_group_match(self):
        own_prefixes = prompt_prefixes(1, 1, _TEXT)
        cases = (
            ("longer", 1, 1, _TEXT + b"x" * BLOCK_BYTES, 4),
            ("differs in the third block", 1, 1, _TEXT[:1100] + b"x" * 900, 2),
            ("shorter than a block", 1, 1, _TEXT[:500], 0),
            ("other workspace", 2, 1, _TEXT, 0),
            ("other group", 1, 2, _TEXT, 0),
        )
        for name, workspace, group, text, shared in cases:
            with self.subTest(name):
                other_prefixes = prompt_prefixes(workspace, group, text)
                self.assertEqual(
                    len({*own_prefixes} & {*other_prefixes}), shared
                )
                self.assertEqual(own_prefixes[:shared], other_prefixes[:shared])


class HintsTest(unittest.TestCase):
    """Guards against hints for prefixes that the target has evicted."""

    def test_hint_after_an_answer(self):
        # (seconds, reported cached fraction, preferred target of the next call)
        cases = (
            ("fresh", 1.0, 1.0, 7),
            ("expired", HINT_LIFETIME_S, 1.0, 0),
            ("evicted", 1.0, 0.1, 0),
            ("event missing", 1.0, None, 7),
        )
        for name, seconds, cached_fraction, expected in cases:
            with self.subTest(name):
                clock = ManualClock()
                hints = PrefixHints(clock, capacity=8)
                first = PromptAffinity(hints, 1, 1, _TEXT)
                self.assertEqual(first.preferred(), 0)
                first.record_served(7, 0.0)
                clock.move_to(clock.monotonic() + seconds / 2)
                # The target serves another prompt, cached or evicted.
                second = PromptAffinity(hints, 1, 1, _TEXT)
                self.assertEqual(second.preferred(), 7)
                second._hints.record_cached(
                    second._hint, len(_TEXT), cached_fraction
                )
                clock.move_to(clock.monotonic() + seconds / 2)
                self.assertEqual(
                    PromptAffinity(hints, 1, 1, _TEXT).preferred(), expected
                )

    def test_oldest_hints_are_evicted(self):
        hints = PrefixHints(ManualClock(), capacity=8)
        for workspace in range(3):
            PromptAffinity(hints, workspace, 1, _TEXT).record_served(7, None)
        self.assertEqual(len(hints), 8)
        self.assertIsNone(hints.find(prompt_prefixes(0, 1, _TEXT)))
        self.assertIsNotNone(hints.find(prompt_prefixes(2, 1, _TEXT)))


class ConversationTest(unittest.TestCase):
    """Guards against routers that choose different targets for its turns."""

    def test_routers_without_hints_agree(self):
        names = (f"t{index}" for index in range(8))
        targets = [Target(name, "http://t", 1) for name in names]
        target_ids = {identifier(target.name) for target in targets}
        system = {"role": "system", "content": "s" * 3000}
        preferred = set()
        for name in "abcdefgh":
            turns = [system, {"role": "user", "content": name * 100}]
            first, second = (PrefixHints(ManualClock()) for _ in range(2))

            def affinity(hints, turns):
                prompt = json.dumps(turns).encode()
                return PromptAffinity(hints, 1, 1, prompt, targets)

            expected_target = affinity(first, turns).preferred()
            # Another conversation has the same instructions.
            other_prompt = [system, {"role": "user", "content": "z" * 600}]
            affinity(second, other_prompt).record_served(1, None)
            longer_prompt = [*turns, {"role": "user", "content": "y" * 2000}]
            self.assertEqual(
                affinity(second, longer_prompt).preferred(), expected_target
            )
            affinity(second, longer_prompt).record_served(2, None)
            answer = {"role": "assistant", "content": "x" * 600}
            exchange = [answer, {"role": "user", "content": "w" * 600}]
            # The hint ends before the last turn of the second prompt, which
            # another router must have served.
            for count, expected in ((1, 2), (2, expected_target)):
                prompt = longer_prompt + exchange * count
                self.assertEqual(affinity(second, prompt).preferred(), expected)
            preferred.add(expected_target)
        self.assertLessEqual(preferred, target_ids)
        self.assertGreater(len(preferred), 1)

    def test_opening_of_each_prompt(self):
        user = b'{"role":"user","content":"a"}'
        cases = (
            (b"[" + user + b",1]", user),
            (b'[{"role":"system"},' + user + b"]", b'{"role":"system"}' + user),
            (b'[{"role":"system"}]', None),
            (b"[1, 2]", None),
            (b'"text"', None),
            (b'[{"role":1}]', None),
            (b"", None),
            (b"[" * 5000, None),
        )
        for prompt, opening in cases:
            with self.subTest(prompt[:40]):
                parsed = Conversation.parse(prompt)
                self.assertEqual(parsed and parsed.opening, opening)


class HintUpdateTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers that do not update the hints."""

    async def test_router_prefers_the_target_that_served(self):
        usage = {"prompt_tokens": 500, "completion_tokens": 1}
        evicted = usage | {"prompt_tokens_details": {"cached_tokens": 0}}
        answer = whole(json.dumps({"usage": usage}).encode())
        evicted_answer = whole(json.dumps({"usage": evicted}).encode())
        answers = [answer, evicted_answer, stream(0, 2), answer]
        target = ScriptedTarget(*answers)
        preferred = []
        async with Router(await start_targets(target)) as router:
            for key, streams in zip(
                ("alpha", "alpha", "beta", "beta"), (0, 0, 1, 0), strict=True
            ):
                body = {"model": "name", "prompt": "x" * 2000}
                body_bytes = json.dumps(
                    body | {"stream": bool(streams)}
                ).encode()
                reply = await router.send(
                    "POST", "/v1/completions", body_bytes, key
                )
                self.assertEqual(reply.status, 200)
                preferred.append(router.dispatcher.requests[-1].preferred)
        self.assertEqual(preferred, [0, target_identifier(0)] * 2)

"""Tests of fetching cached parts of prompts from other engines."""

import dataclasses
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    EngineSpeeds,
    Placer,
    PrefixCacheTracker,
    PromptPart,
    TargetHealth,
    TargetLimits,
    TargetLoads,
    TargetView,
    Work,
)
from crowwinch.sharing._cache_fetch import NO_FETCH
from crowwinch.sharing._cache_sources import CacheSources
from crowwinch.sharing._forecasts import TargetStatus

# A link that moves a token in a twentieth of the time to read it.
_FAST_TOKEN_S = 1e-6
# A link that is no faster than reading.
_SLOW_TOKEN_S = 2e-5
_SHARED_TOKENS = 5_000


def _engine(name: str, token_s: float | None = _FAST_TOKEN_S) -> TargetView:
    return TargetView(
        name,
        0,
        "llm",
        False,
        8,
        memory_tokens=500_000,
        is_engine=True,
        transfer_token_s=token_s,
    )


def _statuses(
    names: str, token_s: float | None = _FAST_TOKEN_S
) -> list[TargetStatus]:
    """Returns the states of engines; an upper-case name is in back-off."""
    return [
        TargetStatus(
            _engine(name.lower(), token_s), True, name.isupper(), 0, 0, 0, 0, 0
        )
        for name in names
    ]


def _prompt() -> Work:
    return Work(
        service="llm",
        workspace="w",
        model="m",
        parts=(PromptPart("shared", _SHARED_TOKENS), PromptPart("own", 1_000)),
        prompt_tokens=_SHARED_TOKENS + 1_000,
        output_tokens=100,
        target_latency_s=0.8,
    )


class CacheSourcesTest(unittest.TestCase):
    """Guards against fetches that gain nothing or cannot succeed."""

    def test_source(self) -> None:
        engines = "abc"
        cases = {
            "home of the prefix": ({}, "a", engines, 0, ("a", 5_000)),
            "longest known part": (
                {"a": 2_000, "b": 4_000},
                None,
                engines,
                0,
                ("b", 4_000),
            ),
            "only what is missing": (
                {"b": 4_000},
                None,
                engines,
                1_000,
                ("b", 3_000),
            ),
            "home that this router sent a shorter part": (
                {"a": 1_000, "b": 1_000},
                "a",
                engines,
                0,
                ("a", 5_000),
            ),
            "engine known to have it before the home": (
                {"a": 5_000, "b": 5_000},
                "a",
                engines,
                0,
                ("b", 5_000),
            ),
            "not the part of the request alone": (
                {"b": 6_000},
                None,
                engines,
                0,
                ("b", 5_000),
            ),
            "nothing cached": ({}, None, engines, 0, ("", 0)),
            "nothing missing": ({"b": 4_000}, None, engines, 4_000, ("", 0)),
            "source in back-off": ({"b": 4_000}, "a", "ABc", 0, ("", 0)),
        }
        for name, (cached, home, usable, own, expected) in cases.items():
            with self.subTest(name):
                sources = CacheSources(
                    _prompt(), cached, home, _statuses(usable)
                )
                fetch = sources.fetch(_engine("c"), own)
                self.assertEqual((fetch.source, fetch.tokens), expected)

    def test_engine_does_not_fetch_from_itself(self) -> None:
        sources = CacheSources(
            _prompt(), {"a": 4_000, "b": 3_000}, None, _statuses("ab")
        )
        self.assertEqual(sources.fetch(_engine("a"), 1_000).source, "b")
        self.assertEqual(sources.fetch(_engine("a"), 4_000), NO_FETCH)

    def test_slow_or_unknown_links_are_not_used(self) -> None:
        for token_s in (None, _SLOW_TOKEN_S):
            with self.subTest(token_s):
                sources = CacheSources(
                    _prompt(), {}, "a", _statuses("ab", token_s)
                )
                fetch = sources.fetch(_engine("b", token_s), 0)
                self.assertEqual(fetch, NO_FETCH)
        sources = CacheSources(_prompt(), {}, "a", _statuses("ab"))
        self.assertAlmostEqual(sources.fetch(_engine("b"), 0).seconds, 0.005)

    def test_engines_whose_batch_fills_the_memory_fetch_nothing(self) -> None:
        """Guards against copies that displace the parts of other prompts."""
        sources = CacheSources(_prompt(), {}, "a", _statuses("ab"))
        batch_tokens = _prompt().prompt_tokens * _engine("b").slots
        for memory, is_fetched in (
            (batch_tokens, True),
            (batch_tokens - 1, False),
        ):
            with self.subTest(memory):
                engine = dataclasses.replace(_engine("b"), memory_tokens=memory)
                fetch = sources.fetch(engine, 0)
                self.assertEqual(fetch != NO_FETCH, is_fetched)


class OverflowTest(unittest.TestCase):
    """Plays more requests with one prefix than its home can take.

    Guards against engines that read a prefix again although another one has it.
    """

    def _place(self, token_s: float | None, requests: int) -> tuple[int, int]:
        """Returns the tokens read again and fetched by all requests."""
        clock = ManualClock()
        loads, prefixes = TargetLoads(clock), PrefixCacheTracker(clock)
        placer = Placer(
            loads,
            prefixes,
            EngineSpeeds(),
            TargetHealth(clock),
            TargetLimits([]),
        )
        engines = [_engine(f"e{number}", token_s) for number in range(4)]
        read_again = fetched = 0
        for _ in range(requests):
            work = _prompt()
            statuses = [placer.observe(engine) for engine in engines]
            best = placer.candidates(work, statuses)[0]
            loads.reserve(best.target.identifier, best.reading_s)
            prefixes.record_prefill(best.target.identifier, work, best.is_home)
            read_again += best.recompute_tokens
            fetched += best.fetch.tokens
        return read_again, fetched

    def test_overflow_is_fetched(self) -> None:
        read_again, fetched = self._place(None, 40)
        self.assertEqual((read_again, fetched), (3 * _SHARED_TOKENS, 0))
        read_again, fetched = self._place(_FAST_TOKEN_S, 40)
        self.assertEqual((read_again, fetched), (0, 3 * _SHARED_TOKENS))

    def test_requests_of_an_idle_home_fetch_nothing(self) -> None:
        self.assertEqual(self._place(_FAST_TOKEN_S, 1), (0, 0))

    def test_prefill_of_a_fetched_part_counts_as_its_transfer(self) -> None:
        """Guards against queues that look longer than they are."""
        clock = ManualClock()
        placer = Placer(
            TargetLoads(clock),
            PrefixCacheTracker(clock),
            EngineSpeeds(),
            TargetHealth(clock),
            TargetLimits([]),
        )
        engines = [_engine(f"e{number}") for number in range(4)]
        statuses = [placer.observe(engine) for engine in engines]
        by_home = {
            each.is_home: each
            for each in placer.candidates(_prompt(), statuses)
        }
        transfer_s = _SHARED_TOKENS * _FAST_TOKEN_S
        self.assertAlmostEqual(
            by_home[False].reading_s, by_home[True].reading_s + transfer_s
        )
        plain = [
            dataclasses.replace(engine, transfer_token_s=None)
            for engine in engines
        ]
        statuses = [placer.observe(engine) for engine in plain]
        reading = [
            each.reading_s
            for each in placer.candidates(_prompt(), statuses)
            if not each.is_home
        ]
        self.assertGreater(min(reading), by_home[False].reading_s * 2)

"""Tests of the estimate of cached prefixes."""

import random
import unittest
from collections import OrderedDict
from unittest import mock

from crowwinch.coordination import ManualClock
from crowwinch.sharing import PrefixCacheTracker, PromptPart, Work

_LIFETIME_S = 10.0
_MAX_PREFIXES = 20


def _work(rng):
    parts = tuple(
        PromptPart(f"{depth}-{rng.randrange(3)}", 100)
        for depth in range(rng.randrange(1, 5))
    )
    return Work("llm", model="m", parts=parts, prompt_tokens=500)


class PrefixCacheTest(unittest.TestCase):
    """Guards against an index that differs from what targets have read."""

    def setUp(self):
        limit = mock.patch(
            "crowwinch.sharing._prefixes._MAX_PREFIXES_PER_TARGET",
            _MAX_PREFIXES,
        )
        limit.start()
        self.addCleanup(limit.stop)
        self.clock = ManualClock(100.0)
        self.tracker = PrefixCacheTracker(self.clock)
        # Time of each use by target, the oldest first.
        self.expected = {}

    def _read(self, target, path):
        used_at = self.expected.setdefault(target, OrderedDict())
        used_at.pop(path, None)
        used_at[path] = self.clock.monotonic()
        if len(used_at) > _MAX_PREFIXES:
            used_at.popitem(last=False)

    def _expected_counts(self, work):
        counts = {}
        oldest = self.clock.monotonic() - _LIFETIME_S
        for target, used_at in self.expected.items():
            for path, tokens in work.prefixes:
                if used_at.get(path, oldest) > oldest:
                    counts[target] = tokens
                    break
        return counts

    def test_counts_match_the_reads_of_each_target(self):
        rng = random.Random(1)
        found = 0
        for _ in range(3_000):
            self.clock.move_to(self.clock.monotonic() + rng.uniform(0.0, 0.3))
            target = f"e{rng.randrange(5)}"
            work = _work(rng)
            action = rng.random()
            if action < 0.6:
                self.tracker.record_prefill(target, work)
                for path in work.paths[:-1]:
                    self._read(target, path)
            elif action < 0.95:
                self.tracker.merge_peer_prefills([(target, work.paths[0])])
                self._read(target, work.paths[0])
            else:
                self.tracker.remove_target(target)
                self.expected.pop(target, None)
            work = _work(rng)
            counts = self._expected_counts(work)
            found += len(counts)
            self.assertEqual(self.tracker.cached_token_counts(work), counts)
        self.assertGreater(found, 1_000)

    def test_nothing_is_kept_of_removed_targets(self):
        """Guards against memory that grows with each restart of a target."""
        rng = random.Random(2)
        for number in range(200):
            self.tracker.record_prefill(f"e{number % 3}", _work(rng))
        for number in range(3):
            self.tracker.remove_target(f"e{number}")
        self.assertEqual(self.tracker._used_at, {})
        self.assertEqual(self.tracker._paths, {})


if __name__ == "__main__":
    unittest.main()

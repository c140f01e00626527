"""Tests of leases, counters, versions and the package border."""

import ast
import itertools
import pathlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from crowwinch.coordination import (
    CounterKey,
    FencingGuard,
    Lease,
    LeaseExpiredError,
    ManualClock,
    MaxMergeCounters,
    MonotonicValue,
    Offer,
    Version,
)

_COUNTS = st.dictionaries(
    st.builds(
        CounterKey, st.sampled_from("ab"), st.integers(1, 2), st.just("x")
    ),
    st.integers(0, 99),
)


class BorderTest(unittest.TestCase):
    """Guards against a package that cannot be used alone."""

    def test_imports_nothing_of_the_project(self):
        package = pathlib.Path(__file__).resolve().parent.parent
        for path in package.glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = []
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                elif isinstance(node, ast.ImportFrom):
                    self.assertEqual(node.level, 0, path)
                    names = [node.module]
                for name in names:
                    own = name.startswith("crowwinch.coordination")
                    self.assertTrue(
                        own or not name.startswith("crowwinch"), (path, name)
                    )


class CountersTest(unittest.TestCase):
    """Guards against totals that depend on the order of messages."""

    @staticmethod
    def _merged(*parts):
        counters = MaxMergeCounters("me", 1)
        for part in parts:
            counters.merge(part)
        return counters.values(), counters.total("x")

    @given(_COUNTS, _COUNTS, _COUNTS)
    def test_merge_laws(self, a, b, c):
        results = [self._merged(*p) for p in itertools.permutations((a, b, c))]
        results.append(self._merged(a, b, c, b, a))
        for result in results:
            self.assertEqual(result, results[0])
        self.assertEqual(sum(results[0][0].values()), results[0][1])

    @given(_COUNTS, _COUNTS)
    def test_merge_never_lowers(self, a, b):
        before, _ = self._merged(a)
        after, _ = self._merged(a, b)
        for key, value in before.items():
            self.assertGreaterEqual(after[key], value)

    def test_lives_add_up_and_counts_do_not_go_down(self):
        old, new = MaxMergeCounters("me", 1), MaxMergeCounters("me", 2)
        old.add("x", 5)
        new.add("x", 2)
        new.merge(old.values(["x"]))
        self.assertEqual(new.total("x"), 7)
        with self.assertRaises(ValueError):
            new.add("x", -1)


class LeaseTest(unittest.TestCase):
    """Guards against a paused holder that acts on."""

    def test_time_runs_from_the_question_and_through_a_pause(self):
        clock = ManualClock()
        lease = Lease(clock)
        clock.move_to(1.5)
        self.assertTrue(lease.renew(7, asked_at=0, duration_s=2))
        self.assertEqual(lease.check(), 7)
        self.assertFalse(lease.is_held(need_s=0.5))
        clock.move_to(10)
        with self.assertRaises(LeaseExpiredError):
            lease.check()
        self.assertFalse(lease.renew(6, asked_at=10, duration_s=2))
        self.assertTrue(lease.renew(8, asked_at=10, duration_s=2))
        lease.release()
        self.assertFalse(lease.is_held())

    def test_guard_refuses_a_superseded_holder(self):
        guard = FencingGuard()
        admitted = [guard.admit(number) for number in (1, 3, 3, 2, 4)]
        self.assertEqual(admitted, [True, True, True, False, True])


class VersionsTest(unittest.TestCase):
    """Guards against a value that is reverted."""

    @given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from("ab"))))
    def test_order_and_repeats_do_not_matter(self, offers):
        value = MonotonicValue(None)
        for offer in offers:
            value.offer(Version(*offer), offer)
        self.assertEqual(value.value, max(offers, default=None))

    def test_outcomes(self):
        value = MonotonicValue(0)
        cases = (
            ((2, "b"), Offer.TAKEN),
            ((2, "b"), Offer.SAME),
            ((1, "z"), Offer.LOWER),
            ((2, "a"), Offer.CONFLICT_IGNORED),
            ((2, "c"), Offer.CONFLICT_TAKEN),
        )
        for version, outcome in cases:
            with self.subTest(version):
                self.assertIs(value.offer(Version(*version), 0), outcome)

"""Tests of the ranking of targets by cached prefixes, load and health."""

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
    TargetRateLimits,
    TargetUse,
    TargetView,
    Work,
)
from crowwinch.sharing._speeds import prefill_seconds


def engine(name, slots=32, connections=0):
    """Returns an engine target."""
    return TargetView(
        name,
        0,
        "llm",
        False,
        slots,
        memory_tokens=500_000,
        max_connections=connections,
        is_engine=True,
    )


def prompt(shared, own=1_000, tokens=5_000):
    """Returns work whose prompt starts with the shared part of this name."""
    return Work(
        service="llm",
        workspace="w",
        model="m",
        parts=(PromptPart(shared, tokens), PromptPart("own" + shared, own)),
        prompt_tokens=tokens + own,
        output_tokens=100,
        target_latency_s=0.8,
    )


class PlacerTest(unittest.TestCase):
    """Guards against recomputing cached prefixes and overloading engines."""

    def setUp(self):
        self.clock = ManualClock()
        self.loads = TargetLoads(self.clock)
        self.health = TargetHealth(self.clock)
        self.prefixes = PrefixCacheTracker(self.clock)
        self.placer = Placer(
            self.loads,
            self.prefixes,
            EngineSpeeds(),
            self.health,
            TargetLimits([TargetRateLimits(self.clock)]),
        )
        self.engines = [engine(f"e{number}") for number in range(6)]

    def candidates(self, work, targets, **options):
        """Returns the candidates, the best first."""
        statuses = [self.placer.observe(target) for target in targets]
        return self.placer.candidates(work, statuses, **options)

    def test_target_that_asked_for_a_pause_is_left_out(self):
        """Guards against requests to a target that wants none."""
        work = prompt("a")
        for target in self.engines:
            self.health.hold(target.identifier, target.life, 2.0)
        self.assertEqual(self.candidates(work, self.engines), [])
        self.clock.move_to(2.0)
        self.assertEqual(len(self.candidates(work, self.engines)), 6)

    def best(self, work):
        """Returns the best candidate."""
        return self.candidates(work, self.engines)[0]

    def test_equal_prefixes_share_one_engine(self):
        homes = {
            self.best(prompt("p", own)).target.identifier
            for own in range(100, 3_000, 100)
        }
        self.assertEqual(len(homes), 1)

    def test_prefixes_are_spread_over_engines(self):
        homes = [
            self.best(prompt(f"p{number}")).target.identifier
            for number in range(60)
        ]
        highest_count = max(homes.count(name) for name in homes)
        self.assertEqual(len(set(homes)), 6)
        self.assertLess(highest_count, 25)

    def test_busy_home_is_avoided_when_answer_would_be_late(self):
        home = self.best(prompt("p")).target.identifier
        self.loads.reserve(home, 0.1)
        self.assertEqual(self.best(prompt("p")).target.identifier, home)
        self.loads.reserve(home, 2.0)
        self.assertNotEqual(self.best(prompt("p")).target.identifier, home)

    def test_load_of_other_routers_is_included(self):
        home = self.best(prompt("p")).target.identifier
        self.loads.replace_peer_report("peer", [TargetUse(home, 3, 2.0)])
        self.loads.refresh()
        self.assertNotEqual(self.best(prompt("p")).target.identifier, home)
        self.clock.move_to(2.6)
        self.loads.refresh()
        self.assertEqual(self.best(prompt("p")).target.identifier, home)

    def test_failing_home_is_avoided(self):
        home = self.best(prompt("p")).target.identifier
        for _ in range(4):
            self.health.record_response(home, is_good=False)
        self.assertNotEqual(self.best(prompt("p")).target.identifier, home)

    def test_targets_in_back_off_are_used_if_there_are_no_others(self):
        for target in self.engines:
            self.health.record_connection_failure(target.identifier)
        self.assertEqual(len(self.candidates(prompt("p"), self.engines)), 6)

    def test_late_engine_is_avoided(self):
        """Guards against ignoring load that no router reports.

        Requests of a failed router are noticed only by late first events.
        """
        home = self.best(prompt("p")).target.identifier
        for _ in range(5):
            self.loads.record_first_event(home, 1.5)
        self.assertNotEqual(self.best(prompt("p")).target.identifier, home)
        self.clock.move_to(1.6)
        self.assertEqual(self.best(prompt("p")).target.identifier, home)

    def test_engine_with_overdue_first_event_is_avoided(self):
        home = self.best(prompt("p")).target.identifier
        reservation = self.loads.reserve(home, 0.0, expected_s=0.1)
        self.assertEqual(self.best(prompt("p")).target.identifier, home)
        self.clock.move_to(1.2)
        self.assertNotEqual(self.best(prompt("p")).target.identifier, home)
        reservation.record_first_event()
        self.assertEqual(self.best(prompt("p")).target.identifier, home)

    def test_excluded_targets_are_omitted(self):
        home = self.best(prompt("p")).target.identifier
        candidates = self.candidates(prompt("p"), self.engines, excluded={home})
        self.assertNotIn(home, [each.target.identifier for each in candidates])

    def test_connection_limit_is_divided_among_routers(self):
        target = engine("e", connections=10)
        self.loads.replace_peer_report("peer", [])
        for _ in range(4):
            self.assertTrue(self.placer.has_connection(target))
            self.loads.reserve("e", 0.0)
        self.assertEqual(len(self.candidates(prompt("p"), [target])), 1)
        self.loads.reserve("e", 0.0)
        self.assertFalse(self.placer.has_connection(target))
        self.assertEqual(self.candidates(prompt("p"), [target]), [])

    def test_non_engine_targets_with_fewer_requests_are_preferred(self):
        targets = [
            TargetView(name, 0, "desk", local, 6)
            for name, local in (("near", True), ("far", False))
        ]
        work = Work("desk")

        def best():
            return self.candidates(work, targets)[0].target.identifier

        self.assertEqual(best(), "near")
        self.loads.reserve("near", 0.0)
        self.assertEqual(best(), "far")


class PrefixCacheTrackerTest(unittest.TestCase):
    """Guards against counting prefixes that an engine has not cached."""

    _PARTS = (PromptPart("a", 10), PromptPart("b", 20), PromptPart("own", 5))

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.tracker = PrefixCacheTracker(self.clock)
        self.work = self._work(self._PARTS)

    @staticmethod
    def _work(parts, model="m"):
        return Work("llm", model=model, parts=tuple(parts))

    def _tokens(self, work, target="t"):
        return self.tracker.cached_token_counts(work).get(target, 0)

    def test_part_counts_only_after_all_previous_parts(self):
        self.tracker.record_prefill("t", self.work)
        first, second, own = self._PARTS
        self.assertEqual(self._tokens(self.work), 30)
        self.assertEqual(self._tokens(self._work((first, own))), 10)
        self.assertEqual(self._tokens(self._work((second, first, own))), 0)
        self.assertEqual(self._tokens(self._work(self._PARTS, "other")), 0)
        self.assertEqual(self._tokens(self.work, target="other"), 0)

    def test_unused_prefixes_expire(self):
        self.tracker.record_prefill("t", self.work)
        self.clock.move_to(109.0)
        self.assertEqual(self._tokens(self.work), 30)
        self.tracker.record_prefill("t", self.work)
        self.clock.move_to(118.0)
        self.assertEqual(self._tokens(self.work), 30)
        self.clock.move_to(119.1)
        self.assertEqual(self._tokens(self.work), 0)

    def test_removed_target_has_no_prefixes(self):
        self.tracker.record_prefill("t", self.work)
        self.tracker.remove_target("t")
        self.assertEqual(self._tokens(self.work), 0)

    def test_prefills_away_from_home_are_reported_once(self):
        self.tracker.record_prefill("t", self.work, is_home=True)
        self.tracker.record_prefill("u", self.work, is_home=False)
        reported = self.tracker.take_unsent_prefills()
        self.assertEqual([target for target, _ in reported], ["u"])
        self.assertEqual(self.tracker.take_unsent_prefills(), [])
        other = PrefixCacheTracker(self.clock)
        other.merge_peer_prefills(reported)
        self.assertEqual(other.cached_token_counts(self.work), {"u": 30})


class SpeedsTest(unittest.TestCase):
    """Guards against forecasts that diverge from observed times."""

    def test_prefill_time_grows_faster_than_prompt_length(self):
        self.assertGreater(prefill_seconds(50_000), 6 * prefill_seconds(10_000))
        self.assertGreater(
            prefill_seconds(1_000, 50_000), prefill_seconds(1_000)
        )

    def test_ratio_converges_to_observed_times(self):
        speeds = EngineSpeeds()
        for _ in range(300):
            speeds.record_first_event("llm", 0.1, 0.06 + 0.3)
        self.assertAlmostEqual(speeds.ratio("llm"), 3.0, delta=0.1)
        speeds.record_first_event("llm", 0.001, 9.0)
        self.assertAlmostEqual(speeds.ratio("llm"), 3.0, delta=0.1)

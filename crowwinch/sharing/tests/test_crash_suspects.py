"""Tests of the search for requests that crash targets."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import CrashSuspects, RequestFeatures


def _features(content, *parts):
    return RequestFeatures(content, parts)


class CrashSuspectsTest(unittest.TestCase):
    """Guards against a series of crashes, and against refusing the sound."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.routers = [CrashSuspects(self.clock) for _ in range(3)]

    def _crash(self, crash, content, *parts, router=0):
        self.routers[router].record_crash(
            crash, _features(content, *parts), self.clock.monotonic()
        )

    def _answer(self, content, *parts, router=0):
        self.routers[router].record_answer(
            _features(content, *parts), self.clock.monotonic()
        )

    def _answer_others(self):
        for router in range(3):
            self._answer("other", "other part", router=router)

    def _advance(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def _exchange(self):
        for sender in self.routers:
            reports = sender.reports()
            for receiver in self.routers:
                if receiver is not sender:
                    receiver.merge_reports(reports)

    def _refused(self, content, *parts):
        features = _features(content, *parts)
        return [
            router.refused_feature(features) is not None
            for router in self.routers
        ]

    def test_content_is_refused_from_the_third_crash_on(self):
        self._crash("a", "content")
        self._crash("b", "content", router=1)
        self._exchange()
        self.assertEqual(self._refused("content"), [False] * 3)
        self._crash("c", "content", router=2)
        self._exchange()
        self.assertEqual(self._refused("content"), [True] * 3)
        self.assertEqual(self._refused("other"), [False] * 3)

    def test_part_is_not_refused_while_nothing_is_answered(self):
        """Guards against an outage of all targets that outlasts its cause."""
        for number in range(4):
            self._crash(f"crash-{number}", f"r{number}", "first")
            self._advance(0.5)
        self._exchange()
        self.assertEqual(self._refused("new", "first"), [False] * 3)
        self._answer("other", "first")
        self._exchange()
        self._answer("another", "second")
        self.assertEqual(self._refused("new", "first"), [False] * 3)

    def test_part_is_refused_whatever_else_the_request_holds(self):
        """Guards against requests of which no two are alike."""
        for number in range(3):
            self._crash(f"crash-{number}", f"r{number}", "bad", router=number)
            self._advance(0.5)
            self._exchange()
        self._answer_others()
        self.assertEqual(self._refused("new", "first", "bad"), [True] * 3)

    def test_part_of_answered_requests_is_not_refused(self):
        """Guards against refusals of what sound requests have in common."""
        for number in range(6):
            self._crash(f"crash-{number}", f"r{number}", "first", "bad")
            self._advance(0.5)
            self._answer(f"sound-{number}", "first", router=1)
            self._exchange()
        self.assertEqual(self._refused("new", "first"), [False] * 3)
        self.assertEqual(self._refused("new", "first", "bad"), [True] * 3)

    def test_targets_that_crash_together_are_one_cause(self):
        """Guards against refusing a whole route when several targets fail."""
        for number in range(6):
            self._crash(f"crash-{number}", f"r{number}", "first")
        self._exchange()
        self.assertEqual(self._refused("new", "first"), [False] * 3)

    def test_one_crash_that_all_routers_saw_counts_once(self):
        for router in range(3):
            self._crash("crash", f"r{router}", "part", router=router)
            self._advance(0.3)
            self._exchange()
        self._exchange()
        self.assertEqual(self._refused("new", "part"), [False] * 3)

    def test_what_a_peer_reported_is_not_reported_again(self):
        """Guards against reports that all routers repeat after each crash."""
        self._crash("crash", "content", "part")
        self._exchange()
        self.assertEqual(
            [len(router.reports()) for router in self.routers], [2, 0, 0]
        )
        self._advance(2.5)
        self.assertEqual(self.routers[0].reports(), [])

    def test_restarted_router_hears_what_is_refused(self):
        for number in range(3):
            self._crash(f"crash-{number}", f"r{number}", "bad")
            self._advance(0.5)
        self._advance(10.0)
        self.routers[2] = CrashSuspects(self.clock)
        self._exchange()
        self._answer_others()
        self.assertEqual(self._refused("new", "bad"), [True] * 3)

    def test_refusal_ends_when_a_request_on_trial_is_answered(self):
        """Guards against a part that is refused although it is harmless now."""
        for number in range(3):
            self._crash(f"crash-{number}", f"r{number}", "bad")
            self._advance(0.5)
        self._answer_others()
        self._advance(20.0)
        self.assertFalse(self._refused("trial", "bad")[0])
        self.assertTrue(self._refused("next", "bad")[0])
        self._answer("trial", "bad")
        self._exchange()
        self.assertEqual(self._refused("next", "bad"), [False] * 3)

    def test_trials_get_rarer(self):
        for number in range(3):
            self._crash(f"crash-{number}", f"r{number}", "bad")
            self._advance(0.5)
        self._answer_others()
        admitted = 0
        for _ in range(1_400):
            self._advance(0.1)
            admitted += not self._refused("new", "bad")[0]
        self.assertEqual(admitted, 3)

    def test_one_router_of_a_fleet_admits_a_trial(self):
        """Guards against a crash by each router at the same time."""
        draws = iter([0.9, 0.005])
        suspects = CrashSuspects(self.clock, lambda: next(draws), lambda: 100)
        for number in range(3):
            suspects.record_crash(
                f"crash-{number}",
                _features("r", "bad"),
                self.clock.monotonic(),
            )
            self._advance(0.5)
        suspects.record_answer(
            _features("other", "other part"), self.clock.monotonic()
        )
        self._advance(20.0)
        features = _features("r", "bad")
        self.assertIsNotNone(suspects.refused_feature(features))
        self.assertIsNone(suspects.refused_feature(_features("new", "bad")))

    def test_evidence_expires(self):
        self._crash("crash", "content")
        self._advance(601.0)
        self.assertIsNone(self.routers[0].refused_feature(_features("x")))
        self.assertTrue(self.routers[0].is_empty)


if __name__ == "__main__":
    unittest.main()

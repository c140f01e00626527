"""Tests of the pace of targets that start or recover."""

import dataclasses
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    LimitReason,
    PaceReport,
    StartPace,
    TargetLoads,
    TargetUse,
    TargetView,
)

_TARGET = TargetView("t", 1, "s", True, 8, cold_start_s=10.0)
_OTHER = TargetView("other", 1, "s", True, 8, cold_start_s=10.0)


class _Cold:
    def __init__(self):
        self.names = set()

    def is_cold(self, target):
        return target.identifier in self.names


class StartPaceTest(unittest.TestCase):
    """Guards against targets that are flooded, or limited without a reason."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.cold = _Cold()
        self.loads = TargetLoads(self.clock)
        self.pace = StartPace(self.clock, self.loads, self.cold)
        self.pace.set_fleet("me", [])

    def _advance(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.loads.refresh()
        self.pace.refresh()

    def _settle(self, *targets):
        self.pace.observe_targets(targets)
        self._advance(5.0)
        self.pace.record_demand("s")

    def _start_target(self, target=_TARGET):
        self._settle(_OTHER)
        self.pace.observe_targets([_OTHER, target])

    def _may_send(self, target=_TARGET):
        return self.pace.allowance(target).wait_s == 0.0

    def _send_all(self, most=50):
        """Sends until the target is at its limit; returns the requests."""
        sent = []
        while len(sent) < most and self._may_send():
            sent.append(self.loads.reserve("t", 0.0))
        return sent

    def test_target_that_starts_gets_few_requests(self):
        """Guards against a flood because a new target looks empty."""
        self._start_target()
        self.assertEqual(len(self._send_all()), 2)
        self.assertIs(self.pace.allowance(_TARGET).reason, LimitReason.PACE)
        self.assertEqual(self.pace.paced_targets, 1)

    def test_targets_without_a_cold_start_are_not_limited(self):
        """Guards against a change for deployments that did not ask for it."""
        self._start_target(dataclasses.replace(_TARGET, cold_start_s=0.0))
        self.assertEqual(len(self._send_all()), 50)

    def test_target_that_was_there_before_is_not_limited(self):
        """Guards against a pace for all targets when a router starts."""
        self.pace.record_demand("s")
        self.pace.observe_targets([_OTHER])
        self._advance(0.5)
        self.pace.observe_targets([_OTHER, _TARGET])
        self.assertEqual(len(self._send_all()), 50)

    def test_start_without_traffic_is_not_limited(self):
        self.pace.observe_targets([_OTHER])
        self._advance(5.0)
        self.pace.observe_targets([_OTHER, _TARGET])
        self.assertEqual(self.pace.paced_targets, 0)

    def test_target_that_returns_with_the_same_start_is_not_limited(self):
        """Guards against a pace after each gap in the directory."""
        self._settle(_OTHER, _TARGET)
        self.pace.observe_targets([_OTHER])
        self.pace.observe_targets([_OTHER, _TARGET])
        self.assertEqual(self.pace.paced_targets, 0)

    def test_restarted_target_is_limited(self):
        self._settle(_OTHER, _TARGET)
        restarted = dataclasses.replace(_TARGET, life=2)
        self.pace.observe_targets([_OTHER, restarted])
        self.assertEqual(self.pace.paced_targets, 1)

    def test_pace_begins_when_a_target_stops_being_cold(self):
        """Guards against a flood at the moment at which the cold limit ends."""
        self.cold.names = {"t"}
        self._settle(_TARGET)
        self.assertEqual(self.pace.paced_targets, 0)
        self.cold.names = set()
        self._advance(0.05)
        self.assertEqual(len(self._send_all()), 2)

    def test_pace_does_not_limit_a_cold_target(self):
        """Guards against two limits of which the lower one is a guess."""
        self._start_target()
        self.cold.names = {"t"}
        self.assertEqual(len(self._send_all()), 50)

    def test_window_from_before_a_target_was_cold_is_not_kept(self):
        self._start_target()
        for _ in range(4):
            self._send_all()
            self.pace.record_first_event("t", 0.0)
        self._advance(0.05)
        self.cold.names = {"t"}
        self._advance(0.05)
        self.loads = self.pace._loads = TargetLoads(self.clock)
        self.cold.names = set()
        self._advance(0.05)
        self.assertEqual(self.pace.window("t"), 2.0)

    def test_window_that_a_peer_began_after_the_cold_time_is_kept(self):
        """Guards against each router starting the growth anew."""
        self.cold.names = {"t"}
        self._settle(_TARGET)
        self._advance(0.05)
        report = PaceReport("t", 1, 1, 2.0, True, 3.0, 0.0, 1.0)
        self.pace.merge_peer("peer", [report])
        self._advance(0.05)
        self.cold.names = set()
        self._advance(0.05)
        self.assertEqual(self.pace.window("t"), 5.0)

    def test_unreachable_target_is_tried_with_few_requests(self):
        """Guards against all waiting requests going to a target at once."""
        self._settle(_TARGET)
        self.pace.record_connection_failure("t")
        requests = self._send_all()
        self.assertEqual(len(requests), 2)
        self.pace.record_first_event("t", 0.0)
        self.assertEqual(self.pace.paced_targets, 1)

    def test_router_without_a_part_tries_an_unreachable_target_later(self):
        """Guards against a target that is never tried again."""
        names = [f"r{n}" for n in range(77)]
        for name in names:
            pace = StartPace(self.clock, self.loads)
            pace.set_fleet(name, names)
            pace.observe_targets([_TARGET])
            pace.record_connection_failure("t")
            if pace.allowance(_TARGET).wait_s > 0.0:
                break
        else:
            self.fail("no router without a part")
        self._advance(3.1)
        self.assertEqual(pace.allowance(_TARGET).wait_s, 0.0)

    def test_window_grows_with_responses_in_time(self):
        self._start_target()
        self._send_all()
        self.pace.record_first_event("t", 0.0)
        self.assertEqual(len(self._send_all()), 1)

    def test_window_that_is_not_used_does_not_grow(self):
        """Guards against a window that says nothing about the target."""
        self._start_target()
        for _ in range(20):
            self.pace.record_first_event("t", 0.0)
        self.assertEqual(self.pace.window("t"), 2.0)

    def test_bad_signs_reduce_the_window_once(self):
        """Guards against a reduction for each request of the same flood."""
        signs = {
            "refusal": lambda: self.pace.record_refusal("t"),
            "failure": lambda: self.pace.record_failure("t"),
            "late": lambda: self.pace.record_first_event("t", 1.0),
        }
        for name, record in signs.items():
            with self.subTest(name):
                self.setUp()
                self._start_target()
                for _ in range(4):
                    self._send_all()
                    self.pace.record_first_event("t", 0.0)
                self._send_all()
                self._advance(1.0)
                before = self.pace.window("t")
                record()
                after = self.pace.window("t")
                self.assertLess(after, before)
                record()
                self.assertEqual(self.pace.window("t"), after)
                self._advance(1.0)
                record()
                self.assertLess(self.pace.window("t"), after)

    def test_pace_ends_when_it_allows_all_slots(self):
        self._start_target()
        for _ in range(8):
            self._send_all()
            self.pace.record_first_event("t", 0.0)
        self._advance(0.05)
        self.assertEqual(self.pace.paced_targets, 0)

    def test_pace_ends_when_it_limits_nothing(self):
        """Guards against a pace that lasts because there is no traffic."""
        self._start_target()
        self._advance(4.9)
        self.assertEqual(self.pace.paced_targets, 1)
        self._advance(0.2)
        self.assertEqual(self.pace.paced_targets, 0)

    def test_requests_of_peers_count(self):
        self._start_target()
        self.loads.replace_peer_report("peer", [TargetUse("t", 2, 0.0)])
        self.assertFalse(self._may_send())


class SharedPaceTest(unittest.TestCase):
    """Guards against routers that exceed a window together."""

    def _fleet(self, size):
        self.clock = ManualClock(100.0)
        names = [f"r{n}" for n in range(size)]
        self.loads = [TargetLoads(self.clock) for _ in names]
        paces = [StartPace(self.clock, loads) for loads in self.loads]
        for name, pace in zip(names, paces, strict=True):
            pace.set_fleet(name, names)
            pace.observe_targets([_OTHER])
            pace.record_demand("s")
        self.clock.move_to(105.0)
        for pace in paces:
            pace.observe_targets([_OTHER, _TARGET])
        return paces

    def _send_all(self, paces):
        """Sends at all routers, none of which hears of the others."""
        sent = 0
        for loads, pace in zip(self.loads, paces, strict=True):
            while pace.allowance(_TARGET).wait_s == 0.0:
                loads.reserve("t", 0.0)
                sent += 1
        return sent

    def test_routers_that_hear_nothing_do_not_exceed_the_window(self):
        """Guards against one request of each router at an empty target."""
        for size in (1, 2, 8, 77, 195):
            with self.subTest(size):
                self.assertEqual(self._send_all(self._fleet(size)), 2)

    def test_growth_at_one_router_is_used_by_others(self):
        """Guards against routers that see no responses and never send."""
        first, *others = paces = self._fleet(8)
        self._send_all(paces)
        self.loads[0].replace_peer_report("r1", [TargetUse("t", 2, 0.0)])
        for _ in range(4):
            first.record_first_event("t", 0.0)
        for pace in others:
            pace.merge_peer("r0", first.reports())
            self.assertEqual(pace.window("t"), first.window("t"))
            pace.refresh()
        first.refresh()
        self.assertGreaterEqual(self._send_all(paces), 3)

    def test_reduction_by_two_routers_counts_once(self):
        """Guards against a reduction for each router that sees a refusal."""
        paces = self._fleet(8)
        self.clock.move_to(107.0)
        for pace in paces:
            pace.record_refusal("t")
        reports = [pace.reports() for pace in paces]
        reduced = paces[0].window("t")
        for number, each in enumerate(reports[1:], 1):
            paces[0].merge_peer(f"r{number}", each)
        self.assertEqual(paces[0].window("t"), reduced)

    def test_router_that_starts_learns_of_a_pace(self):
        first, *_ = self._fleet(8)
        loads = TargetLoads(self.clock)
        late = StartPace(self.clock, loads)
        late.set_fleet("late", [f"r{n}" for n in range(8)])
        late.observe_targets([_OTHER, _TARGET])
        self.assertEqual(late.paced_targets, 0)
        late.merge_peer("r0", first.reports())
        self.assertEqual(late.window("t"), first.window("t"))

    def test_end_of_a_pace_reaches_peers(self):
        """Guards against routers that stay limited while others are free."""
        first, second = self._fleet(2)
        self._send_all([first, second])
        self.loads[0].replace_peer_report("r1", [TargetUse("t", 8, 0.0)])
        for _ in range(8):
            first.record_first_event("t", 0.0)
        first.refresh()
        self.assertEqual(first.paced_targets, 0)
        second.merge_peer("r0", first.reports())
        second.refresh()
        self.assertEqual(second.paced_targets, 0)
        first.merge_peer("r1", second.reports())
        self.assertEqual(first.paced_targets, 0)

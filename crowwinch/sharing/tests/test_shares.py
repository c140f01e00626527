"""Tests of the max-min fair shares of workspaces."""

import collections
import math
import random
import unittest
from unittest import mock

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    WorkspaceShares,
    WorkspaceUse,
    max_min_shares,
    time_constant,
)

_WINDOW_S = 4.0


class MaxMinTest(unittest.TestCase):
    """Guards against shares above the max-min level or below the demand."""

    def test_max_min_shares(self):
        cases = {
            "all demands fit": (
                {"a": 1.0, "b": 2.0},
                10.0,
                {"a": 1.0, "b": 2.0},
            ),
            "equal demands": ({"a": 9.0, "b": 9.0}, 10.0, {"a": 5.0, "b": 5.0}),
            "one small demand": (
                {"a": 1.0, "b": 9.0},
                6.0,
                {"a": 1.0, "b": 5.0},
            ),
            "remainder is redistributed": (
                {"a": 1.0, "b": 3.0, "c": 9.0},
                9.0,
                {"a": 1.0, "b": 3.0, "c": 5.0},
            ),
            "no capacity": ({"a": 1.0}, 0.0, {"a": 0.0}),
        }
        for name, (demands, capacity, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(max_min_shares(demands, capacity), expected)


class WorkspaceSharesTest(unittest.TestCase):
    """Guards against shares that ignore the use at other routers."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.shares = WorkspaceShares(self.clock, _WINDOW_S)
        self.shares.set_capacity(100.0)

    def test_without_contention_share_use_is_zero(self):
        self.shares.record_demand("a", 300.0)
        self.shares.record_usage("a", 300.0)
        self.shares.refresh()
        self.assertEqual(self.shares.use_of_share("a", 50.0), 0.0)

    def test_use_at_other_routers_is_included(self):
        self.shares.record_demand("a", 300.0)
        self.shares.record_demand("b", 300.0)
        self.shares.replace_peer_report(
            "peer", [WorkspaceUse("a", 300.0, 400.0)]
        )
        self.shares.refresh()
        self.assertEqual(self.shares.level, 200.0)
        self.assertGreater(self.shares.use_of_share("a", 1.0), 1.0)
        self.assertLess(self.shares.use_of_share("b", 1.0), 1.0)

    def test_report_replaces_previous_report_of_peer(self):
        for served in (400.0, 10.0):
            self.shares.replace_peer_report(
                "peer", [WorkspaceUse("a", 0.0, served)]
            )
        self.shares.refresh()
        self.assertAlmostEqual(self.shares.served("a"), 10.0)

    def test_steady_use_at_peers_counts_like_steady_use_here(self):
        """Guards against workspaces that seem to use less at many routers.

        Their callers got half as much again as those of a workspace at one
        router in a fleet of 89, which reports every 1.6 s.
        """
        for interval_s in (0.2, 0.8, 1.6, 3.2):
            with self.subTest(interval_s=interval_s):
                clock = ManualClock(100.0)
                here = WorkspaceShares(clock, 2.0)
                peer = WorkspaceShares(clock, 2.0)
                ratios = []
                for step in range(640):
                    clock.move_to(clock.monotonic() + 0.05)
                    here.record_usage("here", 100.0)
                    peer.record_usage("there", 100.0)
                    if step % round(interval_s / 0.05) == 0:
                        here.replace_peer_report(
                            "peer", peer.own_use(interval_s)
                        )
                    here.refresh()
                    if step >= 320:
                        ratios.append(
                            here.served("there") / here.served("here")
                        )
                mean = sum(ratios) / len(ratios)
                self.assertAlmostEqual(mean, 1.0, delta=0.05)

    def test_use_decays(self):
        self.shares.record_usage("a", 400.0)
        self.clock.move_to(100.0 + 3 * _WINDOW_S)
        self.shares.refresh()
        self.assertLess(self.shares.served("a"), 400.0 * 0.06)

    def test_workspace_is_held_back_briefly_after_a_burst(self):
        """Guards against a workspace that gets nothing after it was alone.

        Another one turns hot and takes all that is served until their counts
        are even, which must be within a quarter of the window.
        """
        shares = WorkspaceShares(self.clock, time_constant(_WINDOW_S))
        step_s = 0.05
        for step in range(400):
            alone = step < 320
            self.clock.move_to(self.clock.monotonic() + step_s)
            shares.record_demand("a", 100.0)
            shares.record_usage("a" if alone else "b", 50.0)
            if not alone:
                shares.record_demand("b", 100.0)
            shares.refresh()
            if not alone and shares.lead("a") <= 1.0:
                break
        waited_s = (step - 320 + 1) * step_s
        self.assertLessEqual(waited_s, _WINDOW_S / 4)

    def test_burst_decays_within_window(self):
        """Guards against refusing a workspace because of an old burst.

        A time constant as long as the window had this effect.
        """
        shares = WorkspaceShares(self.clock, time_constant(_WINDOW_S))
        shares.set_capacity(100.0)
        shares.record_usage("a", 400.0)
        self.clock.move_to(100.0 + _WINDOW_S)
        for workspace in ("a", "b"):
            shares.record_demand(workspace, 400.0)
        shares.refresh()
        self.assertEqual(shares.level, 100.0 * time_constant(_WINDOW_S) / 2)
        self.assertLess(shares.served("a") / 400.0, 0.2)

    def test_first_request_counts_before_refresh(self):
        """Guards against admitting several large requests before a refresh.

        The use of a workspace that had none before was ignored until the next
        refresh, so each request was decided as if it were the first.
        """
        self.shares.refresh()
        self.shares.record_usage("a", 400.0)
        self.assertEqual(self.shares.served("a"), 400.0)

    def test_silent_router_expires(self):
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 0.0, 1e9)])
        self.clock.move_to(111.0)
        self.shares.refresh()
        self.assertEqual(self.shares.served("a"), 0.0)

    def test_sums_match_latest_reports(self):
        """Guards against sums that drift from the latest peer reports."""
        rng = random.Random(3)
        reports = {}
        for _ in range(2_000):
            now = self.clock.monotonic() + rng.uniform(0.0, 0.2)
            self.clock.move_to(now)
            peer = f"peer-{rng.randrange(20)}"
            # This peer is silent for longer than its report is retained.
            if peer == "peer-7" and 150.0 < now < 170.0:
                continue
            uses = [
                WorkspaceUse(name, 0.0, rng.uniform(0.0, 1e5))
                for name in rng.sample("abcdef", 3)
            ]
            self.shares.replace_peer_report(peer, uses)
            reports[peer] = (now, uses)
            self.shares.refresh()
            expected = collections.Counter()
            for arrived_at, reported in reports.values():
                if now - arrived_at <= 10.0:
                    decay = math.exp(-(now - arrived_at) / _WINDOW_S)
                    for use in reported:
                        expected[use.workspace] += use.served * decay
            for name in "abcdef":
                self.assertAlmostEqual(
                    self.shares.served(name), expected[name], delta=2.0
                )

    def test_changed_time_constant_applies_to_sums(self):
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 0.0, 1e5)])
        self.clock.move_to(104.0)
        self.shares.set_time_constant(2.0)
        self.shares.refresh()
        self.assertAlmostEqual(
            self.shares.served("a"), 1e5 * math.exp(-2.0), delta=1.0
        )

    def test_long_time_without_reports(self):
        """Guards against overflow of the scale factor."""
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 1e5, 1e5)])
        self.clock.move_to(1e6)
        self.shares.refresh()
        self.assertEqual(self.shares.served("a"), 0.0)
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 1e5, 1e5)])
        self.shares.refresh()
        self.assertAlmostEqual(self.shares.served("a"), 1e5)

    def test_refresh_does_not_iterate_over_all_reports(self):
        """Guards against a refresh whose cost grows with the number of routers.

        It took half of the processor time of a fleet of 90 routers.
        """
        uses = [WorkspaceUse(name, 1e5, 1e5) for name in "abcdef"]
        for number in range(90):
            self.shares.replace_peer_report(f"peer-{number}", uses)
        self.clock.move_to(101.0)
        with mock.patch(
            "crowwinch.sharing._shares.math.exp", wraps=math.exp
        ) as exp:
            self.shares.refresh()
        self.assertEqual(exp.call_count, 1)

    def test_half_of_a_large_request_may_exceed_the_share(self):
        for workspace in ("a", "b"):
            self.shares.record_demand(workspace, 400.0)
        self.shares.refresh()
        self.assertLessEqual(self.shares.use_of_share("a", 400.0), 1.0)
        self.assertGreater(self.shares.use_of_share("a", 401.0), 1.0)

    def test_reverted_usage_is_not_counted(self):
        self.shares.record_usage("a", 50.0)
        self.shares.revert_usage("a", 50.0)
        self.shares.refresh()
        self.assertAlmostEqual(self.shares.served("a"), 0.0)
        self.assertEqual(self.shares.own_use(), [])

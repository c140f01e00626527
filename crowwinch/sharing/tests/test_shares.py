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
    """Guards against shares above the common level or below the demand."""

    def test_shares(self):
        cases = {
            "all fit": ({"a": 1.0, "b": 2.0}, 10.0, {"a": 1.0, "b": 2.0}),
            "equal": ({"a": 9.0, "b": 9.0}, 10.0, {"a": 5.0, "b": 5.0}),
            "one small": ({"a": 1.0, "b": 9.0}, 6.0, {"a": 1.0, "b": 5.0}),
            "rest is divided again": (
                {"a": 1.0, "b": 3.0, "c": 9.0},
                9.0,
                {"a": 1.0, "b": 3.0, "c": 5.0},
            ),
            "nothing to divide": ({"a": 1.0}, 0.0, {"a": 0.0}),
        }
        for name, (asked, capacity, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(max_min_shares(asked, capacity), expected)


class WorkspaceSharesTest(unittest.TestCase):
    """Guards against use that is counted at one router only."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.shares = WorkspaceShares(self.clock, _WINDOW_S)
        self.shares.set_capacity(100.0)

    def test_without_contention_share_use_is_zero(self):
        self.shares.record_demand("a", 300.0)
        self.shares.record_usage("a", 300.0)
        self.shares.refresh()
        self.assertEqual(self.shares.use_of_share("a", 50.0), 0.0)

    def test_use_at_other_routers_counts(self):
        self.shares.record_demand("a", 300.0)
        self.shares.record_demand("b", 300.0)
        self.shares.replace_peer_report(
            "peer", [WorkspaceUse("a", 300.0, 400.0)]
        )
        self.shares.refresh()
        self.assertEqual(self.shares.level, 200.0)
        self.assertGreater(self.shares.use_of_share("a", 1.0), 1.0)
        self.assertLess(self.shares.use_of_share("b", 1.0), 1.0)

    def test_a_later_report_replaces_the_earlier(self):
        for served in (400.0, 10.0):
            self.shares.replace_peer_report(
                "peer", [WorkspaceUse("a", 0.0, served)]
            )
        self.shares.refresh()
        self.assertAlmostEqual(self.shares.served("a"), 10.0)

    def test_use_decays(self):
        self.shares.record_usage("a", 400.0)
        self.clock.move_to(100.0 + 3 * _WINDOW_S)
        self.shares.refresh()
        self.assertLess(self.shares.served("a"), 400.0 * 0.06)

    def test_a_burst_hardly_counts_a_window_later(self):
        """A time constant of a whole window penalised past bursts."""
        shares = WorkspaceShares(self.clock, time_constant(_WINDOW_S))
        shares.set_capacity(100.0)
        shares.record_usage("a", 400.0)
        self.clock.move_to(100.0 + _WINDOW_S)
        for workspace in ("a", "b"):
            shares.record_demand(workspace, 400.0)
        shares.refresh()
        self.assertEqual(shares.level, 100.0)
        self.assertLess(shares.served("a") / 400.0, 0.2)

    def test_a_first_request_counts_before_the_next_refresh(self):
        """Guards against several large requests decided as if each were first.

        What a workspace without any use got was left out until a refresh.
        """
        self.shares.refresh()
        self.shares.record_usage("a", 400.0)
        self.assertEqual(self.shares.served("a"), 400.0)

    def test_silent_router_expires(self):
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 0.0, 1e9)])
        self.clock.move_to(111.0)
        self.shares.refresh()
        self.assertEqual(self.shares.served("a"), 0.0)

    def test_sums_follow_every_report(self):
        """Guards against sums that drift from the latest peer reports."""
        rng = random.Random(3)
        reports = {}
        for _ in range(2_000):
            now = self.clock.monotonic() + rng.uniform(0.0, 0.2)
            self.clock.move_to(now)
            peer = f"peer-{rng.randrange(20)}"
            # One falls silent for longer than it is remembered.
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
            for heard, known in reports.values():
                if now - heard <= 10.0:
                    part = math.exp(-(now - heard) / _WINDOW_S)
                    for use in known:
                        expected[use.workspace] += use.served * part
            for name in "abcdef":
                self.assertAlmostEqual(
                    self.shares.served(name), expected[name], delta=2.0
                )

    def test_sums_follow_a_changed_time_constant(self):
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 0.0, 1e5)])
        self.clock.move_to(104.0)
        self.shares.set_time_constant(2.0)
        self.shares.refresh()
        self.assertAlmostEqual(
            self.shares.served("a"), 1e5 * math.exp(-2.0), delta=1.0
        )

    def test_a_long_time_without_reports(self):
        """Guards against overflow of the scale factor."""
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 1e5, 1e5)])
        self.clock.move_to(1e6)
        self.shares.refresh()
        self.assertEqual(self.shares.served("a"), 0.0)
        self.shares.replace_peer_report("peer", [WorkspaceUse("a", 1e5, 1e5)])
        self.shares.refresh()
        self.assertAlmostEqual(self.shares.served("a"), 1e5)

    def test_a_refresh_does_not_count_the_reports_of_all_routers(self):
        """It took half of the processor time of a fleet of 90 routers."""
        uses = [WorkspaceUse(name, 1e5, 1e5) for name in "abcdef"]
        for number in range(90):
            self.shares.replace_peer_report(f"peer-{number}", uses)
        self.clock.move_to(101.0)
        with mock.patch(
            "crowwinch.sharing._shares.math.exp", wraps=math.exp
        ) as faded:
            self.shares.refresh()
        self.assertEqual(faded.call_count, 1)

    def test_half_of_a_large_request_may_exceed_the_share(self):
        for workspace in ("a", "b"):
            self.shares.record_demand(workspace, 400.0)
        self.shares.refresh()
        self.assertLessEqual(self.shares.use_of_share("a", 400.0), 1.0)
        self.assertGreater(self.shares.use_of_share("a", 401.0), 1.0)

    def test_request_that_did_not_run_is_reverted(self):
        self.shares.record_usage("a", 50.0)
        self.shares.revert_usage("a", 50.0)
        self.shares.refresh()
        self.assertAlmostEqual(self.shares.served("a"), 0.0)
        self.assertEqual(self.shares.own_use(), [])

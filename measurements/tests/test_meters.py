"""Tests of the gap, utilisation and starvation figures."""

import unittest

from measurements._meters import (
    GapMeter,
    StarvationMeter,
    UtilisationMeter,
)

A, B, C, POOL = 1, 2, 3, 9


def _gap(weights, events, end):
    """Replays (time, workspace, rate change or backlogged flag) events."""
    meter = GapMeter(weights)
    for time, workspace, change in events:
        if isinstance(change, bool):
            meter.set_backlogged(time, POOL, workspace, change)
        else:
            meter.change_rate(time, POOL, workspace, change)
    meter.finish(end)
    return meter.worst(POOL)


class GapMeterTest(unittest.TestCase):
    """Guards against gaps that are missed, invented or wrongly weighted."""

    CASES = (
        (
            "one served, one waiting: 10/s for 3 s",
            {A: 1.0, B: 1.0},
            [(0, A, True), (0, B, True), (1, A, 10.0), (4, A, -10.0)],
            6,
            30.0,
        ),
        (
            "weights divide service: 10/2 - 10/5 = 3/s for 4 s",
            {A: 2.0, B: 5.0},
            [(0, A, True), (0, B, True), (0, A, 10.0), (0, B, 10.0)],
            4,
            12.0,
        ),
        (
            "an inner interval counts: +20 then -50, not -30",
            {A: 1.0, B: 1.0},
            [
                (0, A, True),
                (0, B, True),
                (0, A, 10.0),
                (2, A, -10.0),
                (2, B, 10.0),
            ],
            7,
            50.0,
        ),
        (
            "service before both are backlogged does not count",
            {A: 1.0, B: 1.0},
            [(0, A, True), (0, A, 10.0), (5, B, True), (7, B, False)],
            9,
            20.0,
        ),
        (
            "an interruption of the backlog ends the interval",
            {A: 1.0, B: 1.0},
            [
                (0, A, True),
                (0, B, True),
                (0, A, 10.0),
                (2, B, False),
                (4, B, True),
            ],
            7,
            30.0,
        ),
        (
            "the worst of three pairs: A gains 10/s on C for 2 s",
            {A: 1.0, B: 1.0, C: 1.0},
            [
                (0, A, True),
                (0, B, True),
                (0, C, True),
                (0, A, 10.0),
                (0, B, 4.0),
            ],
            2,
            20.0,
        ),
        (
            "a workspace that never waits has no gap",
            {A: 1.0, B: 1.0},
            [(0, A, True), (0, A, 10.0), (0, B, 3.0)],
            5,
            0.0,
        ),
    )

    def test_hand_made_histories(self):
        for name, weights, events, end, expected in self.CASES:
            with self.subTest(name):
                self.assertAlmostEqual(_gap(weights, events, end).gap, expected)

    def test_worst_gap_names_its_pair_and_end(self):
        weights = {A: 1.0, B: 1.0}
        events = [(0, A, True), (0, B, True), (1, A, 10.0), (4, A, -10.0)]
        worst = _gap(weights, events, 6)
        self.assertEqual({worst.first, worst.second}, {A, B})
        self.assertEqual(worst.time, 4)

    def test_restart_measures_later_service_only(self):
        meter = GapMeter({A: 1.0, B: 1.0})
        meter.set_backlogged(0, POOL, A, True)
        meter.set_backlogged(0, POOL, B, True)
        meter.change_rate(0, POOL, A, 10.0)
        before = meter.restart(6)
        meter.finish(8)
        self.assertEqual(before[POOL].gap, 60.0)
        self.assertEqual(meter.worst(POOL).gap, 20.0)

    def test_pools_are_separate(self):
        meter = GapMeter({A: 1.0, B: 1.0})
        meter.set_backlogged(0, 1, A, True)
        meter.set_backlogged(0, 2, B, True)
        meter.change_rate(0, 1, A, 10.0)
        meter.finish(5)
        self.assertEqual(meter.worst(1).gap, 0.0)

    def test_same_as_all_pairs_of_breakpoints(self):
        """Compares with the definition, evaluated at every breakpoint."""
        events = [
            (0, A, True),
            (0, B, True),
            (1, A, 7.0),
            (2, B, 11.0),
            (5, A, -7.0),
            (6, A, 5.0),
            (8, B, -11.0),
            (11, A, -5.0),
        ]
        served_a = {0: 0, 1: 0, 2: 7, 5: 28, 6: 28, 8: 38, 11: 53, 12: 53}
        served_b = {0: 0, 1: 0, 2: 0, 5: 33, 6: 44, 8: 66, 11: 66, 12: 66}
        expected = max(
            abs(
                (served_a[end] - served_a[start])
                - (served_b[end] - served_b[start])
            )
            for start in served_a
            for end in served_a
        )
        gap = _gap({A: 1.0, B: 1.0}, events, 12).gap
        self.assertAlmostEqual(gap, expected)


class UtilisationMeterTest(unittest.TestCase):
    """Guards against counting idle slots when nothing waits."""

    def test_only_time_with_waiting_work_counts(self):
        meter = UtilisationMeter()
        meter.change(0, POOL, slots=4)
        meter.change(1, POOL, busy=1)
        meter.change(2, POOL, waiting=1)
        meter.change(6, POOL, busy=3)
        meter.change(8, POOL, waiting=-1)
        meter.change(20, POOL, busy=-4)
        self.assertEqual(meter.busy_time, 1 * 4 + 4 * 2)
        self.assertEqual(meter.utilisation, 12 / 24)

    def test_work_in_another_group_is_not_compatible(self):
        meter = UtilisationMeter()
        meter.change(0, 1, slots=4)
        meter.change(0, 2, slots=4, busy=4)
        meter.change(0, 2, waiting=1)
        meter.change(5, 2, waiting=-1)
        self.assertEqual(meter.utilisation, 1.0)


class StarvationMeterTest(unittest.TestCase):
    """Guards against starvation that is overlooked at the end of a run."""

    def test_a_whole_window_without_service_counts(self):
        for end, expected in ((9.9, set()), (10.0, {A})):
            with self.subTest(end=end):
                meter = StarvationMeter(10.0)
                meter.update(0.0, POOL, A, True)
                meter.update(1.0, POOL, A, True)
                meter.update(end, POOL, A, False)
                self.assertEqual(meter.starved, expected)

    def test_open_interval_counts_at_the_end(self):
        meter = StarvationMeter(10.0)
        meter.update(0.0, POOL, A, True)
        meter.finish(30.0)
        self.assertEqual(meter.starved, {A})

"""Tests of what routers know of the time that callers wait."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import CallerWaits

_ROUTE = "host.example/chat/"


class CallerWaitsTest(unittest.TestCase):
    """Guards against streams that are taken for younger than they are."""

    def setUp(self):
        self.clock = ManualClock()
        self.waits = CallerWaits(self.clock)

    def _record(self, *waits_s, route=_ROUTE):
        for wait_s in waits_s:
            self.waits.record(route, wait_s)

    def test_age_is_what_a_caller_has_used_of_its_time(self):
        for left_s, expected in ((15.0, 3.75), (5.0, 13.75), (16.0, None)):
            with self.subTest(left_s=left_s):
                self._record(*[15.0] * 4)
                age_s = self.waits.max_stream_age_s(_ROUTE, left_s)
                self.assertEqual(age_s, expected)

    def test_longest_of_all_callers_counts(self):
        """Guards against callers of a route that do not wait equally long."""
        self._record(30.0, *[15.0] * 60)
        self.assertEqual(self.waits.max_stream_age_s(_ROUTE, 15.0), 22.5)

    def test_nothing_is_known_at_first(self):
        """Guards against an age of 0 for want of knowledge (ORDER)."""
        self._record(15.0, 15.0, 15.0)
        self._record(*[15.0] * 4, route="other")
        self.assertIsNone(self.waits.max_stream_age_s(_ROUTE, 10.0))
        self.assertIsNotNone(self.waits.max_stream_age_s("other", 10.0))

    def test_peers_learn_it_of_each_other(self):
        """Guards against a router that saw no caller of a workspace (ORDER)."""
        self._record(*[30.0] * 4)
        self._record(20.0, route="other")
        self.clock.move_to(100.0)
        peer = CallerWaits(self.clock)
        for _ in range(2):
            peer.merge(self.waits.reports())
            self.waits.merge(peer.reports())
        self.assertEqual(peer.reports(), self.waits.reports())
        self.assertEqual(peer.max_stream_age_s(_ROUTE, 20.0), 17.5)
        self.assertIsNone(peer.max_stream_age_s("other", 10.0))

    def test_times_that_nobody_names_any_more_are_forgotten(self):
        """Guards against refusals for a time that one caller named once."""
        self._record(300.0, *[15.0] * 4)
        self.clock.move_to(601.0)
        peer = CallerWaits(self.clock)
        peer.merge(self.waits.reports())
        self.assertEqual(peer.reports(), [])
        self.assertIsNone(self.waits.max_stream_age_s(_ROUTE, 10.0))
        self._record(15.0)
        self.assertEqual(self.waits.max_stream_age_s(_ROUTE, 10.0), 8.75)

    def test_number_of_routes_is_bounded(self):
        for number in range(1_100):
            self._record(15.0, route=str(number))
        self.assertEqual(len(self.waits._waits), 1_024)
        reported = [report.route for report in self.waits.reports()]
        self.assertEqual(reported, [str(n) for n in range(1_068, 1_100)])


if __name__ == "__main__":
    unittest.main()

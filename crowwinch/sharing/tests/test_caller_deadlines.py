"""Tests of the estimate of the time that callers have waited before."""

import unittest

from crowwinch.sharing import CallerDeadlines


class CallerDeadlinesTest(unittest.TestCase):
    """Guards against returning callers who take the place of new ones."""

    def setUp(self):
        self.deadlines = CallerDeadlines()

    def _record(self, *deadlines_s, workspace="w", route="r"):
        return [
            round(self.deadlines.record(workspace, route, each), 3)
            for each in deadlines_s
        ]

    def test_first_request_of_a_route_has_not_waited(self):
        self.assertEqual(self._record(3.0), [0.0])

    def test_less_time_than_usual_is_a_wait(self):
        self._record(*[12.0] * 20)
        self.assertEqual(self._record(8.5), [3.5])

    def test_callers_vary_their_deadlines(self):
        """Guards against taking a spread of deadlines for waits."""
        varied = [12.0 - 0.01 * step for step in range(150)]
        self.assertEqual(set(self._record(*varied)), {0.0})
        self.assertGreater(self._record(8.0)[0], 2.0)

    def test_callers_with_another_usual_deadline_have_not_waited(self):
        """Guards against putting callers with little patience last."""
        self._record(*[12.0] * 20, *[3.0] * 7)
        self.assertEqual(self._record(3.0), [0.0])

    def test_usual_deadline_that_becomes_shorter(self):
        self._record(*[12.0] * 50)
        self.assertEqual(self._record(*[6.0] * 200)[-1], 0.0)

    def test_routes_are_apart(self):
        self._record(12.0)
        self.assertEqual(self._record(3.0, route="other"), [0.0])

    def test_long_deadlines_of_another_workspace_have_no_effect(self):
        """Guards against a workspace that puts the requests of others last."""
        self._record(*[1e6] * 20, workspace="patient")
        varied = [3.0 - 0.01 * step for step in range(30)]
        self.assertEqual(set(self._record(*varied)), {0.0})

    def test_memory_is_bounded(self):
        for number in range(3_000):
            self._record(1.0, route=f"r{number}")
        self.assertLessEqual(len(self.deadlines._pairs), 1_024)


if __name__ == "__main__":
    unittest.main()

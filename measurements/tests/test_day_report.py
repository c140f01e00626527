"""Tests of the report on a played day."""

import json
import unittest

from measurements.day_report import (
    GROUPS,
    group_requests,
    read_requests,
    render_table,
)


def _line(time, router, **entry):
    entry = {
        "message": "request",
        "route": "r",
        "code": "served",
        "elapsed_s": 0.5,
        "target_latency_s": 0.8,
        "attempts": [],
    } | entry
    return f"  {time} {router} {json.dumps(entry)}\n"


class DayReportTest(unittest.TestCase):
    """Guards against a report that hides late answers or late refusals."""

    def _counts(self, lines, group="route"):
        rows = group_requests(read_requests(lines), GROUPS[group])
        return {key: dict(row.counts) for key, row in rows.items()}

    def test_outcomes(self):
        cases = {
            "in time": {"first_event_s": 0.7},
            "late": {"first_event_s": 0.9},
            "refused": {"code": "workspace_limit", "elapsed_s": 0.01},
            "refused after a wait": {
                "code": "deadline_unreachable",
                "elapsed_s": 0.4,
            },
            "failed": {"code": "target_failed"},
            "caller left": {"code": "caller_gone"},
        }
        for outcome, entry in cases.items():
            with self.subTest(outcome):
                counts = self._counts([_line(1.0, "edge-a-1", **entry)])
                self.assertEqual(counts, {"r": {outcome: 1}})

    def test_response_without_events_counts_by_its_end(self):
        line = _line(1.0, "edge-a-1", first_event_s=None, elapsed_s=0.9)
        self.assertEqual(self._counts([line]), {"r": {"late": 1}})

    def test_refusal_after_an_attempt_is_a_failure(self):
        line = _line(
            1.0,
            "edge-a-1",
            code="no_target",
            attempts=[{"waited_s": 0.1, "expected_s": 0.1}],
        )
        self.assertEqual(self._counts([line]), {"r": {"failed": 1}})

    def test_other_lines_are_left_out(self):
        lines = [
            "day  own/srv score\n",
            '  1.0 edge-a-1 {"message":"peer found"}\n',
            '  1.0 edge-a-1 {"message":"request","code":"router_overloaded"}\n',
            "  1.0 edge-a-1 {cut off}\n",
            _line(-2.5, "edge-hall-a-12", first_event_s=0.1),
        ]
        self.assertEqual(
            self._counts(lines, "zone"), {"hall-a": {"in time": 1}}
        )
        self.assertEqual(
            self._counts(lines, "second"), {"   -2": {"in time": 1}}
        )

    def test_table_shows_waits_and_forecast_errors(self):
        attempt = {"waited_s": 0.2, "expected_s": 0.1, "first_event_s": 0.4}
        lines = [
            _line(1.0, "edge-a-1", first_event_s=0.6, attempts=[attempt])
        ] * 2
        table = render_table(
            "route", group_requests(read_requests(lines), GROUPS["route"]), 5
        )
        self.assertIn("| r | 2 | 2 | 0 | 0 | 0 | 0 | 0 |", table)
        self.assertIn("| 0.200, 0.200 | 0.300, 0.300 |", table)


if __name__ == "__main__":
    unittest.main()

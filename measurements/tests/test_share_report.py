"""Tests of the reports on shares and on targets that leave."""

import json
import unittest

from measurements.day_report import read_entries, read_requests
from measurements.leaving_report import find_departures
from measurements.share_report import (
    find_shortages,
    read_activity,
    read_counts,
)


def _line(time, router="edge-a-1", **entry):
    entry = {
        "message": "request",
        "route": "r",
        "workspace": "small",
        "code": "served",
        "elapsed_s": 0.0,
        "target_latency_s": 0.8,
        "cost": 100,
        "prompt_tokens": 1,
        "attempts": [],
    } | entry
    return f"  {time} {router} {json.dumps(entry)}\n"


class ShareReportTest(unittest.TestCase):
    """Guards against a report that hides a workspace without its share."""

    def _day(self, served_small):
        for second in range(6):
            for number in range(20):
                at = second + 0.5
                is_served = number < served_small
                yield _line(
                    at,
                    code="served" if is_served else "deadline_unreachable",
                    first_event_s=0.0 if is_served else None,
                )
                yield _line(at, workspace="large", first_event_s=0.0)

    def test_ratio_of_service_to_half_of_what_is_owed(self):
        activity = read_activity(read_requests(self._day(4)))
        (worst, *_) = find_shortages(activity)
        self.assertEqual(worst.workspace, "small")
        self.assertEqual((worst.asked, worst.served), (12_000, 2_400))
        self.assertEqual((worst.owed, worst.spared), (12_000, 300))
        self.assertAlmostEqual(worst.ratio, 0.45)

    def test_a_workspace_without_delays_is_not_short(self):
        activity = read_activity(read_requests(self._day(20)))
        self.assertEqual(find_shortages(activity), [])

    def test_counts_of_routers(self):
        """Guards against a report on the lines that were not dropped."""
        counts = {
            "small": {
                "asked": 2_000,
                "begun": 400,
                "late": 0,
                "codes": {"served": 4, "deadline_unreachable": 16},
                "largest": [100, 100, 100],
            },
            "large": {
                "asked": 2_000,
                "begun": 2_000,
                "late": 0,
                "codes": {"served": 20},
                "largest": [100],
            },
        }
        lines = [
            _line(
                second + 1.2,
                message="requests of workspaces",
                workspaces=counts,
            )
            for second in range(6)
        ]
        (worst,) = find_shortages(read_counts(read_entries(lines)))
        self.assertEqual(worst.workspace, "small")
        self.assertEqual((worst.asked, worst.served), (12_000, 2_400))
        self.assertAlmostEqual(worst.ratio, 0.45)


class LeavingReportTest(unittest.TestCase):
    """Guards against a report that hides requests to a target that leaves."""

    def test_time_of_the_last_request(self):
        lines = [
            _line(1.0, message="target removed", target="t"),
            _line(1.5, "edge-a-2", message="target removed", target="t"),
            _line(
                2.0,
                "edge-a-2",
                elapsed_s=0.9,
                attempts=[{"target": "t", "waited_s": 0.2}],
            ),
        ]
        (departure,) = find_departures(read_entries(lines))
        self.assertEqual(departure.known_s, {"edge-a-1": 1.0, "edge-a-2": 1.5})
        self.assertAlmostEqual(departure.last_request_s, 0.3)

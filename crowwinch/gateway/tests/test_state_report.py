"""Tests of the state that operators read."""

import json
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import DirectoryState, Item, Listing
from crowwinch.fleet.tests.support import make_settings
from crowwinch.forwarding import SocketAddress, Target, TargetSet
from crowwinch.forwarding.tests.support import make_sharing_state
from crowwinch.gateway._state_report import StateReport
from crowwinch.platform import DocumentCodec


def _entry(zone):
    return json.dumps(
        {
            "Service": "desk",
            "Address": "10.0.0.1:80",
            "State": "ready",
            "Zone": zone,
        }
    ).encode()


class StateReportTest(unittest.TestCase):
    """Guards against limits of which an operator learns nothing."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = DirectoryState(self.clock, DocumentCodec())
        self.targets = TargetSet("az-1", lambda target: None)
        self.sharing = make_sharing_state(self.clock)
        self.settings = make_settings("10.0.0.1", "az-1", ())
        self.report = StateReport(
            self.clock,
            lambda: self.settings,
            self.state,
            self.targets,
            self.sharing,
        )

    def _read(self):
        return json.loads(self.report.respond().body)

    def test_a_router_that_has_just_started(self):
        """Guards against ages without a bound, which are no JSON."""
        document = self._read()
        self.assertEqual(document["program"], "gateway")
        self.assertIsNone(document["directory_age_s"])
        self.assertEqual(document["evacuated_zones"], [])
        self.assertEqual(document["limited_targets"], [])

    def test_evacuated_zones_and_age(self):
        items = (
            Item("op/evacuate/az-2", 5, b"{}"),
            Item("servers/i-1", 6, _entry("az-1")),
            Item("servers/i-2", 7, _entry("az-2")),
        )
        self.state.apply_listing(Listing(7, items, era=3))
        self.state.record_sync(99.0)
        document = self._read()
        self.assertEqual(
            document["evacuated_zones"],
            [{"zone": "az-2", "revision": 5, "targets": 1}],
        )
        self.assertEqual(document["directory_age_s"], 1.0)
        self.assertEqual((document["era"], document["revision"]), (3, 7))

    def test_limited_targets_have_a_reason(self):
        targets = [
            Target(name, 1, "desk", SocketAddress("10.0.0.1", 80), "az-1", 8)
            for name in ("i-1", "i-2")
        ]
        self.targets.update(targets, None)
        self.sharing.rate_limits.set_fleet("r", ["r"])
        self.sharing.rate_limits.observe("i-1", 1, 2.0, 100.0)
        (limited,) = self._read()["limited_targets"]
        self.assertEqual(limited["target"], "i-1")
        self.assertEqual(
            [each["reason"] for each in limited["limits"]], ["rate_limit"]
        )
        (rate_limit,) = self._read()["rate_limits"]
        self.assertEqual(rate_limit["requests_per_s"], 2.0)

    def test_other_components_add_sections(self):
        values = [1]
        self.report.add_section("pace_windows", lambda: values)
        values.append(2)
        self.assertEqual(self._read()["pace_windows"], [1, 2])

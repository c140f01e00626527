"""Tests of evacuated availability zones in the directory."""

import logging
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import (
    Changes,
    DirectoryState,
    Item,
    Listing,
    TargetEntry,
    TargetState,
    ZoneEvacuation,
)
from crowwinch.forwarding import RequestLimits, RoutingTable, SocketAddress

_ZONES = ("az-1", "az-2", "az-3")
_CONFIGURATION = Item("c", 1, b"configuration")
_TARGETS = tuple(
    Item(f"t-{zone}", 2 + index, zone.encode())
    for index, zone in enumerate((*_ZONES, "az-9"))
)


class _Decoder:
    """Decodes `evacuate/ZONE`, a configuration, and zones of targets."""

    def decode(self, key, value):
        if key.startswith("evacuate/"):
            return ZoneEvacuation(key.partition("/")[2], value == b"{}")
        if value == _CONFIGURATION.value:
            return RoutingTable(1, (), {}, None, RequestLimits())
        return TargetEntry(
            key,
            "llm",
            SocketAddress("10.0.0.1", 80),
            value.decode(),
            4,
            TargetState.READY,
            0,
        )


def _evacuation(zone, revision, value=b"{}"):
    return Item(f"evacuate/{zone}", revision, value)


def _ended(zone, revision):
    return _evacuation(zone, revision, None)


class _Directory(DirectoryState):
    """A directory that knows the zones of the deployment, but not az-9."""

    def __init__(self, clock):
        self.zones = set(_ZONES)
        super().__init__(clock, _Decoder(), lambda zone: zone in self.zones)

    @property
    def used_zones(self):
        """Zones of the targets that may get requests."""
        entries = self.available_targets()
        return sorted(entry.availability_zone for entry in entries)


class EvacuationTest(unittest.TestCase):
    """Guards against requests to the targets of an evacuated zone."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = _Directory(self.clock)
        self.state.apply_listing(
            Listing(10, (_CONFIGURATION, *_TARGETS), era=1)
        )

    def _change(self, *items):
        revision = max(item.revision for item in items)
        self.state.apply_changes(Changes(revision, items, era=1))

    def _assert_evacuated(self, *zones):
        used = sorted({*_ZONES, "az-9"} - set(zones))
        self.assertEqual(self.state.used_zones, used)
        self.assertEqual(sorted(self.state.evacuated_zones), sorted(zones))
        evacuated = self.state.evacuated_targets()
        self.assertEqual(
            sorted(entry.availability_zone for entry in evacuated),
            sorted(zones),
        )

    def test_sequences_of_changes(self):
        first, second = _evacuation("az-1", 11), _evacuation("az-2", 12)
        cases = (
            ("one", [[first]], ["az-1"]),
            ("one, ended", [[first], [_ended("az-1", 13)]], []),
            ("two", [[first, second]], ["az-1", "az-2"]),
            (
                "two, one taken back",
                [[first, second], [_ended("az-1", 13)]],
                ["az-2"],
            ),
            (
                "started and ended in one batch",
                [[_ended("az-1", 13), first]],
                [],
            ),
            (
                "ended and started again",
                [[first], [_ended("az-1", 13), _evacuation("az-1", 14)]],
                ["az-1"],
            ),
            (
                "late answer with an ended evacuation",
                [[first], [_ended("az-1", 13)], [first]],
                [],
            ),
            ("unknown zone", [[_evacuation("az-9", 11)]], []),
            (
                "value that cannot be read",
                [[_evacuation("az-1", 11, b"null")]],
                [],
            ),
            (
                "in force, then a value that cannot be read",
                [[first], [_evacuation("az-1", 13, b"\xff")]],
                ["az-1"],
            ),
            (
                "in force, then unreadable, then ended",
                [
                    [first],
                    [_evacuation("az-1", 13, b"\xff")],
                    [_ended("az-1", 14)],
                ],
                [],
            ),
        )
        for name, batches, zones in cases:
            with self.subTest(name):
                self.setUp()
                for batch in batches:
                    self._change(*batch)
                self._assert_evacuated(*zones)

    def test_a_later_listing_starts_and_ends_evacuations(self):
        """Guards against evacuations missed while the history was lost."""
        self._change(_evacuation("az-1", 11))
        items = (_CONFIGURATION, *_TARGETS, _evacuation("az-2", 12))
        self.state.apply_listing(Listing(14, items, era=1))
        self._assert_evacuated("az-2")

    def test_a_router_that_starts_uses_no_evacuated_target(self):
        """Guards against a moment between the configuration and the rest."""
        state = _Directory(self.clock)
        used = []
        state.subscribe(lambda: used.append(state.used_zones))
        items = (_CONFIGURATION, *_TARGETS, _evacuation("az-1", 11))
        state.apply_listing(Listing(11, items, era=1))
        self.assertEqual(used, [["az-2", "az-3", "az-9"]])

    def test_a_zone_that_the_settings_name_later(self):
        """Guards against an order that is lost because it came too early."""
        self._change(_evacuation("az-9", 11))
        self._assert_evacuated()
        self.state.zones.add("az-9")
        self._assert_evacuated("az-9")

    def test_an_outage_of_the_store_ends_nothing_and_delays_nothing(self):
        """Guards against targets that stay unused after the order to use them.

        Entries of targets may lapse in an outage, evacuations cannot.
        """
        self._change(_evacuation("az-1", 11))
        self.state.record_failure(self.clock.monotonic())
        self._advance_clock(60.0)
        self._assert_evacuated("az-1")
        self.state.record_contact()
        self._change(_ended("az-1", 12))
        self._assert_evacuated()

    def test_start_and_end_are_logged_once(self):
        cases = (
            (
                "in force",
                [_evacuation("az-1", 11), _evacuation("az-1", 12)],
                [("evacuation started", "az-1", 11)],
            ),
            (
                "ended",
                [_evacuation("az-1", 11), _ended("az-1", 12)],
                [
                    ("evacuation started", "az-1", 11),
                    ("evacuation ended", "az-1", 12),
                ],
            ),
            (
                "unknown zone",
                [_evacuation("az-9", 11), _ended("az-9", 12)],
                [("evacuation of an unknown zone ignored", "az-9", 11)],
            ),
        )
        for name, items, expected in cases:
            with self.subTest(name):
                self.setUp()
                with self.assertLogs(
                    "crowwinch.directory", logging.INFO
                ) as log:
                    for item in items:
                        self._change(item)
                lines = [
                    (line.getMessage(), line.zone, line.revision)
                    for line in log.records
                ]
                self.assertEqual(lines, expected)

    def _advance_clock(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.state.expire_lapsed()


class PeerTest(unittest.TestCase):
    """Guards against evacuations that routers do not pass on."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = _Directory(self.clock)
        self.peer = _Directory(self.clock)
        listing = Listing(10, (_CONFIGURATION, *_TARGETS), era=1)
        for state in (self.state, self.peer):
            state.apply_listing(listing)

    def _pass_on(self):
        changes = self.state.changes_since(self.peer.revision)
        self.peer.apply_peer_changes(changes)

    def test_start_and_end_reach_a_peer(self):
        for item, used in (
            (_evacuation("az-1", 11), 3),
            (_ended("az-1", 12), 4),
        ):
            self.state.apply_changes(Changes(item.revision, (item,), era=1))
            self._pass_on()
            self.assertEqual(len(self.peer.available_targets()), used)

    def test_a_new_peer_learns_of_an_evacuation_that_became_unreadable(self):
        """Guards against routers that disagree about the same zone."""
        for item in (_evacuation("az-1", 11), _evacuation("az-1", 12, b"x")):
            self.state.apply_changes(Changes(item.revision, (item,), era=1))
        new = _Directory(self.clock)
        new.apply_listing(self.state.listing())
        self.assertEqual(sorted(new.evacuated_zones), ["az-1"])
        self.assertEqual(new.revision, 12)

    def test_a_value_that_is_no_text_is_not_sent_as_such(self):
        """Guards against a page that ends an evacuation at a peer.

        Pages hold text; other values were sent as removals.
        """
        item = _evacuation("az-1", 11, b"\xff")
        self.state.apply_changes(Changes(11, (item,), era=1))
        kept = {each.key: each.value for each in self.state.listing().items}
        self.assertEqual(kept[item.key], b"")


class RestoredStoreTest(unittest.TestCase):
    """Guards against evacuations that an older copy of the store reverts."""

    _GRACE_S = 2.2

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = _Directory(self.clock)
        self.state.apply_listing(
            Listing(
                20,
                (_CONFIGURATION, *_TARGETS, _evacuation("az-1", 20)),
                era=1,
            )
        )

    def _restore(self, *items):
        self.state.apply_listing(
            Listing(12, (_CONFIGURATION, *_TARGETS, *items), era=2)
        )

    def _advance_clock(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.state.expire_lapsed()

    def _evacuated(self):
        return sorted(self.state.evacuated_zones)

    def test_an_evacuation_that_the_copy_lacks_ends_after_the_grace(self):
        self._restore()
        self._advance_clock(self._GRACE_S - 0.1)
        self.assertEqual(self._evacuated(), ["az-1"])
        self._advance_clock(0.2)
        self.assertEqual(self._evacuated(), [])
        self.assertEqual(len(self.state.available_targets()), 4)

    def test_an_evacuation_that_is_written_again_goes_on(self):
        self._restore()
        self._advance_clock(1.9)
        self.state.apply_changes(Changes(13, (_evacuation("az-1", 13),), era=2))
        self._advance_clock(60.0)
        self.assertEqual(self._evacuated(), ["az-1"])
        self.state.apply_changes(Changes(14, (_ended("az-1", 14),), era=2))
        self.assertEqual(self._evacuated(), [])

    def test_the_end_of_one_that_was_written_again_takes_force_at_once(self):
        self._restore()
        for item in (_evacuation("az-1", 13), _ended("az-1", 14)):
            self.state.apply_changes(Changes(item.revision, (item,), era=2))
        self.assertEqual(self._evacuated(), [])

    def test_an_evacuation_of_the_copy_is_in_force(self):
        self._restore(_evacuation("az-1", 9), _evacuation("az-2", 10))
        self._advance_clock(60.0)
        self.assertEqual(self._evacuated(), ["az-1", "az-2"])

    def test_one_that_ended_after_the_copy_is_in_force_until_it_ends(self):
        """Guards against a store and routers that disagree for good."""
        self.state.apply_changes(Changes(21, (_ended("az-1", 21),), era=1))
        self._restore(_evacuation("az-1", 9))
        self.assertEqual(self._evacuated(), ["az-1"])
        self.state.apply_changes(Changes(13, (_ended("az-1", 13),), era=2))
        self.assertEqual(self._evacuated(), [])


if __name__ == "__main__":
    unittest.main()

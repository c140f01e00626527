"""Tests the directory state with outages, rollbacks and lagging routers."""

import dataclasses
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import (
    Changes,
    DirectoryState,
    HistoryLostError,
    Item,
    Listing,
    TargetEntry,
    TargetState,
)
from crowwinch.forwarding import RequestLimits, RoutingTable, SocketAddress


class _Decoder:
    """Decodes `c:VERSION` as a configuration and other text as a target."""

    def decode(self, key, value):
        text = value.decode()
        if text.startswith("c:"):
            return RoutingTable(int(text[2:]), (), {}, None, RequestLimits())
        if not text or text.startswith("malformed"):
            return None
        return TargetEntry(
            key,
            "llm",
            SocketAddress("10.0.0.1", 80),
            "az",
            4,
            TargetState(text),
            0,
        )


def _item(key, revision, text="ready"):
    return Item(key, revision, text.encode())


def _deleted(key, revision):
    return Item(key, revision, None)


class DirectoryStateTest(unittest.TestCase):
    """Guards against changes that are lost, reverted or applied too early."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = DirectoryState(self.clock, _Decoder())
        self.state.apply_listing(
            Listing(10, (_item("a", 5), _item("b", 7), _item("c", 3, "c:4")))
        )

    def _advance_clock(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.state.expire_lapsed()

    def _simulate_outage(self, seconds):
        self.state.record_failure(self.clock.monotonic())
        self._advance_clock(seconds)
        self.state.record_contact()

    def test_listing_is_applied(self):
        self.assertEqual(set(self.state.targets), {"a", "b"})
        self.assertEqual((self.state.version, self.state.revision), (4, 10))

    def test_older_listing_is_ignored(self):
        self.state.apply_listing(Listing(9, ()))
        self.assertEqual(set(self.state.targets), {"a", "b"})

    def test_older_configuration_is_ignored(self):
        self.state.apply_changes(Changes(11, (_item("c", 11, "c:3"),)))
        self.assertEqual(self.state.version, 4)

    def test_older_change_of_a_key_is_ignored(self):
        self.state.apply_changes(Changes(12, (_item("a", 12, "leaving"),)))
        self.state.apply_changes(Changes(13, (_item("a", 11),)))
        self.assertIs(self.state.targets["a"].state, TargetState.LEAVING)

    def test_removed_target_is_deleted_immediately_without_outage(self):
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertEqual(set(self.state.targets), {"b"})

    def _available(self):
        return {entry.identifier for entry in self.state.available_targets()}

    def test_announced_departure_holds_until_the_directory_catches_up(self):
        """Guards against requests to a target that peers know to be leaving."""
        self.state.merge_departures([("a", 12), ("b", 9)])
        self.assertEqual(self._available(), {"b"})
        self.assertEqual(self.state.recent_departures(), [("a", 12)])
        self.state.apply_changes(Changes(11, ()))
        self.assertEqual(self._available(), {"b"})
        self.state.apply_changes(
            Changes(13, (_item("a", 12, "leaving"), _item("a", 13)))
        )
        self.assertEqual(self._available(), {"a", "b"})

    def test_departures_are_reported_for_a_while(self):
        self.state.apply_changes(
            Changes(12, (_item("a", 11, "leaving"), _deleted("b", 12)))
        )
        self.assertEqual(self.state.recent_departures(), [("a", 11), ("b", 12)])
        self._advance_clock(2.5)
        self.assertEqual(self.state.recent_departures(), [])

    def test_target_missing_from_newer_listing_is_deleted(self):
        self.state.apply_listing(
            Listing(11, (_item("b", 7), _item("c", 3, "c:4")))
        )
        self.assertEqual(set(self.state.targets), {"b"})

    def test_lapsed_target_is_kept_if_it_registers_again(self):
        self._simulate_outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertEqual(set(self.state.targets), {"a", "b"})
        self.state.apply_changes(Changes(12, (_item("a", 12),)))
        self._advance_clock(5.0)
        self.assertEqual(set(self.state.targets), {"a", "b"})

    def test_lapsed_target_is_deleted_two_seconds_after_outage(self):
        self._simulate_outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self._advance_clock(2.0)
        self.assertIn("a", self.state.targets)
        self._advance_clock(0.3)
        self.assertNotIn("a", self.state.targets)

    def test_short_failure_does_not_count_as_outage(self):
        self._simulate_outage(0.5)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertNotIn("a", self.state.targets)

    def test_leaving_state_is_applied_after_outage(self):
        self._simulate_outage(4.0)
        self.state.apply_changes(Changes(11, (_item("a", 11, "leaving"),)))
        self.assertIs(self.state.targets["a"].state, TargetState.LEAVING)

    def test_lapsed_target_is_not_listed(self):
        self._simulate_outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        keys = {item.key for item in self.state.listing().items}
        self.assertEqual(keys, {"b", "c"})

    def test_target_that_a_peer_knows_to_have_left_is_not_kept(self):
        """Guards against a departure that is taken for a lapsed registration.

        Only this router was cut off. The target was used again as soon as the
        directory had the removal that a peer had announced.
        """
        self._simulate_outage(4.0)
        self.state.merge_departures([("a", 11)])
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertNotIn("a", self.state.targets)

    def test_departure_announced_after_the_removal_ends_the_grace(self):
        self._simulate_outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertIn("a", self.state.targets)
        self.state.merge_departures([("a", 11)])
        self.assertNotIn("a", self.state.targets)

    def test_departure_before_the_known_entry_does_not_end_the_grace(self):
        self._simulate_outage(4.0)
        self.state.apply_changes(Changes(12, (_item("a", 12),)))
        self.state.apply_changes(Changes(13, (_deleted("a", 13),)))
        self.state.merge_departures([("a", 11)])
        self.assertIn("a", self.state.targets)

    def test_peer_listing_during_outage_keeps_lapsed_targets(self):
        self.state.record_failure(self.clock.monotonic())
        self._advance_clock(4.0)
        self.state.apply_listing(Listing(11, (_item("c", 3, "c:4"),)))
        self.assertEqual(set(self.state.targets), {"a", "b"})
        self._advance_clock(2.3)
        self.assertEqual(set(self.state.targets), set())

    def test_malformed_entry_registers_no_target(self):
        self.state.apply_changes(
            Changes(12, (_item("a", 11, "malformed"), _item("d", 12)))
        )
        self.assertEqual(set(self.state.targets), {"b", "d"})

    def test_values_that_cannot_be_read_are_not_kept(self):
        """Guards against other writers that fill the memory of a router."""
        large = "malformed" * 100_000
        self.state.apply_changes(
            Changes(12, (_item("a", 11, large), _item("x", 12, large)))
        )
        listing = self.state.listing()
        kept = {item.key: item for item in listing.items}
        self.assertEqual({"a", "b", "c", "x"}, set(kept))
        self.assertLess(sum(len(item.value) for item in kept.values()), 100)
        peer = DirectoryState(self.clock, _Decoder())
        peer.apply_listing(listing)
        self.assertEqual(peer.targets, self.state.targets)

    def test_unordered_changes_result_in_newest(self):
        changes = (_item("a", 13, "leaving"), _deleted("a", 12))
        self.state.apply_changes(Changes(13, changes))
        self.assertIs(self.state.targets["a"].state, TargetState.LEAVING)

    def test_subscribers_are_notified_only_of_changes(self):
        calls = []
        self.state.subscribe(lambda: calls.append(1))
        self.state.apply_changes(Changes(11, ()))
        self.assertEqual(calls, [])
        self.state.apply_changes(Changes(12, (_item("a", 12, "leaving"),)))
        self.assertEqual(calls, [1])

    def test_listing_reproduces_state_at_peer(self):
        other = DirectoryState(self.clock, _Decoder())
        other.apply_listing(self.state.listing())
        self.assertEqual(other.targets, self.state.targets)
        self.assertEqual(other.version, self.state.version)
        self.assertTrue(dataclasses.is_dataclass(other.listing()))

    def test_late_answer_does_not_restore_removed_target(self):
        """The answer to a watch may arrive after a newer listing of a peer."""
        self.state.apply_listing(
            Listing(20, (_item("b", 7), _item("c", 3, "c:4")))
        )
        self.state.apply_changes(Changes(15, (_item("a", 15),)))
        self.assertEqual(set(self.state.targets), {"b"})

    def test_outage_starts_at_last_contact(self):
        """A router that relies on its peers detects an outage late."""
        self.state.record_contact()
        self._advance_clock(1.5)
        self._simulate_outage(0.5)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertIn("a", self.state.targets)


class PeerChangesTest(unittest.TestCase):
    """Guards against changes that never reach routers that do not read."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        listing = Listing(10, (_item("a", 5), _item("b", 7)))
        self.state = DirectoryState(self.clock, _Decoder())
        self.state.apply_listing(listing)
        self.other = DirectoryState(self.clock, _Decoder())
        self.other.apply_listing(listing)

    def _synchronize_other(self):
        changes = self.state.changes_since(self.other.revision)
        self.other.apply_peer_changes(changes)
        return changes

    def test_changes_and_removals_are_propagated(self):
        self.state.apply_changes(
            Changes(14, (_deleted("a", 12), _item("d", 13), _item("b", 14)))
        )
        changes = self._synchronize_other()
        self.assertEqual(
            {item.key: item.value for item in changes.items},
            {"a": None, "b": b"ready", "d": b"ready"},
        )
        self.assertEqual(self.other.targets, self.state.targets)
        self.assertEqual(self.other.revision, 14)
        self.assertEqual(self._synchronize_other().items, ())

    def test_older_page_is_ignored(self):
        """It would restore a target that has been removed since."""
        self.state.apply_changes(Changes(12, (_item("d", 12),)))
        page = self.state.changes_since(10)
        self.other.apply_changes(
            Changes(15, (_item("d", 12), _deleted("d", 15)))
        )
        self.other.apply_peer_changes(page)
        self.assertEqual(set(self.other.targets), {"a", "b"})

    def test_changes_before_listing_are_unavailable(self):
        """Targets added and removed before the listing are in no changes."""
        self.state.apply_listing(Listing(30, (_item("a", 5),)))
        self.assertIsNone(self.state.changes_since(29))
        self.assertEqual(self.state.changes_since(30), Changes(30, ()))

    def test_changes_beyond_removal_limit_are_unavailable(self):
        for revision in range(11, 11 + 1001):
            self.state.apply_changes(
                Changes(revision, (_deleted(f"k{revision}", revision),))
            )
        self.assertIsNone(self.state.changes_since(10))
        self.assertIsNotNone(self.state.changes_since(11))

    def test_removal_from_peer_during_outage_keeps_lapsed_target(self):
        """Its registration expired during an outage of the store."""
        self.other.record_failure(self.clock.monotonic())
        self.clock.move_to(self.clock.monotonic() + 4.0)
        self.state.apply_changes(Changes(12, (_deleted("a", 12),)))
        self._synchronize_other()
        self.assertIn("a", self.other.targets)


class RestoredStoreTest(unittest.TestCase):
    """Guards against a directory that an older copy of the store reverts."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = DirectoryState(self.clock, _Decoder())
        self.state.apply_listing(
            Listing(
                20,
                tuple(_item(key, 5) for key in "abd") + (_item("c", 3, "c:4"),),
                era=1,
            )
        )
        self.state.apply_changes(
            Changes(22, (_item("a", 21, "leaving"), _deleted("b", 22)), era=1)
        )
        self.state.apply_changes(Changes(23, (_item("e", 23),), era=1))

    def _available(self):
        return {entry.identifier for entry in self.state.available_targets()}

    def _restore(self, *items):
        self.state.apply_listing(Listing(12, items, era=2))

    def _advance_clock(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.state.expire_lapsed()

    def test_changes_of_another_era_are_not_applied(self):
        for era in (0, 2):
            with self.subTest(era=era), self.assertRaises(HistoryLostError):
                self.state.apply_changes(
                    Changes(24, (_deleted("d", 24),), era=era)
                )
        self.state.apply_peer_changes(Changes(24, (_deleted("d", 24),), era=2))
        self.assertEqual(self._available(), {"d", "e"})

    def test_copy_with_lower_revisions_is_adopted(self):
        self._restore(_item("d", 5), _item("c", 3, "c:3"))
        self.assertEqual((self.state.era, self.state.revision), (2, 12))
        self.assertEqual(self.state.version, 4)
        self.state.apply_changes(Changes(13, (_deleted("d", 13),), era=2))
        self._advance_clock(2.5)
        self.assertEqual(self._available(), set())

    def test_listing_of_an_earlier_era_is_ignored(self):
        self._restore(_item("d", 5))
        self.state.apply_listing(Listing(30, (), era=1))
        self.assertEqual((self.state.era, self.state.revision), (2, 12))

    def test_targets_that_the_copy_lacks_may_register_again(self):
        self._restore(_item("d", 5))
        self.assertEqual(self._available(), {"d", "e"})
        self._advance_clock(1.5)
        self.state.apply_changes(Changes(13, (_item("e", 13),), era=2))
        self._advance_clock(2.0)
        self.assertEqual(self._available(), {"d", "e"})

    def test_targets_that_left_are_not_used_because_of_the_copy(self):
        """Guards against requests to a target that had said that it leaves."""
        self._restore(_item("a", 5), _item("b", 5), _item("d", 5))
        self.assertEqual(self._available(), {"d", "e"})
        self._advance_clock(5.5)
        # The entry of `b` did not expire, so the target lives.
        self.assertEqual(self._available(), {"b", "d"})

    def test_first_listing_of_a_router_is_trusted(self):
        state = DirectoryState(self.clock, _Decoder())
        state.apply_listing(Listing(7, (_item("a", 5),), era=4))
        self.assertEqual(len(state.available_targets()), 1)
        state.apply_changes(Changes(8, (_deleted("a", 8),), era=4))
        self.assertEqual(state.available_targets(), [])

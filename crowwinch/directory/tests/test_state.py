"""The directory under outages, rewinds and lagging routers."""

import dataclasses
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import (
    Changes,
    DirectoryState,
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
        if text == "nonsense":
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
    """Guards against changes that are lost, undone or believed too early."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = DirectoryState(self.clock, _Decoder())
        self.state.apply_listing(
            Listing(10, (_item("a", 5), _item("b", 7), _item("c", 3, "c:4")))
        )

    def _wait(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)
        self.state.expire_lapsed()

    def _outage(self, seconds):
        self.state.note_failure(self.clock.monotonic())
        self._wait(seconds)
        self.state.note_contact()

    def test_listing_is_in_force(self):
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

    def test_removed_target_is_dropped_at_once_without_an_outage(self):
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertEqual(set(self.state.targets), {"b"})

    def test_target_missing_in_a_newer_listing_is_dropped(self):
        self.state.apply_listing(
            Listing(11, (_item("b", 7), _item("c", 3, "c:4")))
        )
        self.assertEqual(set(self.state.targets), {"b"})

    def test_lapsed_target_is_kept_until_it_is_back(self):
        self._outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertEqual(set(self.state.targets), {"a", "b"})
        self.state.apply_changes(Changes(12, (_item("a", 12),)))
        self._wait(5.0)
        self.assertEqual(set(self.state.targets), {"a", "b"})

    def test_lapsed_target_is_gone_about_two_seconds_after_an_outage(self):
        self._outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self._wait(2.0)
        self.assertIn("a", self.state.targets)
        self._wait(0.3)
        self.assertNotIn("a", self.state.targets)

    def test_a_short_failure_is_no_outage(self):
        self._outage(0.5)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertNotIn("a", self.state.targets)

    def test_leaving_is_believed_also_after_an_outage(self):
        self._outage(4.0)
        self.state.apply_changes(Changes(11, (_item("a", 11, "leaving"),)))
        self.assertIs(self.state.targets["a"].state, TargetState.LEAVING)

    def test_lapsed_target_is_not_told_to_others(self):
        self._outage(4.0)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        keys = {item.key for item in self.state.listing().items}
        self.assertEqual(keys, {"b", "c"})

    def test_listing_of_a_peer_during_an_outage_keeps_lapsed_targets(self):
        self.state.note_failure(self.clock.monotonic())
        self._wait(4.0)
        self.state.apply_listing(Listing(11, (_item("c", 3, "c:4"),)))
        self.assertEqual(set(self.state.targets), {"a", "b"})
        self._wait(2.3)
        self.assertEqual(set(self.state.targets), set())

    def test_entry_that_cannot_be_read_names_no_target(self):
        self.state.apply_changes(
            Changes(12, (_item("a", 11, "nonsense"), _item("d", 12)))
        )
        self.assertEqual(set(self.state.targets), {"b", "d"})

    def test_changes_in_any_order_end_in_the_newest(self):
        changes = (_item("a", 13, "leaving"), _deleted("a", 12))
        self.state.apply_changes(Changes(13, changes))
        self.assertIs(self.state.targets["a"].state, TargetState.LEAVING)

    def test_subscribers_hear_only_of_changes(self):
        calls = []
        self.state.subscribe(lambda: calls.append(1))
        self.state.apply_changes(Changes(11, ()))
        self.assertEqual(calls, [])
        self.state.apply_changes(Changes(12, (_item("a", 12, "leaving"),)))
        self.assertEqual(calls, [1])

    def test_what_one_router_tells_makes_another_equal(self):
        other = DirectoryState(self.clock, _Decoder())
        other.apply_listing(self.state.listing())
        self.assertEqual(other.targets, self.state.targets)
        self.assertEqual(other.version, self.state.version)
        self.assertTrue(dataclasses.is_dataclass(other.listing()))

    def test_a_late_answer_does_not_bring_back_a_removed_target(self):
        """A watch's answer crossed a newer listing of another router."""
        self.state.apply_listing(
            Listing(20, (_item("b", 7), _item("c", 3, "c:4")))
        )
        self.state.apply_changes(Changes(15, (_item("a", 15),)))
        self.assertEqual(set(self.state.targets), {"b"})

    def test_an_outage_starts_at_the_last_contact(self):
        """A router that relied on others learned of the outage late."""
        self.state.note_contact()
        self._wait(1.5)
        self._outage(0.5)
        self.state.apply_changes(Changes(11, (_deleted("a", 11),)))
        self.assertIn("a", self.state.targets)


class ChangesForOthersTest(unittest.TestCase):
    """Guards against changes that a router without the store never gets."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        listing = Listing(10, (_item("a", 5), _item("b", 7)))
        self.state = DirectoryState(self.clock, _Decoder())
        self.state.apply_listing(listing)
        self.other = DirectoryState(self.clock, _Decoder())
        self.other.apply_listing(listing)

    def _pass_on(self):
        changes = self.state.changes_since(self.other.revision)
        self.other.apply_peer_changes(changes)
        return changes

    def test_changes_and_removals_are_passed_on(self):
        self.state.apply_changes(
            Changes(14, (_deleted("a", 12), _item("d", 13), _item("b", 14)))
        )
        changes = self._pass_on()
        self.assertEqual(
            {item.key: item.value for item in changes.items},
            {"a": None, "b": b"ready", "d": b"ready"},
        )
        self.assertEqual(self.other.targets, self.state.targets)
        self.assertEqual(self.other.revision, 14)
        self.assertEqual(self._pass_on().items, ())

    def test_an_older_page_changes_nothing(self):
        """It would bring back a target that was removed since."""
        self.state.apply_changes(Changes(12, (_item("d", 12),)))
        page = self.state.changes_since(10)
        self.other.apply_changes(
            Changes(15, (_item("d", 12), _deleted("d", 15)))
        )
        self.other.apply_peer_changes(page)
        self.assertEqual(set(self.other.targets), {"a", "b"})

    def test_changes_before_a_listing_are_not_known(self):
        """A target that came and went before it is in no list of changes."""
        self.state.apply_listing(Listing(30, (_item("a", 5),)))
        self.assertIsNone(self.state.changes_since(29))
        self.assertEqual(self.state.changes_since(30), Changes(30, ()))

    def test_a_router_far_behind_gets_no_changes(self):
        for revision in range(11, 11 + 1001):
            self.state.apply_changes(
                Changes(revision, (_deleted(f"k{revision}", revision),))
            )
        self.assertIsNone(self.state.changes_since(10))
        self.assertIsNotNone(self.state.changes_since(11))

    def test_a_lapsed_target_is_kept_by_a_router_that_heard_of_it(self):
        """Its entry was removed during an outage of the store."""
        self.other.note_failure(self.clock.monotonic())
        self.clock.move_to(self.clock.monotonic() + 4.0)
        self.state.apply_changes(Changes(12, (_deleted("a", 12),)))
        self._pass_on()
        self.assertIn("a", self.other.targets)

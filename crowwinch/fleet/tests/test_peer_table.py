"""Tests of the membership table."""

import collections
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.fleet import PeerTable
from crowwinch.generated.fleet_messages import FleetUpdate


def _update(control, life=1, sequence=0, members=(), leaving=False):
    return FleetUpdate(
        router=control,
        availability_zone="az",
        life=life,
        sequence=sequence,
        control=control,
        version=1,
        revision=1,
        reading="fresh",
        is_leaving=leaving,
        targets=[],
        workspaces=[],
        members=list(members),
        crashes=[],
        prefixes=[],
    )


class PeerTableTest(unittest.TestCase):
    """Guards against undiscovered peers and unbounded sending."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, "me:1", ["me:1", "a:1", "b:1"])

    def _advance(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def test_silent_seeds_are_probed_once_per_second(self):
        self.assertEqual(set(self.table.take_destinations()), {"a:1", "b:1"})
        self._advance(5.0)
        self.table.take_destinations()
        self._advance(0.5)
        self.assertEqual(self.table.take_destinations(), [])
        self._advance(0.6)
        self.assertEqual(set(self.table.take_destinations()), {"a:1", "b:1"})

    def test_seeds_are_probed_frequently_during_startup(self):
        self.assertEqual(set(self.table.take_destinations()), {"a:1", "b:1"})
        self._advance(0.06)
        self.assertEqual(self.table.take_destinations(), [])
        self._advance(0.06)
        self.assertEqual(set(self.table.take_destinations()), {"a:1", "b:1"})

    def test_gap_of_a_peer_is_known_until_it_has_caught_up(self):
        """Guards against a peer that is not told what it missed in a cut."""
        self.assertEqual(self.table.silent_from("a:1"), float("inf"))
        self.table.accept(_update("a:1", sequence=0))
        heard = self.clock.monotonic()
        self._advance(0.9)
        self.assertEqual(self.table.silent_from("a:1"), float("inf"))
        self._advance(4.0)
        self.assertEqual(self.table.silent_from("a:1"), heard)
        for sequence in range(1, 20):
            self.table.accept(_update("a:1", sequence=sequence))
            self.assertEqual(self.table.silent_from("a:1"), heard)
            self._advance(0.1)
        self._advance(0.2)
        self.table.accept(_update("a:1", sequence=20))
        self.assertEqual(self.table.silent_from("a:1"), float("inf"))

    def test_routers_that_may_still_send_requests(self):
        """Guards against a cut-off peer whose part another router takes."""
        self.table.accept(_update("a:1"))
        self.table.accept(_update("c:1"))
        self.table.accept(_update("d:1", members=["e:1"], leaving=True))
        cases = (
            (4.0, {"a:1", "c:1", "d:1", "e:1"}),
            (2.0, {"a:1", "c:1"}),
            (70.0, {"a:1", "c:1"}),
            (600.0, {"a:1"}),
        )
        for seconds, known in cases:
            with self.subTest(seconds):
                self._advance(seconds)
                self.table.take_destinations()
                # Seeds are not forgotten; b:1 is one that was never heard.
                self.assertEqual(self.table.known_routers, known)

    def test_router_is_settled_once_it_hears_its_peers(self):
        """Guards against a new or cut-off router that takes itself for all."""
        self.assertFalse(self.table.is_settled)
        self._advance(5.0)
        self.assertFalse(self.table.is_settled)
        # It may have been cut off since its start, and knows one peer now.
        for sequence in range(4):
            self.table.accept(_update("a:1", sequence=sequence))
            self.assertFalse(self.table.is_settled)
            self._advance(0.9)
        self.assertTrue(self.table.is_settled)
        # Cut off again, it still knows its peers when it hears them.
        self._advance(3.5)
        self.assertFalse(self.table.is_settled)
        self.table.accept(_update("a:1", sequence=9))
        self._advance(0.01)
        self.assertTrue(self.table.is_settled)

    def test_router_without_seeds_is_settled_alone(self):
        table = PeerTable(self.clock, "me:1", ["me:1"])
        self.assertFalse(table.is_settled)
        self._advance(3.1)
        self.assertTrue(table.is_settled)

    def test_restarted_peer_is_sent_members_again(self):
        def is_sent_members():
            return self.table.take_due_for_members(["a:1"]) == ["a:1"]

        self.table.accept(_update("a:1", life=1))
        self.assertTrue(is_sent_members())
        self.table.accept(_update("a:1", life=1, sequence=1))
        self.assertFalse(is_sent_members())
        self.table.accept(_update("a:1", life=2))
        self.assertTrue(is_sent_members())

    def test_new_peer_is_sent_members_repeatedly(self):
        """The first list may lack routers that start with the peer."""
        self.table.accept(_update("a:1"))
        self.table.take_due_for_members(["a:1"])
        self._advance(0.4)
        self.assertEqual(self.table.take_due_for_members(["a:1"]), ["a:1"])
        self._advance(2.0)
        self.table.take_due_for_members(["a:1"])
        self._advance(0.4)
        self.assertEqual(self.table.take_due_for_members(["a:1"]), [])

    def test_each_peer_of_a_large_fleet_is_sent_members(self):
        """Guards against a send schedule that starves part of the fleet.

        With members in every 20th update, the same third of the peers got all
        of them.
        """
        names = [f"p{number}:1" for number in range(90)]
        sent_counts = collections.Counter()
        for sequence in range(2_000):
            self._advance(0.05)
            for name in names:
                self.table.accept(_update(name, sequence=sequence))
            sent_counts.update(
                self.table.take_due_for_members(self.table.take_destinations())
            )
        # 100 s, with 24 s between member lists to the same peer.
        self.assertGreaterEqual(min(sent_counts[name] for name in names), 4)

    def test_restart_with_clock_set_back_is_accepted(self):
        """Guards against a restarted peer being ignored for a minute.

        Its updates have a lower incarnation than the ones before the restart
        and were dropped as stale until the peer expired.
        """
        self.table.accept(_update("a:1", life=5_000, sequence=9))
        self.assertFalse(self.table.accept(_update("a:1", life=4_000)))
        self._advance(1.2)
        self.assertTrue(self.table.accept(_update("a:1", life=4_000)))
        self.assertTrue(
            self.table.accept(_update("a:1", life=4_000, sequence=1))
        )

    def test_live_peers_get_every_update(self):
        self.table.accept(_update("a:1"))
        for _ in range(3):
            self.assertIn("a:1", self.table.take_destinations())
            self._advance(0.05)
        self.assertEqual(self.table.live, ["a:1"])

    def test_members_of_an_update_become_peers(self):
        self.table.accept(_update("a:1", members=["c:1", "me:1"]))
        self.assertEqual(
            set(self.table.take_destinations()), {"a:1", "b:1", "c:1"}
        )

    def test_update_from_unknown_router_is_accepted(self):
        self.assertTrue(self.table.accept(_update("stranger:1")))
        self.assertIn("stranger:1", self.table.take_destinations())

    def test_stale_updates_are_rejected(self):
        self.assertTrue(self.table.accept(_update("a:1", life=2, sequence=5)))
        for life, sequence in ((2, 5), (2, 4), (1, 9)):
            update = _update("a:1", life=life, sequence=sequence)
            self.assertFalse(self.table.accept(update))
        self.assertTrue(self.table.accept(_update("a:1", life=3)))

    def test_own_updates_are_rejected(self):
        self.assertFalse(self.table.accept(_update("me:1")))

    def test_silent_and_leaving_peers_are_not_live(self):
        self.table.accept(_update("a:1"))
        self.table.accept(_update("c:1", leaving=True))
        self.assertEqual(self.table.live, ["a:1"])
        self._advance(3.1)
        self.assertEqual(self.table.live, [])

    def test_silent_peers_expire_except_seeds(self):
        self.table.accept(_update("c:1"))
        self._advance(61.0)
        self.assertEqual(set(self.table.take_destinations()), {"a:1", "b:1"})

    def test_large_fleets_are_served_round_robin(self):
        for number in range(40):
            self.table.accept(_update(f"p{number}:1"))
        reached = set()
        for _ in range(8):
            destinations = self.table.take_destinations()
            self.assertLessEqual(len(destinations), 12)
            reached.update(destinations)
        self.assertEqual(len(reached), 42)

    def test_new_seeds_are_probed(self):
        self.table.set_seeds(["d:1"])
        self.assertIn("d:1", self.table.take_destinations())

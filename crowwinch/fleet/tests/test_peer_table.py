"""Finding other routers."""

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
    """Guards against routers that never meet, and against endless sending."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.table = PeerTable(self.clock, "me:1", ["me:1", "a:1", "b:1"])

    def _move(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def test_seeds_are_asked_once_a_second_until_they_answer(self):
        self.assertEqual(set(self.table.destinations()), {"a:1", "b:1"})
        self._move(5.0)
        self.table.destinations()
        self._move(0.5)
        self.assertEqual(self.table.destinations(), [])
        self._move(0.6)
        self.assertEqual(set(self.table.destinations()), {"a:1", "b:1"})

    def test_seeds_that_start_a_moment_later_are_found_at_once(self):
        self.assertEqual(set(self.table.destinations()), {"a:1", "b:1"})
        self._move(0.06)
        self.assertEqual(self.table.destinations(), [])
        self._move(0.06)
        self.assertEqual(set(self.table.destinations()), {"a:1", "b:1"})

    def test_a_restart_is_a_newcomer(self):
        def tells_members():
            return self.table.take_uninformed(["a:1"]) == ["a:1"]

        self.table.accept(_update("a:1", life=1))
        self.assertTrue(tells_members())
        self.table.accept(_update("a:1", life=1, sequence=1))
        self.assertFalse(tells_members())
        self.table.accept(_update("a:1", life=2))
        self.assertTrue(tells_members())

    def test_a_newcomer_is_told_members_again(self):
        """Others that start with it are not known to the first ones told."""
        self.table.accept(_update("a:1"))
        self.table.take_uninformed(["a:1"])
        self._move(0.4)
        self.assertEqual(self.table.take_uninformed(["a:1"]), ["a:1"])
        self._move(2.0)
        self.table.take_uninformed(["a:1"])
        self._move(0.4)
        self.assertEqual(self.table.take_uninformed(["a:1"]), [])

    def test_each_router_of_a_large_fleet_is_told_members(self):
        """Every 20th update told them, which reached the same third always."""
        names = [f"p{number}:1" for number in range(90)]
        told = collections.Counter()
        for sequence in range(2_000):
            self._move(0.05)
            for name in names:
                self.table.accept(_update(name, sequence=sequence))
            told.update(self.table.take_uninformed(self.table.destinations()))
        # 100 s, with 24 s between two lists of members.
        self.assertGreaterEqual(min(told[name] for name in names), 4)

    def test_a_restart_whose_time_of_day_was_set_back_is_heard(self):
        """Its updates were dropped for a minute as those of an earlier life."""
        self.table.accept(_update("a:1", life=5_000, sequence=9))
        self.assertFalse(self.table.accept(_update("a:1", life=4_000)))
        self._move(1.2)
        self.assertTrue(self.table.accept(_update("a:1", life=4_000)))
        self.assertTrue(
            self.table.accept(_update("a:1", life=4_000, sequence=1))
        )

    def test_routers_that_answer_get_every_update(self):
        self.table.accept(_update("a:1"))
        for _ in range(3):
            self.assertIn("a:1", self.table.destinations())
            self._move(0.05)
        self.assertEqual(self.table.live, ["a:1"])

    def test_members_of_others_are_learned(self):
        self.table.accept(_update("a:1", members=["c:1", "me:1"]))
        self.assertEqual(set(self.table.destinations()), {"a:1", "b:1", "c:1"})

    def test_a_router_with_stale_seeds_is_heard(self):
        self.assertTrue(self.table.accept(_update("stranger:1")))
        self.assertIn("stranger:1", self.table.destinations())

    def test_older_updates_are_dropped(self):
        self.assertTrue(self.table.accept(_update("a:1", life=2, sequence=5)))
        for life, sequence in ((2, 5), (2, 4), (1, 9)):
            update = _update("a:1", life=life, sequence=sequence)
            self.assertFalse(self.table.accept(update))
        self.assertTrue(self.table.accept(_update("a:1", life=3)))

    def test_its_own_updates_are_dropped(self):
        self.assertFalse(self.table.accept(_update("me:1")))

    def test_silent_and_leaving_routers_are_not_live(self):
        self.table.accept(_update("a:1"))
        self.table.accept(_update("c:1", leaving=True))
        self.assertEqual(self.table.live, ["a:1"])
        self._move(3.1)
        self.assertEqual(self.table.live, [])

    def test_routers_that_are_gone_are_forgotten_but_for_seeds(self):
        self.table.accept(_update("c:1"))
        self._move(61.0)
        self.assertEqual(set(self.table.destinations()), {"a:1", "b:1"})

    def test_large_fleets_are_served_in_turn(self):
        for number in range(40):
            self.table.accept(_update(f"p{number}:1"))
        reached = set()
        for _ in range(8):
            destinations = self.table.destinations()
            self.assertLessEqual(len(destinations), 12)
            reached.update(destinations)
        self.assertEqual(len(reached), 42)

    def test_new_seeds_are_asked(self):
        self.table.add_seeds(["d:1"])
        self.assertIn("d:1", self.table.destinations())

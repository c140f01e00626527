"""Tests of rendezvous placement."""

import unittest

from crowwinch.coordination import owner, rank


class PlacementTest(unittest.TestCase):
    """Guards against keys that move without need."""

    def test_only_keys_of_a_lost_member_move(self):
        members = [f"router-{index}" for index in range(8)]
        keys = [f"key-{index}" for index in range(200)]
        before = {key: owner(key, members) for key in keys}
        after = {key: owner(key, members[1:]) for key in keys}
        for key in keys:
            if before[key] != members[0]:
                self.assertEqual(before[key], after[key])

    def test_order_of_members_does_not_matter(self):
        members = ["a", "b", "c"]
        self.assertEqual(rank("k", members), rank("k", members[::-1]))

    def test_no_member_gives_no_owner(self):
        self.assertIsNone(owner("k", ()))

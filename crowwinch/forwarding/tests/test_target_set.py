"""Tests of the set of targets that accept requests."""

import unittest

from crowwinch.forwarding import SocketAddress, Target, TargetSet


def _target(name, life=1, zone="az-1"):
    return Target(name, life, "s", SocketAddress("10.0.0.1", 80), zone, 8)


def _names(views):
    return [view.identifier for view in views]


class EvacuatedTargetsTest(unittest.TestCase):
    """Guards against targets that are used, or forgotten, while evacuated."""

    def setUp(self):
        self.removed = []
        self.targets = TargetSet("az-1", self.removed.append)
        self.targets.update([_target("a"), _target("b")], None)

    def test_evacuated_targets_are_apart(self):
        self.targets.update([_target("a")], None, [_target("b")])
        self.assertIsNone(self.targets.get("b"))
        self.assertEqual(_names(self.targets.views), ["a"])
        self.assertEqual(_names(self.targets.views_of_service("s")), ["a"])
        evacuated = self.targets.evacuated_views_of_service("s")
        self.assertEqual(_names(evacuated), ["b"])

    def test_what_is_known_of_a_target_is_forgotten_with_its_process(self):
        """Guards against a back-off that ends because its zone is evacuated."""
        cases = (
            ("evacuated", [[_target("b")]], []),
            ("evacuated and used again", [[_target("b")], None], []),
            ("restarted in the evacuation", [[_target("b", 2)]], ["b"]),
            ("removed in the evacuation", [[_target("b")], []], ["b"]),
        )
        for name, evacuations, removed in cases:
            with self.subTest(name):
                self.setUp()
                for evacuated in evacuations:
                    used = [_target("a")]
                    if evacuated is None:
                        used.append(_target("b"))
                    self.targets.update(used, None, evacuated or [])
                self.assertEqual(self.removed, removed)

    def test_other_changes_keep_targets_evacuated(self):
        """Guards against an evacuation that a departure elsewhere ends."""
        changes = (
            ("leaves", lambda: self.targets.mark_leaving(_target("a")), []),
            (
                "restarts",
                lambda: self.targets.mark_restarted(_target("a"), 2),
                ["a"],
            ),
        )
        for name, change, used in changes:
            with self.subTest(name):
                self.setUp()
                self.targets.update([_target("a")], None, [_target("b")])
                change()
                self.assertEqual(_names(self.targets.views), used)
                evacuated = self.targets.evacuated_views_of_service("s")
                self.assertEqual(_names(evacuated), ["b"])

    def test_an_evacuated_target_that_leaves_is_not_used_again(self):
        """Guards against a target whose running stream says that it leaves."""
        self.targets.update([_target("a")], None, [_target("b")])
        self.targets.mark_leaving(_target("b"))
        self.assertEqual(self.targets.evacuated_views_of_service("s"), ())
        self.targets.update([_target("a"), _target("b")], None)
        self.assertEqual(_names(self.targets.views), ["a"])


if __name__ == "__main__":
    unittest.main()

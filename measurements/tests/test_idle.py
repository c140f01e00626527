"""The measurement of an idle router."""

import unittest

from measurements import idle


class IdleTest(unittest.TestCase):
    """Guards against figures of a fleet that did not form."""

    def test_small_fleet_is_measured(self):
        result = idle.measure(10, 6, seconds=2.0, settle_s=3.0)
        self.assertEqual(result["members_alive"], 6)
        for name in ("resident_mb", "control_bytes_per_s", "descriptors"):
            self.assertGreater(result[name], 0, name)

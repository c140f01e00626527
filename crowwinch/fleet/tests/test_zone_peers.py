"""Tests of which peers can take callers of an overloaded router."""

import unittest

import msgspec

from crowwinch.coordination import ManualClock
from crowwinch.fleet._zone_peers import ZonePeers
from crowwinch.generated.fleet_messages import FleetUpdate

_MAX_AGE_S = 0.5
_UPDATE = FleetUpdate(
    router="edge-1",
    availability_zone="az-1",
    life=1,
    sequence=1,
    control="127.0.0.1:1",
    version=1,
    revision=1,
    reading="none",
    is_leaving=False,
    targets=[],
    workspaces=None,
    members=[],
    crashes=[],
    prefixes=[],
)


class ZonePeersTest(unittest.TestCase):
    """Guards against sending callers where they come back or are refused."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.peers = ZonePeers(self.clock, "az-1")

    def _has_relief(self):
        return self.peers.has_relief(_MAX_AGE_S)

    def test_only_peers_that_take_connections_are_relief(self):
        cases = {
            "time to spare": ({}, True),
            "leaving": ({"is_leaving": True}, False),
            "overloaded": ({"is_overloaded": True}, False),
            "no configuration": ({"version": 0}, False),
            "another zone": ({"availability_zone": "az-2"}, False),
        }
        for name, (changes, expected) in cases.items():
            with self.subTest(name):
                self.peers = ZonePeers(self.clock, "az-1")
                self.assertFalse(self._has_relief())
                self.peers.record(msgspec.structs.replace(_UPDATE, **changes))
                self.assertIs(self._has_relief(), expected)

    def test_latest_update_of_a_peer_counts(self):
        for is_overloaded in (False, True, False):
            self.peers.record(
                msgspec.structs.replace(_UPDATE, is_overloaded=is_overloaded)
            )
            self.assertIs(self._has_relief(), not is_overloaded)
        self.peers.record(
            msgspec.structs.replace(_UPDATE, availability_zone="az-2")
        )
        self.assertFalse(self._has_relief())

    def test_silent_peer_is_no_relief(self):
        """Guards against relief by a peer that was killed or cut off."""
        self.peers.record(_UPDATE)
        self.clock.move_to(100.0 + _MAX_AGE_S + 0.01)
        self.assertFalse(self._has_relief())

    def test_silent_peers_are_forgotten(self):
        self.peers.record(_UPDATE)
        self.clock.move_to(161.0)
        self.peers.remove_silent(60.0)
        self.assertFalse(self.peers.has_relief(1_000.0))

    def test_update_of_an_earlier_version_means_time_to_spare(self):
        """Guards against an overload that a rolling update invents."""
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(_UPDATE))
        position = FleetUpdate.__struct_fields__.index("is_overloaded")
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(fields[:position]), type=FleetUpdate
        )
        self.assertFalse(decoded.is_overloaded)


if __name__ == "__main__":
    unittest.main()

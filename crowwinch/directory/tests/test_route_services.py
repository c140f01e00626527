"""Tests of what the directory knows of former services of routes."""

import json
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import Changes, DirectoryState, Item, Listing
from crowwinch.platform import DocumentCodec

_KEY = "op/config"
_CHAT = "host.example/chat/"


def _route(prefix="/chat/", resume=True, **changes):
    return {
        "Name": prefix,
        "Host": "host.example",
        "Prefix": prefix,
        "RouteType": "streaming",
        "StreamResume": resume,
        "Service": "a",
    } | changes


def _split(**weights):
    return [{"Service": name, "Weight": w} for name, w in weights.items()]


_ROUTE = _route()
_LONGER = _route("/chat/b/", Service="b")
# Routes before and after, and whether all streams of /chat/ are of service a.
_CASES = {
    "nothing changes": ([_ROUTE], [_ROUTE], True),
    "time limit and name": (
        [_ROUTE],
        [_route(TimeoutMs=100, Name="other")],
        True,
    ),
    "another service before": ([_route(Service="b")], [_ROUTE], False),
    "split before": (
        [_route(TrafficSplit=_split(a=1, b=1))],
        [_ROUTE],
        False,
    ),
    "split without weight before": (
        [_route(TrafficSplit=_split(a=1, b=0))],
        [_ROUTE],
        True,
    ),
    "split now": ([_ROUTE], [_route(TrafficSplit=_split(a=1, b=1))], False),
    "a longer prefix before": ([_ROUTE, _LONGER], [_ROUTE], False),
    "a shorter prefix before": ([_route("/")], [_route("/"), _ROUTE], False),
    "a longer prefix now": ([_ROUTE], [_ROUTE, _LONGER], True),
    "another host": (
        [_ROUTE, _route("/chat/b/", Host="other.example")],
        [_ROUTE],
        True,
    ),
}


class RouteServicesTest(unittest.TestCase):
    """Guards against streams that go on at a service not their own."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.state = DirectoryState(self.clock, DocumentCodec())

    def _configure(self, version, routes):
        document = json.dumps({"Version": version, "Routes": routes}).encode()
        item = Item(_KEY, version, document)
        if version == 1:
            self.state.apply_listing(Listing(version, (item,)))
        else:
            self.state.apply_changes(Changes(version, (item,)))

    def _only_service(self, age_s):
        route = self.state.routing.match("host.example", "/chat/x")
        self.assertEqual(route.key, _CHAT)
        return self.state.origins.only_service(
            _CHAT, route.active_services, age_s
        )

    def test_changes(self):
        for name, (before, after, is_certain) in _CASES.items():
            with self.subTest(name):
                self.setUp()
                self._configure(1, before)
                self.clock.move_to(120.0)
                self._configure(2, after)
                self.clock.move_to(122.0)
                expected = "a" if is_certain else None
                self.assertEqual(self._only_service(10.0), expected)
                # Streams of before the change have ended.
                self.clock.move_to(140.0)
                is_split = name == "split now"
                expected = None if is_split else "a"
                self.assertEqual(self._only_service(10.0), expected)

    def test_service_of_before_the_first_configuration_is_not_known(self):
        self._configure(1, [_ROUTE])
        self.clock.move_to(108.0)
        self.assertIsNone(self._only_service(10.0))
        self.assertEqual(self._only_service(4.0), "a")

    def test_many_new_routes_leave_the_history_of_others(self):
        """Guards against a history that a large configuration uses up."""
        self._configure(1, [_ROUTE, _route("/", resume=False)])
        self.clock.move_to(120.0)
        added = [_route(f"/n{n}/", resume=False) for n in range(1_500)]
        self._configure(2, [_ROUTE, _route("/", resume=False), *added])
        self.assertEqual(self._only_service(10.0), "a")
        self.assertEqual(self.state.origins.service_reports()[0], [])


if __name__ == "__main__":
    unittest.main()

"""Tests decoding documents that the operator and targets write."""

import json
import unittest

from crowwinch.directory import TargetState, ZoneEvacuation
from crowwinch.forwarding import RouteKind
from crowwinch.platform import DocumentCodec
from crowwinch.platform._documents import decode_configuration, decode_target

_ROUTE = {
    "Name": "r1",
    "Host": "Host.example",
    "Prefix": "/a/",
    "RouteType": "streaming",
    "TimeoutMs": 15000,
    "TargetLatencyMs": 800,
    "Service": "llm",
    "MaxAttempts": 2,
    "StreamResume": True,
}


def _configuration(**changes):
    document = {
        "Version": 7,
        "Routes": [_ROUTE],
        "Services": [
            {
                "Name": "llm",
                "MaxConnections": 240,
                "Engine": {"Slots": 32, "KvCapacity": 529507},
            },
            {"Name": "desk"},
        ],
        "Limits": {"MaxBodyBytes": 100, "TokensPerS": 225000},
        "Tenants": [{"Name": "t", "ApiKeys": ["k1", "k2"]}],
    }
    return json.dumps(document | changes).encode()


class ConfigurationTest(unittest.TestCase):
    """Guards against misinterpreted configuration documents."""

    def test_fields_are_decoded(self):
        table = decode_configuration(_configuration())
        route = table.match("host.example:80", "/a/b?c")
        self.assertEqual(route.name, "r1")
        self.assertIs(route.kind, RouteKind.RESUMABLE_STREAM)
        self.assertEqual((route.timeout_s, route.target_latency_s), (15, 0.8))
        self.assertEqual(table.services["llm"].engine.slots, 32)
        self.assertIsNone(table.services["desk"].engine)
        self.assertEqual(table.workspace(route, "k2"), "t")
        self.assertFalse(table.is_key_allowed(route, "k3"))
        self.assertEqual(table.limits.service_tokens_per_s, 225000)

    def test_cold_targets_and_homes_are_decoded(self):
        """Guards against limits of a deployment that are not applied."""
        table = decode_configuration(
            _configuration(
                Routes=[_ROUTE | {"AllowedRegions": ["north", "south"]}],
                Services=[{"Name": "llm", "ColdStartS": 3.0, "ColdPerS": 12.0}],
                Tenants=[
                    {
                        "Name": "t",
                        "ApiKeys": ["k1"],
                        "AllowedRegions": ["north"],
                    },
                    {"Name": "u", "ApiKeys": ["k2"], "AllowedRegions": []},
                ],
            )
        )
        route, service = table.routes[0], table.services["llm"]
        self.assertEqual(route.home_regions, {"north", "south"})
        self.assertEqual((service.cold_start_s, service.cold_per_s), (3, 12))
        self.assertEqual(table.workspaces["k1"].home_regions, {"north"})
        self.assertIsNone(table.workspaces["k2"].home_regions)
        plain = decode_configuration(_configuration())
        self.assertIsNone(plain.routes[0].home_regions)
        self.assertEqual(plain.services["llm"].cold_start_s, 0.0)

    def test_links_between_engines_are_decoded(self):
        """Guards against transfers that engines cannot make."""
        cases = {
            "link and size": (
                {"KvTokenBytes": 18_432, "LinkMbps": 370_000.0},
                18_432 * 8 / 370e9,
            ),
            "no size": ({"LinkMbps": 370_000.0}, None),
            "no link": ({"KvTokenBytes": 18_432, "LinkMbps": 0}, None),
        }
        for name, (fields, expected) in cases.items():
            with self.subTest(name):
                service = {"Name": "llm", "Engine": {"Slots": 8} | fields}
                table = decode_configuration(_configuration(Services=[service]))
                engine = table.services["llm"].engine
                self.assertEqual(engine.transfer_token_s, expected)

    def test_route_types_map_to_route_kinds(self):
        cases = {
            ("safe", False): RouteKind.SAFE,
            ("unsafe", True): RouteKind.UNSAFE,
            ("streaming", False): RouteKind.STREAM,
            ("something new", True): RouteKind.UNSAFE,
        }
        for (kind, resume), expected in cases.items():
            with self.subTest(kind):
                route = _ROUTE | {"RouteType": kind, "StreamResume": resume}
                table = decode_configuration(_configuration(Routes=[route]))
                self.assertIs(table.routes[0].kind, expected)

    def test_configuration_without_workspaces_requires_no_key(self):
        document = json.loads(_configuration())
        del document["Tenants"]
        table = decode_configuration(json.dumps(document).encode())
        self.assertTrue(table.is_key_allowed(table.routes[0], ""))
        self.assertIsNone(table.workspace(table.routes[0], "k1"))

    def test_longest_matching_prefix_is_used(self):
        routes = [
            _ROUTE | {"Name": name, "Prefix": prefix}
            for name, prefix in (("1", "/"), ("2", "/a/"), ("3", "/a/b/"))
        ]
        table = decode_configuration(_configuration(Routes=routes))
        cases = {
            "/": "1",
            "/a": "1",
            "/a/": "2",
            "/a/b": "2",
            "/a/b/c/d?x=/a/": "3",
            "/x?y=/a/b/": "1",
        }
        for path, name in cases.items():
            with self.subTest(path):
                self.assertEqual(table.match("host.example", path).name, name)
        self.assertIsNone(table.match("other.example", "/a/"))

    def test_traffic_split_sets_service_weights(self):
        split = [
            {"Service": "llm", "Weight": 90},
            {"Service": "desk", "Weight": 10},
        ]
        route = _ROUTE | {"TrafficSplit": split}
        del route["Service"]
        table = decode_configuration(_configuration(Routes=[route]))
        self.assertEqual(table.routes[0].services, {"llm": 90, "desk": 10})

    def test_malformed_documents_are_ignored(self):
        codec = DocumentCodec()
        nested = b"[" * 100_000 + b"]" * 100_000
        cases = (
            b"",
            b"{",
            b"\xff\xfe",
            b"[]",
            b'{"Version": "7"}',
            _configuration(Routes=[{"Name": "x"}]),
            _configuration(Limits={"MaxBodyBytes": -1}),
            _configuration(Version=2**64),
            _configuration()[:-1] + b', "x": ' + nested + b"}",
        )
        for value in cases:
            with self.subTest(value[:200]):
                with self.assertLogs("crowwinch.platform", "WARNING"):
                    self.assertIsNone(codec.decode("op/config", value))


class EvacuationTest(unittest.TestCase):
    """Guards against orders to evacuate a zone that are misread."""

    def _decode(self, key, value):
        return DocumentCodec().decode(key, value)

    def test_objects_evacuate_a_zone(self):
        for value in (b"{}", b" {} ", b'{"By": "name", "At": [1, null]}'):
            with self.subTest(value=value):
                self.assertEqual(
                    self._decode("op/evacuate/az-1", value),
                    ZoneEvacuation("az-1"),
                )

    def test_other_values_evacuate_nothing(self):
        cases = (
            b"",
            b"null",
            b"true",
            b"[]",
            b'"az-1"',
            b"{",
            b"{} {}",
            b'{"By": "\xff"}',
            b'{"a":' * 5_000,
        )
        for value in cases:
            with (
                self.subTest(value=value[:20]),
                self.assertLogs("crowwinch.platform", "WARNING") as log,
            ):
                evacuation = self._decode("op/evacuate/az-1", value)
                self.assertFalse(evacuation.is_readable)
                self.assertEqual(log.records[0].key, "op/evacuate/az-1")

    def test_other_keys_evacuate_nothing(self):
        for key in ("op/evacuate", "op/evacuated/az-1", "evacuate/az-1"):
            with self.subTest(key):
                self.assertIsNone(self._decode(key, b"{}"))


class TargetTest(unittest.TestCase):
    """Guards against malformed registrations that yield a target."""

    _ENTRY = {
        "Service": "llm",
        "Address": "10.128.0.9:8080",
        "Zone": "hall-a",
        "Slots": 32,
        "State": "ready",
        "Sequence": 4,
        "born": 1772611549616,
    }

    def test_fields_are_decoded(self):
        entry = decode_target("servers/i-1", json.dumps(self._ENTRY).encode())
        self.assertEqual(entry.identifier, "i-1")
        self.assertEqual(str(entry.address), "10.128.0.9:8080")
        self.assertIs(entry.state, TargetState.READY)
        self.assertEqual(entry.started_ms, 1772611549616)
        self.assertEqual(entry.cold_s, 0.0)

    def test_cold_target(self):
        """Guards against targets that are taken for warm after a start."""
        value = json.dumps(self._ENTRY | {"ColdRemainingMs": 2996}).encode()
        self.assertEqual(decode_target("servers/i-1", value).cold_s, 2.996)

    def test_draining_state_maps_to_leaving(self):
        value = json.dumps(self._ENTRY | {"State": "draining"}).encode()
        self.assertIs(
            decode_target("servers/i-1", value).state, TargetState.LEAVING
        )

    def test_malformed_registrations_are_ignored(self):
        changes = (
            {"State": "sleeping"},
            {"State": 3},
            {"Address": "nowhere"},
            {"Address": "10.0.0.1:99999"},
            {"Address": None},
            {"Slots": "many"},
            {"Slots": -1},
            {"born": 1.5},
            {"Service": None},
            {"Slots": 10**400},
            {"Slots": 2**64},
            {"born": 10**400},
            {"born": 2**64},
            {"Address": "10.0.0.1:" + "9" * 5_000},
            {"Slots": 1e300},
            {"ColdRemainingMs": "soon"},
            {"ColdRemainingMs": -1},
        )
        values = [json.dumps(self._ENTRY | change) for change in changes]
        values += ["", "null", "[]", '{"State": "ready"}']
        nested = "[" * 100_000 + "]" * 100_000
        values.append(json.dumps(self._ENTRY)[:-1] + f', "x": {nested}}}')
        values += [nested, json.dumps(self._ENTRY).replace('"llm"', nested)]
        encoded = [value.encode() for value in values] + [b"\xff\x00"]
        for value in encoded:
            with self.subTest(value[:200]):
                with self.assertLogs("crowwinch.platform", "WARNING"):
                    self.assertIsNone(decode_target("servers/i-1", value))

    def test_identifiers_that_are_no_header_values_are_ignored(self):
        """Guards against headers that a key of the store adds to requests."""
        value = json.dumps(self._ENTRY).encode()
        for key in ("a\r\nX-Y: z", "\u00e9", "a b", "\ud800"):
            with self.subTest(key):
                with self.assertLogs("crowwinch.platform", "WARNING"):
                    self.assertIsNone(decode_target(f"servers/{key}", value))

    def test_registration_without_identifier_is_ignored(self):
        value = json.dumps(self._ENTRY).encode()
        with self.assertLogs("crowwinch.platform", "WARNING"):
            self.assertIsNone(decode_target("servers/", value))
        self.assertIsNone(DocumentCodec().decode("other/x", value))

"""Tests of the propagation of configurations between routers."""

import asyncio
import functools
import json
import unittest

from crowwinch.configuration import Documents, digest_of
from crowwinch.configuration._watcher import reads_per_second
from crowwinch.configuration.tests.fake_fleet import Fleet, documents

_IN_FORCE_HEALTHY_S = 2.0
_IN_FORCE_S = 7.0
_FIRST, _SECOND, _THIRD = (documents(n, weight=float(n)) for n in (1, 2, 3))
_TWINS = sorted(
    (documents(2, weight=weight) for weight in (5.0, 6.0)),
    key=lambda built: digest_of(built.manifest),
)


async def _healthy(fleet):
    fleet.service.publish(_SECOND)
    return _SECOND, _IN_FORCE_HEALTHY_S


async def _down_for_hours(fleet):
    fleet.service.down = True
    await fleet.run(2 * 3600, step=0.5)
    fleet.service.publish(_SECOND)
    fleet.service.down = False
    return _SECOND, _IN_FORCE_S


async def _restarted_while_stale(fleet):
    fleet.service.publish(_SECOND)
    await fleet.run(5)
    fleet.service.publish(_FIRST)
    fleet.add("r3", "z0")
    fleet.routers["r3"].spread.start()
    return _SECOND, _IN_FORCE_S


async def _restarted_while_down(fleet):
    fleet.service.publish(_SECOND)
    await fleet.run(5)
    fleet.service.down = True
    fleet.add("r3", "z0")
    fleet.routers["r3"].spread.start()
    return _SECOND, _IN_FORCE_S


async def _flapping(fleet):
    fleet.service.publish(_SECOND)
    for index in range(20):
        fleet.service.down = index % 2 == 0
        await fleet.run(0.3)
    fleet.service.publish(_THIRD)
    return _THIRD, _IN_FORCE_S


async def _two_documents(fleet):
    for index in range(11):
        fleet.service.publish(_TWINS[(index + 1) % 2])
        await fleet.run(0.5)
    return _TWINS[1], _IN_FORCE_S


async def _mixed_twins(fleet):
    # The manifest of one document with the parts of the other.
    fleet.service.publish(_TWINS[1])
    fleet.service.values |= _TWINS[0].parts
    await fleet.run(10)
    fleet.service.publish(_TWINS[0])
    return _TWINS[0], _IN_FORCE_S


async def _manifest_before_parts(fleet):
    fleet.service.values["manifest"] = _SECOND.manifest
    await fleet.run(5)
    fleet.service.publish(_SECOND)
    return _SECOND, _IN_FORCE_S


async def _unavailable_revision(fleet):
    fleet.service.values["manifest"] = _THIRD.manifest
    await fleet.run(5)
    fleet.service.publish(_SECOND)
    return _SECOND, _IN_FORCE_S


async def _malformed(fleet):
    invalid = b'{"groups":[{}]}'
    references = [{"name": "groups-000", "digest": digest_of(invalid)}]
    manifest = json.dumps({"revision": 9, "parts": references}).encode()
    broken = (
        Documents(b"\xff{", {}),
        Documents(b'{"revision": 0, "parts": []}', {}),
        Documents(manifest, {"groups-000": invalid}),
    )
    for each in broken * 2:
        fleet.service.publish(each)
        await fleet.run(4)
    # Each document is refused and counted once, however often it is served.
    refused = max(each.store.refused for each in fleet.routers.values())
    assert refused == len(broken), refused
    fleet.service.publish(_SECOND)
    return _SECOND, _IN_FORCE_S


async def _lost_messages(fleet):
    fleet.loss = 0.3
    fleet.service.publish(_SECOND)
    return _SECOND, _IN_FORCE_S


async def _partitioned(fleet):
    fleet.cut = {"r0", "r3", "r6", "r1"}
    for router in fleet.routers.values():
        router.spread.on_membership_changed()
    fleet.service.publish(_SECOND)
    await fleet.run(3)
    fleet.cut = set()
    for router in fleet.routers.values():
        router.spread.on_membership_changed()
    fleet.service.publish(_THIRD)
    return _THIRD, _IN_FORCE_S


async def _frozen(fleet):
    fleet.routers["r2"].frozen = True
    fleet.service.publish(_SECOND)
    await fleet.run(30)
    fleet.service.publish(_THIRD)
    await fleet.run(2)
    fleet.routers["r2"].frozen = False
    return _THIRD, _IN_FORCE_S


_CASES = {
    case.__name__: case
    for case in (
        _healthy,
        _down_for_hours,
        _restarted_while_stale,
        _restarted_while_down,
        _flapping,
        _two_documents,
        _mixed_twins,
        _manifest_before_parts,
        _unavailable_revision,
        _malformed,
        _lost_messages,
        _partitioned,
        _frozen,
    )
}


def _in_loop(test):
    """Runs a test without the event loop's debug mode, which takes longer."""

    @functools.wraps(test)
    def run(self):
        asyncio.run(test(self))

    return run


class SpreadTest(unittest.TestCase):
    """Guards against a configuration that is late, lost or reverted (I8)."""

    @_in_loop
    async def test_fault_cases(self):
        for name, case in _CASES.items():
            with self.subTest(name):
                fleet = Fleet(8, 3)
                fleet.service.publish(_FIRST)
                fleet.start()
                took = await fleet.run(10, fleet.all_have(_FIRST))
                self.assertIsNotNone(took, "not in force at the start")
                built, bound = await case(fleet)
                took = await fleet.run(20, fleet.all_have(built))
                self.assertIsNotNone(took, "not in force")
                self.assertLess(took, bound)
                await fleet.run(10)
                self.assertTrue(fleet.all_have(built)(), "did not stay")
                self.assertEqual(fleet.reverts, 0)
                service = fleet.service
                self._assert_rate(service.watches, 2)
                self._assert_rate(service.reads, reads_per_second(8))
                fleet.stop()

    def _assert_rate(self, calls, limit):
        """Checks that no router makes more calls in a second than a limit."""
        by_router = {}
        for when, router in calls:
            by_router.setdefault(router, []).append(when)
        for times in by_router.values():
            for earlier, later in zip(times, times[limit:], strict=False):
                self.assertGreater(later - earlier, 0.99)

    def test_reads_of_all_routers_at_once(self):
        """Guards against reads above what the service allows."""
        self.assertEqual(reads_per_second(0), 2, "before the VM list is known")
        for routers in (1, 8, 55, 56, 340, 366, 367, 499):
            with self.subTest(routers):
                calls = routers * (reads_per_second(routers) + 2)
                self.assertLess(calls, 2_000)

    @_in_loop
    async def test_first_read_of_10_000_workspaces(self):
        """Guards against a start that waits for the read budget."""
        built = documents(1, workspaces=10_000)
        fleet = Fleet(8, 3)
        fleet.service.publish(built)
        fleet.start()
        took = await fleet.run(20, fleet.all_have(built))
        self.assertIsNotNone(took, "not in force")
        self.assertLess(took, _IN_FORCE_S)
        self.assertLess(fleet.service.most_calls_a_second(), 1_000)
        self._assert_rate(fleet.service.watches, 2)
        self._assert_rate(fleet.service.reads, reads_per_second(8))
        fleet.stop()

    @_in_loop
    async def test_second_digest_is_counted(self):
        """Guards against two documents of one revision going unnoticed."""
        fleet = Fleet(8, 3)
        fleet.service.publish(_FIRST)
        fleet.start()
        await fleet.run(5)
        await _two_documents(fleet)
        await fleet.run(5)
        for router in fleet.routers.values():
            if router.spread.is_watcher:
                self.assertGreater(router.counts["configuration_conflicts"], 0)
        fleet.stop()

    @_in_loop
    async def test_one_digest_is_no_conflict(self):
        """Guards against an alarm for the short digest that probes carry."""
        fleet = Fleet(8, 3)
        for built in (_FIRST, _SECOND):
            fleet.service.publish(built)
            if built is _FIRST:
                fleet.start()
            await fleet.run(10)
        for router in fleet.routers.values():
            self.assertEqual(router.counts["configuration_conflicts"], 0)
        fleet.stop()

    @_in_loop
    async def test_refused_version_is_not_pulled_again(self):
        """Guards against pulls of what this router cannot put in force."""
        fleet = Fleet(2, 1)
        fleet.service.publish(_FIRST)
        fleet.start()
        await fleet.run(5, fleet.all_have(_FIRST))
        unusable = Documents(b'{"revision": 9, "parts": 1}', {})
        digest = digest_of(unusable.manifest)
        fleet.service.publish(unusable)
        await fleet.run(2)
        router = fleet.routers["r0"]
        self.assertEqual(router.store.refused, 1)
        # A peer of another software version has it in force.
        before = fleet.messages
        router.spread.on_peer_revision("r1", 9, digest[:16])
        await fleet.run(5)
        self.assertEqual(fleet.messages, before)
        fleet.stop()

    @_in_loop
    async def test_all_routers_start_at_once(self):
        """Guards against reads that grow with the fleet."""
        built = documents(1, workspaces=2_000)
        for name, down_s, most_calls in (
            ("up", 0, 2 * 25 * (reads_per_second(340) + 2)),
            ("down at first", 15, 2_000),
        ):
            with self.subTest(name):
                fleet = Fleet(340, 25)
                fleet.service.publish(built)
                fleet.service.down = down_s > 0
                fleet.start()
                await fleet.run(down_s)
                fleet.service.down = False
                took = await fleet.run(20, fleet.all_have(built))
                self.assertIsNotNone(took, "not in force")
                self.assertLess(took, _IN_FORCE_S)
                self.assertLessEqual(
                    fleet.service.most_calls_a_second(), most_calls
                )
                fleet.stop()

    @_in_loop
    async def test_isolated_router_reads_the_service(self):
        """Guards against a router that waits for peers it does not have."""
        fleet = Fleet(1, 1)
        fleet.service.publish(_FIRST)
        fleet.start()
        took = await fleet.run(5, fleet.all_have(_FIRST))
        self.assertIsNotNone(took)
        fleet.stop()

    @_in_loop
    async def test_watchers_without_the_service(self):
        """Guards against a start that depends on watchers that are cut off."""
        fleet = Fleet(8, 3)
        fleet.service.publish(_FIRST)
        fleet.start()
        fleet.service.blocked = {
            name
            for name, router in fleet.routers.items()
            if router.spread.is_watcher
        }
        self.assertEqual(len(fleet.service.blocked), 6)
        took = await fleet.run(20, fleet.all_have(_FIRST))
        self.assertIsNotNone(took)
        fleet.stop()

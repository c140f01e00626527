"""Tests of fleets in which routers learn of evacuations from each other."""

import asyncio
import unittest

from crowwinch.fleet.tests.support import EVACUATION, FleetModel

_SIZES = (3, 8, 30)
_ZONES = ("zone-0", "zone-1", "zone-2")
# Routers of the platform must obey within 5 s. This leaves time for requests
# that are on their way, and for a machine that is busy.
_MAX_DELAY_S = 2.0
# Time for which routers that restored the store keep what the copy lacks.
_GRACE_S = 2.2
# Targets that lapse are looked for every 0.2 s.
_MAX_GRACE_S = _GRACE_S + 0.3


class EvacuationTest(unittest.TestCase):
    """Guards against routers that use an evacuated zone."""

    async def _start(self, size):
        self.fleet = FleetModel(size)
        await self.fleet.start()
        self.store = self.fleet.store
        for zone in _ZONES[1:]:
            self.store.put(f"{zone}/target", "ready")
        await self.fleet.run(5.0)

    def _run_scenario(self, scenario, sizes=_SIZES):
        """Runs a scenario with a fleet of each size."""

        async def run(size):
            await self._start(size)
            await scenario()
            await self.fleet.stop()

        for size in sizes:
            with self.subTest(size):
                asyncio.run(run(size))

    def _evacuate(self, zone):
        self.store.put(f"{EVACUATION}/{zone}", "{}")

    def _take_back(self, zone):
        self.store.put(f"{EVACUATION}/{zone}", None)

    @staticmethod
    def _used(router):
        return {
            entry.availability_zone
            for entry in router.state.available_targets()
        }

    def _assert_used(self, *zones, routers=None):
        for router in self.fleet.routers if routers is None else routers:
            self.assertEqual(self._used(router), set(zones), router.host)

    def _cut_off(self, *routers):
        """Cuts routers off from the store and from all others."""
        hosts = {router.host for router in routers}
        self.store.silent = hosts
        self.fleet.network.is_partitioned = lambda one, other: bool(
            hosts & {one, other}
        )

    def test_two_zones_of_which_one_is_taken_back(self):
        async def scenario():
            self._evacuate("zone-0")
            self._evacuate("zone-1")
            await self.fleet.run(_MAX_DELAY_S)
            self._assert_used("zone-2")
            self._take_back("zone-0")
            await self.fleet.run(_MAX_DELAY_S)
            self._assert_used("zone-0", "zone-2")

        self._run_scenario(scenario)

    def test_peers_tell_routers_that_the_store_turns_away(self):
        """Guards against routers that learn of it from the store only."""

        async def scenario():
            self.store.refused = {
                router.host for router in self.fleet.routers[1:]
            }
            for change, used in (
                (self._evacuate, _ZONES[1:]),
                (self._take_back, _ZONES),
            ):
                change("zone-0")
                await self.fleet.run(_MAX_DELAY_S)
                self._assert_used(*used)

        self._run_scenario(scenario)

    def test_store_that_is_lost_when_one_router_knows(self):
        """Guards against an evacuation that depends on the store."""

        async def scenario():
            self.store.refused = {
                router.host for router in self.fleet.routers[1:]
            }
            await self.fleet.run(1.0)
            self._evacuate("zone-0")
            knows = self.fleet.routers[0]
            while "zone-0" in self._used(knows):
                await self.fleet.run(0.05)
            self.store.is_down = True
            await self.fleet.run(_MAX_DELAY_S)
            self._assert_used(*_ZONES[1:])
            await self.fleet.run(10.0)
            self._assert_used(*_ZONES[1:])

        self._run_scenario(scenario)

    def test_router_that_is_cut_off_keeps_what_it_knows(self):
        """Guards against an evacuation that ends with a time limit."""

        async def scenario():
            *others, isolated = self.fleet.routers
            self._evacuate("zone-0")
            await self.fleet.run(_MAX_DELAY_S)
            self._cut_off(isolated)
            self._take_back("zone-0")
            await self.fleet.run(30.0)
            self._assert_used(*_ZONES, routers=others)
            self._assert_used(*_ZONES[1:], routers=[isolated])
            self._cut_off()
            await self.fleet.run(_MAX_DELAY_S)
            self._assert_used(*_ZONES)

        self._run_scenario(scenario)

    def test_router_that_restarts_in_an_evacuation_never_uses_the_zone(self):
        async def scenario():
            self._evacuate("zone-0")
            await self.fleet.run(_MAX_DELAY_S)
            for refused in (set(), {self.fleet.routers[-1].host}):
                # Without the store it learns the configuration from a peer.
                self.store.refused = refused
                await self.fleet.restart(-1)
                new = self.fleet.routers[-1]
                used = set()
                await self.fleet.run(
                    3.0,
                    on_step=lambda new=new, used=used: used.update(
                        self._used(new)
                    ),
                )
                self.assertEqual(used, set(_ZONES[1:]))

        self._run_scenario(scenario)

    def _restore_without_evacuation(self):
        """Lets the store return from a copy that is older than it."""
        self.store.restore(self.store.revision - 1, self.store.state)

    def test_restored_store_whose_copy_lacks_the_evacuation(self):
        """Guards against a gap until the operator has written it again."""

        async def scenario():
            used = set()

            def note():
                for router in self.fleet.routers:
                    used.update(self._used(router))

            self._evacuate("zone-0")
            await self.fleet.run(_MAX_DELAY_S)
            self._restore_without_evacuation()
            await self.fleet.run(1.5, on_step=note)
            self._evacuate("zone-0")
            await self.fleet.run(4.0, on_step=note)
            self.assertEqual(used, set(_ZONES[1:]))

        self._run_scenario(scenario)

    def test_restored_store_where_it_is_not_written_again(self):
        async def scenario():
            self._evacuate("zone-0")
            await self.fleet.run(_MAX_DELAY_S)
            self._restore_without_evacuation()
            # Others hear of the new era from the readers.
            await self.fleet.run(_MAX_DELAY_S + _MAX_GRACE_S)
            self._assert_used(*_ZONES)

        self._run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()

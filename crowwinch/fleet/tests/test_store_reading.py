"""Tests of fleets in which a few routers read the store for all."""

import asyncio
import unittest

from crowwinch.directory import TargetState
from crowwinch.fleet._directory_exchange import DirectoryFetchError
from crowwinch.fleet.tests.support import ZONES, FleetModel

# Maximum delay of a configuration or target change, as required at small sites.
_MAX_DELAY_S = 2.0
# A few for each availability zone: a watch every 0.7 s and batches of changes.
_MAX_CALLS_PER_S = 4 * ZONES
# Retries of a fleet without a reachable store, plus the first call of each
# router, averaged over 6 s.
_MAX_CALLS_IN_OUTAGE_PER_S = 30 + 90 / 6.0
_SIZES = (8, 30, 90)


class StoreReadingTest(unittest.TestCase):
    """Guards against late changes and a call rate that grows with the fleet."""

    async def _start(self, size):
        self.fleet = FleetModel(size)
        await self.fleet.start()
        self.delays_s = {}
        await self._run(5.0)

    async def _run(self, seconds, writes_every_s=None):
        await self.fleet.run(seconds, writes_every_s, self._record_delays)

    def _record_delays(self):
        """Records for each router the age of the oldest change it lacks."""
        now = self.fleet.clock.monotonic()
        for router in self.fleet.routers:
            unknown = [
                at
                for revision, at in self.fleet.store.written.items()
                if revision > router.state.revision
            ]
            late = now - min(unknown) if unknown else 0.0
            self.delays_s[router.host] = max(
                self.delays_s.get(router.host, 0.0), late
            )

    def _readers(self):
        return [
            router for router in self.fleet.routers if router.readers.is_reading
        ]

    def _assert_in_time(self, excluded=()):
        late = {
            host: seconds
            for host, seconds in self.delays_s.items()
            if host not in excluded and seconds > _MAX_DELAY_S
        }
        self.assertEqual(late, {})

    def _reset_delays(self):
        self.fleet.store.written.clear()
        self.delays_s.clear()

    async def _calls_per_s(self, seconds, writes_every_s=None):
        before = self.fleet.store.calls
        await self._run(seconds, writes_every_s)
        return (self.fleet.store.calls - before) / seconds

    def _run_scenario(self, scenario, sizes=_SIZES):
        """Runs a scenario with a fleet of each size."""

        async def run(size):
            await self._start(size)
            await scenario()
            await self.fleet.stop()

        for size in sizes:
            with self.subTest(size):
                asyncio.run(run(size))

    def test_routers_that_start_together_discover_all_peers(self):
        """Guards against incomplete discovery in large fleets.

        A fifth of 90 routers knew fewer than 8 peers after 5 s.
        """

        async def scenario():
            known = [router.service.live_peers for router in self.fleet.routers]
            self.assertEqual(known, [len(self.fleet.routers) - 1] * len(known))

        self._run_scenario(scenario)

    def test_call_rate_is_independent_of_fleet_size(self):
        async def scenario():
            quiet = await self._calls_per_s(10.0)
            busy = await self._calls_per_s(10.0, writes_every_s=0.2)
            self.assertLessEqual(quiet, _MAX_CALLS_PER_S)
            self.assertLessEqual(busy, 2 * _MAX_CALLS_PER_S)
            self._assert_in_time()

        self._run_scenario(scenario)

    def test_frozen_readers(self):
        async def scenario():
            self.fleet.network.frozen = {
                router.host for router in self._readers()
            }
            if len(self.fleet.network.frozen) == len(self.fleet.routers):
                self.fleet.network.frozen.pop()
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time(excluded=self.fleet.network.frozen)

        self._run_scenario(scenario)

    def test_readers_whose_store_connections_hang(self):
        async def scenario():
            self.fleet.store.silent = {
                router.host for router in self._readers()
            }
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time()

        # In the smallest fleet all routers are readers, so that no peer has the
        # changes.
        self._run_scenario(scenario, _SIZES[1:])

    def test_readers_refused_by_the_store(self):
        async def scenario():
            refused = {router.host for router in self._readers()}
            self.fleet.store.refused = set(sorted(refused)[:6])
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time()

        self._run_scenario(scenario)

    def test_all_but_one_router_refused_by_the_store(self):
        async def scenario():
            self.fleet.store.refused = {
                router.host for router in self.fleet.routers[:-1]
            }
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time()

        self._run_scenario(scenario)

    def test_store_outage(self):
        async def scenario():
            self.fleet.store.is_down = True
            calls = await self._calls_per_s(6.0)
            self.assertLessEqual(calls, _MAX_CALLS_IN_OUTAGE_PER_S)
            for router in self.fleet.routers:
                self.assertFalse(router.state.is_connected, router.host)
            self.fleet.store.is_down = False
            self.fleet.store.write()
            await self._run(4.0)
            self._assert_in_time()
            for router in self.fleet.routers:
                self.assertTrue(router.state.is_connected, router.host)

        self._run_scenario(scenario)

    def test_availability_zones_partitioned_from_each_other(self):
        async def scenario():
            zones = {router.host: router.zone for router in self.fleet.routers}

            def is_partitioned(one, other, zones=zones):
                return zones[one] != zones[other]

            self.fleet.network.is_partitioned = is_partitioned
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time()

        self._run_scenario(scenario)

    def test_isolated_router(self):
        async def scenario():
            isolated = self.fleet.routers[-1].host
            self.fleet.network.is_partitioned = (
                lambda one, other, isolated=isolated: isolated in (one, other)
            )
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time()

        self._run_scenario(scenario)

    def test_router_that_cannot_fetch_from_peers(self):
        """Guards against relying on peers that announce but cannot be reached.

        The router receives updates, but its connections to peers fail.
        """

        async def scenario():
            isolated = self.fleet.routers[-1].host
            page = self.fleet.network.page

            def failing_page(source, host, *known):
                if source == isolated:
                    raise DirectoryFetchError(host)
                return page(source, host, *known)

            self.fleet.network.page = failing_page
            await self._run(6.0, writes_every_s=0.5)
            self._assert_in_time()

        self._run_scenario(scenario)

    def test_leaving_target_gets_nothing_where_the_directory_is_late(self):
        """Guards against requests to a target whose departure was acknowledged.

        The store refuses the router, and pages of peers do not arrive in time.
        """

        async def scenario():
            isolated = self.fleet.routers[-1]
            page = self.fleet.network.page

            def failing_page(source, host, *known):
                if source == isolated.host:
                    raise DirectoryFetchError(host)
                return page(source, host, *known)

            self.fleet.network.page = failing_page
            self.fleet.store.refused = {isolated.host}
            self.assertTrue(isolated.state.available_targets())
            self.fleet.store.write(TargetState.LEAVING)
            await self._run(_MAX_DELAY_S)
            self.assertEqual(isolated.state.available_targets(), [])

        self._run_scenario(scenario, _SIZES[1:])

    def test_store_that_returns_from_an_older_copy(self):
        """Guards against routers that wait for revisions of the lost history.

        The revisions of the copy are given out again for other changes.
        """

        async def scenario():
            await self._run(2.0, writes_every_s=0.1)
            store = self.fleet.store
            store.is_down = True
            await self._run(0.5)
            store.is_down = False
            store.restore(store.revision - 10, TargetState.READY)
            await self._run(2.0)
            store.write(TargetState.LEAVING)
            await self._run(_MAX_DELAY_S)
            for router in self.fleet.routers:
                self.assertEqual(
                    (router.state.era, router.state.revision),
                    (store.era, store.revision),
                )
                self.assertEqual(router.state.available_targets(), [])

        self._run_scenario(scenario)

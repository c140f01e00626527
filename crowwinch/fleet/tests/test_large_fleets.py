"""Tests of state exchange in fleets with round-robin updates."""

import asyncio
import math
import unittest

from crowwinch.directory import VariantAge
from crowwinch.fleet.tests.support import FleetModel
from crowwinch.forwarding import StreamOrigin
from crowwinch.sharing import PromptPart, TargetView, Work

# Sizes around the number of destinations of an update, and sizes in which every
# fourth update went to the same routers.
_SIZES = (8, 13, 17, 25, 49, 90)
_STARTUP_S = 3.0
_ORIGIN = StreamOrigin("llm", "v1")
_WORK = Work(
    "llm",
    "workspace",
    parts=(PromptPart("shared", 800), PromptPart("own", 100)),
    prompt_tokens=900,
)


class LargeFleetTest(unittest.TestCase):
    """Guards against state that reaches only a part of the fleet."""

    def _run_scenario(self, scenario):
        async def run(size):
            fleet = FleetModel(size)
            await fleet.start()
            await fleet.run(_STARTUP_S)
            await scenario(fleet)
            await fleet.stop()

        for size in _SIZES:
            with self.subTest(size):
                asyncio.run(run(size))

    def test_prefix_read_away_from_home_reaches_all_routers(self):
        """Guards against reports that are sent in one update only.

        Only the 12 destinations of the next update received the report.
        """

        async def scenario(fleet):
            first, *others = fleet.routers
            first.sharing.prefixes.record_prefill(
                "engine", _WORK, is_home=False
            )
            await fleet.run(1.0)
            kept = [
                router.sharing.prefixes.cached_token_counts(_WORK).get("engine")
                for router in others
            ]
            self.assertEqual(kept, [800] * len(others))

        self._run_scenario(scenario)

    def test_workspace_shares_reach_all_routers(self):
        """Guards against shares that always go to the same destinations.

        At some fleet sizes the same 12 routers received all of them.
        """

        async def scenario(fleet):
            first, *others = fleet.routers
            first.sharing.shares.record_usage("workspace", 1_000)
            # Among 90 routers, each peer gets shares every 8 periods of 0.05 s.
            await fleet.run(2.0)
            served = [
                router.sharing.shares.served("workspace") for router in others
            ]
            self.assertGreater(min(served), 100)

        self._run_scenario(scenario)

    def test_rising_use_is_known_everywhere_within_a_second(self):
        """Guards against workspaces that take more than their share unnoticed.

        A workspace with callers at all routers turns hot. In a fleet of 90
        routers, part of the reports came after 1.6 s only.
        """

        async def scenario(fleet):
            first_shares = fleet.routers[0].sharing.shares
            for router in fleet.routers:
                router.sharing.shares.record_usage("w", 1_000)
            await fleet.run(0.9)
            served = [
                router.sharing.shares.served("w") for router in fleet.routers
            ]
            time_constant_s = first_shares.time_constant_s
            decay = math.exp(-0.9 / time_constant_s)
            expected = 1_000 * len(fleet.routers) * decay
            self.assertGreater(min(served) / expected, 0.8)

        self._run_scenario(scenario)

    def test_steady_use_is_known_everywhere(self):
        """Guards against use that seems less, the larger the fleet is.

        Peers let a report decay until the next one.
        """

        async def scenario(fleet):
            first, *others = fleet.routers
            await fleet.run(
                6.0, on_step=lambda: first.sharing.shares.record_usage("w", 100)
            )
            seen = []

            def sample():
                first.sharing.shares.record_usage("w", 100)
                true = first.sharing.shares.served("w")
                seen.extend(
                    router.sharing.shares.served("w") / true
                    for router in others
                )

            await fleet.run(3.2, on_step=sample)
            self.assertAlmostEqual(sum(seen) / len(seen), 1.0, delta=0.1)

        self._run_scenario(scenario)

    def test_rate_limit_of_a_target_reaches_all_routers(self):
        """Guards against routers that learn of a limit only by exceeding it."""
        view = TargetView("engine", 1, "llm", False, 32, is_engine=True)

        async def scenario(fleet):
            first, *others = fleet.routers
            now = fleet.clock.monotonic()
            first.sharing.rate_limits.observe("engine", 1, 1.0, now)
            await fleet.run(1.0)
            waits_s = [
                router.sharing.rate_limits.allowance(view).wait_s
                for router in others
            ]
            self.assertGreater(min(waits_s), 0.0)

        self._run_scenario(scenario)

    def test_pace_of_a_target_reaches_all_routers(self):
        """Guards against routers that send to a target as if it were well.

        Only the first router sees that the target starts.
        """
        other = TargetView("other", 1, "llm", False, 32, cold_start_s=10.0)
        view = TargetView("engine", 1, "llm", False, 32, cold_start_s=10.0)

        async def scenario(fleet):
            first, *others = fleet.routers
            first.sharing.pace.observe_targets([other])
            await fleet.run(4.0)
            first.sharing.pace.record_demand("llm")
            for router in fleet.routers:
                router.sharing.pace.observe_targets([other, view])
            first.sharing.pace.record_refusal("engine")
            await fleet.run(1.0)
            windows = {
                router.sharing.pace.window("engine") for router in fleet.routers
            }
            self.assertEqual(len(windows), 1)
            self.assertNotIn(None, windows)

        self._run_scenario(scenario)

    def test_origin_of_a_stream_is_held_by_six_peers(self):
        """Guards against records that are lost with the router of a stream."""

        async def scenario(fleet):
            first, *others = fleet.routers
            first.service.streams.record("attempt", _ORIGIN)
            await fleet.run(0.1)
            held = [
                router.service.streams.holds("attempt") for router in others
            ]
            self.assertEqual(sum(held), 6)

        self._run_scenario(scenario)

    def test_software_versions_reach_all_routers(self):
        """Guards against a router that takes the present for the past."""

        async def scenario(fleet):
            first, *others = fleet.routers
            first.state.origins.merge_versions(
                [VariantAge("other", "v1", 0.0)],
                30.0,
                fleet.clock.monotonic(),
            )
            await fleet.run(1.0)
            known = [
                any(age.group == "other" for age in reports)
                for reports, _ in (
                    router.state.origins.version_reports() for router in others
                )
            ]
            self.assertTrue(all(known))
            self.assertGreater(
                min(router.state.origins.versions_known_s for router in others),
                29.0,
            )

        self._run_scenario(scenario)

    def test_active_requests_reach_all_routers(self):
        async def scenario(fleet):
            first, *others = fleet.routers
            first.sharing.loads.reserve("engine", 0.01)
            await fleet.run(0.5)
            active = [
                router.sharing.loads.active("engine") for router in others
            ]
            self.assertGreater(min(active), 0.5)

        self._run_scenario(scenario)

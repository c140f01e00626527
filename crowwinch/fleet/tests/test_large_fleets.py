"""What routers hear of each other when updates go to them in turn."""

import asyncio
import unittest

from crowwinch.fleet.tests.support import FleetModel
from crowwinch.sharing import PromptPart, Work

# Fleets around the number of routers that get each update, and those in which
# every fourth update went to the same routers.
_SIZES = (8, 13, 17, 25, 49, 90)
_START_S = 3.0
_WORK = Work(
    "llm",
    "workspace",
    parts=(PromptPart("shared", 800), PromptPart("own", 100)),
    prompt_tokens=900,
)


class LargeFleetTest(unittest.TestCase):
    """Guards against routers that never hear of a part of the others' work."""

    def _play(self, scenario):
        async def play(size):
            fleet = FleetModel(size)
            await fleet.start()
            await fleet.run(_START_S)
            await scenario(fleet)
            await fleet.stop()

        for size in _SIZES:
            with self.subTest(size):
                asyncio.run(play(size))

    def test_all_hear_of_a_prompt_that_was_read_away_from_its_home(self):
        """Only the 12 routers of the next update heard of it."""

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

        self._play(scenario)

    def test_all_hear_what_a_workspace_got(self):
        """In some sizes of fleets the same 12 routers heard of it."""

        async def scenario(fleet):
            first, *others = fleet.routers
            first.sharing.shares.record_usage("workspace", 1_000)
            # In 90 routers, shares are told every 8 turns of 0.2 s.
            await fleet.run(2.0)
            served = [
                router.sharing.shares.served("workspace") for router in others
            ]
            self.assertGreater(min(served), 100)

        self._play(scenario)

    def test_all_hear_of_requests_at_a_target(self):
        async def scenario(fleet):
            first, *others = fleet.routers
            first.sharing.loads.reserve("engine", 0.01)
            await fleet.run(0.5)
            active = [
                router.sharing.loads.active("engine") for router in others
            ]
            self.assertGreater(min(active), 0.5)

        self._play(scenario)

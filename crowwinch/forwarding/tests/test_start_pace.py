"""Tests of what responses tell the pace of a target."""

import asyncio

from crowwinch.forwarding.tests.support import (
    RouterTest,
    make_response,
    respond_ok,
    write_response,
)
from crowwinch.sharing import TargetView


def _make_refusal(request):
    return make_response(
        request,
        b"",
        "503 Full",
        "X-Crowwinch-Not-Executed: 1\r\n",
        seal=False,
    )


class StartPaceTest(RouterTest):
    """Guards against a pace that learns nothing from responses."""

    async def _start(self, *scripts):
        """Starts a router with targets of a service that starts cold."""
        router = await self.router(*scripts)
        router.sharing.pace.observe_targets(
            TargetView(f"i-{number}", 0, "s", True, 8, cold_start_s=10.0)
            for number in range(len(scripts))
        )
        return router

    async def test_answer_after_a_failed_connection_begins_a_pace(self):
        router = await self._start(respond_ok)
        router.sharing.pace.record_connection_failure("i-0")
        self.assertEqual((await router.call()).status, 200)
        self.assertEqual(router.sharing.pace.paced_targets, 1)

    async def test_failed_connection_is_recorded(self):
        """Guards against a flood of a target whose connections failed."""
        router = await self._start(respond_ok, respond_ok)
        await self.targets[0].stop()
        for number in range(4):
            await router.call(attempt_id=f"a{number}")
        view = TargetView("i-0", 0, "s", True, 8, cold_start_s=10.0)
        router.sharing.loads.reserve("i-0", 0.0)
        router.sharing.loads.reserve("i-0", 0.0)
        self.assertGreater(router.sharing.pace.allowance(view).wait_s, 0.0)

    async def test_refusal_reduces_the_window(self):
        router = await self._start(write_response(_make_refusal), respond_ok)
        pace = router.sharing.pace
        pace.record_connection_failure("i-0")
        pace.record_first_event("i-0", 0.0)
        self.assertEqual(pace.window("i-0"), 2.0)
        # Requests that were sent before the window began show nothing.
        await asyncio.sleep(0.2)
        for number in range(4):
            await router.call(attempt_id=f"a{number}")
        self.assertLess(pace.window("i-0"), 2.0)

"""Tests of requests that meet targets which accept no connection."""

from crowwinch.forwarding import RouteKind
from crowwinch.forwarding.tests.support import (
    RouterTest,
    respond_ok,
    write_response,
)

_DEAD = 6


def _use_up_budget(router):
    router.sharing.budget.set_limits(0.0, 60.0)
    while router.sharing.budget.try_spend("s"):
        pass


class UnreachableTargetTest(RouterTest):
    """Guards against refusals while sound targets have room.

    Many targets crash at once, and each router finds out by itself which.
    """

    async def _router_with_dead_targets(self, dead, **options):
        router = await self.router(*[respond_ok] * (dead + 1), **options)
        for target in self.targets[:dead]:
            await target.stop()
        _use_up_budget(router)
        return router

    async def test_request_goes_on_to_a_sound_target(self):
        """What has not reached a target takes no part of the retry budget."""
        for kind in RouteKind:
            with self.subTest(kind):
                router = await self._router_with_dead_targets(_DEAD, kind=kind)
                reply = await router.call()
                self.assertEqual(reply.status, 200)
                self.assertEqual(self.attempt_count, 1)

    async def test_number_of_targets_tried_is_limited(self):
        """Guards against a request that tries hundreds of targets."""
        router = await self._router_with_dead_targets(30)
        await self.targets[-1].stop()
        reply = await router.call()
        self.assertEqual(reply.status, 503)
        failures = sum(
            router.health.is_blocked(f"i-{number}") for number in range(31)
        )
        self.assertLess(failures, 15)

    async def test_refusal_by_a_target_takes_retry_budget(self):
        """Guards against a retry that other targets see beyond the budget."""

        def refuse(request):
            return (
                b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                b"X-Crowwinch-Attempt-Id: "
                + request.attempt_id.encode()
                + b"\r\n\r\n"
            )

        router = await self.router(
            write_response(refuse), write_response(refuse)
        )
        _use_up_budget(router)
        reply = await router.call()
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.attempt_count, 1)

"""Tests of requests whose targets must not run them, or no more."""

import asyncio
import dataclasses
import json
from unittest import mock

from crowwinch.forwarding import RouteKind, SharingState, Workspace
from crowwinch.forwarding.tests.support import (
    KEY,
    RouterTest,
    chunk,
    event,
    make_response,
    reset,
    stream_head,
    write_response,
)

_LAST_EVENT = 6
_BREAK_AFTER = 3


def _code(reply):
    return json.loads(reply.body)["error"]["code"]


def _run_state(reply):
    return json.loads(reply.body)["error"]["run_state"]


class _PlacesTest(RouterTest):
    """Base class; targets are in regions of their own."""

    _REGIONS = ("north", "south", "west")

    async def _start_router(self, *scripts, **options):
        router = await self.router(*scripts, **options)
        self.all_targets = [
            dataclasses.replace(
                router.target_set.get(f"i-{number}"), region=region
            )
            for number, region in zip(
                range(len(scripts)), self._REGIONS, strict=False
            )
        ]
        router.target_set.update(self.all_targets, router.routing)
        return router

    def _evacuate(self, router, *identifiers):
        used, evacuated = [], []
        for target in self.all_targets:
            is_evacuated = target.identifier in identifiers
            (evacuated if is_evacuated else used).append(target)
        router.target_set.update(used, router.routing, evacuated)
        router.sharing.admission.note_targets_changed()

    def _counts(self):
        return [len(target.requests) for target in self.targets]


class EvacuationTest(_PlacesTest):
    """Guards against requests that reach an evacuated zone."""

    def _evacuate_after_decision(self, router):
        """Evacuates the target of the first decision before it is sent to."""
        place = SharingState.place
        decided = []

        def place_and_evacuate(state, work, decision, now):
            placement = place(state, work, decision, now)
            decided.append(decision.target)
            if len(decided) == 1:
                self._evacuate(router, decision.target)
            return placement

        patch = mock.patch.object(SharingState, "place", place_and_evacuate)
        patch.start()
        self.addCleanup(patch.stop)
        return decided

    async def test_placed_requests_are_placed_again(self):
        """Guards against a request that is sent, or fails, after a decision.

        It was counted as a failure of the target and as a retry, which routes
        with one attempt and an empty retry budget refuse.
        """
        answer = write_response(make_response)
        router = await self._start_router(
            answer, answer, kind=RouteKind.UNSAFE, max_attempts=1
        )
        router.sharing.budget.set_limits(0.0, 10.0)
        decided = self._evacuate_after_decision(router)
        reply = await router.call()
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(set(decided)), 2)
        self.assertEqual(sum(self._counts()), 1)
        self.assertEqual(router.health.failing_share(decided[0]), 0.0)
        self.assertEqual(router.loads.own_active(decided[0]), 0)
        self.assertNotIn("retries_total{", router.metrics.render())

    async def test_placed_request_without_another_target_is_refused(self):
        router = await self._start_router(
            write_response(make_response), kind=RouteKind.UNSAFE
        )
        self._evacuate_after_decision(router)
        reply = await router.call()
        self.assertEqual((reply.status, _code(reply)), (503, "evacuated"))
        self.assertEqual(_run_state(reply), "not_run")
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(self._counts(), [0])

    async def test_evacuation_while_the_target_is_asked_for_its_start(self):
        """Guards against a stream that begins after the answer to that."""

        async def serve(seen, writer):
            if seen.path == "/report":
                self._evacuate(router, "i-0")
                writer.write(make_response(seen, b'{"born":1}'))
                return True
            writer.write(stream_head(seen) + chunk(event(1)) + chunk(b""))
            return True

        router = await self._start_router(
            serve, kind=RouteKind.RESUMABLE_STREAM, is_engine=True, life=1
        )
        router.synced_at = lambda: router.clock.monotonic() - 10.0
        reply = await router.call()
        self.assertEqual((reply.status, _code(reply)), (503, "evacuated"))
        paths = [request.path for request in self.targets[0].requests]
        self.assertEqual(paths, ["/report"])

    async def test_running_stream_continues_and_a_new_one_is_refused(self):
        goes_on = asyncio.Event()

        async def serve(seen, writer):
            writer.write(stream_head(seen) + chunk(event(1)))
            await goes_on.wait()
            writer.write(chunk(event(2)) + chunk(b""))
            return True

        router = await self._start_router(
            serve, kind=RouteKind.STREAM, is_engine=True
        )
        caller = await router.connect()
        await caller.send()
        while not self.targets[0].requests:
            await asyncio.sleep(0.01)
        self._evacuate(router, "i-0")
        started = router.clock.monotonic()
        self.assertEqual(_code(await router.call()), "evacuated")
        # Requests without any target wait for 0.3 s.
        self.assertLess(router.clock.monotonic() - started, 0.25)
        goes_on.set()
        reply = await caller.receive()
        self.assertEqual(reply.body, event(1) + event(2))
        self.assertTrue(reply.is_complete)
        self._evacuate(router)
        self.assertEqual((await router.call()).status, 200)


class HomeRegionsTest(_PlacesTest):
    """Guards against requests that run outside of their home regions."""

    def _set_homes(self, router, route, workspace):
        table = router.routing
        router.routing = dataclasses.replace(
            table,
            routes=tuple(
                dataclasses.replace(each, home_regions=route)
                for each in table.routes
            ),
            workspaces={KEY: Workspace("tenant", workspace)},
        )

    async def test_homes_of_route_and_workspace(self):
        north, south = frozenset(["north"]), frozenset(["south"])
        both, east = north | south, frozenset(["east"])
        cases = (
            # Homes of the route and of the workspace, targets that may run it.
            (None, None, {0, 1, 2}),
            (north, None, {0}),
            (None, south, {1}),
            (both, None, {0, 1}),
            (both, south, {1}),
            (south, both, {1}),
            (both, both, {0, 1}),
            (north, south, set()),
            (east, None, set()),
            (None, east, set()),
        )
        answer = write_response(make_response)
        router = await self._start_router(answer, answer, answer)
        for route, workspace, allowed in cases:
            with self.subTest(route=route, workspace=workspace):
                self._set_homes(router, route, workspace)
                before = self._counts()
                replies = await asyncio.gather(
                    *(router.call() for _ in range(12))
                )
                counts = zip(self._counts(), before, strict=True)
                used = {
                    number
                    for number, (after, count) in enumerate(counts)
                    if after > count
                }
                self.assertEqual(used, allowed)
                for reply in replies:
                    if allowed:
                        self.assertEqual(reply.status, 200)
                        continue
                    self.assertEqual(reply.status, 503)
                    self.assertEqual(_code(reply), "no_home_target")
                    self.assertEqual(_run_state(reply), "not_run")

    async def test_routes_without_keys_have_the_homes_of_the_route(self):
        """Guards against homes of a key that the route does not look at."""
        answer = write_response(make_response)
        router = await self._start_router(answer, answer)
        self._set_homes(router, frozenset(["south"]), frozenset(["north"]))
        (route,) = router.routing.routes
        router.routing = dataclasses.replace(
            router.routing,
            routes=(dataclasses.replace(route, is_anonymous=True),),
        )
        self.assertEqual((await router.call()).status, 200)
        self.assertEqual(self._counts(), [0, 1])

    async def test_retries_and_resumed_streams_keep_the_homes(self):
        """Guards against a stream that goes on in a foreign region."""
        breaks = {"head": 1, "stream": 1}

        async def serve(seen, writer):
            if breaks["head"]:
                breaks["head"] -= 1
                reset(writer)
                return False
            writer.write(stream_head(seen))
            after = int(seen.headers.get("last-event-id", 0))
            for number in range(after + 1, _LAST_EVENT + 1):
                if number > _BREAK_AFTER and breaks["stream"]:
                    breaks["stream"] -= 1
                    await writer.drain()
                    await asyncio.sleep(0.05)
                    reset(writer)
                    return False
                writer.write(chunk(event(number)))
            writer.write(chunk(b""))
            return True

        self._REGIONS = ("north", "north", "north", "south", "south")
        router = await self._start_router(
            *[serve] * 5,
            kind=RouteKind.RESUMABLE_STREAM,
            is_engine=True,
            max_attempts=4,
        )
        self._set_homes(router, None, frozenset(["north"]))
        reply = await router.call()
        self.assertEqual(
            reply.body,
            b"".join(event(number) for number in range(1, _LAST_EVENT + 1)),
        )
        self.assertEqual(self._counts(), [1, 1, 1, 0, 0])

    async def test_a_stream_is_not_resumed_elsewhere(self):
        """Guards against a foreign region used because home has no other."""

        async def serve(seen, writer):
            writer.write(stream_head(seen) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)
            return False

        router = await self._start_router(
            serve,
            serve,
            kind=RouteKind.RESUMABLE_STREAM,
            is_engine=True,
            max_attempts=4,
        )
        self._set_homes(router, frozenset(["north"]), None)
        reply = await router.call()
        self.assertFalse(reply.is_complete)
        self.assertEqual(self._counts(), [1, 0])

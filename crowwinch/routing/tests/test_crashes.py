"""Tests of requests that crash targets."""

import asyncio
import json
import unittest

from crowwinch.coordination import ManualClock, identifier
from crowwinch.errors import RetryReason
from crowwinch.generated.peer_messages import CrashReport
from crowwinch.routing import (
    CrashRegistry,
    CrashVerdict,
    TokenBucketRetryBudget,
)
from crowwinch.routing._retries import REPORT_SPREAD_S
from crowwinch.routing.tests.support import (
    Router,
)
from standins.scripted_target import (
    ScriptedTarget,
    hanging,
    whole,
)

_CLEAR, _SUSPECT, _REFUSED = CrashVerdict


def _crash(target, alone=False, cleared=False, digest="d"):
    return CrashReport(digest, target, alone, cleared)


class RegistryTest(unittest.TestCase):
    """Guards against undetected crashing requests and false suspects."""

    def test_verdict_for_each_sequence_of_reports(self):
        clear = _crash("", True, True)
        cases = (
            ("first crash", [_crash("a")], _SUSPECT),
            ("repeated report", [_crash("a"), _crash("a")], _SUSPECT),
            (
                "two crashes beside other requests",
                [_crash("a"), _crash("b")],
                _SUSPECT,
            ),
            (
                "second crash while alone",
                [_crash("a"), _crash("b", True)],
                _REFUSED,
            ),
            (
                "same target, then alone",
                [_crash("a"), _crash("a", True)],
                _REFUSED,
            ),
            ("reordered", [_crash("b", True), _crash("a")], _REFUSED),
            ("cleared", [_crash("a"), clear], _CLEAR),
            (
                "cleared after the refusal",
                [_crash("a"), _crash("b", True), clear],
                _REFUSED,
            ),
            (
                "many crashes beside other requests",
                [*(_crash(str(i)) for i in range(9)), _crash("z", True)],
                _REFUSED,
            ),
        )
        for name, reports, expected in cases:
            with self.subTest(name):
                registry = CrashRegistry(ManualClock())
                for report in reports:
                    registry.on_report(report)
                self.assertIs(registry.verdict("d"), expected)
                other_registry = CrashRegistry(ManualClock())
                for report in registry.reports():
                    other_registry.on_report(report)
                self.assertIs(other_registry.verdict("d"), expected)

    def test_expiry_and_size(self):
        clock = ManualClock()
        registry = CrashRegistry(clock, capacity=3)
        for index in range(5):
            registry.on_report(_crash("a", digest=str(index)))
        verdicts = [registry.verdict(str(index)) for index in range(5)]
        self.assertEqual(verdicts, [_CLEAR] * 2 + [_SUSPECT] * 3)
        clock.move_to(599)
        registry.on_report(_crash("a", digest="4"))
        clock.move_to(600)
        self.assertIs(registry.verdict("4"), _CLEAR)
        self.assertTrue(registry.is_empty)

    def test_digest_depends_on_workspace_and_body(self):
        digests = {
            CrashRegistry.digest(workspace, body)
            for workspace in (1, 2)
            for body in (b"x", b"y")
        }
        self.assertEqual(len(digests), 4)


class BudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing target."""

    def test_both_buckets_limit_and_refill(self):
        clock = ManualClock()
        budget = TokenBucketRetryBudget(clock, burst=2, refill_per_s=1)
        steps = (
            ((1, 1), 0, True),
            ((1, 2), 0, True),
            ((1, 3), 0, False),
            ((2, 3), 0, True),
            ((2, 3), 0, True),
            ((3, 3), 0, False),
            ((1, 1), 1, True),
            ((1, 1), 1, False),
        )
        for (workspace, target), now, expected in steps:
            clock.move_to(now)
            with self.subTest(workspace=workspace, target=target, now=now):
                self.assertIs(budget.try_spend(workspace, target), expected)


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one request that crashes several targets in turn."""

    async def test_first_crash_makes_suspect_and_second_is_refused(self):
        async def crash_target(seen, writer):
            await asyncio.sleep(0.1)
            target.incarnation += 1
            writer.transport.abort()

        target = ScriptedTarget(crash_target, crash_target)
        await target.start()
        broadcast = []
        async with Router([target]) as router:
            router.crashes.broadcast = broadcast.append
            reply = await router.send_chat_completion()
            self.assertEqual(reply.error, (422, "crash_suspect", "unknown"))
            second_reply = await router.send_chat_completion()
            self.assertEqual(
                second_reply.error, (422, "crash_suspect", "not_run")
            )
            self.assertEqual(
                (await router.send_chat_completion(key="beta")).status, 200
            )
            self.assertEqual(
                [request.exclusive for request in router.dispatcher.requests],
                [False, True, False],
            )
            self.assertEqual(
                [report.alone for report in broadcast], [False, True]
            )
            self.assertEqual(router.retries(RetryReason.TARGET_CRASHED), 2)

    async def test_finished_suspect_is_cleared_and_lost_connection_is_no_crash(
        self,
    ):
        async def crash_target(seen, writer):
            await asyncio.sleep(0.1)
            target.incarnation += 1
            writer.transport.abort()

        async def drop_connection(seen, writer):
            await asyncio.sleep(0.1)
            writer.transport.abort()

        for behaviour, exclusive in (
            (crash_target, True),
            (drop_connection, False),
        ):
            with self.subTest(behaviour.__name__):
                target = ScriptedTarget(behaviour, whole())
                await target.start()
                async with Router([target]) as router:
                    self.assertEqual(
                        (await router.send_chat_completion()).status, 200
                    )
                    self.assertEqual(
                        router.dispatcher.requests[1].exclusive, exclusive
                    )
                    self.assertTrue(router.crashes.is_empty)

    async def test_slot_of_a_suspect_is_held_until_its_crash_is_reported(self):
        """Guards against a copy that starts before the report arrives."""

        async def crash_target(seen, writer):
            await asyncio.sleep(0.1)
            target.incarnation += 1
            writer.transport.abort()

        target = ScriptedTarget(crash_target, crash_target)
        await target.start()
        settled = []
        async with Router([target]) as router:
            router.crashes.broadcast = lambda report: settled.append(
                len(router.dispatcher.slot_outcomes)
            )
            reply = await router.send_chat_completion()
            self.assertEqual(reply.status, 422)
            self.assertEqual(settled, [1, 1])
            self.assertEqual(len(router.dispatcher.slot_outcomes), 1)
            await asyncio.sleep(REPORT_SPREAD_S + 0.2)
            self.assertEqual(len(router.dispatcher.slot_outcomes), 2)

    async def test_waiting_copy_is_refused_at_once(self):
        target = ScriptedTarget(hanging)
        await target.start()
        async with Router([target], slots=1) as router:
            other_request = asyncio.ensure_future(
                router.send_chat_completion(key="beta")
            )
            while not target.seen:
                await asyncio.sleep(0.01)
            digest = CrashRegistry.digest(
                identifier("alpha"),
                json.dumps({"model": "name", "stream": False}).encode(),
            )
            router.crashes.on_report(_crash("a", digest=digest))
            waiting_copy = asyncio.ensure_future(router.send_chat_completion())
            while len(router.dispatcher.requests) < 2:
                await asyncio.sleep(0.01)
            router.crashes.on_report(_crash("b", True, digest=digest))
            reply = await asyncio.wait_for(waiting_copy, 2)
            self.assertEqual(reply.error, (422, "crash_suspect", "not_run"))
            self.assertEqual(router.dispatcher.cancelled_waits, 1)
            other_request.cancel()

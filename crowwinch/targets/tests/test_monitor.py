"""Tests of target polling and crash detection."""

import asyncio
import unittest

from crowwinch.coordination import ManualClock, TimerService
from crowwinch.targets import (
    ConnectionLostError,
    IncarnationTable,
    NotSentError,
    TargetLoad,
    TargetMonitor,
)


async def _run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


class MonitorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against new requests to unreachable or leaving targets (I6)."""

    async def test_reports_and_unavailable_targets(self):
        clock = ManualClock()
        timers = TimerService(clock)
        loads = {
            "a": TargetLoad(running=1, waiting=2, incarnation=3),
            "b": TargetLoad(running=0, waiting=0),
        }
        polls = []

        async def fetch(url):
            polls.append((clock.monotonic(), url))
            if isinstance(loads[url], Exception):
                raise loads[url]
            return loads[url]

        async def advance_to(now):
            clock.move_to(now)
            timers.run_due()
            await _run_pending_tasks()

        monitor = TargetMonitor(timers, fetch)
        reports = []
        monitor.subscribe(reports.append)
        monitor.watch({1: "a", 2: "b"})
        for now in (0.0, 0.5, 1.0, 1.5):
            await advance_to(now)
        self.assertEqual(polls, [(0, "a"), (0, "b"), (1, "a"), (1, "b")])
        report = reports[0]
        self.assertEqual((report.target, report.incarnation), (1, 3))
        self.assertEqual(monitor.unavailable, frozenset())
        loads["a"] = NotSentError("refused", True)
        loads["b"] = TargetLoad(running=0, waiting=0, leaving=True)
        await advance_to(2.0)
        await advance_to(2.5)
        self.assertEqual(monitor.unavailable, {1, 2})
        self.assertEqual((reports[-2].age, reports[-2].running), (1.0, 1))
        self.assertFalse(reports[-2].is_reachable)
        loads["a"] = TargetLoad(running=0, waiting=0, incarnation=4)
        await advance_to(3.0)
        self.assertEqual(monitor.unavailable, {2})
        monitor.watch({1: "a"})
        self.assertEqual(monitor.unavailable, frozenset())
        polls_before = len(polls)
        await advance_to(4.0)
        self.assertEqual(len(polls), polls_before + 1)
        await advance_to(5.1)
        monitor.stop()
        polls.clear()
        # Polls are sent in batches, so that many targets cause no burst.
        monitor.watch(dict.fromkeys(range(20), "a"))
        for now, expected in ((5.1, 8), (5.111, 16), (5.122, 20), (6.1, 28)):
            await advance_to(now)
            self.assertEqual(len(polls), expected, now)

    async def test_target_is_not_polled_while_a_poll_is_pending(self):
        clock = ManualClock()
        timers = TimerService(clock)
        polls = []

        async def fetch(url):
            polls.append(url)
            await asyncio.sleep(30)

        monitor = TargetMonitor(timers, fetch)
        monitor.watch({1: "a"})
        for now in (0.0, 1.0, 2.0):
            clock.move_to(now)
            timers.run_due()
            await _run_pending_tasks()
        self.assertEqual(len(polls), 1)
        monitor.stop()


class IncarnationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against crashes that are taken for a lost connection."""

    async def test_crash_detection_for_each_sequence_of_answers(self):
        refused = NotSentError("refused", True)
        lost = ConnectionLostError("lost")
        first_load, second_load = (
            TargetLoad(running=0, waiting=0, incarnation=number)
            for number in (1, 2)
        )
        cases = (
            ("same incarnation", [first_load, first_load], False),
            ("restarted", [first_load, second_load], True),
            ("refuses", [first_load, refused], True),
            ("incarnation unknown, refuses", [lost, refused], True),
            (
                "connection lost, then refuses",
                [first_load, lost, refused],
                True,
            ),
            ("unreachable", [first_load, NotSentError("no route")], False),
            ("no load reports", [lost, lost, lost, lost], False),
        )
        for name, outcomes, expected in cases:
            with self.subTest(name):
                remaining = iter(outcomes)

                async def fetch(url, remaining=remaining):
                    outcome = next(remaining, lost)
                    if isinstance(outcome, Exception):
                        raise outcome
                    return outcome

                incarnations = IncarnationTable(fetch)
                epoch = incarnations.epoch(1, "a")
                await _run_pending_tasks()
                results = await asyncio.gather(
                    *(incarnations.has_crashed(1, "a", epoch) for _ in range(3))
                )
                self.assertEqual(results, [expected] * 3)
                epoch_after = incarnations.epoch(1, "a")
                self.assertEqual(epoch_after != epoch, expected)

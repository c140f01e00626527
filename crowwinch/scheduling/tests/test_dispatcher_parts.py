"""Tests of the components of the dispatcher."""

import asyncio
import itertools
import unittest

from crowwinch.coordination import ManualClock, TimerService, identifier
from crowwinch.errors import RefusalError, RefusalReason
from crowwinch.generated.peer_messages import (
    Grant,
    GroupStatus,
    ReusedSlot,
)
from crowwinch.peers import TokenBucket
from crowwinch.scheduling import (
    RequestClass,
    SlotOutcome,
    SlotRequest,
)
from crowwinch.scheduling._answers import AnswerSender
from crowwinch.scheduling._echoes import EchoTracker
from crowwinch.scheduling._entry_delay import entry_delay
from crowwinch.scheduling._outbox import DemandOutbox
from crowwinch.scheduling._records import RouterRecord
from crowwinch.scheduling._reuse import ServiceView
from crowwinch.scheduling._slots import (
    GrantedSlot,
    WaitingRequest,
    WaitingTable,
)
from crowwinch.scheduling.tests.fleet import GROUP, Fleet, make_snapshot


class DispatcherPartsTest(unittest.TestCase):
    """Guards against messages that are inconsistent with router state."""

    def test_entry_delay_depends_on_deadline_and_queue(self):
        # Every request of a caller has a deadline, 600 s by default. When all
        # entries with a deadline were sent without delay, a burst of them
        # exhausted the budget of control messages.
        cases = (
            ("no deadline", None, 1, 1.0, 0.4),
            ("far", 600.0, 1, 1.0, 0.4),
            ("far, others ahead", 600.0, 5, 0.0, 0.5),
            ("far, nothing waits", 600.0, 1, 0.0, 0.0),
            ("near", 20.0, 5, 1.0, 0.0),
        )
        for name, deadline, count, forecast, expected in cases:
            with self.subTest(name):
                table = WaitingTable()
                request = SlotRequest(1, 2, deadline=deadline)
                for number in range(count):
                    last = WaitingRequest(number, request, print, print)
                    table.add(last)
                delay = entry_delay(
                    last, table, lambda _, wait=forecast: wait, 0.0
                )
                self.assertEqual(delay, expected)

    def test_overrun_is_merged_into_an_unsent_reuse(self):
        outbox = DemandOutbox(WaitingTable())
        outbox.reuse(ReusedSlot(1, 10, 5, 10))
        outbox.reuse(ReusedSlot(1, 10, 6, 20))
        outbox.overrun(1)
        outbox.overrun(2)
        message = outbox.take(1, 0.0)
        self.assertEqual([each.charged for each in message.reused], [10, 40])
        self.assertEqual(message.overruns, [2])
        self.assertEqual(outbox.events, 0)

    def test_answers_older_than_the_registration_are_ignored(self):
        clock = ManualClock(5.0)
        echoes = EchoTracker(clock)
        earlier, registered = (
            echoes.record_message(),
            echoes.record_registration(),
        )
        self.assertLess(earlier, registered)
        self.assertFalse(echoes.record_answer(earlier))
        self.assertEqual(echoes.fresh_until, 0.0)
        clock.move_to(6.0)
        self.assertEqual(echoes.unanswered_s(), 1.0)
        self.assertTrue(echoes.record_answer(registered))
        clock.move_to(9.0)
        self.assertEqual(echoes.unanswered_s(), 0.0)

    def test_slot_reuse_requires_recent_grant_and_fair_lag(self):
        snapshot = make_snapshot({"a": 1, "b": 1})
        a, target = identifier("a"), identifier("t0")
        cases = (
            ("at the floor", 0.1, 0, 100, {}, True),
            ("too old", 0.3, 0, 100, {}, False),
            ("one estimate above", 0.1, 10, 100, {}, True),
            ("more than one estimate above", 0.1, 11, 100, {}, False),
            ("forbidden", 0.1, 0, -1, {}, False),
            ("exclusive", 0.1, 0, 100, {"exclusive": True}, False),
            (
                "excluded",
                0.1,
                0,
                100,
                {"excluded_targets": frozenset([target])},
                False,
            ),
        )
        for name, age, lag, floor, options, expected in cases:
            with self.subTest(name):
                clock = ManualClock()
                view = ServiceView(clock, lambda: snapshot)
                view.update_groups([GroupStatus(GROUP, floor, 0)])
                grant = Grant(1, 1, target, 10, lag * 1000)
                view.update_workspace(a, GROUP, grant)
                clock.move_to(age)
                table = WaitingTable()
                plain = Fleet.request(None, "a", 10)
                request = Fleet.request(None, "a", 10, **options)
                waiting = WaitingRequest(2, request, print, print)
                table.add(waiting)
                slot = GrantedSlot(
                    None,
                    clock,
                    WaitingRequest(1, plain, print, print),
                    1,
                    target,
                    10,
                    9.0,
                )
                chosen = view.choose(slot, table, lambda each: 10)
                self.assertEqual(chosen is waiting, expected)

    def test_reuse_prefers_cached_prefix_at_equal_priority(self):
        held, other = identifier("t0"), identifier("t1")
        prefers = {"preferred": held}
        # Name, how often the first request was overtaken, options of both
        # requests, index of the chosen one.
        cases = (
            ("later one", 0, {}, prefers, 1),
            ("other target", 0, {}, {"preferred": other}, 0),
            ("overtaken twice", 2, {}, prefers, 0),
            ("class", 0, {}, prefers | {"request_class": RequestClass.BULK}, 0),
            ("near", 0, {"deadline": 10.0}, prefers | {"deadline": 10.9}, 1),
            ("far", 0, {"deadline": 10.0}, prefers | {"deadline": 11.1}, 0),
            ("no deadline", 0, {"deadline": 10.0}, prefers, 0),
            ("exclusive", 0, {}, prefers | {"exclusive": True}, 0),
        )
        snapshot = make_snapshot({"a": 1})
        for name, overtaken, first, second, expected in cases:
            with self.subTest(name):
                clock = ManualClock()
                view = ServiceView(clock, lambda: snapshot)
                view.update_groups([GroupStatus(GROUP, 0, 0)])
                grant = Grant(1, 1, held, 10, 0)
                view.update_workspace(identifier("a"), GROUP, grant)
                table = WaitingTable()
                waiting = []
                for number, options in ((2, first), (3, second)):
                    request = Fleet.request(None, "a", 10, **options)
                    each = WaitingRequest(number, request, print, print)
                    waiting.append(each)
                    table.add(each)
                waiting[0].overtaken = overtaken
                ended = WaitingRequest(1, waiting[0].request, print, print)
                slot = GrantedSlot(None, clock, ended, 1, held, 10, 9.0)
                chosen = view.choose(slot, table, lambda each: 10)
                self.assertIs(chosen, waiting[expected])
                self.assertEqual(
                    waiting[0].overtaken, overtaken + (expected == 1)
                )

    def test_max_waiting_applies_across_routers(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1, max_waiting=5))
        fleet.submit("r0", "a", 500)
        fleet.run(0.1)
        for router in ("r0", "r1"):
            for _ in range(4):
                fleet.submit(router, "a", 10)
        fleet.run(0.1)
        reasons = [error.reason for _, error in fleet.refusals]
        self.assertEqual(reasons, [RefusalReason.QUEUE_FULL] * 3)

    def test_paced_messages_are_coalesced(self):
        class Pacing:
            ready = 0.0

            def delay(self, now):
                return max(self.ready - 1e-9 - now, 0.0)

            def spend(self, size, now):
                self.ready = now + 0.2

        fleet = Fleet(make_snapshot({"a": 1}, 1, 4), 1, pacing=Pacing())
        for _ in range(200):
            fleet.submit("r0", "a", 5)
            fleet.run(0.01)
        # One message every 0.2 s, the first one without delay, and the
        # registration.
        self.assertLessEqual(fleet.messages, 2 / 0.2 + 2)
        fleet.run(8)
        self.assertEqual(fleet.served["a"], 1000)
        self.assertAlmostEqual(fleet.charged()["a"], 1000)

    def test_answers_sharing_a_budget_are_sent_in_turn(self):
        # Without FIFO order, some routers received no answer for a second and
        # considered the scheduler lost.
        clock = ManualClock()
        timers = TimerService(clock)
        bucket = TokenBucket(clock.monotonic, 1500, 100)

        class Pacing:
            def delay(self, now):
                return bucket.delay_s()

            def spend(self, size, now):
                bucket.spend(size)

        pacing, sent = Pacing(), {f"r{index}": [0.0] for index in range(10)}
        answers = AnswerSender(
            clock,
            timers,
            lambda name, message: sent[name].append(clock.monotonic()),
            None,
            {},
        )
        records = [RouterRecord(name, pacing) for name in sent]
        for record in records * 40:
            answers.schedule(record, 0.0)
            clock.move_to(clock.monotonic() + 0.01)
            timers.run_due()
        for times in sent.values():
            gaps = [b - a for a, b in itertools.pairwise([*times, 4.0])]
            # Sending ten answers of about 100 bytes, with a margin of one.
            self.assertLess(max(gaps), 1.0)

    def test_entries_per_workspace_and_message_are_limited(self):
        # A message with all entries of a large burst overdrew the budget, which
        # delayed completions.
        fleet = Fleet(make_snapshot({"a": 1, "b": 1}, 1, 2), 1)
        sent = []
        forward = fleet.to_scheduler

        def record(router, message):
            sent.append(message)
            forward(router, message)

        fleet.to_scheduler = record
        for _ in range(200):
            fleet.submit("r0", "a", 5)
        fleet.submit("r0", "b", 5)
        fleet.run(0.001)
        workspaces = [each.workspace for each in sent[0].entries]
        self.assertEqual(workspaces.count(identifier("a")), 16)
        self.assertEqual(workspaces.count(identifier("b")), 1)
        fleet.run(10)
        self.assertEqual((fleet.served["a"], fleet.served["b"]), (1000, 5))

    def test_overruns_are_batched(self):
        # Sending each overrun in its own message used a fifth of the budget of
        # control messages.
        fleet = Fleet(make_snapshot({"a": 1}, 1, 20), 1)
        for _ in range(20):
            fleet.submit("r0", "a", 400, estimate=10)
            fleet.run(0.01)
        fleet.run(0.05)
        before = fleet.messages
        fleet.run(0.14)
        self.assertLessEqual(fleet.messages - before, 1)
        fleet.run(1)
        self.assertAlmostEqual(fleet.charged()["a"], 20 * 400)

    def test_charges_are_kept_after_a_new_registration(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 2), 1)
        for _ in range(20):
            fleet.submit("r0", "a", 50)
        # The second registration is sent while the first grants are in transit.
        fleet.run(0.0015)
        fleet.connect("r0", "s")
        fleet.run(5)
        self.assertEqual(fleet.served["a"], 1000)
        self.assertAlmostEqual(fleet.charged()["a"], 1000)


class AcquireTest(unittest.IsolatedAsyncioTestCase):
    """Guards against slots that leak after cancellation or expiry."""

    async def test_outcomes(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1), 1)
        dispatcher = fleet.dispatchers["r0"]
        request = fleet.request("a", 10)

        async def start():
            task = asyncio.ensure_future(dispatcher.acquire(request))
            await asyncio.sleep(0)
            fleet.run(0.1)
            return task

        slot = await (await start())
        self.assertTrue(slot.is_valid())
        waiting = await start()
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(dispatcher.waiting, 0)
        slot.finish(10, SlotOutcome.SERVED)
        fleet.run(0.1)
        granted = await start()
        granted.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await granted
        self.assertEqual(dispatcher.in_flight, 0)
        fleet.run(0.1)
        # The process is paused between the grant and the next step of the task,
        # until the grant has expired.
        late = await start()
        fleet.clock.move_to(fleet.clock.monotonic() + 3)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(late.done())
        fleet.run(0.1)
        self.assertTrue((await late).is_valid())
        with self.assertRaises(RefusalError):
            unknown = fleet.request("a", 1)
            fleet.snapshot.groups.clear()
            await dispatcher.acquire(unknown)

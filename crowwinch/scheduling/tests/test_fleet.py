"""Integration tests of the scheduler and dispatchers on a manual clock."""

import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crowwinch.coordination import identifier
from crowwinch.errors import RefusalReason
from crowwinch.generated.documents import Event
from crowwinch.scheduling import RequestClass, SlotOutcome, TargetReport
from crowwinch.scheduling._records import AFFINITY_SLACK
from crowwinch.scheduling._reuse import MAX_REUSE_GRANT_AGE_S
from crowwinch.scheduling.tests.fleet import GROUP, Fleet, make_snapshot

_SEEDS = st.integers(0, 2**32)


def _report(name="t0", running=0, waiting=0, **options):
    return TargetReport(identifier(name), 1, running, waiting, **options)


class AccountingTest(unittest.TestCase):
    """Guards against incorrect charges and idle slots."""

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(_SEEDS, st.booleans(), st.booleans())
    def test_charged_equals_served_after_settlement(
        self, seed, reuse, duplicates
    ):
        rng = random.Random(seed)
        weights = {"a": 1, "b": 2.5, "c": 0.1}
        fleet = Fleet(make_snapshot(weights, 2, 2), 3, reuse=reuse)
        fleet.duplicate_messages = duplicates
        submitted = []
        for _ in range(120):
            router, cost = f"r{rng.randrange(3)}", rng.randint(1, 300)
            hint = round(cost * rng.uniform(0, 3))
            submitted.append(
                fleet.submit(router, rng.choice("abc"), cost, estimate=hint)
            )
            if rng.random() < 0.2:
                fleet.dispatchers[router].withdraw(rng.choice(submitted))
            if rng.random() < 0.3:
                fleet.run(rng.uniform(0, 0.2))
        fleet.run(60)
        # A workspace that becomes active is raised to the floor by an offset of
        # its group, not by a charge, so accounts contain charged service only.
        for name, charged in fleet.charged().items():
            self.assertAlmostEqual(charged, fleet.served[name], places=3)
        for dispatcher in fleet.dispatchers.values():
            self.assertEqual((dispatcher.waiting, dispatcher.in_flight), (0, 0))
        for number in fleet.snapshot.targets:
            target = fleet.schedulers["s"].targets.target(number)
            self.assertEqual(target.limit.own, 0)
            self.assertLessEqual(fleet.max_running[number], 2)

    def test_slots_never_idle_while_entries_wait(self):
        # A scheduler that waits for a preferred target leaves the other idle.
        for reuse, preferred in itertools.product(
            (False, True), (0, identifier("t1"))
        ):
            with self.subTest(reuse=reuse, preferred=preferred):
                fleet = Fleet(
                    make_snapshot({"a": 1, "b": 3}, 2, 3), reuse=reuse
                )
                rng = random.Random(3)
                for _ in range(300):
                    fleet.submit(
                        f"r{rng.randrange(2)}",
                        "ab"[rng.random() < 0.8],
                        rng.randint(20, 200),
                        preferred=preferred,
                    )
                fleet.run(4)
                # Each completion leaves a slot idle for at most two link delays
                # and two timer steps.
                lost = len(fleet.starts) * (2 * fleet.delay + 0.001)
                self.assertGreaterEqual(
                    sum(fleet.served.values()), (6 * 4 - lost) * 1000 - 1200
                )
                scheduler = fleet.schedulers["s"]
                self.assertGreater(scheduler.queue.waiting(GROUP), 0)
                self.assertFalse(
                    scheduler.targets.groups[GROUP].has_free_target
                )


class FairnessTest(unittest.TestCase):
    """Guards against unfair service and gaps above the bound of section 5."""

    @settings(max_examples=20, deadline=None, derandomize=True)
    @given(_SEEDS, st.booleans(), st.booleans())
    def test_gap_does_not_exceed_bound(self, seed, reuse, duplicates):
        rng = random.Random(seed)
        slots, largest = rng.randint(2, 6), rng.choice([20, 100, 300])
        weights = {"a": 1, "b": rng.choice([0.5, 2, 8]), "c": 3}
        fleet = Fleet(make_snapshot(weights, 1, slots), 3, reuse=reuse)
        fleet.duplicate_messages = duplicates

        def submit(name, on_end=None):
            cost = rng.randint(1, largest)
            hint = round(cost * rng.choice([0.3, 1, 3]))
            # Requests of a arrive at one router, others at random ones.
            router = 0 if name == "a" else rng.randrange(3)
            return fleet.submit(
                f"r{router}", name, cost, estimate=hint, on_end=on_end
            )

        def ask_repeatedly(name):
            submit(name, lambda: ask_repeatedly(name))

        for name in ("a", "b") * (3 * slots):
            ask_repeatedly(name)
        while fleet.clock.monotonic() < 4.0:
            for _ in range(rng.randrange(6)):
                waiting = submit("c")
                if rng.random() < 0.3:
                    fleet.run(0.01)
                    for dispatcher in fleet.dispatchers.values():
                        dispatcher.withdraw(waiting)
            fleet.run(rng.uniform(0, 0.5))
        weight = weights["b"]
        # Estimates may be wrong, so C in the bound is the largest cost on
        # every slot.
        cost = slots * largest
        slack = 3 * largest * max(1, 1 / weight)
        # Time until service affects decisions. With reuse, a router's data may
        # be older by up to MAX_REUSE_GRANT_AGE_S.
        delay = 4 * fleet.delay + MAX_REUSE_GRANT_AGE_S * reuse
        bound = (cost + cost / weight) * 2 + slack
        bound += slots * 1000 * delay * (1 + 1 / weight)
        self.assertLessEqual(fleet.gap("a", "b"), bound)

    def test_small_workspace_is_served_in_proportion(self):
        weights = {"small": 0.1, "x": 5, "y": 5}
        for reuse in (False, True):
            with self.subTest(reuse=reuse):
                fleet = Fleet(make_snapshot(weights), reuse=reuse)
                for number in range(2000):
                    fleet.submit("r0", "xy"[number % 2], 20)
                    if number < 50:
                        fleet.submit("r1", "small", 20)
                fleet.run(8)
                # The share of 0.1 / 10.1 of 8 s x 4 slots x 1000 / 20 requests,
                # less one request that may be late.
                served = [each for each in fleet.starts if each[1] == "small"]
                self.assertGreaterEqual(len(served), 14)

    def test_flood_does_not_delay_others(self):
        slowest = {}
        for flood in (0, 2000):
            fleet = Fleet(make_snapshot({"calm": 1, "flood": 1}))
            submitted = []
            for _ in range(25):
                for _ in range(flood):
                    fleet.submit("r0", "flood", 20)
                submitted.append(fleet.clock.monotonic())
                fleet.submit("r1", "calm", 20)
                fleet.run(0.02)
            fleet.run(1)
            calm = [each[0] for each in fleet.starts if each[1] == "calm"]
            self.assertEqual(len(calm), 25)
            slowest[flood] = max(
                start - submitted_at
                for start, submitted_at in zip(calm, submitted, strict=True)
            )
        # The flood may occupy every slot for one request (20 ms).
        self.assertLessEqual(slowest[2000], slowest[0] + 0.03)
        reasons = {error.reason for _, error in fleet.refusals}
        self.assertEqual(reasons, {RefusalReason.QUEUE_FULL})
        self.assertGreater(len(fleet.refusals), 45_000)
        for _, error in fleet.refusals[:10]:
            self.assertGreater(error.retry_after_s, 0)


class GrantTest(unittest.TestCase):
    """Guards against grants that violate constraints and wrong refusals."""

    def test_paused_router_does_not_use_an_expired_grant(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1))
        fleet.run(0.1)
        fleet.paused.add("r0")
        fleet.submit("r0", "a", 10)
        fleet.run(0.01)
        self.assertEqual(len(fleet.delayed_deliveries), 1)
        # Timers do not run while the process is paused.
        fleet.clock.move_to(fleet.clock.monotonic() + 2.1)
        fleet.paused.clear()
        for deliver in fleet.delayed_deliveries:
            deliver()
        self.assertEqual(fleet.starts, [])
        fleet.run(0.1)
        self.assertEqual(len(fleet.starts), 1)

    def test_leaving_target_receives_no_grants(self):
        fleet = Fleet(make_snapshot({"a": 1}, 2, 2))
        for _ in range(100):
            fleet.submit("r0", "a", 100)
        fleet.run(0.5)
        fleet.schedulers["s"].report_target(_report(leaving=True))
        leaving = identifier("t0")
        fleet.run(0.3)
        self.assertEqual(fleet.running[leaving], 0)
        fleet.run(1)
        self.assertEqual(fleet.running[leaving], 0)
        self.assertEqual(fleet.running[identifier("t1")], 2)

    def test_exclusive_request_runs_alone(self):
        for targets in (1, 2):
            with self.subTest(targets=targets):
                fleet = Fleet(make_snapshot({"a": 1, "b": 1}, targets, 3))
                for _ in range(60):
                    fleet.submit("r0", "a", 50)
                fleet.run(0.01)
                alone = []

                def start(slot, fleet=fleet, alone=alone):
                    alone.append(fleet.running[slot.target])
                    before = len(fleet.starts)

                    def end():
                        alone.append(fleet.running[slot.target])
                        alone.append(len(fleet.starts) - before)
                        slot.finish(1, SlotOutcome.SERVED)

                    fleet.timers.call_later(0.2, end)

                request = fleet.request("b", 10, exclusive=True)
                fleet.dispatchers["r1"].submit(request, start, self.fail)
                fleet.run(3)
                self.assertEqual(alone[:2], [0, 0])
                # A second target is not affected.
                self.assertEqual(alone[2] > 0, targets == 2)
                self.assertEqual(fleet.served["a"], 3000)

    def test_preferred_target_is_selected_within_slack(self):
        # t0 has 8 free slots. Each case lists the grants and slots of t1, the
        # preferred target and the expected one.
        cases = (
            ("at the slack", 2, 8, "t1", "t1"),
            ("above the slack", 3, 8, "t1", "t0"),
            ("not free", 1, 1, "t1", "t0"),
            ("unknown", 0, 8, "t9", "t0"),
            ("avoided", 0, 8, "t1", "t0"),
        )
        self.assertEqual(AFFINITY_SLACK, 2 / 8)
        for name, load, slots, preferred, expected in cases:
            with self.subTest(name):
                fleet = Fleet(make_snapshot({"a": 1}, 2, 8), 1)
                fleet.run(0.1)
                group = fleet.schedulers["s"].targets.groups[GROUP]
                target = group.targets[1]
                target.allowed = slots
                for _ in range(load):
                    target.limit.begin(fleet.clock.monotonic())
                avoided = {target.number} if name == "avoided" else ()
                best = group.best_target(
                    frozenset(avoided), identifier(preferred)
                )
                self.assertEqual(best.number, identifier(expected))

    def test_excluded_target_is_avoided(self):
        fleet = Fleet(make_snapshot({"a": 1}, 2, 1))
        excluded = frozenset([identifier("t0")])
        for _ in range(5):
            fleet.submit("r0", "a", 50, excluded_targets=excluded)
        fleet.run(1)
        self.assertEqual(len(fleet.starts), 5)
        self.assertEqual(fleet.max_running[identifier("t0")], 0)

    def test_idle_time_does_not_affect_forecast(self):
        """Guards against forecasts that treat idle time as slow service."""
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1))
        for idle_s in (30, 600):
            for _ in range(3):
                fleet.submit("r0", "a", 100)
            fleet.run(idle_s)
        deadline = fleet.clock.monotonic() + 5
        for _ in range(3):
            fleet.submit("r0", "a", 100, deadline=deadline)
            fleet.run(0.1)
        self.assertEqual(fleet.refusals, [])

    def test_first_completion_of_burst_does_not_cause_refusals(self):
        """Guards against forecasts based on a single completion.

        Requests occupy all 24 slots and the shortest one completes after 0.5 s.
        At that moment, requests of a small workspace were refused although they
        would have been served in less than 2 s.
        """
        fleet = Fleet(make_snapshot({"a": 4, "b": 1}, 3, 8), 4)
        for number, cost in enumerate([500, *[1000] * 80]):
            fleet.submit(f"r{number % 4}", "a", cost)
        fleet.run(0.84)
        deadline = fleet.clock.monotonic() + 12
        for _ in range(4):
            fleet.submit("r1", "b", 100, deadline=deadline)
        fleet.run(4)
        self.assertEqual(fleet.refusals, [])
        self.assertEqual(fleet.served["b"], 400)

    def test_unreachable_deadline_is_refused_immediately(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1))
        for _ in range(40):
            fleet.submit("r0", "a", 100)
        fleet.run(1)
        now = fleet.clock.monotonic()
        fleet.submit("r0", "a", 10, deadline=now + 1, request_class=1)
        fleet.submit("r0", "a", 10, deadline=now + 1)
        fleet.run(0.02)
        reasons = [error.reason for _, error in fleet.refusals]
        self.assertEqual(reasons, [RefusalReason.DEADLINE_UNREACHABLE])
        self.assertGreater(fleet.refusals[0][1].retry_after_s, 1)
        fleet.submit("r0", "a", 10, deadline=fleet.clock.monotonic() - 1)
        self.assertEqual(
            fleet.refusals[-1][1].reason, RefusalReason.DEADLINE_EXCEEDED
        )

    def test_refusal_names_limit_that_prevents_deadline(self):
        # After a request that costs 1,000 units, a rate limit of 100/s with a
        # burst of one second permits no service for 9 s. Each case lists rate,
        # seconds since the grant, estimate, cost, deadline and reason.
        limit = RefusalReason.WORKSPACE_LIMIT
        cases = (
            ("before the recovery", 100, 2, 1000, 1000, 5, limit),
            ("after the recovery", 100, 2, 1000, 1000, 9, None),
            ("no limit", 0, 2, 1000, 1000, 5, None),
            ("charge that may be returned", 100, 0.01, 1000, 50, 5, None),
            ("event", 100, 2, 1000, 1000, 5, None),
        )
        for name, rate, since, estimate, cost, left, reason in cases:
            with self.subTest(name):
                limits = {"max_service_per_second": rate}
                fleet = Fleet(make_snapshot({"a": 1}, **limits), 1)
                if name == "event":
                    start = round(fleet.clock.time()) + 4
                    event = Event(
                        "e", "a", start, start + 60, max_service_per_second=9000
                    )
                    fleet.snapshot.events["a"] = (event,)
                fleet.submit("r0", "a", cost, estimate=estimate)
                fleet.run(since)
                deadline = fleet.clock.monotonic() + left
                fleet.submit("r0", "a", 10, deadline=deadline)
                fleet.run(0.02)
                self.assertEqual(
                    [error.reason for _, error in fleet.refusals],
                    [reason] if reason else [],
                )
                for _, error in fleet.refusals:
                    self.assertAlmostEqual(error.retry_after_s, 7, delta=0.1)
                fleet.run(left)
                self.assertEqual(len(fleet.starts), 1 if reason else 2)

    def test_deadline_passes_while_waiting(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1))
        fleet.submit("r0", "a", 1000)
        fleet.run(0.1)
        fleet.submit("r0", "a", 10, deadline=0.5)
        fleet.run(0.39)
        self.assertEqual(fleet.refusals, [])
        fleet.run(0.02)
        self.assertEqual(
            fleet.refusals[0][1].reason, RefusalReason.DEADLINE_EXCEEDED
        )

    def test_interactive_precedes_bulk(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1), reuse=False)
        fleet.submit("r0", "a", 50)
        fleet.run(0.01)
        fleet.submit("r0", "a", 7, request_class=RequestClass.BULK)
        fleet.run(0.01)
        fleet.submit("r1", "a", 9)
        fleet.run(1)
        self.assertEqual([cost for *_, cost in fleet.starts], [50, 9, 7])


class TakeoverTest(unittest.TestCase):
    """Guards against takeovers that lose order, slots or requests."""

    def test_order_is_restored(self):
        fleet = Fleet(make_snapshot({"a": 1, "b": 1}), reuse=False)
        # a receives 2,000 units on one slot while b receives 3 x 150.
        fleet.submit("r0", "a", 2000, duration=0.1)
        for number in range(300):
            fleet.submit("r1", "b", 50)
            if number == 100:
                fleet.run(0.11)
        for _ in range(100):
            fleet.submit("r0", "a", 50)
        fleet.run(0.05)
        self.assertEqual(fleet.served["a"], 2000)
        fleet.schedulers.pop("s").close()
        fleet.add_scheduler("n", lease=2)
        for name in ("r0", "r1"):
            fleet.connect(name, "n")
        # b has received half of a's service and has to catch up by about 700
        # units, at 4,000 units per second.
        fleet.run(0.15)
        # r0 registers first and may use half of the four slots once.
        self.assertLessEqual(fleet.served["a"], 2000 + 2 * 50)
        fleet.run(20)
        # Section 4.2: grants on half of the slots may be added until r1 has
        # registered its own.
        self.assertLessEqual(fleet.max_running[identifier("t0")], 4 + 2)
        self.assertEqual(len(fleet.starts), 401)

    def test_lost_router_frees_slots_when_reports_show_it(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 4))
        for _ in range(4):
            fleet.submit("r0", "a", 100_000)
        fleet.run(0.1)
        scheduler = fleet.schedulers["s"]
        scheduler.remove_router("r0")
        limit = scheduler.targets.target(identifier("t0")).limit
        # With one of two listed routers registered, the allowance is at least
        # half of the limit. It rises by one slot on every second report, up to
        # the number of slots that are free according to both of the last two
        # reports.
        for running, allowed in ((4, 2), (4, 2), (1, 2), (0, 3), (0, 4)):
            fleet.run(1)
            scheduler.report_target(_report(running=running))
            self.assertEqual(limit.allowed(1, 2), allowed)

    def test_router_registers_again_with_its_scheduler(self):
        fleet = Fleet(make_snapshot({"a": 1, "b": 1}, 1, 2))
        for name in "ab" * 40:
            fleet.submit("r0", name, 30)
        for _ in range(20):
            fleet.run(0.05)
            fleet.connect("r0", "s")
        fleet.run(10)
        self.assertEqual(fleet.served, {"a": 1200, "b": 1200})
        self.assertEqual(fleet.max_running[identifier("t0")], 2)
        target = fleet.schedulers["s"].targets.target(identifier("t0"))
        self.assertEqual(target.limit.own, 0)

    def test_restarted_scheduler_asks_for_registrations(self):
        fleet = Fleet(make_snapshot({"a": 1}, 1, 1))
        for _ in range(10):
            fleet.submit("r0", "a", 100)
        fleet.run(0.25)
        fleet.schedulers.pop("s").close()
        fleet.add_scheduler("s", lease=2)
        fleet.run(3)
        self.assertEqual(len(fleet.starts), 10)
        self.assertEqual(fleet.max_running[identifier("t0")], 1)

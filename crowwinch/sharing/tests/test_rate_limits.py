"""Tests of rate limits that several routers share."""

import collections
import random
import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing import (
    RateLimitReport,
    TargetRateLimits,
    TargetView,
)

_TARGET = TargetView("t", 1, "llm", False, 32, is_engine=True)
_STEP_S = 0.05
_FAN_OUT = 12
_ANSWER_S = 0.1
_SECONDS = 20.0
# A target may get half again what its limit allows in a window, and a few more,
# once its limit has been known for a while.
_WINDOW_S = 4.0
_BOUND_FACTOR = 1.5
_BOUND_REQUESTS = 5
_LEARNED_S = 3.0


class _Fleet:
    """Routers that exchange reports and send to one target with a limit."""

    def __init__(self, weights, limit, per_s, seed=1, loss=0.0):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.limit = limit
        self.names = [f"r{number}" for number in range(len(weights))]
        self.weights, self.per_s, self.loss = weights, per_s, loss
        self.lives = collections.Counter()
        self.routers = [self._start(name) for name in self.names]
        self.next_peer = collections.Counter()
        self.in_flight = []
        self.sent = []
        self.answers = []

    def _start(self, name):
        router = TargetRateLimits(self.clock, self.rng.random)
        router.set_fleet(name, self.names)
        return router

    def restart(self, number):
        self.lives[number] += 1
        self.routers[number] = self._start(self.names[number])

    def run(self, seconds, on_step=lambda now: None):
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.move_to(self.clock.monotonic() + _STEP_S)
            on_step(self.clock.monotonic())
            self._exchange()
            self._send()

    def _exchange(self):
        arrived, self.in_flight = self.in_flight, []
        for number, message in arrived:
            if self.rng.random() >= self.loss:
                self.routers[number].merge_peer(*message)
        for number, router in enumerate(self.routers):
            router.refresh()
            message = (
                self.names[number],
                self.lives[number],
                router.reports(),
                router.demand(),
            )
            for _ in range(min(_FAN_OUT, len(self.routers) - 1)):
                self.next_peer[number] += 1
                peer = (number + self.next_peer[number]) % len(self.routers)
                if peer != number:
                    self.in_flight.append((peer, message))

    def _send(self):
        now = self.clock.monotonic()
        due = [entry for entry in self.answers if entry[0] <= now]
        self.answers = [entry for entry in self.answers if entry[0] > now]
        for _, number, sent_at in due:
            self.routers[number].observe("t", 1, self.limit, sent_at)
        arrivals = int(self.per_s * _STEP_S + self.rng.random())
        for number in self.rng.choices(
            range(len(self.routers)), self.weights, k=arrivals
        ):
            router = self.routers[number]
            router.record_demand("llm")
            if not router.allowance(_TARGET).wait_s:
                router.take("t", 1)
                self.sent.append(now)
                self.answers.append((now + _ANSWER_S, number, now))

    def most_in_a_window(self, after_s):
        times = [time for time in self.sent if time >= after_s]
        return max(
            sum(1 for time in times if start <= time < start + _WINDOW_S)
            for start in times
        )

    def count(self, start, end):
        return sum(1 for time in self.sent if start <= time < end)


class SharedLimitTest(unittest.TestCase):
    """Guards against routers that send more than the limit together."""

    def _assert_within(self, fleet, after_s=_LEARNED_S):
        bound = _BOUND_FACTOR * _WINDOW_S * fleet.limit + _BOUND_REQUESTS
        self.assertLessEqual(fleet.most_in_a_window(after_s), bound)

    def test_fleet_stays_within_the_limit_and_uses_it(self):
        cases = (
            ("even", [1] * 8, 7.0, 60.0, 0.0, (1, 2, 3)),
            ("uneven", [40, 5, 3, 2, 1, 1, 0.1, 0], 7.0, 60.0, 0.0, (1, 2, 3)),
            ("lost reports", [8, 7, 6, 5, 4, 3, 2, 1], 5.5, 60.0, 0.3, (1, 2)),
            (
                "78 routers",
                [1 + n % 7 for n in range(78)],
                6.0,
                200.0,
                0.0,
                (1,),
            ),
            ("195 routers", [1] * 195, 3.0, 400.0, 0.0, (1,)),
            ("high limit", [1, 2, 3], 80.0, 300.0, 0.0, (1, 2, 3)),
        )
        for name, weights, limit, per_s, loss, seeds in cases:
            for seed in seeds:
                with self.subTest(name, seed=seed):
                    fleet = _Fleet(weights, limit, per_s, seed, loss)
                    fleet.run(_SECONDS)
                    self._assert_within(fleet)
                    used = fleet.count(_LEARNED_S, _SECONDS)
                    possible = limit * (_SECONDS - _LEARNED_S)
                    self.assertGreater(used, 0.7 * possible)

    def test_load_that_moves_between_routers(self):
        """Guards against requests that idle routers save for later."""
        for size in (8, 78):
            with self.subTest(size):
                half = size // 2
                fleet = _Fleet([1] * half + [0] * (size - half), 5.0, 300.0)
                fleet.run(8.0)
                fleet.weights = fleet.weights[::-1]
                fleet.run(12.0)
                self._assert_within(fleet)

    def test_routers_that_restart_in_turn(self):
        """Guards against a full share for each router without memory."""
        fleet = _Fleet([1] * 8, 7.0, 80.0)
        due = [(6.0 + number, number) for number in range(8)]

        def on_step(now):
            if due and now >= due[0][0]:
                fleet.restart(due.pop(0)[1])

        fleet.run(_SECONDS, on_step)
        self._assert_within(fleet)

    def test_low_load_that_rises(self):
        """Guards against a burst of what was saved while little was asked."""
        fleet = _Fleet([1] * 78, 4.0, 2.0)
        fleet.run(10.0)
        fleet.per_s = 400.0
        fleet.run(10.0)
        self._assert_within(fleet)


class KnownLimitTest(unittest.TestCase):
    """Guards against limits that end early, never, or for another target."""

    def setUp(self):
        self.clock = ManualClock(10.0)
        self.router = TargetRateLimits(self.clock, lambda: 0.0)

    def _is_limited(self, view=_TARGET):
        return self.router.allowance(view).wait_s > 0.0

    def _observe(self, per_s, sent_at, target="t", life=1):
        return self.router.observe(target, life, per_s, sent_at)

    def test_limit_ends_with_a_later_answer_without_it(self):
        self.assertTrue(self._observe(1.0, 9.9))
        self.clock.move_to(11.0)
        self.assertFalse(self._observe(None, 9.95))
        self.assertTrue(self._is_limited())
        self.assertTrue(self._observe(None, 10.5))
        self.assertFalse(self._is_limited())

    def test_late_answer_does_not_change_the_number(self):
        self._observe(2.0, 9.9)
        self.clock.move_to(10.2)
        self.assertFalse(self._observe(50.0, 9.0))
        self.router.take("t", 1)
        self.assertGreater(self.router.allowance(_TARGET).wait_s, 0.5)

    def test_restarted_target_has_no_limit(self):
        self._observe(1.0, 9.9)
        view = TargetView("t", 2, "llm", False, 32)
        self.assertFalse(self._is_limited(view))

    def test_target_without_requests_can_still_end_its_limit(self):
        """Guards against a limit of 0 that keeps a target unused for ever."""
        self._observe(0.0, 9.9)
        self.clock.move_to(20.0)
        self.router.refresh()
        self.assertFalse(self._is_limited())

    def test_request_that_was_not_sent_is_given_back(self):
        self._observe(1.0, 9.9)
        self.clock.move_to(15.0)
        self.assertFalse(self._is_limited())
        self.router.take("t", 1)
        self.assertTrue(self._is_limited())
        self.router.give_back("t", 1)
        self.assertFalse(self._is_limited())

    def test_requests_of_a_peer_before_its_restart_count(self):
        """Guards against a count that a restart sets to zero."""
        # A whole request to start with, so that only the count limits.
        self.router = TargetRateLimits(self.clock, lambda: 1.0)
        self.router.set_fleet("a", ["a", "b"])
        self._observe(2.0, 9.9)
        self.assertFalse(self._is_limited())
        report = RateLimitReport("t", 1, 2.0, 0.0, None, 10)
        self.clock.move_to(20.0)
        self.router.merge_peer("b", 1, [report], {"llm": 1.0})
        self.assertTrue(self._is_limited())
        self.router.merge_peer("b", 2, [], {})
        self.router.refresh()
        self.assertTrue(self._is_limited())
        # They leave the window evenly; 8 are allowed.
        self.clock.move_to(20.9)
        self.assertFalse(self._is_limited())

    def test_peers_learn_of_a_limit_and_of_its_end(self):
        peer = TargetRateLimits(self.clock, lambda: 0.0)
        for name, limits in (("a", self.router), ("b", peer)):
            limits.set_fleet(name, ["a", "b"])
        self._observe(1.0, 9.9)
        peer.merge_peer("a", 1, self.router.reports(), self.router.demand())
        self.assertGreater(peer.allowance(_TARGET).wait_s, 0.0)
        self.clock.move_to(12.0)
        peer.observe("t", 1, None, 11.0)
        self.router.merge_peer("b", 1, peer.reports(), peer.demand())
        self.assertFalse(self._is_limited())

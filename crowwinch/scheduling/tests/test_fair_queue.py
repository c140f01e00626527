"""Tests of weighted fair queueing."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crowwinch.configuration import Snapshot
from crowwinch.coordination import ManualClock, identifier
from crowwinch.generated.documents import Event, Group, Workspace
from crowwinch.scheduling import Entry, FairQueue

_SERVICE_GROUP = identifier("service")


def _make_queue(weights, clock=None, events=(), **limits):
    snapshot = Snapshot.build(
        1,
        "",
        [
            Workspace(name=name, weight=weight, key_hashes=[], **limits)
            for name, weight in weights.items()
        ],
        [Group(name="service", kind="service", region="r", targets=[])],
        events,
    )
    return FairQueue(clock or ManualClock(), lambda: snapshot)


def _make_entry(request, workspace="a", group=1, request_class=0, **options):
    return Entry(
        "r", request, identifier(workspace), group, request_class, **options
    )


def _grant_next(queue, group=1, cost=10):
    """Selects and charges an entry; returns its request number or None."""
    entry = queue.select(group)
    if entry is None:
        return None
    weight = queue.limits(entry.workspace).weight
    queue.charge(entry.workspace, cost, weight, group)
    queue.begin(entry.workspace, entry.group, cost / weight)
    return entry.request


class OrderTest(unittest.TestCase):
    """Guards against unfair selection of entries."""

    def test_order_inside_a_workspace(self):
        cases = (
            ("arrival", [{}, {}, {}], [0, 1, 2]),
            ("interactive first", [{"request_class": 1}, {}], [1, 0]),
            ("deadline", [{}, {"deadline": 9}, {"deadline": 5}], [2, 1, 0]),
            (
                "class before deadline",
                [{"request_class": 1, "deadline": 1}, {}],
                [1, 0],
            ),
        )
        for name, options, expected in cases:
            with self.subTest(name):
                queue = _make_queue({"a": 1})
                for number, each in enumerate(options):
                    queue.add(_make_entry(number, **each))
                got = [_grant_next(queue) for _ in options]
                self.assertEqual(got, expected)

    def test_entries_ahead_follows_service_order(self):
        queue = _make_queue({"a": 1})
        late, early = _make_entry(1, deadline=9), _make_entry(2, deadline=5)
        queue.add(late)
        queue.add(early)
        self.assertEqual(queue.entries_ahead(late), 1)
        self.assertEqual(queue.entries_ahead(early), 0)

    def test_service_is_proportional_to_weight(self):
        queue = _make_queue({"a": 1, "b": 3})
        for number in range(40):
            queue.add(_make_entry(number, "a" if number < 20 else "b"))
        served = [_grant_next(queue) for _ in range(20)]
        self.assertEqual(sum(number >= 20 for number in served), 15)

    def test_idle_workspace_accumulates_no_credit(self):
        queue = _make_queue({"a": 1, "b": 1})
        for number in range(50):
            queue.add(_make_entry(number, "a"))
        for _ in range(20):
            _grant_next(queue)
            queue.end(identifier("a"), 1, 10)
        for number in range(100, 120):
            queue.add(_make_entry(number, "b"))
        served = [_grant_next(queue) for _ in range(20)]
        self.assertEqual(sum(number >= 100 for number in served), 10)

    def test_half_of_charges_in_flight_counts_as_served(self):
        # Otherwise a new workspace would wait for service that has been charged
        # to others in advance.
        queue = _make_queue({"a": 1, "b": 1})
        for number in range(50):
            queue.add(_make_entry(number, "a"))
        for _ in range(4):
            _grant_next(queue)
        for number in range(100, 120):
            queue.add(_make_entry(number, "b"))
        served = [_grant_next(queue) for _ in range(4)]
        self.assertEqual([number >= 100 for number in served[:2]], [True] * 2)
        self.assertEqual(queue.lag(identifier("b"), 1), 0)

    def test_active_workspace_keeps_its_virtual_service(self):
        # If the virtual service of an active workspace was raised to that of
        # others, a workspace with many requests deprived it of its share.
        queue = _make_queue({"a": 1, "b": 1})
        queue.add(_make_entry(1, "a"))
        _grant_next(queue, cost=10)
        queue.add(_make_entry(2, "b"))
        queue.add(_make_entry(3, "b"))
        _grant_next(queue, cost=500)
        queue.add(_make_entry(4, "a"))
        self.assertEqual(_grant_next(queue), 4)

    def test_floors_of_groups_are_independent(self):
        queue = _make_queue({"a": 1, "b": 1, "c": 1})
        for number in range(50):
            queue.add(_make_entry(number, "a", group=1))
            queue.add(_make_entry(100 + number, "b", group=2))
        for _ in range(20):
            _grant_next(queue, group=2)
            queue.end(identifier("b"), 2, 10)
        for number in range(200, 250):
            queue.add(_make_entry(number, "c", group=2))
        served = [_grant_next(queue, group=2) for _ in range(20)]
        self.assertLessEqual(sum(number >= 200 for number in served), 11)

    def test_service_is_shared_by_groups_with_the_same_unit(self):
        cases = (
            ("same unit", 2, [1, 2, 3, 4, 5]),
            ("slot-milliseconds and tokens", _SERVICE_GROUP, [1, 11]),
        )
        for name, other, expected in cases:
            with self.subTest(name):
                queue = _make_queue({"a": 1, "b": 1})
                for number in range(1, 6):
                    queue.add(_make_entry(number, "a", group=1))
                    queue.add(_make_entry(10 + number, "b", group=1))
                    queue.add(_make_entry(20 + number, "b", group=other))
                _grant_next(queue, group=other, cost=1000)
                served = [_grant_next(queue, group=1) for _ in expected]
                self.assertEqual(served, expected)

    def test_refund_restores_priority(self):
        queue = _make_queue({"a": 1, "b": 1})
        for number in (1, 2):
            queue.add(_make_entry(number, "a"))
            queue.add(_make_entry(10 + number, "b"))
        self.assertEqual(_grant_next(queue, cost=1000), 1)
        self.assertEqual(_grant_next(queue, cost=10), 11)
        queue.charge(identifier("a"), -995, 1.0, 1)
        self.assertEqual(_grant_next(queue), 2)


class LimitTest(unittest.TestCase):
    """Guards against limits that are exceeded or block forever."""

    def test_max_in_flight(self):
        queue = _make_queue({"a": 1, "b": 1}, max_in_flight=1)
        for number in (1, 2):
            queue.add(_make_entry(number, "a"))
        queue.add(_make_entry(3, "b"))
        self.assertEqual([_grant_next(queue) for _ in range(3)], [1, 3, None])
        queue.end(identifier("a"), 1, 10)
        self.assertEqual(_grant_next(queue), 2)

    def test_max_service_per_second(self):
        clock = ManualClock()
        queue = _make_queue({"a": 1}, clock, max_service_per_second=10)
        for number in range(200):
            queue.add(_make_entry(number))
        served = 0
        for step in range(101):
            clock.move_to(step / 10)
            while _grant_next(queue, cost=5) is not None:
                served += 5
        # One second of burst, ten seconds of refill, one request beyond them.
        self.assertLessEqual(served, 10 + 100 + 5)
        self.assertGreaterEqual(served, 95)

    def test_event_changes_limits_at_its_start(self):
        clock = ManualClock()
        event = Event(name="e", workspace="a", start=5, end=9, weight=4)
        queue = _make_queue({"a": 1}, clock, [event])
        workspace = identifier("a")
        for time, weight in ((0, 1), (4.9, 1), (5, 4), (8.9, 4), (9, 1)):
            with self.subTest(time):
                clock.move_to(time)
                self.assertEqual(queue.limits(workspace).weight, weight)


class InvariantTest(unittest.TestCase):
    """Guards against heaps that are inconsistent with the accounts."""

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_lowest_virtual_service_is_selected(self, seed):
        rng = random.Random(seed)
        actions = ["add", "add", "remove", "serve", "end", "refund"]
        steps = [
            (
                rng.choice(actions),
                rng.randrange(4),
                rng.randint(1, 2),
                rng.randint(1, 50),
            )
            for _ in range(200)
        ]
        names = "abcd"
        queue = _make_queue(dict.fromkeys(names, 2.0), max_in_flight=3)
        waiting, in_flight = [], []
        for number, (action, index, group, cost) in enumerate(steps):
            workspace = identifier(names[index])
            if action == "add":
                waiting.append(_make_entry(number, names[index], group))
                queue.add(waiting[-1])
            elif action == "remove" and waiting:
                queue.remove(waiting.pop(index % len(waiting)))
            elif action == "end" and in_flight:
                queue.end(*in_flight.pop())
            elif action == "refund":
                queue.charge(workspace, -cost, 2.0, 1)
            elif action == "serve":
                eligible = {
                    each.workspace
                    for each in waiting
                    if each.group == group
                    and sum(each.workspace == one for one, *_ in in_flight) < 3
                }
                keys = {
                    each: queue.lag(each, group) for each in sorted(eligible)
                }
                entry = queue.select(group)
                self.assertEqual(entry is None, not eligible)
                if entry is not None:
                    lowest = min(keys.values())
                    self.assertAlmostEqual(keys[entry.workspace], lowest)
                    waiting.remove(entry)
                    queue.charge(entry.workspace, cost, 2.0, entry.group)
                    queue.begin(entry.workspace, entry.group, cost / 2.0)
                    in_flight.append((entry.workspace, entry.group, cost / 2.0))
            self.assertEqual(
                {id(each) for each in queue}, {id(each) for each in waiting}
            )

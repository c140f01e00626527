"""Tests of the reliable link."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crowwinch.coordination import (
    Frame,
    LinkFullError,
    LinkOptions,
    ManualClock,
    ReliableLink,
    TimerService,
)


class LossyPair:
    """Two links over a channel that loses, doubles and delays frames."""

    def __init__(self, seed=0, loss=0.0, double=0.0, delay=0.01):
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.random = random.Random(seed)
        self.loss, self.double, self.delay = loss, double, delay
        self.ends, self.got, self.events, self.frames = {}, {}, [], []
        self.restart("a", 1)
        self.restart("b", 1)

    def restart(self, name, epoch):
        if name in self.ends:
            self.ends[name].close()
        other = "b" if name == "a" else "a"
        self.got[name] = []
        self.ends[name] = ReliableLink(
            epoch,
            self.timers,
            lambda frame: self.carry(other, frame),
            self.got[name].append,
            on_reset=lambda new: self.events.append((name, "reset", new)),
            on_silent=lambda _: self.events.append((name, "silent")),
            options=LinkOptions(capacity=64),
        )

    def carry(self, to, frame):
        self.frames.append(frame)
        copies = 1 + (self.random.random() < self.double)
        for _ in range(copies):
            if self.random.random() >= self.loss:
                self.timers.call_later(
                    self.random.random() * self.delay,
                    lambda: self.ends[to].receive(frame),
                )

    def run(self, seconds):
        end = self.clock.monotonic() + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            self.clock.move_to(max(due, self.clock.monotonic()))
            self.timers.run_due()
        self.clock.move_to(end)


class LinkPropertyTest(unittest.TestCase):
    """Guards against payloads lost, doubled or out of order."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        loss=st.floats(0, 0.6),
        double=st.floats(0, 0.5),
        delay=st.floats(0, 3.0),
        counts=st.tuples(st.integers(0, 30), st.integers(0, 30)),
    )
    def test_in_order_exactly_once(self, seed, loss, double, delay, counts):
        pair = LossyPair(seed, loss, double, delay)
        sent = {"a": [], "b": []}
        for name, count in zip("ab", counts, strict=True):
            for index in range(count):
                payload = b"%d" % index
                sent[name].append(payload)
                pair.ends[name].send(payload)
                pair.run(pair.random.random() * 0.1)
        pair.run(60)
        pair.loss = 0
        pair.run(30)
        self.assertEqual(pair.got["b"], sent["a"])
        self.assertEqual(pair.got["a"], sent["b"])
        self.assertEqual(pair.ends["a"].unacknowledged, 0)

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        loss=st.floats(0, 0.4),
        double=st.floats(0, 0.5),
        delay=st.floats(0, 3.0),
        restarts=st.lists(st.sampled_from("ab"), max_size=4),
    )
    def test_restart_never_doubles(self, seed, loss, double, delay, restarts):
        pair = LossyPair(seed, loss, double, delay)
        number, epoch = 0, 1
        for name in [*restarts, None]:
            for _ in range(5):
                number += 1
                for end in "ab":
                    pair.ends[end].send(b"%d" % number)
            pair.run(pair.random.random() * 5)
            for end in "ab":
                numbers = [int(item) for item in pair.got[end]]
                self.assertEqual(numbers, sorted(set(numbers)))
            if name is not None:
                epoch += 1
                pair.restart(name, epoch)
        pair.loss = 0
        pair.run(60)
        number += 1
        pair.ends["a"].send(b"%d" % number)
        pair.run(10)
        self.assertEqual(pair.got["b"][-1:], [b"%d" % number])


class LinkTest(unittest.TestCase):
    """Guards against stale frames, unbounded memory and false reports."""

    def setUp(self):
        self.pair = LossyPair()
        self.pair.ends["a"].send(b"one")
        self.pair.run(5)

    def test_old_epoch_changes_nothing(self):
        self.pair.restart("a", 2)
        self.pair.ends["a"].send(b"two")
        self.pair.run(5)
        self.pair.ends["b"].receive(Frame(1, 1, 2, 0, b"stale"))
        self.assertEqual(self.pair.got["b"], [b"one", b"two"])
        self.assertEqual(self.pair.events, [("b", "reset", 2)])

    def test_frame_for_an_earlier_life_is_not_delivered(self):
        self.pair.restart("b", 2)
        self.pair.ends["b"].receive(Frame(1, 1, 1, 0, b"stale"))
        self.assertEqual(self.pair.got["b"], [])

    def test_frame_without_an_epoch_changes_nothing(self):
        pair = LossyPair()
        pair.ends["b"].receive(Frame(0, 1, 1, 0, b"forged"))
        self.assertEqual((pair.got["b"], pair.frames), ([], []))

    def test_full_buffer_is_an_error(self):
        self.pair.loss = 1
        for _ in range(64):
            self.pair.ends["a"].send(b"x")
        with self.assertRaises(LinkFullError):
            self.pair.ends["a"].send(b"x")

    def test_silence_is_reported_once_and_again_after_an_answer(self):
        self.pair.loss = 1
        self.pair.ends["a"].send(b"x")
        self.pair.run(0.9)
        self.assertEqual(self.pair.events, [])
        self.pair.run(0.2)
        self.assertEqual(self.pair.events, [("a", "silent")])
        self.pair.run(10)
        self.assertEqual(len(self.pair.events), 1)
        self.pair.loss = 0
        self.pair.run(5)
        self.pair.loss = 1
        self.pair.ends["a"].send(b"y")
        self.pair.run(2)
        self.assertEqual(len(self.pair.events), 2)

    def test_own_pause_is_not_silence_of_the_peer(self):
        self.pair.loss = 1
        self.pair.ends["a"].send(b"x")
        self.pair.clock.move_to(self.pair.clock.monotonic() + 30)
        self.pair.timers.run_due()
        self.assertEqual(self.pair.events, [])

    def test_acknowledgement_rides_on_a_payload(self):
        self.pair.frames.clear()
        for index in range(10):
            self.pair.ends["ab"[index % 2]].send(b"x")
            self.pair.run(0.05)
        self.pair.run(1)
        bare = [frame for frame in self.pair.frames if not frame.sequence]
        self.assertEqual(len(self.pair.frames), 11)
        self.assertEqual(len(bare), 1)

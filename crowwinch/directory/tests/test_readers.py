"""Which routers read the store when others fail in every way."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import Reading, StoreReaders

_SILENCE_S = 0.5
_READERS = 4
_DIRECT = 8


class StoreReadersTest(unittest.TestCase):
    """Guards against a router that relies on readers that are none."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.readers = StoreReaders(self.clock, "router-0")
        self.readers.note_answer()

    def _wait(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def _hear(self, fresh, idle, failing=0, starting=0):
        states = (
            [Reading.FRESH] * fresh
            + [Reading.NONE] * idle
            + [Reading.FAILING] * failing
            + [Reading.STARTING] * starting
        )
        for number, reading in enumerate(states, 1):
            self.readers.note_peer(f"router-{number}", reading)

    def _decide_for(self, seconds, **heard):
        """Hears the same for some time; returns the last decision."""
        for _ in range(round(seconds / 0.1)):
            self._wait(0.1)
            self._hear(**heard)
            if self.readers.is_reading:
                self.readers.note_answer()
            self.readers.decide(_SILENCE_S)
        return self.readers.is_reading

    def _become_idle(self):
        self.assertFalse(self._decide_for(2.0, fresh=20, idle=10))

    def test_all_routers_of_a_small_fleet_read(self):
        self.assertTrue(self._decide_for(3.0, fresh=_DIRECT - 1, idle=0))

    def test_few_routers_of_a_large_fleet_read(self):
        """Calls to the store grew with the number of routers."""
        names = [f"router-{number}" for number in range(30)]
        fleet = [StoreReaders(self.clock, name) for name in names]
        for _ in range(40):
            self._wait(0.05)
            for own in fleet:
                if own.is_reading:
                    own.note_answer()
                for name, peer in zip(names, fleet, strict=True):
                    if peer is not own:
                        own.note_peer(name, peer.reading)
                own.decide(_SILENCE_S)
        reading = [own.is_reading for own in fleet]
        self.assertEqual(sum(reading), _READERS)

    def test_a_reader_too_many_goes_on_for_a_moment(self):
        self._decide_for(0.5, fresh=20, idle=10)
        self.assertTrue(self.readers.is_reading)
        self._become_idle()

    def test_a_router_without_any_reader_reads_at_once(self):
        for case, heard in (
            ("silent", {"fresh": 0, "idle": 0}),
            ("idle", {"fresh": 0, "idle": 29}),
            ("failing", {"fresh": 0, "idle": 0, "failing": 29}),
        ):
            with self.subTest(case):
                self._become_idle()
                self._wait(_SILENCE_S + 0.01)
                self._hear(**heard)
                self.assertTrue(self.readers.decide(_SILENCE_S))

    def test_a_reader_that_was_not_heard_is_replaced(self):
        self._become_idle()
        self._wait(_SILENCE_S + 0.01)
        # All others already read or cannot, so that this one is next.
        self._hear(fresh=_READERS - 1, idle=0, failing=20)
        self.assertTrue(self.readers.decide(_SILENCE_S))

    def test_a_reader_that_starts_is_waited_for(self):
        self._become_idle()
        self._wait(_SILENCE_S + 0.01)
        self._hear(fresh=_READERS - 1, idle=0, failing=20, starting=1)
        self.assertFalse(self.readers.decide(_SILENCE_S))

    def test_a_router_that_stays_behind_reads(self):
        """It knew of a change that no other router would send to it."""
        self._become_idle()
        self.readers.note_lag(is_lagging=True)
        self.assertTrue(self._decide_for(1.0, fresh=20, idle=10))

    def test_a_router_that_is_turned_away_leaves_reading_to_others(self):
        self.readers.note_failure()
        self._hear(fresh=_READERS, idle=20)
        self.assertFalse(self.readers.decide(_SILENCE_S))

    def test_a_failing_reader_goes_on_while_too_few_read(self):
        self.readers.note_failure()
        self._hear(fresh=_READERS - 1, idle=20)
        self.assertTrue(self.readers.decide(_SILENCE_S))
        self.assertEqual(self.readers.reading, Reading.FAILING)

    def test_a_watch_without_an_answer_is_in_doubt(self):
        """Its connection may be silent, so that others must not rely on it."""
        self.assertEqual(self.readers.reading, Reading.FRESH)
        self._wait(1.3)
        self.assertEqual(self.readers.reading, Reading.FAILING)

    def test_a_new_reader_is_not_relied_on_before_its_first_answer(self):
        self._become_idle()
        self._wait(_SILENCE_S + 0.01)
        self.readers.decide(_SILENCE_S)
        self.assertEqual(self.readers.reading, Reading.STARTING)
        self._wait(0.4)
        self.assertEqual(self.readers.reading, Reading.FAILING)
        self.readers.note_answer()
        self.assertEqual(self.readers.reading, Reading.FRESH)

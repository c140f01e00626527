"""Tests the selection of store readers while peers fail."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.directory import ReaderStatus, StoreReaderSelector

_SILENCE_S = 0.5
_READERS = 4
_DIRECT = 8


class StoreReaderSelectorTest(unittest.TestCase):
    """Guards against a router that relies on peers that do not read."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.readers = StoreReaderSelector(self.clock, "router-0")
        self.readers.record_answer()

    def _advance_clock(self, seconds):
        self.clock.move_to(self.clock.monotonic() + seconds)

    def _update_peers(self, fresh, idle, failing=0, starting=0):
        states = (
            [ReaderStatus.FRESH] * fresh
            + [ReaderStatus.NONE] * idle
            + [ReaderStatus.FAILING] * failing
            + [ReaderStatus.STARTING] * starting
        )
        for number, status in enumerate(states, 1):
            self.readers.record_peer(f"router-{number}", status)

    def _decide_for(self, seconds, **peers):
        """Repeats the same peer updates for a time; returns the decision."""
        for _ in range(round(seconds / 0.1)):
            self._advance_clock(0.1)
            self._update_peers(**peers)
            if self.readers.is_reading:
                self.readers.record_answer()
            self.readers.decide(_SILENCE_S)
        return self.readers.is_reading

    def _stop_reading(self):
        self.assertFalse(self._decide_for(2.0, fresh=20, idle=10))

    def test_all_routers_of_small_fleet_read(self):
        self.assertTrue(self._decide_for(3.0, fresh=_DIRECT - 1, idle=0))

    def test_number_of_readers_in_large_fleet_is_limited(self):
        """Guards against store calls that grow with the number of routers."""
        names = [f"router-{number}" for number in range(30)]
        fleet = [StoreReaderSelector(self.clock, name) for name in names]
        for _ in range(40):
            self._advance_clock(0.05)
            for own in fleet:
                if own.is_reading:
                    own.record_answer()
                for name, peer in zip(names, fleet, strict=True):
                    if peer is not own:
                        own.record_peer(name, peer.status)
                own.decide(_SILENCE_S)
        is_reading = [own.is_reading for own in fleet]
        self.assertEqual(sum(is_reading), _READERS)

    def test_surplus_reader_continues_for_grace_period(self):
        self._decide_for(0.5, fresh=20, idle=10)
        self.assertTrue(self.readers.is_reading)
        self._stop_reading()

    def test_router_without_readers_reads_immediately(self):
        for case, peers in (
            ("silent", {"fresh": 0, "idle": 0}),
            ("idle", {"fresh": 0, "idle": 29}),
            ("failing", {"fresh": 0, "idle": 0, "failing": 29}),
        ):
            with self.subTest(case):
                self._stop_reading()
                self._advance_clock(_SILENCE_S + 0.01)
                self._update_peers(**peers)
                self.assertTrue(self.readers.decide(_SILENCE_S))

    def test_silent_reader_is_replaced(self):
        self._stop_reading()
        self._advance_clock(_SILENCE_S + 0.01)
        # All peers already read or are failing, so this router is next.
        self._update_peers(fresh=_READERS - 1, idle=0, failing=20)
        self.assertTrue(self.readers.decide(_SILENCE_S))

    def test_starting_reader_is_not_replaced(self):
        self._stop_reading()
        self._advance_clock(_SILENCE_S + 0.01)
        self._update_peers(fresh=_READERS - 1, idle=0, failing=20, starting=1)
        self.assertFalse(self.readers.decide(_SILENCE_S))

    def test_lagging_router_reads(self):
        """Guards against permanent lag behind a change that peers announce.

        The router knows that the change exists, but no peer sends it.
        """
        self._stop_reading()
        self.readers.record_lag(is_lagging=True)
        self.assertTrue(self._decide_for(1.0, fresh=20, idle=10))

    def test_failing_reader_stops_with_enough_fresh_readers(self):
        self.readers.record_failure()
        self._update_peers(fresh=_READERS, idle=20)
        self.assertFalse(self.readers.decide(_SILENCE_S))

    def test_failing_reader_continues_with_too_few_fresh_readers(self):
        self.readers.record_failure()
        self._update_peers(fresh=_READERS - 1, idle=20)
        self.assertTrue(self.readers.decide(_SILENCE_S))
        self.assertEqual(self.readers.status, ReaderStatus.FAILING)

    def test_reader_without_recent_answer_is_failing(self):
        """Peers must not rely on a reader whose connection may be dead."""
        self.assertEqual(self.readers.status, ReaderStatus.FRESH)
        self._advance_clock(1.3)
        self.assertEqual(self.readers.status, ReaderStatus.FAILING)

    def test_new_reader_is_not_fresh_before_first_answer(self):
        self._stop_reading()
        self._advance_clock(_SILENCE_S + 0.01)
        self.readers.decide(_SILENCE_S)
        self.assertEqual(self.readers.status, ReaderStatus.STARTING)
        self._advance_clock(0.4)
        self.assertEqual(self.readers.status, ReaderStatus.FAILING)
        self.readers.record_answer()
        self.assertEqual(self.readers.status, ReaderStatus.FRESH)

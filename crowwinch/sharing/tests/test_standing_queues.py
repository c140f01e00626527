"""Tests of the distinction between bursts and standing queues."""

import unittest

from crowwinch.coordination import ManualClock
from crowwinch.sharing._standing_queues import StandingQueues


class StandingQueuesTest(unittest.TestCase):
    """Guards against bursts that are taken for sustained overload."""

    def setUp(self):
        self.clock = ManualClock(start=100.0)
        self.queues = StandingQueues(self.clock)

    def _is_standing(self, seconds, latency_s=0.8, service="llm"):
        self.clock.move_to(100.0 + seconds)
        return self.queues.is_standing(service, latency_s)

    def test_queue_stands_after_a_multiple_of_the_target_latency(self):
        self.assertFalse(self._is_standing(0.0))
        self.queues.note_request("llm")
        self.assertFalse(self._is_standing(1.1))
        self.queues.note_request("llm")
        self.assertTrue(self._is_standing(1.3))
        self.assertFalse(self._is_standing(1.3, latency_s=2.0))

    def test_empty_queue_starts_anew(self):
        self.queues.note_request("llm")
        self.assertTrue(self._is_standing(2.0))
        self.queues.note_empty("llm")
        self.assertFalse(self._is_standing(3.0))
        self.queues.note_request("llm")
        self.assertFalse(self._is_standing(3.5))

    def test_services_are_apart(self):
        self.queues.note_request("llm")
        self.assertFalse(self._is_standing(5.0, service="desk"))


if __name__ == "__main__":
    unittest.main()

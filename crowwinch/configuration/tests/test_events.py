"""Tests of events by wall clock."""

import unittest

from crowwinch.configuration import EventClock, Snapshot
from crowwinch.coordination import ManualClock, TimerService
from crowwinch.generated.documents import Event, Workspace


class _SteppedClock(ManualClock):
    """A clock whose wall time can jump, as after a freeze of the VM."""

    jump = 0.0

    def time(self):
        return super().time() + self.jump


def _snapshot(*spans):
    return Snapshot.build(
        1,
        "d",
        [Workspace("w", 1.0, [])],
        [],
        [Event(f"e{start}", "w", start, end) for start, end in spans],
    )


class EventClockTest(unittest.TestCase):
    """Guards against events that start or end late, twice or never."""

    def setUp(self):
        self.clock = _SteppedClock(unix_start=1000.0)
        self.timers = TimerService(self.clock)
        self.snapshot = _snapshot((1010, 1020), (1030, 1040))
        self.changes = []
        self.events = EventClock(self.timers, lambda: self.snapshot)
        self.events.subscribe(
            lambda change: self.changes.append(
                (
                    round(self.clock.time(), 3),
                    change.event.name,
                    change.started,
                )
            )
        )
        self.events.start()

    def _run(self, end):
        while (due := self.timers.next_due()) is not None and due <= end:
            self.clock.move_to(max(due, self.clock.monotonic()))
            self.timers.run_due()
        self.clock.move_to(end)

    def test_boundaries(self):
        """Guards against a boundary that waits for the next periodic check."""
        self._run(10.4)
        self.snapshot = _snapshot((1010, 1020), (1030, 1040), (1012, 1015))
        self._run(50)
        self.assertEqual(
            self.changes,
            [
                (1010, "e1010", True),
                (1012, "e1012", True),
                (1015, "e1012", False),
                (1020, "e1010", False),
                (1030, "e1030", True),
                (1040, "e1030", False),
            ],
        )

    def test_jumps(self):
        """Guards against events missed by a freeze or a clock set back."""
        self._run(5.0)
        self.clock.jump = 7.0
        self._run(6.0)
        self.assertEqual([each[1:] for each in self.changes], [("e1010", True)])
        self.clock.jump = -5.0
        self._run(7.0)
        self.assertEqual(self.changes[1][1:], ("e1010", False))
        self.clock.jump = 30.0
        self._run(8.0)
        self.assertEqual(self.changes[2][1:], ("e1030", True))
        self.assertEqual(len(self.events.active), 1)

    def test_failing_listener(self):
        """Guards against a listener whose failure stops the clock."""
        self.events.subscribe(lambda change: 1 / 0)
        with self.assertLogs(level="ERROR"):
            self._run(50)
        self.assertEqual(len(self.changes), 4)

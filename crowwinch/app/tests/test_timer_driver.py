"""Tests of the timer service on the event loop."""

import asyncio
import unittest

import uvloop

from crowwinch.coordination import SystemClock, TimerDriver, TimerService


class TimerDriverTest(unittest.TestCase):
    """Guards against turns of the event loop without a call that is due."""

    def test_delays_between_milliseconds_do_not_spin(self):
        turns = []

        class Timers(TimerService):
            def run_due(self):
                turns.append(super().run_due())

        async def run():
            timers, done = Timers(SystemClock()), asyncio.Event()
            driver = TimerDriver(timers)
            await driver.start()
            timers.call_later(0.0104, done.set)
            await done.wait()
            await driver.stop()

        uvloop.run(run())
        # The event loop's own clock may be up to 1 ms ahead: one call too many.
        self.assertLessEqual(len(turns), 3)

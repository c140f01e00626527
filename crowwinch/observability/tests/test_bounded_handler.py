"""Logs under load and with a reader that does not read."""

import json
import logging
import os
import unittest

from crowwinch.observability import BoundedHandler, JsonLineFormatter


class BoundedHandlerTest(unittest.TestCase):
    """Guards against a log that blocks the process or grows without limit."""

    def setUp(self):
        self.now = 0.0
        self.read, self.write = os.pipe()
        self.addCleanup(os.close, self.read)
        self.addCleanup(os.close, self.write)
        self.handler = BoundedHandler(
            self.write, lambda: self.now, lines_per_s=10.0, burst=20.0
        )
        self.handler.setFormatter(JsonLineFormatter())

    def _log(self, count, level=logging.INFO, text="line"):
        for _ in range(count):
            self.handler.emit(
                logging.LogRecord("n", level, "", 0, text, (), None)
            )

    def _lines(self):
        os.set_blocking(self.read, False)
        try:
            data = os.read(self.read, 10_000_000)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_lines_over_the_rate_are_counted(self):
        self._log(100)
        self.assertEqual(len(self._lines()), 18)
        self.assertEqual(self.handler.dropped, 82)
        self.now = 1.0
        self._log(1)
        self.assertEqual(self._lines()[0]["dropped_lines"], 82)
        self.assertEqual(self.handler.dropped, 0)

    def test_warnings_have_a_reserve(self):
        self._log(100)
        self._log(2, logging.WARNING)
        levels = [line["level"] for line in self._lines()]
        self.assertEqual(levels.count("warning"), 2)

    def test_a_reader_that_does_not_read_blocks_nothing(self):
        for _ in range(200):
            self.now += 10.0
            self._log(20, text="x" * 1_000)
        self.assertGreater(self.handler.dropped, 0)
        self.assertTrue(os.read(self.read, 1_000))

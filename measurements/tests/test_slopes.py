"""Tests of the slopes' command."""

import contextlib
import io
import json
import unittest

from measurements import slopes


class SlopesTest(unittest.TestCase):
    """Guards against a change of an interface that breaks `make slopes`."""

    def test_parts_without_processes_run(self):
        for part in ("messages", "queue", "dispatcher", "crashes"):
            with self.subTest(part):
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    self.assertEqual(slopes.main(["--only", part]), 0)
                for line in output.getvalue().splitlines():
                    self.assertTrue(json.loads(line))

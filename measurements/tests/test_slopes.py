"""Tests of the slopes' command."""

import contextlib
import io
import json
import unittest

from crowwinch.generated.peer_messages import Demand, Grants
from crowwinch.scheduling._pacing import (
    ANSWER_HEADER_BYTES,
    HEADER_BYTES,
    message_size,
)
from measurements import slopes
from measurements._slopes_messages import linked_size


class SlopesTest(unittest.TestCase):
    """Guards against a change of an interface that breaks `make slopes`."""

    def test_pacing_counts_the_size_that_travels(self):
        # The pacing took 83 bytes and 12 an event for what took 121 and 17.
        for message, header, is_answer in (
            (Demand(10_000, [], [5], [], [], []), HEADER_BYTES, False),
            (Grants(10_000, [], [], []), ANSWER_HEADER_BYTES, True),
        ):
            self.assertEqual(
                message_size(message, header), linked_size(message, is_answer)
            )

    def test_parts_without_processes_run(self):
        for part in ("messages", "queue", "dispatcher", "crashes"):
            with self.subTest(part):
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    self.assertEqual(slopes.main(["--only", part]), 0)
                for line in output.getvalue().splitlines():
                    self.assertTrue(json.loads(line))

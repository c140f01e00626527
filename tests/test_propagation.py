"""Edits on their way to eight real routers, with faults."""

import contextlib
import io
import unittest

from crowwinch.cli import main
from measurements import propagation
from measurements._propagation import Rig, documents

# The targets of the design, not measured figures.
_HEALTHY_S = 2.0
_FAULT_S = 7.0


class PropagationTest(unittest.TestCase):
    """Guards against edits that are late, lost or reverted (I8)."""

    def setUp(self):
        self.rig = Rig(documents(1, 1.0))
        self.addCleanup(self.rig.stop)

    def test_edits_and_faults(self):
        self.assertLess(max(propagation.healthy(self.rig, 8)), _HEALTHY_S)
        conflicts = self.rig.counter("configuration_conflicts")
        self.assertEqual(sum(conflicts), 0, "one digest for each revision")
        for fault in propagation.FAULTS:
            with self.subTest(fault.__name__):
                self.assertLess(fault(self.rig), _FAULT_S)
        self.assertEqual(self.rig.reverts, 0)
        self.assertGreater(self.rig.polls, 1_000)
        self._check_status()

    def _check_status(self):
        """Guards against refused documents that no operator sees."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = main(
                [
                    "status",
                    *(each.operator_url for each in self.rig.fleet.routers),
                ]
            )
        self.assertEqual(code, 0, output.getvalue())
        header, *rows = output.getvalue().splitlines()
        self.assertEqual(header.split()[-1], "REFUSED")
        self.assertEqual(len(rows), 8)
        self.assertGreater(max(int(row.split()[-1]) for row in rows), 0)

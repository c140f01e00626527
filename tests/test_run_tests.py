"""Tests of the runner of the tests."""

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

from tools import run_tests

_MODULE = """\
import unittest


class CaseTest(unittest.TestCase):
    {}
"""
_TESTS = {
    "passing": "def test_one(self): pass",
    "failing": "def test_one(self): self.fail()",
    "half": "def test_one(self): pass\n    def test_two(self): self.fail()",
    "skipped": "def test_one(self): self.skipTest('no')",
    "empty": "pass",
}


class RunModulesTest(unittest.TestCase):
    """Guards against an exit code that says the opposite of the list."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for name, body in _TESTS.items():
            path = pathlib.Path(folder.name, f"sample_{name}.py")
            path.write_text(_MODULE.format(body))
        pathlib.Path(folder.name, "sample_broken.py").write_text("import no_x")
        sys.path.insert(0, folder.name)
        self.addCleanup(sys.path.remove, folder.name)

    def _run(self, name, *listed):
        known = {f"sample_{name}.CaseTest.{test}" for test in listed}
        with (
            mock.patch.object(run_tests, "_known_red", lambda: known),
            contextlib.redirect_stdout(io.StringIO()) as output,
        ):
            code = run_tests._run_modules([f"sample_{name}"])
        return code, output.getvalue()

    def test_module_whose_tests_all_fail_as_listed_passes(self):
        """Guards against a run that fails although only listed tests did."""
        code, output = self._run("failing", "test_one")
        self.assertEqual(code, 0)
        self.assertIn("known red: sample_failing.CaseTest.test_one", output)

    def test_exit_code(self):
        cases = (
            ("passing", (), 0),
            ("failing", (), 1),
            ("half", (), 1),
            ("half", ("test_two",), 0),
            ("skipped", (), 1),
            ("empty", (), 1),
            ("empty", ("test_one",), 1),
            ("broken", ("test_one",), 1),
        )
        for name, listed, expected in cases:
            with self.subTest(name=name, listed=listed):
                self.assertEqual(self._run(name, *listed)[0], expected)


if __name__ == "__main__":
    unittest.main()

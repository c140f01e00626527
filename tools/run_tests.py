"""Runs all unit tests and passes over those listed in KNOWN-RED.txt.

A line of KNOWN-RED.txt that starts with `test:` names a test by its unittest
id. Such a test runs and is printed, but does not fail the run.

Tests of single classes need a processor, tests of whole processes mostly wait,
so the two kinds run side by side, each in a process of its own.
"""

import argparse
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Sequence

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PARTS = {
    "classes": ("crowwinch", "standins", "measurements"),
    "processes": ("tests",),
}


def _known_red() -> set[str]:
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix("test:").strip()
        for line in lines
        if line.startswith("test:")
    }


def _collect(packages: Sequence[str]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for package in packages:
        for path in sorted((_ROOT / package).rglob("test_*.py")):
            relative = path.relative_to(_ROOT).with_suffix("")
            suite.addTests(loader.loadTestsFromName(".".join(relative.parts)))
    return suite


def _run_part(packages: Sequence[str]) -> int:
    known = _known_red()
    started = time.monotonic()
    runner = unittest.TextTestRunner(sys.stdout, verbosity=1)
    result = runner.run(_collect(packages))
    broken = {
        getattr(test, "test_case", test).id(): test
        for test, _ in result.failures + result.errors
    }
    failed = sorted(set(broken) - known)
    for name in sorted(set(broken) & known):
        print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(broken) - skipped
    print(f"took {time.monotonic() - started:.1f} s")
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


def _run_all() -> int:
    command = (sys.executable, "-m", "tools.run_tests", "--part", "classes")
    with tempfile.TemporaryFile("w+") as output:
        classes = subprocess.Popen(
            command, cwd=_ROOT, stdout=output, stderr=subprocess.STDOUT
        )
        processes_code = _run_part(_PARTS["processes"])
        classes_code = classes.wait()
        output.seek(0)
        print(f"tests of classes:\n{output.read()}")
    return processes_code or classes_code


def main() -> int:
    """Runs the tests.

    Returns:
        The exit code: 0 when every test outside KNOWN-RED.txt passed.
    """
    parser = argparse.ArgumentParser(description="Runs the tests.")
    parser.add_argument("--part", choices=_PARTS, help="run only this part")
    part = parser.parse_args().part
    sys.path.insert(0, str(_ROOT))
    return _run_all() if part is None else _run_part(_PARTS[part])


if __name__ == "__main__":
    sys.exit(main())

"""Tests of the text on routers of both commands."""

import contextlib
import io
import unittest
from unittest import mock

from crowwinch.cli import main

_GATEWAY = {
    "program": "gateway",
    "router": "edge-1",
    "availability_zone": "az-1",
    "ready": True,
    "configuration": 7,
    "era": 2,
    "revision": 40,
    "directory_age_s": 0.3,
    "peers": 3,
    "evacuated_zones": [{"zone": "az-2", "revision": 39, "targets": 4}],
    "limited_targets": [
        {
            "target": "i-1",
            "service": "llm",
            "own_rate_per_s": 1.5,
            "limits": [{"reason": "cold", "wait_s": None}],
        }
    ],
}
_ROUTER = {
    "router": "router-1",
    "availability_zone": "az-1",
    "ready": True,
    "revision": 3,
    "digest": "0123456789abcdef",
    "active_requests": 0,
    "refused_documents": 0,
}


def _run(*states):
    """Returns the exit code and the text for routers with given states."""
    output = io.StringIO()
    with (
        mock.patch(
            "crowwinch.cli._operators.read_all", return_value=list(states)
        ),
        contextlib.redirect_stdout(output),
    ):
        code = main(["status", *(f"http://r-{n}" for n in range(len(states)))])
    return code, output.getvalue()


class StatusTest(unittest.TestCase):
    """Guards against differences that an operator does not see."""

    def test_a_gateway_shows_evacuations_and_limits(self):
        code, text = _run(_GATEWAY)
        self.assertEqual(code, 0, text)
        title, row, limit = text.splitlines()
        self.assertEqual(title.split()[-1], "EVACUATED")
        self.assertEqual(
            row.split(),
            ["edge-1", "az-1", "yes", "7", "2", "40", "0.3", "3", "az-2"],
        )
        self.assertEqual(
            limit,
            "edge-1: target i-1, 1.5 requests a second, cold for - s",
        )

    def test_exit_codes(self):
        cases = (
            ("same", {"revision": 41}, 0, ""),
            ("not ready", {"ready": False}, 1, "not ready"),
            ("configuration", {"configuration": 8}, 1, "configurations"),
            ("evacuation", {"evacuated_zones": []}, 1, "evacuated zones"),
            ("other version", {"evacuated_zones": 0}, 1, "evacuated zones"),
        )
        for name, changes, expected, words in cases:
            with self.subTest(name):
                code, text = _run(_GATEWAY, _GATEWAY | changes)
                self.assertEqual(code, expected, text)
                self.assertIn(words, text)

    def test_both_commands_have_a_table_each(self):
        """Guards against a gateway in columns that it has no values for."""
        code, text = _run(_ROUTER, _GATEWAY)
        self.assertEqual(code, 0, text)
        self.assertIn("DIGEST", text)
        self.assertIn("EVACUATED", text)
        code, text = _run(_ROUTER)
        self.assertNotIn("EVACUATED", text)

    def test_unreachable_routers(self):
        code, text = _run(OSError("refused"))
        self.assertEqual(code, 1)
        self.assertIn("unreachable: refused", text)


if __name__ == "__main__":
    unittest.main()

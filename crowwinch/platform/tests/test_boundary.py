"""Tests that platform-specific names are confined to the adapter."""

import pathlib
import re
import unittest

_PACKAGE = pathlib.Path(__file__).resolve().parents[2]
# Headers, endpoints, keys and fields that only the adapter may use.
_PLATFORM_NAMES = re.compile(
    r"X-Crowwinch|X-Api-Key|Kv-(?:Fetch|From)|kv-(?:range|watch|key)"
    r"|op/config|op/evacuate|servers/|TokensPerS|TimeoutMs|TargetLatencyMs|MaxAttempts"
    r"|TrafficSplit|KvCapacity|RouteType|StreamResume|HeartbeatMs|NodeName"
    r"|PortRange|CROWWINCH_BOOT|[Tt]enant",
)
# The help text of the command contains the settings variable.
_EXEMPT_FILES = {"cli/_gateway.py"}


class BoundaryTest(unittest.TestCase):
    """Guards against platform-specific names outside the adapter."""

    def test_other_modules_contain_no_platform_names(self):
        found = []
        for path in sorted(_PACKAGE.rglob("*.py")):
            relative = path.relative_to(_PACKAGE)
            if (
                relative.parts[0] == "platform"
                or "tests" in relative.parts
                or str(relative) in _EXEMPT_FILES
            ):
                continue
            for match in _PLATFORM_NAMES.finditer(path.read_text()):
                found.append(f"{relative}: {match.group()}")
        self.assertEqual(found, [])

    def test_adapter_has_less_than_1200_lines(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (_PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, 1200)

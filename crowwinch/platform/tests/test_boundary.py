"""The platform's names stay in its package."""

import pathlib
import re
import unittest

_PACKAGE = pathlib.Path(__file__).resolve().parents[2]
# Headers, calls, keys and fields that only the adapter may know.
_NAMES = re.compile(
    r"X-Crowwinch|X-Api-Key|Kv-(?:Fetch|From)|kv-(?:range|watch|key)"
    r"|op/config|servers/|TokensPerS|TimeoutMs|TargetLatencyMs|MaxAttempts"
    r"|TrafficSplit|KvCapacity|RouteType|StreamResume|HeartbeatMs|NodeName"
    r"|PortRange|CROWWINCH_BOOT|[Tt]enant",
)
# The help of the command names the variable of the settings file.
_ALLOWED = {"cli/_gateway.py"}


class BoundaryTest(unittest.TestCase):
    """Guards against the platform's words outside the adapter."""

    def test_no_other_module_names_the_wire(self):
        found = []
        for path in sorted(_PACKAGE.rglob("*.py")):
            relative = path.relative_to(_PACKAGE)
            if (
                relative.parts[0] == "platform"
                or "tests" in relative.parts
                or str(relative) in _ALLOWED
            ):
                continue
            for match in _NAMES.finditer(path.read_text()):
                found.append(f"{relative}: {match.group()}")
        self.assertEqual(found, [])

    def test_the_adapter_stays_small(self):
        lines = sum(
            len(path.read_text().splitlines())
            for path in (_PACKAGE / "platform").glob("*.py")
        )
        self.assertLess(lines, 1200)

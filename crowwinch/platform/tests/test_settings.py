"""Tests loading the platform's settings file."""

import tempfile
import unittest

from crowwinch.errors import SettingsError
from crowwinch.platform import decode_boot_settings, load_boot_settings


def _values():
    return {
        "NodeName": "edge-1",
        "Ip": "10.1.0.1",
        "Zone": "hall-a",
        "PortRange": [7400, 7415],
        "Seeds": ["10.1.0.1:8785", "10.2.0.1:8785"],
        "Listen": {
            "Frontend": "10.1.0.1:8783",
            "Readiness": "10.1.0.1:8780",
            "Control": "10.1.0.1:8785",
        },
        "Limits": {"MemoryMb": 300, "MaxFds": 4100, "Cores": 2},
        "Bounds": {
            "DrainMs": 2000,
            "GraceS": 8,
            "ReuseAfterS": 2,
            "RetryBudgetRatio": 0.2,
            "BudgetWindowS": 10,
        },
        "Platform": {"Address": "10.200.1.7:8781", "form": "read"},
        "NewField": {"is": "ignored"},
    }


class BootSettingsTest(unittest.TestCase):
    """Guards against starting with invalid settings."""

    def test_valid_settings_are_decoded(self):
        settings = decode_boot_settings(_values())
        self.assertEqual(str(settings.caller), "10.1.0.1:8783")
        self.assertEqual(str(settings.store), "10.200.1.7:8781")
        self.assertEqual(settings.drain_s, 2.0)
        self.assertEqual(settings.share_window_s, 4.0)
        self.assertEqual(
            (settings.cold_overage, settings.cold_slack, settings.zones),
            (1.5, 5.0, {}),
        )
        self.assertEqual(
            (settings.peer_port, settings.metrics_port), (7400, 7415)
        )

    def test_zones_and_cold_targets_are_decoded(self):
        """Guards against a bound of a deployment that is not applied."""
        values = _values()
        values["Zones"] = {"hall-a": "midlands", "hall-b": "north"}
        values["Bounds"] |= {"ColdOverage": 2, "ColdSlack": 3}
        settings = decode_boot_settings(values)
        self.assertEqual(settings.zones["hall-b"], "north")
        self.assertEqual(
            (settings.cold_overage, settings.cold_slack), (2.0, 3.0)
        )

    def test_invalid_fields_are_reported(self):
        cases = {
            "missing name": (("NodeName",), None, "NodeName"),
            "empty name": (("NodeName",), "", "NodeName"),
            "zone of another type": (("Zone",), 3, "Zone"),
            "port out of range": (("PortRange",), [0, 70000], "PortRange"),
            "one port": (("PortRange",), [7400], "PortRange"),
            "no address": (("Listen", "Frontend"), "host:1", "Frontend"),
            "no port": (("Listen", "Control"), "10.1.0.1", "Control"),
            "negative": (("Bounds", "DrainMs"), -1, "Bounds.DrainMs"),
            "no grace": (("Bounds", "GraceS"), 0, "Bounds.GraceS"),
            "missing table": (("Platform",), None, "Platform"),
            "bad seed": (("Seeds",), ["x"], "Seeds.0"),
            "memory": (("Limits", "MemoryMb"), "much", "Limits.MemoryMb"),
        }
        for name, (path, value, field_path) in cases.items():
            with self.subTest(name):
                values = _values()
                table = values
                for key in path[:-1]:
                    table = table[key]
                if value is None:
                    del table[path[-1]]
                else:
                    table[path[-1]] = value
                with self.assertRaises(SettingsError) as caught:
                    decode_boot_settings(values)
                self.assertIn(field_path, str(caught.exception))

    def test_all_findings_are_reported_together(self):
        values = _values()
        del values["NodeName"]
        values["Bounds"]["GraceS"] = "soon"
        values["Limits"]["MaxFds"] = -4
        with self.assertRaises(SettingsError) as caught:
            decode_boot_settings(values)
        self.assertEqual(len(caught.exception.findings), 3)

    def test_unreadable_files_are_rejected(self):
        with self.assertRaises(SettingsError):
            load_boot_settings("/nonexistent/boot.toml")
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("NodeName = [")
            file.flush()
            with self.assertRaises(SettingsError):
                load_boot_settings(file.name)

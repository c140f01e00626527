"""Tests of reloading the settings file."""

import pathlib
import tempfile
import unittest

from crowwinch.errors import Finding, SettingsError
from crowwinch.gateway._settings_file import SettingsFile


def _load(path):
    text = pathlib.Path(path).read_text()
    if text == "invalid":
        raise SettingsError([Finding("place", "is invalid")])
    return text


class SettingsFileTest(unittest.TestCase):
    """Guards against missed changes and use of invalid or partial files."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "boot.toml"
        self.path.write_text("one")
        self.changes = []
        self.file = SettingsFile(str(self.path), _load, self.changes.append)

    def test_changed_file_is_loaded_without_signal(self):
        self.file.reload_if_changed()
        self.assertEqual(self.changes, [])
        self.path.write_text("three")
        self.file.reload_if_changed()
        self.file.reload_if_changed()
        self.assertEqual(self.changes, ["three"])
        self.assertEqual(self.file.settings, "three")

    def test_reload_of_unchanged_file_is_not_reported(self):
        self.file.reload()
        self.assertEqual(self.changes, [])

    def test_invalid_file_keeps_current_settings(self):
        self.path.write_text("invalid")
        with self.assertLogs("crowwinch.gateway", "ERROR"):
            self.file.reload_if_changed()
        self.assertEqual(self.file.settings, "one")
        self.path.write_text("good")
        self.file.reload_if_changed()
        self.assertEqual(self.changes, ["good"])

    def test_missing_file_raises_error(self):
        with self.assertRaises(FileNotFoundError):
            SettingsFile("/nonexistent/boot.toml", _load, self.changes.append)

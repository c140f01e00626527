"""Reading the settings file again."""

import pathlib
import tempfile
import unittest

from crowwinch.errors import Finding, SettingsError
from crowwinch.gateway._settings_file import SettingsFile


def _load(path):
    text = pathlib.Path(path).read_text()
    if text == "wrong":
        raise SettingsError([Finding("place", "is wrong")])
    return text


class SettingsFileTest(unittest.TestCase):
    """Guards against changed settings that are missed or taken half-read."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot.toml"
        self.path.write_text("one")
        self.changes = []
        self.file = SettingsFile(str(self.path), _load, self.changes.append)

    def test_a_change_is_taken_without_a_signal(self):
        self.file.reload_if_changed()
        self.assertEqual(self.changes, [])
        self.path.write_text("three")
        self.file.reload_if_changed()
        self.file.reload_if_changed()
        self.assertEqual(self.changes, ["three"])
        self.assertEqual(self.file.settings, "three")

    def test_a_signal_without_a_change_changes_nothing(self):
        self.file.reload()
        self.assertEqual(self.changes, [])

    def test_wrong_settings_keep_the_old_ones(self):
        self.path.write_text("wrong")
        with self.assertLogs("crowwinch.gateway", "ERROR"):
            self.file.reload_if_changed()
        self.assertEqual(self.file.settings, "one")
        self.path.write_text("good")
        self.file.reload_if_changed()
        self.assertEqual(self.changes, ["good"])

    def test_a_missing_file_at_the_start_is_an_error(self):
        with self.assertRaises(FileNotFoundError):
            SettingsFile("/nonexistent/boot.toml", _load, self.changes.append)

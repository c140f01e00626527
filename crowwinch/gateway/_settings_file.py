"""Settings file that is reloaded when it changes."""

import logging
import os
from collections.abc import Callable

from crowwinch.errors import SettingsError
from crowwinch.forwarding import GatewaySettings

_LOGGER = logging.getLogger(__name__)


class SettingsFile:
    """Provides the current settings and reloads them from a file."""

    def __init__(
        self,
        path: str,
        load: Callable[[str], GatewaySettings],
        on_change: Callable[[GatewaySettings], None],
    ) -> None:
        """Loads the file.

        Args:
            path: Path of the file.
            load: Reads and validates the file at a path.
            on_change: Called after a reload with settings that differ from the
                previous ones.

        Raises:
            SettingsError: If settings are invalid, with a finding for each.
        """
        self._path = path
        self._load = load
        self._on_change = on_change
        self._loaded_version = self._file_version()
        self._settings = load(path)

    @property
    def settings(self) -> GatewaySettings:
        """The settings of the last successful load."""
        return self._settings

    def reload_if_changed(self) -> None:
        """Reloads the file if its modification time or size has changed."""
        if self._file_version() != self._loaded_version:
            self.reload()

    def reload(self) -> None:
        """Reloads the file; keeps the current settings if it is invalid."""
        self._loaded_version = self._file_version()
        try:
            settings = self._load(self._path)
        except SettingsError as error:
            _LOGGER.error(
                "settings not reloaded",
                extra={
                    "findings": [str(finding) for finding in error.findings]
                },
            )
            return
        if settings == self._settings:
            _LOGGER.info("settings reloaded, nothing changed")
            return
        self._settings = settings
        _LOGGER.info("settings reloaded")
        self._on_change(settings)

    def _file_version(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

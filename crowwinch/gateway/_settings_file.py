"""The settings file, read again when it changes."""

import logging
import os
from collections.abc import Callable

from crowwinch.errors import SettingsError
from crowwinch.forwarding import GatewaySettings

_LOGGER = logging.getLogger(__name__)


class SettingsFile:
    """Holds the settings in force."""

    def __init__(
        self,
        path: str,
        load: Callable[[str], GatewaySettings],
        on_change: Callable[[GatewaySettings], None],
    ) -> None:
        """Reads the file.

        Args:
            path: Where the file is.
            load: Reads and checks a file.
            on_change: Called with settings that differ from those before.

        Raises:
            SettingsError: With one finding for each wrong setting.
        """
        self._path = path
        self._load = load
        self._on_change = on_change
        self._stamp = self._read_stamp()
        self._settings = load(path)

    @property
    def settings(self) -> GatewaySettings:
        """The settings in force."""
        return self._settings

    def reload_if_changed(self) -> None:
        """Reads the file again if it was written since."""
        if self._read_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Reads the file again; a wrong one changes nothing."""
        self._stamp = self._read_stamp()
        try:
            settings = self._load(self._path)
        except SettingsError as error:
            _LOGGER.error(
                "settings not reloaded",
                extra={"findings": [str(each) for each in error.findings]},
            )
            return
        if settings == self._settings:
            _LOGGER.info("settings reloaded, nothing changed")
            return
        self._settings = settings
        _LOGGER.info("settings reloaded")
        self._on_change(settings)

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

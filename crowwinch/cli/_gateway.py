"""The `gateway` command."""

import argparse
import os
from typing import ClassVar

from crowwinch.errors import Finding, SettingsError

_START_PACE_VARIABLE = "CROWWINCH_START_PACE"


class GatewayCommand:
    """Runs a router on the operators' platform."""

    name: ClassVar[str] = "gateway"
    description: ClassVar[str] = "Run a router on the operators' platform."
    examples: ClassVar[str] = (
        "The platform's settings file is named by CROWWINCH_BOOT or by "
        "--settings.\n\nexample:\n"
        "  CROWWINCH_BOOT=/etc/crowwinch/boot.toml crowwinch gateway"
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the flags."""
        parser.add_argument(
            "--settings",
            metavar="PATH",
            help="settings file of the platform [CROWWINCH_BOOT]",
        )
        parser.add_argument(
            "--log-level",
            default="info",
            choices=("debug", "info", "warning", "error"),
            help="least severity that is logged, default info",
        )
        parser.add_argument(
            "--start-pace",
            action="store_true",
            default=os.environ.get(_START_PACE_VARIABLE) == "1",
            help="limit the requests in flight at targets that have started "
            "or recovered, in services with cold starts; "
            f"{_START_PACE_VARIABLE}=1 does the same",
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Runs until a graceful shutdown has finished.

        Raises:
            SettingsError: With one finding for each wrong setting.
        """
        # The application takes long to import; the help does not need it.
        from crowwinch.gateway import run_gateway
        from crowwinch.observability import configure_bounded_logs
        from crowwinch.platform import SETTINGS_VARIABLE

        path = arguments.settings or os.environ.get(SETTINGS_VARIABLE)
        if not path:
            raise SettingsError(
                [Finding("--settings", f"is required (or {SETTINGS_VARIABLE})")]
            )
        configure_bounded_logs(arguments.log_level)
        run_gateway(path, is_paced=arguments.start_pace)
        return 0

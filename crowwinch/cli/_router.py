"""The `router` command."""

import argparse
import os
from typing import ClassVar

from crowwinch.cli._settings import add_settings_arguments, load_settings


class RouterCommand:
    """Runs a router."""

    name: ClassVar[str] = "router"
    description: ClassVar[str] = "Run a router, the only daemon."
    examples: ClassVar[str] = (
        "Each setting is a flag or an environment variable; the flag goes "
        "first.\n\nexample:\n  CROWWINCH_REGION=midlands crowwinch router "
        "--name r1 --availability-zone az-1"
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds a flag for each setting."""
        add_settings_arguments(parser)

    def run(self, arguments: argparse.Namespace) -> int:
        """Runs until a graceful shutdown has finished."""
        settings = load_settings(vars(arguments), os.environ)
        # The application takes long to import; the help does not need it.
        from crowwinch.app import run_router
        from crowwinch.observability import configure_logs

        configure_logs(settings.log_level)
        run_router(settings)
        return 0

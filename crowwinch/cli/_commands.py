"""What every command declares."""

import argparse
from typing import ClassVar, Protocol


class Command(Protocol):
    """A subcommand of the command line."""

    name: ClassVar[str]
    description: ClassVar[str]
    examples: ClassVar[str]

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the arguments of the command."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Runs the command and returns the exit code."""

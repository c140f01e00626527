"""Entry point of the command line."""

import argparse
import sys
from collections.abc import Sequence

from crowwinch import __version__
from crowwinch.cli._commands import Command
from crowwinch.cli._config import ConfigCommand
from crowwinch.cli._gateway import GatewayCommand
from crowwinch.cli._router import RouterCommand
from crowwinch.cli._status import StatusCommand
from crowwinch.errors import FindingsError

_EPILOG = """\
exit codes:
  0  success
  1  the command failed
  2  wrong usage, settings or input; every finding is printed

examples:
  crowwinch router --name router-1 --availability-zone az-1 --region midlands
  crowwinch gateway --settings boot.toml
  crowwinch config check table
  crowwinch status http://127.0.0.1:8081
  crowwinch router --help
"""
_COMMANDS: tuple[type[Command], ...] = (
    RouterCommand,
    GatewayCommand,
    ConfigCommand,
    StatusCommand,
)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="crowwinch",
        description="Shares model capacity fairly among workspaces.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(
        title="commands", metavar="COMMAND", required=True
    )
    for command in _COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.description,
            description=command.description,
            epilog=command.examples,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(command=command)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command.

    Args:
        arguments: Command line without the program name; sys.argv by default.

    Returns:
        The exit code.
    """
    parsed = build_parser().parse_args(arguments)
    try:
        return parsed.command().run(parsed)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return 2

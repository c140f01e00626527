"""The `config` command: table and documents."""

import argparse
from typing import ClassVar


class ConfigCommand:
    """Works on the operators' table and the documents built from it."""

    name: ClassVar[str] = "config"
    description: ClassVar[str] = (
        "Check the operators' table, build documents, compare and show them."
    )
    examples: ClassVar[str] = (
        "A TABLE is a folder of CSV files or an XLSX file. A FOLDER holds "
        "built documents.\n\nexamples:\n"
        "  crowwinch config template table\n"
        "  crowwinch config check table\n"
        "  crowwinch config build table built\n"
        "  crowwinch config diff built table\n"
        "  crowwinch config show http://127.0.0.1:8081 --table table"
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the actions."""
        actions = parser.add_subparsers(
            title="actions", dest="action", metavar="ACTION", required=True
        )
        template = actions.add_parser("template", help="write an example table")
        template.add_argument("folder", metavar="TABLE")
        check = actions.add_parser("check", help="report every finding")
        check.add_argument("table", metavar="TABLE")
        build = actions.add_parser("build", help="build documents")
        build.add_argument("table", metavar="TABLE")
        build.add_argument("folder", metavar="FOLDER")
        build.add_argument(
            "--revision",
            type=int,
            help="by default the one in FOLDER plus 1 if anything changed",
        )
        diff = actions.add_parser("diff", help="say what changed")
        diff.add_argument("old", metavar="FOLDER")
        diff.add_argument("new", metavar="FOLDER_OR_TABLE")
        show = actions.add_parser("show", help="show a configuration")
        show.add_argument("source", metavar="FOLDER_OR_URL")
        show.add_argument(
            "--table", metavar="TABLE", help="write it as a table"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Runs an action."""
        # Other commands and the help do not need the configuration package.
        from crowwinch.cli._config_actions import run_action

        return run_action(arguments)

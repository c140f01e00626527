"""The command line."""

from crowwinch.cli._main import build_parser, main

__all__ = ["build_parser", "main"]

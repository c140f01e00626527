"""Runs the command line: `python -m crowwinch`."""

import sys

from crowwinch.cli import main

if __name__ == "__main__":
    sys.exit(main())

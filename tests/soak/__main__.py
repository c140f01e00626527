"""Plays the soak with a range of seeds."""

import argparse
import pathlib
import sys
import time

from tests.soak._run import Soak

_SECONDS = 20.0


def main() -> int:
    """Plays each seed and prints what it broke.

    Returns:
        The exit code: 0 when no promise was broken.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("last", type=int, help="last seed")
    parser.add_argument(
        "--seconds", type=float, default=_SECONDS, help="time with faults"
    )
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        help="new folder for the logs of runs that broke a promise",
    )
    arguments = parser.parse_args()
    code = 0
    for seed in range(arguments.first, arguments.last + 1):
        started = time.monotonic()
        result = Soak(seed, arguments.seconds).play(arguments.keep)
        print(
            f"seed {seed}: {result.served} of {result.asked} served,"
            f" {len(result.broken)} broken,"
            f" {time.monotonic() - started:.0f} s",
            flush=True,
        )
        if result.broken:
            code = 1
            print("\n".join([*result.broken[:10], *result.journal]))
    return code


if __name__ == "__main__":
    sys.exit(main())

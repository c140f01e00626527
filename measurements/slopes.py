"""Prints every slope that docs/CAPACITY.md uses, one JSON object a line.

A slope is a line through values measured at three or more sizes, with its
value at the size of today's deployments and of the two-year plan.
"""

import argparse
import json
import logging
import pathlib
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from measurements import (
    _slopes_fleet,
    _slopes_messages,
    _slopes_page,
    _slopes_processes,
    _slopes_records,
    _slopes_spread,
    _slopes_state,
    _slopes_transport,
)

_PARTS: dict[str, Callable[[], Iterator[dict[str, Any]]]] = {
    "messages": _slopes_messages.lines,
    "queue": _slopes_state.queue,
    "dispatcher": _slopes_state.dispatcher,
    "configuration": _slopes_state.configuration,
    "spread": _slopes_spread.spread,
    "crashes": _slopes_records.crashes,
    "idempotency": _slopes_records.idempotency,
    "commands": _slopes_records.commands,
    "virtual_machines": _slopes_records.virtual_machines,
    "counters": _slopes_records.counters,
    "membership": _slopes_fleet.membership,
    "membership_faults": _slopes_fleet.membership_faults,
    "scheduler": _slopes_fleet.scheduler,
    "sharding": _slopes_fleet.sharding,
    "pacing": _slopes_fleet.pacing,
    "today": _slopes_fleet.today,
    "transport": _slopes_transport.transport,
    "tokens": _slopes_processes.tokens,
    "requests": _slopes_processes.requests,
    "polling": _slopes_processes.polling,
    "idle": _slopes_processes.idle,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=sorted(_PARTS), action="append")
    parser.add_argument(
        "--page",
        type=pathlib.Path,
        help="page whose tables are replaced, which needs all parts",
    )
    options = parser.parse_args(arguments)
    if options.page and options.only:
        parser.error("--page needs all parts")
    # Faults are part of the runs; the fleet's log lines say nothing new.
    logging.getLogger("crowwinch").setLevel(logging.CRITICAL)
    lines = []
    for name, part in _PARTS.items():
        if options.only is None or name in options.only:
            for line in part():
                print(json.dumps(line), flush=True)
                lines.append(line)
    if options.page:
        _slopes_page.update(options.page, lines)
    return 0


if __name__ == "__main__":
    sys.exit(main())

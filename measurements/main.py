"""Prints the figures of every scenario, one JSON object a line."""

import argparse
import json
import logging
import sys
from collections.abc import Callable, Iterator, Sequence

from measurements._arrivals import arrivals
from measurements._baselines import Fifo, LocalFair, Oracle
from measurements._fleet import Crowwinch
from measurements._results import result_line, scale_line, summary_line
from measurements._scenarios import Scenario, scale, scenarios
from measurements._world import Policy, World

SEEDS = (1, 2, 3)
SCALE_ROUTERS = (8, 34, 102, 340)
BASELINES: tuple[Callable[[], Policy], ...] = (Oracle, LocalFair, Fifo)


def measure(scenario: Scenario, seed: int) -> list[dict]:
    """Runs every policy on the same arrivals.

    Returns:
        One line for each policy and a summary.
    """
    requests = arrivals(scenario, seed)
    lines = []
    fleet = Crowwinch()
    for policy in (fleet, *(create() for create in BASELINES)):
        world = World(scenario, requests, policy)
        world.run()
        control = getattr(policy, "control_bytes", [])
        lines.append(result_line(world, seed, control))
    by_policy = {line["policy"]: line for line in lines}
    lines.append(summary_line(scenario, by_policy))
    return lines


class _ErrorCounter(logging.Handler):
    """Counts errors, which the timer service logs and does not raise."""

    count = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.count += 1


def measure_scale(routers: int) -> dict:
    """Runs the fleet's own classes at a part of the two-year plan.

    Returns:
        The line with messages, bytes and the scheduler's processor time.
    """
    scenario = scale(routers)
    policy = Crowwinch()
    world = World(scenario, arrivals(scenario, SEEDS[0]), policy)
    world.run()
    return scale_line(world, policy)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line.

    Returns:
        The exit code: 1 if a decision class raised or logged an error. A
        missed target is told by the lines, not by the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scale", action="store_true")
    parser.add_argument("--scenario", help="only this scenario")
    parser.add_argument("--seed", type=int, help="only this seed")
    options = parser.parse_args(arguments)
    # Faults are part of the scenarios; the fleet's warnings say nothing new.
    logging.getLogger("crowwinch").setLevel(logging.ERROR)
    errors = _ErrorCounter(logging.ERROR)
    logging.getLogger("crowwinch").addHandler(errors)
    for line in _lines(options):
        print(json.dumps(line), flush=True)
    return 1 if errors.count else 0


def _lines(options: argparse.Namespace) -> Iterator[dict]:
    if options.scale:
        for routers in SCALE_ROUTERS:
            yield measure_scale(routers)
        return
    for scenario in scenarios():
        if options.scenario not in (None, scenario.name):
            continue
        for seed in SEEDS if options.seed is None else (options.seed,):
            yield from measure(scenario, seed)


if __name__ == "__main__":
    sys.exit(main())

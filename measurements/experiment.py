"""Plays loads against ways of sharing engines; prints a table and a plot."""

import argparse
import random
import statistics
import sys
from collections.abc import Sequence

from measurements._sharing_policies import POLICIES
from measurements._sharing_world import Load, Outcome, outcome
from standins.engine_model import PromptMix, make_work

_FAULTS = ("none", "frozen", "cut", "lagging")
_SECONDS = 12.0
_WINDOW_S = 4.0
# Per engine: what one that reads half of its prompts does in a second.
_UNITS_PER_ENGINE = 60_000.0
_RATE_PER_ENGINE = 13.0
_SLOTS = 32
_ROUTERS_PER_ENGINE = 1.2
_BAR_CHARS = 40
# Weights of workspaces: two ask most of what is asked.
_WORKSPACES = {"large-1": 8.0, "large-2": 4.0} | {
    f"small-{number}": 0.5 for number in range(8)
}


def make_load(
    routers: int,
    times: float,
    seed: int,
    seconds: float = _SECONDS,
    fault: str = "none",
) -> Load:
    """Returns a load for a fleet.

    Args:
        routers: Number of routers; engines grow with them.
        times: Traffic against what the engines can just do.
        seed: Of the arrivals.
        seconds: Length of the load.
        fault: What a fifth of the routers has in the middle of the load.
    """
    engines = max(round(routers / _ROUTERS_PER_ENGINE), 2)
    rng = random.Random(seed)
    rate = engines * _RATE_PER_ENGINE * times
    mix = PromptMix(4 * engines, 3_000, 7.0, 400)
    arrivals = []
    time = rng.expovariate(rate)
    names = list(_WORKSPACES)
    weights = list(_WORKSPACES.values())
    while time < seconds:
        workspace = rng.choices(names, weights)[0]
        arrivals.append((time, make_work(rng, workspace, mix)))
        time += rng.expovariate(rate)
    return Load(
        routers=routers,
        engines=engines,
        slots=_SLOTS,
        capacity=engines * _UNITS_PER_ENGINE,
        window_s=_WINDOW_S,
        arrivals=arrivals,
        seconds=seconds,
        fault=fault,
    )


def play(policy: str, load: Load, seed: int) -> Outcome:
    """Plays a load with a policy."""
    world = POLICIES[policy](load, seed)
    world.play()
    return outcome(world)


def _mean(outcomes: Sequence[Outcome], name: str) -> float:
    return statistics.fmean(getattr(each, name) for each in outcomes)


def main() -> int:
    """Plays all that was asked for.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, nargs="+", default=[8])
    parser.add_argument("--times", type=float, nargs="+", default=[1.0, 2.0])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument(
        "--faults", nargs="+", default=["none"], choices=_FAULTS
    )
    parser.add_argument(
        "--policies", nargs="+", default=list(POLICIES), choices=list(POLICIES)
    )
    parser.add_argument("--seconds", type=float, default=_SECONDS)
    arguments = parser.parse_args()
    print(
        "| routers | traffic | fault | policy | in time | served | refused"
        " | refused after | worst workspace | read | busiest router |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    bars = []
    for routers in arguments.routers:
        for times in arguments.times:
            for fault in arguments.faults:
                for policy in arguments.policies:
                    outcomes = [
                        play(
                            policy,
                            make_load(
                                routers, times, seed, arguments.seconds, fault
                            ),
                            seed,
                        )
                        for seed in arguments.seeds
                    ]
                    in_time = _mean(outcomes, "in_time")
                    print(
                        f"| {routers} | {times:g} | {fault} | {policy}"
                        f" | {in_time:.3f}"
                        f" | {_mean(outcomes, 'served'):.3f}"
                        f" | {_mean(outcomes, 'refused'):.3f}"
                        f" | {_mean(outcomes, 'refusal_s'):.2f} s"
                        f" | {_mean(outcomes, 'worst_workspace'):.3f}"
                        f" | {_mean(outcomes, 'read'):.3f}"
                        f" | {_mean(outcomes, 'busiest'):.2f} cores |",
                        flush=True,
                    )
                    label = f"{routers} {times:g} {fault} {policy}"
                    bars.append((label, in_time))
    print("\nIn time, as part of the service units that were asked for:")
    width = max(len(label) for label, _ in bars)
    for label, part in bars:
        bar = "#" * round(part * _BAR_CHARS)
        print(f"{label:{width}} {bar} {part:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

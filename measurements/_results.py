"""Figures of one run and the comparison with the oracle."""

import sys
from collections.abc import Iterable, Mapping
from typing import Any

from measurements._fleet import Crowwinch
from measurements._scenarios import Scenario
from measurements._slopes_fleet import membership_bytes
from measurements._world import World

_LARGEST_GAP_RATIO = 1.25
_LEAST_UTILISATION_RATIO = 0.98
_LEAST_UTILISATION_RATIO_FAULT = 0.95
_LARGEST_CONTROL_BYTES = 3000


def result_line(
    world: World, seed: int, control: Iterable[int]
) -> dict[str, Any]:
    """Returns the figures of a run.

    Args:
        world: The run.
        seed: Seed of the arrivals.
        control: Control bytes of each router during the burst.
    """
    scenario = world.scenario
    seconds = scenario.burst_end - scenario.burst_start
    rates = [count / seconds for count in control] or [0.0]
    mean = sum(rates) / scenario.routers
    line: dict[str, Any] = {
        "scenario": scenario.name,
        "routers": scenario.routers,
        "seed": seed,
        "policy": world.policy.name,
    }
    for index, pool in enumerate(scenario.pools):
        # Slot-seconds are printed for services, which count slot-milliseconds.
        unit = 1.0 if pool.kind == "engine" else 1000.0
        suffix = "" if index == 0 else "_services"
        worst = world.worst_gap(pool)
        line["fairness_gap" + suffix] = round(worst.gap / unit, 2)
        line["gap_bound" + suffix] = round(scenario.gap_bound(pool) / unit, 2)
        if scenario.recovery is not None:
            after = world.gap_after_fault(pool).gap
            line["gap_after_fault" + suffix] = round(after / unit, 2)
    line |= {
        "utilisation": round(world.utilisation.utilisation, 4),
        "control_bytes_per_router_s": round(mean),
        "control_bytes_largest_router_s": round(max(rates)),
        "membership_bytes_per_router_s": membership_bytes(scenario.routers),
        "starvation_window_s": round(scenario.starvation_window, 1),
        "starved_workspaces": len(world.starvation.starved),
        "lost": world.lost,
        "doubled": world.doubled,
    }
    return line


def _ratio(value: float, reference: float) -> float:
    # Without a pair of backlogged workspaces both gaps are 0.
    if value == reference:
        return 1.0
    return value / reference if reference else sys.float_info.max


def summary_line(
    scenario: Scenario, lines: Mapping[str, Mapping[str, Any]]
) -> dict[str, Any]:
    """Compares the lines of one scenario and seed, given by policy."""
    own, oracle = lines["crowwinch"], lines["oracle"]
    suffixes = ["", "_services"][: len(scenario.pools)]

    def gap_ratios(field: str) -> list[float]:
        return [
            round(_ratio(own[field + suffix], oracle[field + suffix]), 3)
            for suffix in suffixes
        ]

    ratios = gap_ratios("fairness_gap")
    utilisation = own["utilisation"] / oracle["utilisation"]
    faulty = bool(scenario.faults)
    checks = {
        "gap": all(
            own["fairness_gap" + suffix] <= own["gap_bound" + suffix]
            for suffix in suffixes
        )
        if faulty
        else max(ratios) <= _LARGEST_GAP_RATIO,
        "utilisation": utilisation
        >= (
            _LEAST_UTILISATION_RATIO_FAULT
            if faulty
            else _LEAST_UTILISATION_RATIO
        ),
        "control": own["control_bytes_per_router_s"]
        + own["membership_bytes_per_router_s"]
        <= _LARGEST_CONTROL_BYTES,
        "starved": own["starved_workspaces"] == 0,
        "lost": own["lost"] == 0,
        "doubled": own["doubled"] == 0,
    }
    recovered = {}
    if faulty:
        after = gap_ratios("gap_after_fault")
        recovered["gap_ratios_after_fault"] = after
    return {
        "summary": scenario.name,
        "seed": own["seed"],
        "gap_ratio_to_oracle": max(ratios),
        "gap_ratios": ratios,
        **recovered,
        "utilisation_ratio_to_oracle": round(utilisation, 4),
        "meets_targets": all(checks.values()),
        "missed": [name for name, met in checks.items() if not met],
    }


def scale_line(world: World, policy: Crowwinch) -> dict[str, Any]:
    """Returns messages, bytes and processor time for a run of `scale`.

    Rates relate to the burst. The scheduler's time covers messages and target
    reports of the whole run; the time for reports is also given per second of
    one scheduler.
    """
    scenario = world.scenario
    seconds = scenario.burst_end - scenario.burst_start
    messages = [count / seconds for count in policy.control_messages]
    rates = [count / seconds for count in policy.control_bytes]
    schedulers = len(scenario.regions)
    decisions = max(policy.decisions, 1)
    return {
        "scenario": scenario.name,
        "routers": scenario.routers,
        "seed": 1,
        "policy": policy.name,
        "regions": schedulers,
        "targets": len(world.targets),
        "workspaces": len(scenario.weights),
        "backlogged_workspaces": world.largest_backlog,
        "requests_per_s": round(world.requests_per_second(), 1),
        "fairness_gap": round(
            max(world.worst_gap(pool).gap for pool in scenario.pools), 2
        ),
        "utilisation": round(world.utilisation.utilisation, 4),
        "messages_per_router_s": round(sum(messages) / scenario.routers, 2),
        "messages_largest_router_s": round(max(messages), 2),
        "control_bytes_per_router_s": round(sum(rates) / scenario.routers),
        "control_bytes_largest_router_s": round(max(rates)),
        "membership_bytes_per_router_s": membership_bytes(scenario.routers),
        "decisions": decisions,
        "cpu_microseconds_per_decision": round(
            policy.scheduler_seconds / decisions * 1e6, 1
        ),
        "target_report_cpu_ms_per_scheduler_s": round(
            policy.report_seconds / schedulers / world.now * 1e3, 2
        ),
        "starved_workspaces": len(world.starvation.starved),
        "lost": world.lost,
        "doubled": world.doubled,
    }

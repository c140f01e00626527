"""Arrivals of a scenario with a fixed seed."""

import math
import random
from dataclasses import dataclass

from crowwinch.coordination import identifier
from measurements._scenarios import Pool, Scenario


@dataclass(frozen=True, slots=True)
class Request:
    """One arrival. Cost is known to the target only."""

    number: int
    time: float
    router: int
    workspace: int
    group: int
    cost: int
    hint: int
    idempotent: bool


def arrivals(scenario: Scenario, seed: int) -> list[Request]:
    """Returns the arrivals of a scenario, in order of time."""
    source = random.Random(f"{scenario.name}/{scenario.routers}/{seed}")
    drafts: list[tuple[float, str, Pool]] = []
    homes: dict[str, list[int]] = {}
    for index, pool in enumerate(scenario.pools):
        users = [
            name
            for number, name in enumerate(scenario.weights)
            if not scenario.one_pool_each
            or number % len(scenario.pools) == index
        ]
        routers = scenario.routers_of(pool.region)
        total = sum(scenario.demand[name] for name in users)
        for number, name in enumerate(users):
            if name not in homes:
                count = min(len(routers), 1 + number % 3)
                homes[name] = source.sample(routers, count)
            rate = pool.requests_per_second * scenario.demand[name] / total
            drafts += _times(scenario, source, pool, name, rate)
    drafts.sort(key=lambda draft: draft[0])
    return [
        _request(scenario, source, number, draft, homes)
        for number, draft in enumerate(drafts, 1)
    ]


def _times(
    scenario: Scenario,
    source: random.Random,
    pool: Pool,
    name: str,
    rate: float,
) -> list[tuple[float, str, Pool]]:
    phases = [
        (0.0, scenario.burst_start, rate * scenario.base_load),
        (scenario.burst_start, scenario.burst_end, rate * pool.load),
    ]
    if name == scenario.flood and pool is scenario.pools[0]:
        weight = scenario.weights[name] / sum(scenario.weights.values())
        flood_rate = 1000 * weight * pool.requests_per_second
        start = scenario.burst_start + 5.0
        phases.append((start, start + 3.0, flood_rate))
    drafts = []
    for start, end, intensity in phases:
        now = start + source.expovariate(intensity)
        while now < end:
            drafts.append((now, name, pool))
            now += source.expovariate(intensity)
    return drafts


def _request(
    scenario: Scenario,
    source: random.Random,
    number: int,
    draft: tuple[float, str, Pool],
    homes: dict[str, list[int]],
) -> Request:
    time, name, pool = draft
    cost = round(source.lognormvariate(math.log(pool.median), pool.sigma))
    cost = min(max(cost, 1), pool.largest)
    error = math.log(scenario.hint_error)
    hint = max(1, round(cost * math.exp(source.uniform(-error, error))))
    idempotent = pool.kind == "engine" or source.random() < 0.8
    return Request(
        number,
        time,
        source.choice(homes[name]),
        identifier(name),
        identifier(pool.name),
        cost,
        hint,
        idempotent,
    )

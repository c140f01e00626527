"""Tests of shares where workspaces turn hot, cold and move between routers."""

import random
import unittest
from collections import defaultdict

from measurements._sharing_policies import LocalDecisions
from measurements._sharing_world import Load
from measurements.share_report import Second, find_shortages
from standins.engine_model import PromptMix, workspace_arrivals

_ROUTERS = 89
_ENGINES = 24
_SLOTS = 12
_SHARE_WINDOW_S = 4.0
_SECONDS = 16.0
# Service units per second and engine with the prompts of this load, and the
# mean of a request.
_UNITS_PER_ENGINE = 48_000.0
_UNITS_PER_REQUEST = 5_600.0
# The configured capacity is about half of what the engines do.
_CAPACITY = 0.55 * _ENGINES * _UNITS_PER_ENGINE
# What a workspace asks for while it is hot, as a part of what the engines do,
# and from when to when in seconds. Each hot one asks for more than its share.
_HOT = {
    "everywhere": (0.6, [(0, 16)]),
    "one router": (0.6, [(4, 16)]),
    "moving": (0.6, [(6, 16)]),
    "on and off": (0.6, [(3, 6), (9, 12), (14, 16)]),
    "two routers": (0.5, [(0, 5), (8, 16)]),
} | {f"small-{number}": (0.015, [(0, 16)]) for number in range(10)}
_ROUTERS_BY_WORKSPACE = {"one router": 1, "moving": 1, "two routers": 2}
_STAY_S = {"moving": 2.0}
_SEEDS = (1, 2)


def _make_load(seed):
    rng = random.Random(seed)
    mix = PromptMix(4 * _ENGINES, 3_000, 7.0, 400)
    per_s = _ENGINES * _UNITS_PER_ENGINE / _UNITS_PER_REQUEST
    arrivals = []
    for workspace, (part, spans) in _HOT.items():
        for span in spans:
            arrivals += workspace_arrivals(
                rng, workspace, part * per_s, span, mix
            )
    return Load(
        routers=_ROUTERS,
        engines=_ENGINES,
        slots=_SLOTS,
        capacity=_CAPACITY,
        window_s=_SHARE_WINDOW_S,
        arrivals=sorted(arrivals, key=lambda arrival: arrival[0]),
        seconds=_SECONDS,
        routers_by_workspace=_ROUTERS_BY_WORKSPACE,
        stay_s=_STAY_S,
    )


def _activity(jobs):
    seconds = defaultdict(lambda: defaultdict(Second))
    for job in jobs:
        own = seconds[job.work.workspace]
        arrived = own[int(job.arrived)]
        arrived.asked += job.work.cost
        arrived.delayed += not job.is_in_time
        arrived.largest.append(job.work.cost)
        if job.first_event is not None:
            own[int(job.first_event)].served += job.work.cost
    return seconds


class HotWorkspaceTest(unittest.TestCase):
    """Guards against a workspace that is starved while others turn hot.

    In each window of six seconds, one that waits gets at least half of the less
    of what it asks for and what the one served best gets, second by second.
    """

    def test_each_workspace_gets_its_share_in_each_window(self):
        for seed in _SEEDS:
            jobs = LocalDecisions(_make_load(seed), seed).play()
            shortest = {}
            for shortage in find_shortages(_activity(jobs)):
                shortest.setdefault(shortage.workspace, shortage)
            for workspace, shortage in shortest.items():
                with self.subTest(workspace, seed=seed, start=shortage.start):
                    self.assertGreaterEqual(shortage.ratio, 1.0)


if __name__ == "__main__":
    unittest.main()

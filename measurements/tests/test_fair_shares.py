"""Tests of shares where workspaces use different numbers of routers."""

import random
import unittest

from measurements._sharing_policies import LocalDecisions
from measurements._sharing_world import Load
from standins.engine_model import PromptMix, workspace_arrivals

_ROUTERS = 30
_ENGINES = 6
_SLOTS = 32
_SHARE_WINDOW_S = 4.0
_SECONDS = 10.0
# Until then, callers meet engines that are idle or have cached nothing yet.
_RAMP_UP_S = 3.0
_WINDOW_S = 6.0
# Service units per second and engine with the prompts of this load.
_UNITS_PER_ENGINE = 60_000.0
# Requests per second and engine. All but the small workspaces ask for more than
# an equal share.
_RATES = {"everywhere": 52.0, "two routers": 8.0, "one router": 13.0} | {
    f"small-{number}": 0.4 for number in range(5)
}
_ROUTERS_BY_WORKSPACE = {"one router": 1, "two routers": 2}
# A workspace that waits gets at least half of what another one gets.
_MIN_RATIO = 0.5


def _make_load(capacity, seed):
    rng = random.Random(seed)
    mix = PromptMix(4 * _ENGINES, 3_000, 7.0, 400)
    arrivals = []
    for workspace, per_engine in _RATES.items():
        arrivals += workspace_arrivals(
            rng, workspace, per_engine * _ENGINES, (0.0, _SECONDS), mix
        )
    return Load(
        routers=_ROUTERS,
        engines=_ENGINES,
        slots=_SLOTS,
        capacity=capacity,
        window_s=_SHARE_WINDOW_S,
        arrivals=sorted(arrivals, key=lambda arrival: arrival[0]),
        seconds=_SECONDS,
        routers_by_workspace=_ROUTERS_BY_WORKSPACE,
    )


def _units_begun(jobs, workspace, start):
    return sum(
        job.work.cost
        for job in jobs
        if job.work.workspace == workspace
        and job.first_event is not None
        and start <= job.first_event < start + _WINDOW_S
    )


class ConcentratedWorkspaceTest(unittest.TestCase):
    """Guards against a workspace that gets less because it uses few routers."""

    def test_callers_at_one_router_get_as_much_as_callers_everywhere(self):
        capacities = {
            "right": _ENGINES * _UNITS_PER_ENGINE,
            "a third of the engines is left": 3 * _ENGINES * _UNITS_PER_ENGINE,
            "not configured": None,
        }
        for name, capacity in capacities.items():
            for seed in (1, 2):
                jobs = LocalDecisions(_make_load(capacity, seed), seed).play()
                self._assert_fair(jobs, name, seed)

    def _assert_fair(self, jobs, name, seed):
        for step in range(int(_SECONDS - _RAMP_UP_S - _WINDOW_S) * 2 + 1):
            start = _RAMP_UP_S + step / 2
            best = _units_begun(jobs, "everywhere", start)
            for workspace in _ROUTERS_BY_WORKSPACE:
                with self.subTest(name, seed=seed, start=start, of=workspace):
                    self.assertGreaterEqual(
                        _units_begun(jobs, workspace, start), _MIN_RATIO * best
                    )


if __name__ == "__main__":
    unittest.main()

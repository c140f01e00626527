"""Tests of the commands that follow from a configuration and states."""

import random
import unittest

from crowwinch.commands import (
    EVENT_LEAD_S,
    Action,
    TargetState,
    plan_commands,
    wanted_models,
)
from crowwinch.configuration import Snapshot
from crowwinch.coordination import rank
from crowwinch.generated.documents import Event, Group, Target, Workspace

_NAMES = ("t0", "t1", "t2")
_FIRST, _SECOND, _THIRD = rank("g/m", _NAMES)
_START, _END = 100_000, 103_600


def _snapshot(models, events=(), revision=3, roles=()):
    targets = [
        Target(name, f"http://{name}", 1, role=dict(roles).get(name, "mixed"))
        for name in _NAMES
    ]
    group = Group("g", "engine", "r", targets, models=models)
    return Snapshot.build(
        revision, "d", [Workspace("w", 1.0, [])], [group], events
    )


def _event(models):
    return Event("e", "w", _START, _END, group="g", models=models)


def _states(held):
    return {name: TargetState(held.get(name, {})) for name in _NAMES}


def _plan(snapshot, held, time=0.0):
    return [
        (each.action.value, each.target, each.model, each.version)
        for each in plan_commands(snapshot, time, _states(held), "r")
    ]


# Name, models of the group, what targets hold, expected commands.
_CASES = (
    ("nothing managed", "", {"t0": {"x": "1"}}, []),
    ("load", "m@1:1", {}, [("load", _FIRST, "m", "1")]),
    ("any version", "m:1", {_FIRST: {"m": "7"}}, []),
    (
        "the last holder waits for the next one",
        "m@1:1",
        {_SECOND: {"m": "1"}},
        [("load", _FIRST, "m", "1")],
    ),
    (
        "the last holder leaves once the next one holds the model",
        "m@1:1",
        {_FIRST: {"m": "1"}, _SECOND: {"m": "1"}},
        [("unload", _SECOND, "m", "1")],
    ),
    (
        "a holder of the old version is not the next one",
        "m@2:1",
        {_FIRST: {"m": "1"}, _SECOND: {"m": "1"}},
        [("version", _FIRST, "m", "2")],
    ),
    (
        "a model with one target changes in place",
        "m@2:1",
        {_FIRST: {"m": "1"}},
        [("version", _FIRST, "m", "2")],
    ),
    (
        "one of two holders keeps the old version",
        "m@2:2",
        {_FIRST: {"m": "1"}, _SECOND: {"m": "1"}},
        [("version", rank("m", (_FIRST, _SECOND))[1], "m", "2")],
    ),
    (
        "a model that nobody wants leaves",
        "m@1:1",
        {_FIRST: {"m": "1", "old": "1"}},
        [("unload", _FIRST, "old", "1")],
    ),
)


class PlanTest(unittest.TestCase):
    """Guards against commands that stop a model from being served."""

    def test_commands(self):
        for name, models, held, expected in _CASES:
            with self.subTest(name):
                self.assertEqual(_plan(_snapshot(models), held), expected)

    def test_roles_and_silent_targets(self):
        """Guards against commands to targets whose state is unknown."""
        snapshot = _snapshot("m", roles=[("t1", "prefill")])
        states = {"t1": TargetState({"m": "1"})}
        (command,) = plan_commands(snapshot, 0.0, states, "r")
        self.assertEqual(
            (command.action, command.role), (Action.ROLE, "prefill")
        )
        self.assertEqual(plan_commands(snapshot, 0.0, states, "other"), [])

    def test_events_and_fencing(self):
        """Guards against late loads and numbers that go back."""
        snapshot = _snapshot("m@1:1", [_event("m@2:3;x")])
        held = {_FIRST: {"m": "1"}}
        numbers = []
        for time, loads in (
            (_START - EVENT_LEAD_S - 1, 0),
            (_START - EVENT_LEAD_S, 5),
            (_END - 1, 5),
            (_END, 0),
        ):
            commands = plan_commands(snapshot, time, _states(held), "r")
            actions = [each.action for each in commands]
            self.assertEqual(actions.count(Action.LOAD), loads, time)
            missing = plan_commands(snapshot, time, _states({}), "r")
            numbers.append(missing[0].fencing)
        self.assertEqual(numbers, [3000, 3001, 3001, 3002])
        later = plan_commands(
            _snapshot("m", revision=4), _END, _states({}), "r"
        )
        self.assertEqual(later[0].fencing, 4000)

    def test_random_orders_keep_models_served(self):
        """Guards against a plan that removes the last holder of a model."""
        generator = random.Random(5)
        for _ in range(300):
            held = {
                name: {
                    model: generator.choice("12")
                    for model in "mx"
                    if generator.random() < 0.5
                }
                for name in _NAMES
            }
            counts = generator.choices("123", k=2)
            models = f"m@2:{counts[0]};x@1:{counts[1]}"
            self._converge(generator, _snapshot(models), held)

    def _converge(self, generator, snapshot, held):
        (group,) = snapshot.groups.values()
        served = {model for models in held.values() for model in models}
        for _ in range(40):
            commands = plan_commands(snapshot, 0.0, _states(held), "r")
            if not commands:
                break
            # Some commands get lost; during a change of version the model is
            # taken as not served.
            chosen = [c for c in commands if generator.random() < 0.7]
            for command in chosen:
                if command.action is not Action.LOAD:
                    held[command.target].pop(command.model)
            for model in served:
                self._check_served(model, held, group)
            for command in chosen:
                if command.action is not Action.UNLOAD:
                    held[command.target][command.model] = command.version
        self.assertEqual(held, wanted_models(snapshot, group, 0.0))

    def _check_served(self, model, held, group):
        holders = [name for name in _NAMES if model in held[name]]
        # A model with a single target may change its version in place.
        single = any(
            each.startswith(f"{model}@") and each.endswith(":1")
            for each in group.models.split(";")
        )
        self.assertTrue(holders or single, (model, held))

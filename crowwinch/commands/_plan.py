"""Computes commands from the configuration, the time and target states."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from crowwinch.configuration import Snapshot, WantedModel, parse_models
from crowwinch.coordination import rank
from crowwinch.generated.documents import Group, Target

# At one load every 10 s, the 64 targets of the largest group take 640 s.
EVENT_LEAD_S = 900.0
_STEPS_PER_REVISION = 1000


class Action(enum.StrEnum):
    """What an engine is told to do."""

    ROLE = "role"
    LOAD = "load"
    VERSION = "version"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class TargetState:
    """What a target reports.

    Attributes:
        models: Version of each model that it holds.
        role: Its role.
    """

    models: Mapping[str, str] = field(default_factory=dict)
    role: str = "mixed"


@dataclass(frozen=True, slots=True)
class Command:
    """A command to one target.

    Attributes:
        target: Name of the target.
        url: Base URL of the target.
        fencing: Number that the target compares with the highest one it saw.
        enforced: Whether the target rejects lower numbers.
    """

    target: str
    url: str
    action: Action
    fencing: int
    enforced: bool
    model: str = ""
    version: str = ""
    role: str = ""


def plan_commands(
    snapshot: Snapshot,
    unix_time: float,
    states: Mapping[str, TargetState],
    region: str,
) -> list[Command]:
    """Returns the commands that bring targets closer to the configuration.

    What a target should hold, and the fencing number, depend only on the
    configuration and the time, so no two routers give opposite commands under
    one number. States only decide which commands are needed and safe now. A
    target without a state gets no command.

    Args:
        snapshot: The configuration in force.
        unix_time: Unix time in seconds.
        states: State by name of the targets that answered.
        region: Region whose targets are planned.

    Returns:
        Commands ordered by action, then target and model.
    """
    planner = _Planner(snapshot, unix_time, states, region)
    return sorted(
        planner.commands(),
        key=lambda each: (
            list(Action).index(each.action),
            each.target,
            each.model,
        ),
    )


def fencing_number(snapshot: Snapshot, unix_time: float) -> int:
    """Returns revision x 1,000 + boundaries of events with models so far."""
    boundaries = {
        boundary
        for events in snapshot.events.values()
        for event in events
        if event.models
        for boundary in (event.start - EVENT_LEAD_S, event.end)
    }
    step = sum(boundary <= unix_time for boundary in boundaries)
    return snapshot.revision * _STEPS_PER_REVISION + min(
        step, _STEPS_PER_REVISION - 1
    )


def wanted_models(
    snapshot: Snapshot, group: Group, unix_time: float
) -> dict[str, dict[str, str]]:
    """Returns the version of each model that each target should hold.

    Events count from `EVENT_LEAD_S` before their start. Of several versions of
    a model the one of the event that starts last is wanted; of several numbers
    of targets the largest.
    """
    wanted = {each.model: each for each in parse_models(group.models)}
    active = [
        event
        for events in snapshot.events.values()
        for event in events
        if event.models
        and event.group == group.name
        and event.start - EVENT_LEAD_S <= unix_time < event.end
    ]
    active.sort(key=lambda each: (each.start, each.name, each.workspace))
    for event in active:
        for each in parse_models(event.models):
            wanted[each.model] = _merge(wanted.get(each.model), each)
    names = [target.name for target in group.targets]
    placed: dict[str, dict[str, str]] = {name: {} for name in names}
    for model, each in wanted.items():
        ranked = rank(f"{group.name}/{model}", names)
        for name in ranked[: each.targets or len(ranked)]:
            placed[name][model] = each.version
    return placed


def _merge(old: WantedModel | None, new: WantedModel) -> WantedModel:
    if old is None:
        return new
    everywhere = not (old.targets and new.targets)
    return WantedModel(
        new.model,
        new.version or old.version,
        0 if everywhere else max(old.targets, new.targets),
    )


class _Planner:
    def __init__(
        self,
        snapshot: Snapshot,
        unix_time: float,
        states: Mapping[str, TargetState],
        region: str,
    ) -> None:
        self._states = states
        self._fencing = fencing_number(snapshot, unix_time)
        self._targets: dict[str, Target] = {}
        self._wanted: dict[str, dict[str, str]] = {}
        for group in snapshot.groups.values():
            managed = group.kind == "engine" and group.models
            if managed and group.region == region:
                self._wanted |= wanted_models(snapshot, group, unix_time)
                self._targets |= {each.name: each for each in group.targets}

    def commands(self) -> Iterator[Command]:
        for name, target in self._targets.items():
            state = self._states.get(name)
            if state is None:
                continue
            if state.role != target.role:
                yield self._command(name, Action.ROLE, role=target.role)
            for model, version in self._wanted[name].items():
                if model not in state.models:
                    yield self._command(name, Action.LOAD, model, version)
            for model, version in state.models.items():
                if model not in self._wanted[name] and self._is_served(model):
                    yield self._command(name, Action.UNLOAD, model, version)
        yield from self._version_commands()

    def _is_served(self, model: str) -> bool:
        """Whether a target that should hold a model does, if any should."""
        wanting = {
            name: wanted[model]
            for name, wanted in self._wanted.items()
            if model in wanted
        }
        return not wanting or any(
            _holds(self._states.get(name), model, version)
            for name, version in wanting.items()
        )

    def _version_commands(self) -> Iterator[Command]:
        models = {model for each in self._wanted.values() for model in each}
        for model in sorted(models):
            wanting = [n for n, each in self._wanted.items() if model in each]
            holders = [
                name
                for name in self._targets
                if name in self._states and model in self._states[name].models
            ]
            outdated = [
                name
                for name in rank(model, holders)
                if name in wanting
                and not _holds(
                    self._states[name], model, self._wanted[name][model]
                )
            ]
            # One holder keeps serving while the others change. A model with a
            # single target changes in place.
            if len(outdated) == len(holders) and len(wanting) > 1:
                outdated = outdated[1:]
            for name in outdated:
                version = self._wanted[name][model]
                yield self._command(name, Action.VERSION, model, version)

    def _command(
        self,
        name: str,
        action: Action,
        model: str = "",
        version: str = "",
        role: str = "",
    ) -> Command:
        target = self._targets[name]
        return Command(
            name,
            target.url,
            action,
            self._fencing,
            target.fencing,
            model,
            version,
            role,
        )


def _holds(state: TargetState | None, model: str, version: str) -> bool:
    if state is None or model not in state.models:
        return False
    return not version or state.models[model] == version

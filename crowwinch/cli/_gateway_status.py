"""Text on the states of routers on the operators' platform."""

from collections.abc import Mapping, Sequence

from crowwinch.cli._operators import format_grid

PROGRAM = "gateway"
_COLUMNS = (
    ("NAME", "router"),
    ("ZONE", "availability_zone"),
    ("READY", "ready"),
    ("CONFIG", "configuration"),
    ("ERA", "era"),
    ("REVISION", "revision"),
    ("AGE_S", "directory_age_s"),
    ("PEERS", "peers"),
)

State = Mapping[str, object]


def is_gateway(state: State) -> bool:
    """Returns whether a state is of `crowwinch gateway`."""
    return state.get("program") == PROGRAM


def format_states(states: Sequence[State]) -> str:
    """Returns a table of the routers and a line for each limited target."""
    rows = [[title for title, _ in _COLUMNS] + ["EVACUATED"]]
    lines = []
    for state in states:
        cells = [_text(state.get(field)) for _, field in _COLUMNS]
        rows.append([*cells, ",".join(_evacuated_zones(state)) or "-"])
        lines += [
            f"{state.get('router')}: {_describe_limits(target)}"
            for target in _objects(state, "limited_targets")
        ]
    return "\n".join([format_grid(rows), *lines])


def find_differences(states: Sequence[State]) -> list[str]:
    """Returns what differs between routers that should agree.

    Revisions differ whenever a target writes its entry, so they are not
    compared.
    """
    differences = []
    if len({state.get("configuration") for state in states}) > 1:
        differences.append("the configurations in force differ")
    if len({tuple(_evacuated_zones(state)) for state in states}) > 1:
        differences.append("the evacuated zones differ")
    return differences


def _evacuated_zones(state: State) -> list[str]:
    zones = _objects(state, "evacuated_zones")
    return sorted(str(each.get("zone")) for each in zones)


def _describe_limits(target: State) -> str:
    parts = [f"target {target.get('target')}"]
    rate = target.get("own_rate_per_s")
    if rate is not None:
        parts.append(f"{rate} requests a second")
    parts += [
        f"{limit.get('reason')} for {_text(limit.get('wait_s'))} s"
        for limit in _objects(target, "limits")
    ]
    return ", ".join(parts)


def _objects(state: State, field: str) -> list[State]:
    """Returns the objects of a list; another version may have none."""
    values = state.get(field)
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, dict)]


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value is None else str(value)

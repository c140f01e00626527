"""An example of the operators' table."""

import datetime
import hashlib

from crowwinch.configuration._build import TargetRow
from crowwinch.generated.documents import Event, Group, Target, Workspace


def example_table() -> dict[str, list[object]]:
    """Returns structs by sheet, of a table without findings."""
    start = int(
        datetime.datetime(2027, 1, 4, 6, tzinfo=datetime.UTC).timestamp()
    )
    targets = [
        Target(f"engine-{index}", f"http://127.0.0.1:910{index}", 8)
        for index in range(2)
    ]
    group = Group(
        "menus",
        "engine",
        "midlands",
        [],
        model="menu-model",
        models="menu-model@1",
    )
    return {
        "workspaces": [
            Workspace(
                name,
                weight,
                [hashlib.sha256(f"replace-{name}".encode()).hexdigest()],
            )
            for name, weight in (("camp-large", 4.0), ("camp-small", 1.0))
        ],
        "events": [
            Event(
                "breakfast",
                "camp-small",
                start,
                start + 7200,
                weight=3.0,
                group="menus",
                models="allergen-model@2:1",
            )
        ],
        "groups": [group],
        "targets": [TargetRow("menus", target) for target in targets],
    }

"""Slopes of the propagation of configurations on a fake clock."""

import asyncio
from collections.abc import Iterator
from typing import Any

import msgspec

from crowwinch.configuration import build_documents
from crowwinch.configuration.tests import fake_fleet
from measurements._fit import slope_of
from measurements._slopes_state import WORKSPACES, table

_ROUTERS = (34, 102, 340)
_ZONES = 25
_FEW_WORKSPACES = 1_000
_LIMIT_S = 90.0


async def _run(routers: int, workspaces: int) -> dict[str, float]:
    """Returns seconds and messages of a cold start and of an edit."""
    checked = table(workspaces)
    before = build_documents(checked, 1)
    checked.workspaces[3] = msgspec.structs.replace(
        checked.workspaces[3], weight=7.0
    )
    after = build_documents(checked, 2)
    # With one router in a zone there would be fewer than two watchers.
    fleet = fake_fleet.Fleet(routers, min(_ZONES, routers // 2))
    fleet.service.publish(before)
    fleet.start()
    cold = await fleet.run(_LIMIT_S, fleet.all_have(before))
    calls = fleet.service.most_calls_a_second()
    await fleet.run(2.0)
    messages = fleet.messages
    fleet.service.publish(after)
    edit = await fleet.run(_LIMIT_S, fleet.all_have(after))
    fleet.stop()
    return {
        "cold_start": _LIMIT_S if cold is None else cold,
        "cold_start_calls": calls,
        "edit_seconds": _LIMIT_S if edit is None else edit,
        "edit_messages": (fleet.messages - messages) / routers,
    }


def spread() -> Iterator[dict[str, Any]]:
    """Yields times until a configuration is in force everywhere.

    The fake network delivers in steps of 0.05 s, which bounds the precision.
    """
    runs = [asyncio.run(_run(each, _FEW_WORKSPACES)) for each in _ROUTERS]
    for key, unit in (
        ("edit_seconds", "s"),
        ("edit_messages", "messages a router"),
        ("cold_start_calls", "calls/s of the service"),
    ):
        values = [run[key] for run in runs]
        yield slope_of(key, unit, "routers", _ROUTERS, values, 8, 340)
    runs = [asyncio.run(_run(_ROUTERS[0], each)) for each in WORKSPACES]
    yield slope_of(
        "cold_start",
        "s at 34 routers",
        "workspaces",
        WORKSPACES,
        [run["cold_start"] for run in runs],
        15,
        10_000,
    )

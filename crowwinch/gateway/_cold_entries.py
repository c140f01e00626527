"""Passes on what the directory says of targets that have just started."""

from collections.abc import Iterable

from crowwinch.directory import TargetEntry
from crowwinch.forwarding import RoutingTable
from crowwinch.sharing import ColdTargets


def observe_cold_entries(
    cold: ColdTargets,
    entries: Iterable[TargetEntry],
    routing: RoutingTable | None,
) -> None:
    """Applies what the directory says of cold targets.

    Args:
        cold: Limits the requests to cold targets.
        entries: Targets that accept requests.
        routing: Current configuration, None if unknown.
    """
    services = {
        name
        for name, service in (routing.services if routing else {}).items()
        if service.cold_start_s > 0.0 or service.cold_per_s > 0.0
    }
    cold.set_enabled(bool(services))
    if not services:
        return
    for entry in entries:
        if entry.service in services:
            cold.observe_entry(
                entry.identifier,
                entry.started_ms,
                entry.heartbeats,
                entry.cold_s,
            )

"""The `status` command."""

import argparse
from collections.abc import Mapping, Sequence
from typing import ClassVar

_COLUMNS = (
    ("NAME", "router"),
    ("ZONE", "availability_zone"),
    ("READY", "ready"),
    ("REVISION", "revision"),
    ("DIGEST", "digest"),
    ("ACTIVE", "active_requests"),
    ("REFUSED", "refused_documents"),
)
_DIGEST_LENGTH = 12


class StatusCommand:
    """Compares routers."""

    name: ClassVar[str] = "status"
    description: ClassVar[str] = (
        "Show routers and whether the same configuration is in force on them."
    )
    examples: ClassVar[str] = (
        "Exit code 1: a router is unreachable or not ready, or revisions or "
        "digests differ; of gateways, if configurations or evacuated zones "
        "differ.\n\nexamples:\n"
        "  crowwinch status http://10.0.0.1:8081 http://10.0.0.2:8081\n"
        "  crowwinch status http://10.0.0.1:7009  # metrics port of a gateway"
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the operators' URLs."""
        parser.add_argument(
            "urls",
            nargs="+",
            metavar="URL",
            help="operators' port of a router, metrics port of a gateway",
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Prints the tables; returns 1 when routers differ."""
        # The HTTP client takes long to import; the help does not need it.
        from crowwinch.cli._gateway_status import (
            find_differences,
            format_states,
            is_gateway,
        )
        from crowwinch.cli._operators import failure_text, read_all

        states = []
        failures = []
        for url, state in zip(
            arguments.urls,
            read_all(arguments.urls, "/v1/state"),
            strict=True,
        ):
            if not isinstance(state, dict):
                text = (
                    failure_text(state)
                    if isinstance(state, BaseException)
                    else "no state"
                )
                failures.append(f"{url}: unreachable: {text}")
                continue
            states.append(state)
            if not state.get("ready"):
                failures.append(f"{url}: not ready")
        gateways = [state for state in states if is_gateway(state)]
        routers = [state for state in states if not is_gateway(state)]
        failures += _find_differences(routers) + find_differences(gateways)
        if routers or not gateways:
            print(_format_states(routers))
        if gateways:
            print(format_states(gateways))
        for failure in failures:
            print(failure)
        return 1 if failures else 0


def _format_states(states: Sequence[Mapping[str, object]]) -> str:
    from crowwinch.cli._operators import format_grid

    rows = [[title for title, _ in _COLUMNS]]
    rows += [[_cell(state, field) for _, field in _COLUMNS] for state in states]
    return format_grid(rows)


def _find_differences(states: Sequence[Mapping[str, object]]) -> list[str]:
    versions = {
        (state.get("revision"), state.get("digest")) for state in states
    }
    return ["the configurations in force differ"] if len(versions) > 1 else []


def _cell(state: Mapping[str, object], field: str) -> str:
    value = state.get(field, "-")
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    return text[:_DIGEST_LENGTH] if field == "digest" else text

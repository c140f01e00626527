"""The `status` command."""

import argparse
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
        "digests differ.\n\nexample:\n"
        "  crowwinch status http://10.0.0.1:8081 http://10.0.0.2:8081"
    )

    @staticmethod
    def add_arguments(parser: argparse.ArgumentParser) -> None:
        """Adds the operators' URLs."""
        parser.add_argument(
            "urls", nargs="+", metavar="URL", help="operators' port of a router"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Prints the table; returns 1 when routers differ."""
        # The HTTP client takes long to import; the help does not need it.
        from crowwinch.cli._operators import (
            failure_text,
            format_grid,
            read_all,
        )

        rows = [[title for title, _ in _COLUMNS]]
        failures = []
        versions = set()
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
            rows.append([_cell(state, field) for _, field in _COLUMNS])
            versions.add((state.get("revision"), state.get("digest")))
            if not state.get("ready"):
                failures.append(f"{url}: not ready")
        if len(versions) > 1:
            failures.append("the configurations in force differ")
        print(format_grid(rows))
        for failure in failures:
            print(failure)
        return 1 if failures else 0


def _cell(state: dict[str, object], field: str) -> str:
    value = state.get(field, "-")
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    return text[:_DIGEST_LENGTH] if field == "digest" else text

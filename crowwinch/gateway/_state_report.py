"""State of a router for operators, as served on its metrics port."""

import math
from collections.abc import Callable, Mapping

import msgspec
from aiohttp import web

from crowwinch.coordination import Clock
from crowwinch.directory import DirectoryState
from crowwinch.forwarding import GatewaySettings, SharingState, TargetSet
from crowwinch.sharing import TargetView

STATE_PATH = "/v1/state"
# Tells the state of this program from that of `crowwinch router`.
_PROGRAM = "gateway"
_JSON_CONTENT_TYPE = "application/json"


class StateReport:
    """Describes what limits the targets at this router, and how current it is.

    Sections of other components are added by name. A section is read when an
    operator asks, and has no effect on any count.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Callable[[], GatewaySettings],
        state: DirectoryState,
        targets: TargetSet,
        sharing: SharingState,
    ) -> None:
        """Creates a report with the sections that need no other component.

        Args:
            clock: Monotonic time.
            settings: Returns the current settings.
            state: Directory of this router.
            targets: Targets that accept requests.
            sharing: Holds the limits on the requests to targets.
        """
        self._clock = clock
        self._settings = settings
        self._state = state
        self._targets = targets
        self._sharing = sharing
        self._sections: dict[str, Callable[[], object]] = {
            "evacuated_zones": self._describe_evacuations,
            "limited_targets": self._describe_limits,
            "rate_limits": self._describe_rate_limits,
        }

    def add_section(self, name: str, read: Callable[[], object]) -> None:
        """Adds a section.

        Args:
            name: Its field in the document.
            read: Returns a value that can be encoded as JSON.
        """
        self._sections[name] = read

    def describe(self) -> Mapping[str, object]:
        """Returns the document."""
        settings, state = self._settings(), self._state
        age_s = self._clock.monotonic() - state.synced_at
        return {
            "program": _PROGRAM,
            "router": settings.name,
            "availability_zone": settings.availability_zone,
            "configuration": state.version,
            "era": state.era,
            "revision": state.revision,
            "directory_age_s": _finite(age_s),
            "store_age_s": state.store_age_s,
        } | {name: read() for name, read in self._sections.items()}

    def respond(self) -> web.Response:
        """Returns the document as an HTTP response."""
        return web.Response(
            body=msgspec.json.encode(self.describe()),
            content_type=_JSON_CONTENT_TYPE,
        )

    def _describe_evacuations(self) -> list[dict[str, object]]:
        zones = self._state.evacuated_zones
        entries = self._state.evacuated_targets()
        return [
            {
                "zone": zone,
                "revision": revision,
                "targets": sum(
                    entry.availability_zone == zone for entry in entries
                ),
            }
            for zone, revision in sorted(zones.items())
        ]

    def _describe_limits(self) -> list[dict[str, object]]:
        """Describes the targets that some limit restricts now."""
        described = map(self._describe_target, self._targets.views)
        return [each for each in described if each is not None]

    def _describe_rate_limits(self) -> list[dict[str, object]]:
        """Describes the limits that targets named and that are in use."""
        return [
            {
                "target": report.target,
                "started_ms": report.life,
                "requests_per_s": report.per_s,
                "named_age_s": _finite(report.named_age_s),
                "sent_in_window": report.sent,
            }
            for report in self._sharing.rate_limits.reports()
        ]

    def _describe_target(self, view: TargetView) -> dict[str, object] | None:
        limits = self._sharing.limits
        rate, allowances = limits.rate_per_s(view), limits.allowances(view)
        if math.isinf(rate) and not allowances:
            return None
        return {
            "target": view.identifier,
            "service": view.service,
            "own_rate_per_s": _finite(rate),
            "limits": [
                {
                    "reason": allowance.reason.value,
                    "wait_s": _finite(allowance.wait_s),
                }
                for allowance in allowances
            ],
        }


def _finite(seconds: float) -> float | None:
    """Returns a rounded number, None for one that is not known."""
    return round(seconds, 3) if math.isfinite(seconds) else None

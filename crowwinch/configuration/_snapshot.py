"""The configuration in force, with the look-ups that requests need."""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import identifier
from crowwinch.generated.documents import Event, Group, Target, Workspace


def key_hash(bearer_key: str) -> str:
    """Returns the SHA-256 (hex) of a bearer key, as documents hold it."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class EffectiveLimits:
    """Weight and limits of a workspace at one moment. Zero means no limit."""

    weight: float
    max_in_flight: int
    max_service_per_second: float


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One complete and valid configuration.

    Attributes:
        revision: Number of the manifest, 0 for the empty configuration.
        digest: SHA-256 (hex) of the manifest.
    """

    revision: int = 0
    digest: str = ""
    workspaces: dict[int, Workspace] = field(default_factory=dict)
    groups: dict[int, Group] = field(default_factory=dict)
    targets: dict[int, Target] = field(default_factory=dict)
    events: dict[str, tuple[Event, ...]] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)

    @classmethod
    def build(
        cls,
        revision: int,
        digest: str,
        workspaces: Iterable[Workspace],
        groups: Iterable[Group],
        events: Sequence[Event] = (),
    ) -> "Snapshot":
        """Builds the look-up tables of a configuration."""
        by_identifier = {identifier(item.name): item for item in workspaces}
        group_table = {identifier(group.name): group for group in groups}
        by_workspace: dict[str, tuple[Event, ...]] = {}
        for event in events:
            known = by_workspace.get(event.workspace, ())
            by_workspace[event.workspace] = (*known, event)
        return cls(
            revision=revision,
            digest=digest,
            workspaces=by_identifier,
            groups=group_table,
            targets={
                identifier(target.name): target
                for group in group_table.values()
                for target in group.targets
            },
            events=by_workspace,
            keys={
                value: number
                for number, item in by_identifier.items()
                for value in item.key_hashes
            },
        )

    def workspace_of_key(self, bearer_key: str) -> int | None:
        """Returns the identifier of the workspace that a key belongs to."""
        return self.keys.get(key_hash(bearer_key))

    def groups_of_model(self, model: str, region: str) -> list[int]:
        """Returns the groups that serve a model, those of a region first."""
        return self._select("engine", model, region)

    def groups_of_service(self, service: str, region: str) -> list[int]:
        """Returns the groups of a plain service, those of a region first."""
        return self._select("service", service, region)

    def limits(self, workspace: int, unix_time: float) -> EffectiveLimits:
        """Returns weight and limits at a Unix time in seconds.

        Of overlapping events the one that started last decides.
        """
        item = self.workspaces[workspace]
        weight = item.weight
        in_flight = item.max_in_flight
        rate = item.max_service_per_second
        active = [
            event
            for event in self.events.get(item.name, ())
            if event.start <= unix_time < event.end
        ]
        for event in sorted(active, key=lambda each: (each.start, each.name)):
            weight = event.weight or weight
            in_flight = event.max_in_flight or in_flight
            rate = event.max_service_per_second or rate
        return EffectiveLimits(weight, in_flight, rate)

    def _select(self, kind: str, model: str, region: str) -> list[int]:
        found = [
            (group.region != region, number)
            for number, group in self.groups.items()
            if group.kind == kind and (group.model or group.name) == model
        ]
        return [number for _, number in sorted(found)]

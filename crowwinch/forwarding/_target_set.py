"""Set of the targets in the directory that accept requests."""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from crowwinch.forwarding._model import RoutingTable, SocketAddress
from crowwinch.sharing import TargetView

# Targets that said that they leave, and targets that restarted; the oldest are
# forgotten first.
_MAX_LEAVING = 1_000
# Used if neither the target nor its service specifies the number of slots.
_DEFAULT_SLOTS = 8


@dataclass(frozen=True, slots=True)
class Target:
    """A target that accepts requests.

    Attributes:
        identifier: Identifier of the target.
        life: Start time in ms, which distinguishes restarts of the target.
        service: Name of its service.
        address: Address that it listens on.
        availability_zone: Availability zone that it runs in.
        slots: Maximum number of concurrent requests, 0 if unknown.
        software_version: Version of its software, empty if unknown.
        region: Region of its availability zone, empty if unknown.
    """

    identifier: str
    life: int
    service: str
    address: SocketAddress
    availability_zone: str
    slots: int
    software_version: str = ""
    region: str = ""


class TargetSet:
    """Targets that accept requests, by identifier and by service."""

    def __init__(
        self, availability_zone: str, on_removed: Callable[[str], None]
    ) -> None:
        """Creates an empty set.

        Args:
            availability_zone: Availability zone of this router.
            on_removed: Called with the identifier of each target that was
                removed or restarted.
        """
        self._zone = availability_zone
        self._on_removed = on_removed
        self._routing: RoutingTable | None = None
        # Start time of each target that said that it leaves. The directory may
        # still call it ready.
        self._leaving: dict[str, int] = {}
        # Targets that restarted, with the start time that the directory knows.
        self._restarted: dict[str, tuple[int, Target]] = {}
        self._targets: dict[str, Target] = {}
        self._views: dict[str, TargetView] = {}
        self._by_service: dict[str, list[TargetView]] = {}

    def get(self, identifier: str) -> Target | None:
        """Returns a target, None if it does not accept requests."""
        return self._targets.get(identifier)

    def view(self, identifier: str) -> TargetView | None:
        """Returns the view of a target that placement decisions use."""
        return self._views.get(identifier)

    def views(self) -> Collection[TargetView]:
        """Returns the views of all targets."""
        return self._views.values()

    def views_of_service(self, service: str) -> Sequence[TargetView]:
        """Returns the views of the targets of a service."""
        return self._by_service.get(service, ())

    def update(
        self, targets: Iterable[Target], routing: RoutingTable | None
    ) -> None:
        """Replaces all targets.

        Args:
            targets: Targets that accept requests.
            routing: Current configuration, None if unknown; it supplies the
                capacity of the targets.
        """
        self._routing = routing
        current = {
            target.identifier: self._newest(target)
            for target in targets
            if self._leaving.get(target.identifier) != target.life
        }
        for identifier, previous in self._targets.items():
            target = current.get(identifier)
            if target is None or target.life != previous.life:
                self._on_removed(identifier)
        self._targets = current
        self._views = {
            identifier: self._build_view(target, routing)
            for identifier, target in current.items()
        }
        self._by_service = {}
        for view in self._views.values():
            self._by_service.setdefault(view.service, []).append(view)

    def mark_leaving(self, target: Target) -> bool:
        """Stops using a target that says that it leaves, until it restarts.

        Returns:
            Whether this was not known before.
        """
        if self._leaving.get(target.identifier) == target.life:
            return False
        self._leaving.pop(target.identifier, None)
        self._leaving[target.identifier] = target.life
        if len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self.update(list(self._targets.values()), self._routing)
        return True

    def mark_restarted(self, target: Target, life: int) -> Target:
        """Records that a target has restarted since its entry was written.

        Args:
            target: The target as the directory knows it.
            life: Its new start time in ms.

        Returns:
            The target since its restart. Its version is not known, so that it
            has one that no other target has.
        """
        identifier = target.identifier
        restarted = dataclasses.replace(
            target, life=life, software_version=f"{identifier}/{life}"
        )
        listed_life, earlier = self._restarted.pop(
            identifier, (target.life, target)
        )
        if earlier.life != target.life:
            listed_life = target.life
        self._restarted[identifier] = (listed_life, restarted)
        if len(self._restarted) > _MAX_LEAVING:
            del self._restarted[next(iter(self._restarted))]
        self.update(
            [
                restarted if each.identifier == identifier else each
                for each in self._targets.values()
            ],
            self._routing,
        )
        return restarted

    def _newest(self, target: Target) -> Target:
        """Returns a target since its last restart."""
        known = self._restarted.get(target.identifier)
        return target if known is None or known[0] != target.life else known[1]

    def _build_view(
        self, target: Target, routing: RoutingTable | None
    ) -> TargetView:
        service = routing.services.get(target.service) if routing else None
        engine = service.engine if service else None
        slots = target.slots or (engine.slots if engine else 0)
        return TargetView(
            identifier=target.identifier,
            life=target.life,
            service=target.service,
            is_local=target.availability_zone == self._zone,
            slots=slots or _DEFAULT_SLOTS,
            memory_tokens=engine.memory_tokens if engine else 0.0,
            max_connections=service.max_connections if service else 0,
            is_engine=engine is not None,
            software_version=target.software_version,
            region=target.region,
            cold_start_s=service.cold_start_s if service else 0.0,
            cold_per_s=service.cold_per_s if service else 0.0,
        )

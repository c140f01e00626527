"""Targets that requests may be sent to, as the directory lists them."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from crowwinch.forwarding._model import RoutingTable, SocketAddress
from crowwinch.sharing import TargetView

# Slots that are assumed if neither the target nor its service says them.
_DEFAULT_SLOTS = 8


@dataclass(frozen=True, slots=True)
class Target:
    """A target that takes requests.

    Attributes:
        identifier: Identifies the target.
        life: Start of the target.
        service: Service that it belongs to.
        address: Where it listens.
        availability_zone: Where it runs.
        slots: Requests that it runs at once, 0 if unknown.
    """

    identifier: str
    life: int
    service: str
    address: SocketAddress
    availability_zone: str
    slots: int


class TargetSet:
    """Targets by identifier and by service."""

    def __init__(
        self, availability_zone: str, on_gone: Callable[[str], None]
    ) -> None:
        """Creates an empty set.

        Args:
            availability_zone: Zone of this router.
            on_gone: Called with each target that is gone or started again.
        """
        self._zone = availability_zone
        self._on_gone = on_gone
        self._targets: dict[str, Target] = {}
        self._views: dict[str, TargetView] = {}
        self._by_service: dict[str, list[TargetView]] = {}

    def entry(self, identifier: str) -> Target | None:
        """Returns a target that takes requests."""
        return self._targets.get(identifier)

    def view(self, identifier: str) -> TargetView | None:
        """Returns what decisions need of a target."""
        return self._views.get(identifier)

    def of_service(self, service: str) -> Sequence[TargetView]:
        """Returns the targets of a service that take requests."""
        return self._by_service.get(service, ())

    def update(
        self, targets: Iterable[Target], routing: RoutingTable | None
    ) -> None:
        """Replaces the targets that take requests."""
        current = {target.identifier: target for target in targets}
        for identifier, before in self._targets.items():
            after = current.get(identifier)
            if after is None or after.life != before.life:
                self._on_gone(identifier)
        self._targets = current
        self._views = {
            identifier: self._build_view(target, routing)
            for identifier, target in current.items()
        }
        self._by_service = {}
        for view in self._views.values():
            self._by_service.setdefault(view.service, []).append(view)

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
        )

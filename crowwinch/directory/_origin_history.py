"""Services and software versions at which streams may have begun."""

from collections.abc import Callable, Collection, Iterable, Sequence

from crowwinch.coordination import Clock
from crowwinch.directory._model import DocumentDecoder, Item, TargetEntry
from crowwinch.directory._route_services import OTHER_ROUTE, former_services
from crowwinch.directory._variant_history import (
    VariantAge,
    VariantHistory,
    age_of_first_write,
    shows_all_targets,
)
from crowwinch.forwarding import RoutingTable, StreamOrigin


class OriginHistory:
    """Tells the origin of a stream if it can have one only.

    Keeps which services each route had, and which software versions the targets
    of each service.
    """

    def __init__(
        self,
        clock: Clock,
        targets: Callable[[], Iterable[TargetEntry]],
        routing: Callable[[], RoutingTable | None],
    ) -> None:
        """Creates an instance that knows nothing of the past.

        Args:
            clock: Monotonic time.
            targets: Returns the targets that are there now.
            routing: Returns the configuration in force, None without one.
        """
        self._clock = clock
        self._targets = targets
        self._routing = routing
        # Software versions by service, and services by the key of each route.
        self._versions = VariantHistory(clock)
        self._services = VariantHistory(clock)

    @property
    def versions_known_s(self) -> float:
        """Seconds for which all software versions that served are known."""
        return self._versions.covered_s

    @property
    def services_known_s(self) -> float:
        """Seconds for which the services of all routes are known."""
        return self._services.covered_s

    def start(self) -> None:
        """Records that from now on all changes are seen."""
        self._versions.start()
        self._services.start()

    def restart(self) -> None:
        """Records that changes until now were not seen."""
        self._versions.restart()
        self._services.restart()

    def record_target(self, target: TargetEntry) -> None:
        """Records that a target was there until now."""
        self._versions.record(target.service, target.software_version)

    def record_configuration(self, table: RoutingTable) -> None:
        """Records that a configuration replaces the one in force."""
        before = self._routing()
        if before is not None:
            for pair in former_services(before, table):
                self._services.record(*pair)

    def record_old_directory(self, synced_at: float) -> None:
        """Records that a peer may have used an old directory until now.

        Args:
            synced_at: Monotonic time up to which that directory included all
                changes.
        """
        self._versions.record_old_directory(synced_at)
        self._services.record_old_directory(synced_at)

    def extend(
        self,
        items: Sequence[Item],
        decoder: DocumentDecoder,
        heartbeat_s: float,
        limit_s: float,
    ) -> None:
        """Adds what was in use before the first listing.

        Args:
            items: Latest changes of the store, all that it still keeps.
            decoder: Decodes their values.
            heartbeat_s: Interval in seconds at which targets write their
                entries.
            limit_s: Maximum time in seconds for which the store keeps changes.
        """
        if not shows_all_targets(items):
            return
        targets: list[TargetEntry] = []
        # Those written since the latest configuration.
        later_targets: list[TargetEntry] = []
        for item in sorted(items, key=lambda each: each.revision):
            if item.value is None:
                continue
            decoded = decoder.decode(item.key, item.value)
            if isinstance(decoded, TargetEntry):
                targets.append(decoded)
                later_targets.append(decoded)
            elif isinstance(decoded, RoutingTable):
                later_targets.clear()
        now = self._clock.time()
        self._versions.extend(
            ((entry.service, entry.software_version) for entry in targets),
            min(age_of_first_write(targets, heartbeat_s, now), limit_s),
        )
        self._services.extend(
            (),
            min(age_of_first_write(later_targets, heartbeat_s, now), limit_s),
        )

    def only_version(self, service: str, age_s: float) -> str | None:
        """Returns the only software version that served a service for a time.

        Args:
            service: Name of the service.
            age_s: Length of that time in seconds, up to now.

        Returns:
            The version, None if there were several or it cannot be told.
        """
        current = {
            target.software_version
            for target in self._targets()
            if target.service == service
        }
        return self._versions.only_variant(service, current, age_s)

    def only_service(
        self, route: str, current: Collection[str], age_s: float
    ) -> str | None:
        """Returns the only service that a route had for a time.

        Args:
            route: Key of the route.
            current: Services to which it sends requests now.
            age_s: Length of that time in seconds, up to now.

        Returns:
            The service, None if there were several or it cannot be told.
        """
        service = self._services.only_variant(route, current, age_s)
        return None if service == OTHER_ROUTE else service

    def only_origin(
        self, route: str, current: Collection[str], age_s: float
    ) -> StreamOrigin | None:
        """Returns the only origin that a stream of a route can have.

        Args:
            route: Key of the route.
            current: Services to which it sends requests now.
            age_s: Maximum time in seconds since the stream began.

        Returns:
            Its service and software version, None if there were several of
            either or they cannot be told.
        """
        service = self.only_service(route, current, age_s)
        if service is None:
            return None
        version = self.only_version(service, age_s)
        return None if version is None else StreamOrigin(service, version)

    def version_reports(self) -> tuple[list[VariantAge], float]:
        """Returns the software versions of the configured services, for peers.

        Returns:
            The versions, and the seconds for which they are complete.
        """
        routing = self._routing()
        return self._versions.reports(
            (
                (target.service, target.software_version)
                for target in self._targets()
            ),
            () if routing is None else routing.services,
        )

    def service_reports(self) -> tuple[list[VariantAge], float]:
        """Returns the former services of routes, for peers.

        Those of now are known to a peer that has the same configuration.

        Returns:
            The services, and the seconds for which they are complete.
        """
        return self._services.reports(())

    def merge_versions(
        self, ages: Iterable[VariantAge], covered_s: float, synced_at: float
    ) -> None:
        """Adds the software versions that a peer has seen.

        Args:
            ages: When each version was last there.
            covered_s: Seconds for which the peer has seen all versions.
            synced_at: Monotonic time up to which the peer's directory includes
                all changes.
        """
        self._versions.merge(ages, covered_s, synced_at)

    def merge_services(
        self, ages: Iterable[VariantAge], covered_s: float, synced_at: float
    ) -> None:
        """Adds the former services of routes that a peer has seen.

        Args:
            ages: When each one was last used.
            covered_s: Seconds for which the peer has seen all services, 0 if it
                has another configuration.
            synced_at: As in `merge_versions`.
        """
        self._services.merge(ages, covered_s, synced_at)

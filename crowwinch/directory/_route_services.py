"""Services that routes lose when the configuration changes."""

from collections.abc import Iterator

from crowwinch.forwarding import RoutingTable

# Stands for the services of the route that matched requests of another before.
OTHER_ROUTE = ""


def former_services(
    before: RoutingTable, after: RoutingTable
) -> Iterator[tuple[str, str]]:
    """Yields the services that routes had until a configuration was applied.

    Only routes whose streams may be taken up count.

    Args:
        before: The configuration that was in force.
        after: The one that replaces it.

    Yields:
        Key of the route and name of the service, `OTHER_ROUTE` if other routes
        matched some of its requests. The service may still be in use.
    """
    for route in after.routes:
        if not route.is_resumable:
            continue
        previous = before.find(route.host, route.prefix)
        if previous is None:
            if before.match(route.host, route.prefix) is not None:
                yield route.key, OTHER_ROUTE
        elif previous.active_services != route.active_services:
            for service in previous.active_services:
                yield route.key, service
    yield from _inherited_services(before, after)


def _inherited_services(
    before: RoutingTable, after: RoutingTable
) -> Iterator[tuple[str, str]]:
    """Yields the routes that get requests of routes with a longer prefix."""
    for route in before.routes:
        if after.find(route.host, route.prefix) is not None:
            continue
        heir = after.match(route.host, route.prefix)
        if heir is not None and heir.is_resumable:
            yield heir.key, OTHER_ROUTE

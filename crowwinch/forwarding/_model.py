"""Data classes for routing configuration and gateway settings."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class SocketAddress:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as `IP:PORT`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings that a router reads at startup.

    Attributes:
        name: Name of this router, unique in the fleet.
        address: IP address of this VM.
        availability_zone: Availability zone of this VM.
        caller: Address that callers connect to.
        readiness: Address at which the load balancer checks readiness.
        control: Address from which other routers read the directory.
        peer_port: UDP port for fleet updates, the same on every router.
        metrics_port: TCP port for metrics.
        seeds: Control addresses of some routers, possibly stale.
        store: Address of the metadata store.
        memory_bytes: Memory limit; the process is killed above it.
        max_descriptors: Maximum number of open files and sockets.
        drain_s: Maximum time in seconds during which requests are still sent
            to a target that is leaving.
        stop_grace_s: Time in seconds from SIGTERM to SIGKILL.
        address_reuse_s: Minimum time in seconds until the address of a target
            is reused.
        retry_ratio: Allowed retries per request, over the whole fleet.
        retry_window_s: Window in seconds over which retries are counted.
        share_window_s: Window in seconds over which the usage of workspaces is
            counted.
        store_history_s: Time in seconds for which the store keeps its changes,
            0 if unknown.
        heartbeat_s: Interval in seconds at which targets write their entries, 0
            if unknown.
        zones: Region of each availability zone of the deployment.
        cold_overage: Factor by which the requests to a cold target may exceed
            the rate that it tolerates, in any second.
        cold_slack: Requests to a cold target beyond that, in any second.
    """

    name: str
    address: str
    availability_zone: str
    caller: SocketAddress
    readiness: SocketAddress
    control: SocketAddress
    peer_port: int
    metrics_port: int
    seeds: tuple[SocketAddress, ...]
    store: SocketAddress
    memory_bytes: int
    max_descriptors: int
    drain_s: float
    stop_grace_s: float
    address_reuse_s: float
    retry_ratio: float
    retry_window_s: float
    share_window_s: float
    store_history_s: float = 0.0
    heartbeat_s: float = 0.0
    zones: Mapping[str, str] = field(default_factory=dict)
    cold_overage: float = 1.5
    cold_slack: float = 5.0


class RouteKind(enum.Enum):
    """Retry safety and response type of the requests of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether responses are streams of server-sent events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def allows_retry(self) -> bool:
        """Whether a request that may already have run may be retried."""
        return self in (RouteKind.SAFE, RouteKind.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class Route:
    """How requests to a host and path prefix are forwarded.

    Attributes:
        name: Name of the route.
        host: Host name that requests must have, in lower case.
        prefix: Path prefix; starts and ends with a slash.
        kind: Retry safety and response type of the requests.
        timeout_s: Maximum time in seconds until the response is complete.
        target_latency_s: Latency in seconds within which a response has its
            full value, 0 if unknown.
        priority: Priority of the requests; 0 is the most urgent.
        services: Traffic weight of each service that runs the requests.
        max_attempts: Maximum number of targets that may run one request.
        is_anonymous: Whether requests need no key.
        home_regions: Regions whose targets may run the requests, None without a
            restriction.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: Mapping[str, float]
    max_attempts: int
    is_anonymous: bool
    home_regions: frozenset[str] | None = None

    @property
    def key(self) -> str:
        """Requests that it matches; stays the same when it is renamed."""
        return f"{self.host}{self.prefix}"

    @property
    def is_resumable(self) -> bool:
        """Whether callers may take up streams that break off."""
        return self.kind is RouteKind.RESUMABLE_STREAM

    @property
    def active_services(self) -> tuple[str, ...]:
        """Services that get new requests: those with weight, or the last."""
        weighted = tuple(
            name for name, weight in self.services.items() if weight > 0.0
        )
        return weighted or tuple(self.services)[-1:]


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of one model engine.

    Attributes:
        slots: Maximum number of concurrent requests.
        memory_tokens: Size in tokens of the memory that running requests and
            retained prompt parts share.
        transfer_token_s: Time in seconds to fetch the cache of one token from
            another engine, None if engines do not exchange their caches.
    """

    slots: int
    memory_tokens: float
    transfer_token_s: float | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """Set of targets that run the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that a target accepts
            from all routers together, 0 if unknown.
        engine: Capacity of each target, None for a plain service.
        cold_start_s: Time in seconds for which a target is cold after it starts
            during traffic, 0 if targets start warm.
        cold_per_s: Requests per second, from all routers together, that a cold
            target tolerates, 0 without a limit.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer that shares capacity with other customers.

    Attributes:
        name: Name of the workspace.
        home_regions: Regions whose targets may run its requests, None without a
            restriction.
    """

    name: str
    home_regions: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on what a caller may send.

    Attributes:
        max_header_bytes: Maximum size of the request line and all headers.
        max_body_bytes: Maximum size of the body.
        header_timeout_s: Maximum time in seconds from the first byte to the
            end of the headers.
        idle_timeout_s: Maximum time in seconds between two requests on a
            connection.
        service_tokens_per_s: Tokens per second that all targets together
            process, None if unknown. Prompt tokens count once, output tokens
            twice.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    service_tokens_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the routing configuration set by the operator.

    Attributes:
        version: Version number, which increases with each change.
        routes: All routes.
        services: Services by name.
        workspaces: Workspace of each key, None if requests need no key.
        limits: Limits on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace] | None
    limits: RequestLimits
    _by_prefix: dict[tuple[str, str], Route] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Indexes the routes by host and prefix."""
        for route in self.routes:
            self._by_prefix[route.host, route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, None without one.

        Args:
            host: Value of the Host header.
            path: Request path, with or without a query.
        """
        host_name = host.rsplit(":", 1)[0].lower()
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host_name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find(self, host: str, prefix: str) -> Route | None:
        """Returns the route of a host and a prefix, None without one."""
        return self._by_prefix.get((host, prefix))

    def is_key_allowed(self, route: Route, key: str) -> bool:
        """Returns whether a key may be used on a route."""
        if self.workspaces is None or route.is_anonymous:
            return True
        return key in self.workspaces

    def workspace(self, route: Route, key: str) -> str | None:
        """Returns the name of the workspace of a key.

        None if the route needs no key or the key is unknown.
        """
        if self.workspaces is None or route.is_anonymous:
            return None
        workspace = self.workspaces.get(key)
        return None if workspace is None else workspace.name

    def home_regions(self, route: Route, key: str) -> frozenset[str] | None:
        """Returns the regions whose targets may run requests of a key.

        Both the route and the workspace of the key may restrict them; None
        without a restriction.
        """
        workspace = None
        if self.workspaces is not None and not route.is_anonymous:
            workspace = self.workspaces.get(key)
        if workspace is None or workspace.home_regions is None:
            return route.home_regions
        if route.home_regions is None:
            return workspace.home_regions
        return route.home_regions & workspace.home_regions

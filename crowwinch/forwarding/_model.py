"""Routes, workspaces and limits that are in force, and gateway settings."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class SocketAddress:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Renders `IP:PORT`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a router is told at its start.

    Attributes:
        name: Name of this router, unique in the fleet.
        address: IP address of this VM.
        availability_zone: Where this VM is.
        caller: Where callers connect.
        readiness: Where the balancer asks whether this router is ready.
        control: Where other routers read the directory.
        peer_port: UDP port of every router for fleet updates.
        metrics_port: TCP port for metrics.
        seeds: Control addresses of some routers, possibly stale.
        store: Address of the metadata store.
        memory_bytes: The process is killed above this.
        max_descriptors: Limit of open files and sockets.
        drain_s: Longest time to send to a target that is leaving.
        stop_grace_s: Time from SIGTERM to SIGKILL.
        address_reuse_s: Shortest time until a target's address is reused.
        retry_ratio: Repeats allowed for each request, over the fleet.
        retry_window_s: Time over which repeats are counted.
        share_window_s: Time over which shares of workspaces are counted.
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


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether answers are server-sent events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self in (RouteKind.SAFE, RouteKind.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of a host and path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host of its requests, in lower case.
        prefix: Start of the path; starts and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time until the final answer.
        target_latency_s: Time in which an answer is worth most, 0 if unknown.
        priority: Rank, 0 is the most urgent.
        services: Weight of each service that may run its requests.
        max_attempts: Most targets that may run one request.
        is_anonymous: Whether requests need no key.
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


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of one model engine.

    Attributes:
        slots: Requests that it runs at once.
        memory_tokens: Tokens that running requests and kept parts share.
    """

    slots: int
    memory_tokens: float


@dataclass(frozen=True, slots=True)
class Service:
    """Targets that run the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a target accepts of all routers, 0
            if unknown.
        engine: Capacity of each target, None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer that shares capacity with others."""

    name: str


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send.

    Attributes:
        max_header_bytes: Size of the request line and all headers.
        max_body_bytes: Size of the body.
        header_timeout_s: Longest time from the first byte to the last header.
        idle_timeout_s: Longest time between two requests of a connection.
        service_tokens_per_s: Tokens that all targets together serve, prompt
            tokens once and output tokens twice, None if unknown.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    service_tokens_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the operator's configuration.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: Services by name.
        workspaces: Workspace of each key, None if requests need no key.
        limits: What callers may send.
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
        """Returns the route with the longest prefix of a path.

        Args:
            host: Value of the Host header.
            path: Path with or without a query.
        """
        name = host.rsplit(":", 1)[0].lower()
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def may_use_key(self, route: Route, key: str) -> bool:
        """Returns whether a key may be used on a route."""
        if self.workspaces is None or route.is_anonymous:
            return True
        return key in self.workspaces

    def workspace(self, route: Route, key: str) -> str | None:
        """Returns the name of the workspace of a request, None without."""
        if self.workspaces is None or route.is_anonymous:
            return None
        found = self.workspaces.get(key)
        return None if found is None else found.name

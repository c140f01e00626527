"""Decodes documents that the operator and targets write to the store."""

import logging
import re
from typing import Annotated

import msgspec

from crowwinch.directory import TargetEntry, TargetState, ZoneEvacuation
from crowwinch.errors import DECODE_ERRORS
from crowwinch.forwarding import (
    Engine,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Workspace,
)
from crowwinch.platform._settings import parse_address

_LOGGER = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
_MS_PER_S = 1000.0
_DEFAULT_TIMEOUT_MS = 60_000.0
_ROUTE_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE}
_TARGET_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
# Larger integers are not exact in every JSON implementation, and some do not
# fit the messages between routers.
_MAX_INTEGER = 2**53
_MAX_SLOTS = 65_535
_Integer = Annotated[int, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_SoftwareVersion = Annotated[str, msgspec.Meta(max_length=200)]
_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


# Attempts name their target in a header.
_IDENTIFIER = re.compile(r"[!-~]{1,200}")


class _Split(msgspec.Struct):
    Service: str
    Weight: _NonNegativeFloat = 1.0


class _Route(msgspec.Struct):
    Name: str
    Host: str
    Prefix: str
    # Determines which requests may be retried: safe, unsafe or streaming.
    RouteType: str
    TimeoutMs: _NonNegativeFloat = _DEFAULT_TIMEOUT_MS
    TargetLatencyMs: _NonNegativeFloat = 0.0
    Priority: _Integer = 0
    Service: str = ""
    TrafficSplit: list[_Split] = []
    MaxAttempts: _NonNegativeInt = 1
    Anonymous: bool = False
    StreamResume: bool = False
    # Regions whose targets may run the requests; empty without a restriction.
    AllowedRegions: list[str] = []


class _Engine(msgspec.Struct):
    Slots: _Slots = 0
    KvCapacity: _NonNegativeFloat = 0.0
    # Size of the KV cache of one token.
    KvTokenBytes: _NonNegativeFloat = 0.0
    # Bandwidth between engines for parts of their KV caches, in 10^6 bits per
    # second.
    LinkMbps: _NonNegativeFloat = 0.0


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: _NonNegativeInt = 0
    Engine: _Engine | None = None
    # Time for which a target is cold after it started during traffic.
    ColdStartS: _NonNegativeFloat = 0.0
    # Requests per second that a cold target tolerates from all routers.
    ColdPerS: _NonNegativeFloat = 0.0


class _Limits(msgspec.Struct):
    MaxHeaderBytes: _NonNegativeInt = 16_384
    MaxBodyBytes: _NonNegativeInt = 4_194_304
    HeaderTimeoutMs: _NonNegativeFloat = 3_000.0
    IdleTimeoutMs: _NonNegativeFloat = 15_000.0
    TokensPerS: _NonNegativeFloat = 0.0


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str] = []
    # As in routes.
    AllowedRegions: list[str] = []
    Priority: _Integer | None = None


class _Configuration(msgspec.Struct):
    Version: _Integer
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


class _Target(msgspec.Struct):
    Service: str
    Address: str
    State: str
    Zone: str = ""
    Slots: _Slots = 0
    # Start time in Unix milliseconds. It distinguishes restarts because a
    # target may keep its identifier.
    born: _NonNegativeInt = 0
    # Number of heartbeats of the target since its start.
    Sequence: _NonNegativeInt = 0
    # Version of the target's software, not of its weights.
    Version: _SoftwareVersion = ""
    # Time that the target stays cold after it wrote this. Written anew with
    # each heartbeat until it is 0.
    ColdRemainingMs: _NonNegativeFloat = 0.0


class DocumentCodec:
    """Decodes the items of the store according to their keys."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingTable | TargetEntry | ZoneEvacuation | None:
        """Decodes an item of the store.

        Args:
            key: Key of the item.
            value: Raw value of the item.

        Returns:
            The configuration, target or evacuation, or None if the item is of
            another kind or malformed.
        """
        if key.startswith(TARGET_PREFIX):
            return decode_target(key, value)
        if key.startswith(EVACUATION_PREFIX):
            return decode_evacuation(key, value)
        if key != CONFIGURATION_KEY:
            return None
        try:
            return decode_configuration(value)
        except ValueError as error:
            _LOGGER.warning(
                "configuration ignored", extra={"cause": str(error)}
            )
            return None


def decode_configuration(value: bytes) -> RoutingTable:
    """Decodes a configuration document.

    Raises:
        ValueError: If the document is malformed.
    """
    try:
        document = msgspec.json.decode(value, type=_Configuration)
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed configuration: {error}") from error
    limits = document.Limits
    return RoutingTable(
        version=document.Version,
        routes=tuple(_to_route(route) for route in document.Routes),
        services={
            entry.Name: _to_service(entry) for entry in document.Services
        },
        workspaces=(
            None
            if document.Tenants is None
            else {
                key: Workspace(tenant.Name, _to_homes(tenant.AllowedRegions))
                for tenant in document.Tenants
                for key in tenant.ApiKeys
            }
        ),
        limits=RequestLimits(
            max_header_bytes=limits.MaxHeaderBytes,
            max_body_bytes=limits.MaxBodyBytes,
            header_timeout_s=limits.HeaderTimeoutMs / _MS_PER_S,
            idle_timeout_s=limits.IdleTimeoutMs / _MS_PER_S,
            service_tokens_per_s=limits.TokensPerS or None,
        ),
    )


def _to_route(route: _Route) -> Route:
    if route.RouteType == "streaming":
        kind = (
            RouteKind.RESUMABLE_STREAM
            if route.StreamResume
            else RouteKind.STREAM
        )
    else:
        # Requests of an unknown route type must not be retried.
        kind = _ROUTE_KINDS.get(route.RouteType, RouteKind.UNSAFE)
    split = {entry.Service: entry.Weight for entry in route.TrafficSplit}
    return Route(
        name=route.Name,
        host=route.Host.lower(),
        prefix=route.Prefix,
        kind=kind,
        timeout_s=route.TimeoutMs / _MS_PER_S,
        target_latency_s=route.TargetLatencyMs / _MS_PER_S,
        priority=route.Priority,
        services=split or {route.Service: 1.0},
        max_attempts=max(route.MaxAttempts, 1),
        is_anonymous=route.Anonymous,
        home_regions=_to_homes(route.AllowedRegions),
    )


def _to_homes(regions: list[str]) -> frozenset[str] | None:
    """Returns the home regions, None without a restriction."""
    return frozenset(regions) or None


def _to_service(service: _Service) -> Service:
    engine = service.Engine
    return Service(
        name=service.Name,
        max_connections=service.MaxConnections,
        engine=(
            None
            if engine is None
            else Engine(
                slots=engine.Slots,
                memory_tokens=engine.KvCapacity,
                transfer_token_s=_transfer_token_s(engine),
            )
        ),
        cold_start_s=service.ColdStartS,
        cold_per_s=service.ColdPerS,
    )


def _transfer_token_s(engine: _Engine) -> float | None:
    """Returns the time to transfer the KV cache of one token in seconds."""
    bytes_per_s = engine.LinkMbps * 1e6 / 8
    if not bytes_per_s or not engine.KvTokenBytes:
        return None
    return engine.KvTokenBytes / bytes_per_s


def decode_target(key: str, value: bytes) -> TargetEntry | None:
    """Decodes the registration of a target.

    Args:
        key: Key of the item, which contains the target's identifier.
        value: Raw value of the item. Any client of the store may have written
            it.

    Returns:
        The target, or None if the registration is malformed or its state is
        unknown.
    """
    identifier = key.removeprefix(TARGET_PREFIX)
    try:
        document = msgspec.json.decode(value, type=_Target)
        address = parse_address(document.Address)
    except (*DECODE_ERRORS, ValueError) as error:
        _LOGGER.warning(
            "target entry ignored", extra={"key": key, "cause": str(error)}
        )
        return None
    state = _TARGET_STATES.get(document.State)
    if state is None:
        _LOGGER.warning(
            "target entry ignored",
            extra={"key": key, "cause": f"unknown state {document.State!r}"},
        )
        return None
    if _IDENTIFIER.fullmatch(identifier) is None:
        _LOGGER.warning(
            "target entry ignored",
            extra={"key": key, "cause": "identifier is not a header value"},
        )
        return None
    return TargetEntry(
        identifier=identifier,
        service=document.Service,
        address=address,
        availability_zone=document.Zone,
        slots=document.Slots,
        state=state,
        started_ms=document.born,
        heartbeats=document.Sequence,
        software_version=document.Version,
        cold_s=document.ColdRemainingMs / _MS_PER_S,
    )


def decode_evacuation(key: str, value: bytes) -> ZoneEvacuation:
    """Decodes the evacuation of an availability zone.

    Args:
        key: Key of the item, which contains the name of the zone.
        value: Raw value of the item, a JSON object whose fields have no
            meaning yet.
    """
    is_readable = True
    try:
        msgspec.json.decode(value, type=dict)
    except DECODE_ERRORS as error:
        _LOGGER.warning(
            "evacuation ignored", extra={"key": key, "cause": str(error)}
        )
        is_readable = False
    return ZoneEvacuation(key.removeprefix(EVACUATION_PREFIX), is_readable)

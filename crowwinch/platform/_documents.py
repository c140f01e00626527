"""Decodes what the operator and the targets write to the platform's store."""

import logging
from typing import Annotated

import msgspec

from crowwinch.directory import TargetEntry, TargetState
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
_MILLISECONDS = 1000.0
_DEFAULT_TIMEOUT_MS = 60_000.0
_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE}
_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct):
    Service: str
    Weight: _Amount = 1.0


class _Route(msgspec.Struct):
    Name: str
    Host: str
    Prefix: str
    # Says what may be repeated: safe, unsafe or streaming.
    RouteType: str
    TimeoutMs: _Amount = _DEFAULT_TIMEOUT_MS
    TargetLatencyMs: _Amount = 0.0
    Priority: int = 0
    Service: str = ""
    TrafficSplit: list[_Split] = []
    MaxAttempts: _Count = 1
    Anonymous: bool = False
    StreamResume: bool = False


class _Engine(msgspec.Struct):
    Slots: _Count = 0
    KvCapacity: _Amount = 0.0


class _Service(msgspec.Struct):
    Name: str
    MaxConnections: _Count = 0
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: _Count = 16_384
    MaxBodyBytes: _Count = 4_194_304
    HeaderTimeoutMs: _Amount = 3_000.0
    IdleTimeoutMs: _Amount = 15_000.0
    TokensPerS: _Amount = 0.0


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None


class _Configuration(msgspec.Struct):
    Version: int
    Routes: list[_Route] = []
    Services: list[_Service] = []
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


class _Target(msgspec.Struct):
    Service: str
    Address: str
    State: str
    Zone: str = ""
    Slots: _Count = 0
    # Unix milliseconds of the start; a target may keep its Id over a restart.
    born: int = 0


class DocumentCodec:
    """Decodes the items of the store by their keys."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingTable | TargetEntry | None:
        """Decodes an item; None if it is of no use or malformed."""
        if key.startswith(TARGET_PREFIX):
            return decode_target(key, value)
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
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"malformed configuration: {error}") from error
    limits = document.Limits
    return RoutingTable(
        version=document.Version,
        routes=tuple(_route(route) for route in document.Routes),
        services={entry.Name: _service(entry) for entry in document.Services},
        workspaces=(
            None
            if document.Tenants is None
            else {
                key: Workspace(tenant.Name)
                for tenant in document.Tenants
                for key in tenant.ApiKeys
            }
        ),
        limits=RequestLimits(
            max_header_bytes=limits.MaxHeaderBytes,
            max_body_bytes=limits.MaxBodyBytes,
            header_timeout_s=limits.HeaderTimeoutMs / _MILLISECONDS,
            idle_timeout_s=limits.IdleTimeoutMs / _MILLISECONDS,
            service_tokens_per_s=limits.TokensPerS or None,
        ),
    )


def _route(route: _Route) -> Route:
    if route.RouteType == "streaming":
        kind = (
            RouteKind.RESUMABLE_STREAM
            if route.StreamResume
            else RouteKind.STREAM
        )
    else:
        # An unknown kind is treated as one that must not be repeated.
        kind = _KINDS.get(route.RouteType, RouteKind.UNSAFE)
    split = {entry.Service: entry.Weight for entry in route.TrafficSplit}
    return Route(
        name=route.Name,
        host=route.Host.lower(),
        prefix=route.Prefix,
        kind=kind,
        timeout_s=route.TimeoutMs / _MILLISECONDS,
        target_latency_s=route.TargetLatencyMs / _MILLISECONDS,
        priority=route.Priority,
        services=split or {route.Service: 1.0},
        max_attempts=max(route.MaxAttempts, 1),
        is_anonymous=route.Anonymous,
    )


def _service(service: _Service) -> Service:
    engine = service.Engine
    return Service(
        name=service.Name,
        max_connections=service.MaxConnections,
        engine=(
            None
            if engine is None
            else Engine(slots=engine.Slots, memory_tokens=engine.KvCapacity)
        ),
    )


def decode_target(key: str, value: bytes) -> TargetEntry | None:
    """Decodes the entry of a target.

    Args:
        key: Name of the item; it holds the target's identifier.
        value: Bytes of the item, possibly of another writer.

    Returns:
        The entry, or None if it names no target that can be used.
    """
    identifier = key.removeprefix(TARGET_PREFIX)
    try:
        document = msgspec.json.decode(value, type=_Target)
        address = parse_address(document.Address)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        _LOGGER.warning(
            "target entry ignored", extra={"key": key, "cause": str(error)}
        )
        return None
    state = _STATES.get(document.State)
    if state is None or not identifier:
        _LOGGER.warning(
            "target entry ignored",
            extra={"key": key, "cause": f"unknown state {document.State!r}"},
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
    )

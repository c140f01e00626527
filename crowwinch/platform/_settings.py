"""Loads the settings file that the platform provides to a process."""

import ipaddress
import tomllib
from collections.abc import Mapping
from typing import Annotated

import msgspec

from crowwinch.errors import Finding, SettingsError
from crowwinch.forwarding import GatewaySettings, SocketAddress

# Environment variable that contains the path of the settings file.
SETTINGS_VARIABLE = "CROWWINCH_BOOT"
_MS_PER_S = 1000.0
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _Listen(msgspec.Struct):
    Frontend: str
    Readiness: str
    Control: str


class _Limits(msgspec.Struct):
    MemoryMb: _Positive
    MaxFds: Annotated[int, msgspec.Meta(gt=0)]


class _Bounds(msgspec.Struct):
    DrainMs: _NonNegative
    GraceS: _Positive
    ReuseAfterS: _NonNegative
    RetryBudgetRatio: _NonNegative
    BudgetWindowS: _Positive
    QuotaWindowS: _Positive = 4.0
    # Bound on the requests to a cold target in any second: the rate that it
    # tolerates times the overage, plus the slack.
    ColdOverage: _Positive = 1.5
    ColdSlack: _NonNegative = 5.0


class _Platform(msgspec.Struct):
    Address: str
    # Time for which the store keeps its changes.
    HistoryS: _NonNegative = 0.0


class _Boot(msgspec.Struct):
    """Fields of the settings file that a router uses."""

    NodeName: Annotated[str, msgspec.Meta(min_length=1)]
    Ip: str
    Zone: Annotated[str, msgspec.Meta(min_length=1)]
    # First and last port for communication between routers.
    PortRange: tuple[_Port, _Port]
    Seeds: list[str]
    Listen: _Listen
    Limits: _Limits
    Bounds: _Bounds
    Platform: _Platform
    # Interval at which targets write their entries.
    HeartbeatMs: _NonNegative = 0.0
    # Region of each availability zone.
    Zones: dict[str, str] = {}


def load_boot_settings(path: str) -> GatewaySettings:
    """Loads and validates the settings file of the platform.

    Args:
        path: Path of the settings file.

    Raises:
        SettingsError: If the file cannot be read, or with one finding for each
            invalid or missing field.
    """
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([Finding(path, str(error))]) from error
    return decode_boot_settings(values)


def decode_boot_settings(values: Mapping[str, object]) -> GatewaySettings:
    """Validates the fields of a settings file; unknown fields are ignored.

    Raises:
        SettingsError: With one finding for each invalid or missing field.
    """
    findings: list[Finding] = []
    boot = _convert(values, _Boot, "", findings)
    if boot is None:
        raise SettingsError(findings)
    addresses = {
        "Listen.Frontend": boot.Listen.Frontend,
        "Listen.Readiness": boot.Listen.Readiness,
        "Listen.Control": boot.Listen.Control,
        "Platform.Address": boot.Platform.Address,
    } | {f"Seeds.{index}": seed for index, seed in enumerate(boot.Seeds)}
    parsed = {
        field_path: _parse_address(text, field_path, findings)
        for field_path, text in addresses.items()
    }
    if findings:
        raise SettingsError(findings)
    bounds = boot.Bounds
    return GatewaySettings(
        name=boot.NodeName,
        address=boot.Ip,
        availability_zone=boot.Zone,
        caller=parsed["Listen.Frontend"],
        readiness=parsed["Listen.Readiness"],
        control=parsed["Listen.Control"],
        peer_port=boot.PortRange[0],
        metrics_port=boot.PortRange[1],
        seeds=tuple(parsed[f"Seeds.{i}"] for i in range(len(boot.Seeds))),
        store=parsed["Platform.Address"],
        memory_bytes=int(boot.Limits.MemoryMb * 1_000_000),
        max_descriptors=boot.Limits.MaxFds,
        drain_s=bounds.DrainMs / _MS_PER_S,
        stop_grace_s=bounds.GraceS,
        address_reuse_s=bounds.ReuseAfterS,
        retry_ratio=bounds.RetryBudgetRatio,
        retry_window_s=bounds.BudgetWindowS,
        share_window_s=bounds.QuotaWindowS,
        store_history_s=boot.Platform.HistoryS,
        heartbeat_s=boot.HeartbeatMs / _MS_PER_S,
        zones=boot.Zones,
        cold_overage=bounds.ColdOverage,
        cold_slack=bounds.ColdSlack,
    )


def _convert(
    values: Mapping[str, object],
    model: type[msgspec.Struct],
    prefix: str,
    findings: list[Finding],
) -> msgspec.Struct | None:
    """Converts a table field by field to report all findings at once."""
    converted: dict[str, object] = {}
    before = len(findings)
    for field in msgspec.structs.fields(model):
        field_path = f"{prefix}{field.name}"
        if field.name not in values:
            if field.required:
                findings.append(Finding(field_path, "is required"))
            continue
        value = values[field.name]
        nested = isinstance(field.type, type) and issubclass(
            field.type, msgspec.Struct
        )
        if nested and isinstance(value, Mapping):
            converted[field.name] = _convert(
                value, field.type, f"{field_path}.", findings
            )
            continue
        try:
            converted[field.name] = msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            findings.append(Finding(field_path, f"{error}, got {value!r}"))
    return model(**converted) if len(findings) == before else None


def _parse_address(
    text: str, field_path: str, findings: list[Finding]
) -> SocketAddress | None:
    try:
        return parse_address(text)
    except ValueError as error:
        findings.append(Finding(field_path, str(error)))
        return None


def parse_address(text: str) -> SocketAddress:
    """Parses an IPv4 socket address of the form `IP:PORT`.

    Raises:
        ValueError: If the text is not an IPv4 address and a valid port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form IP:PORT")
    ipaddress.IPv4Address(host)
    if not 1 <= int(port) <= 65535:
        raise ValueError(f"port of {text!r} is not between 1 and 65535")
    return SocketAddress(host, int(port))

"""Translates between the parts of updates and the types of decisions."""

import math
from collections.abc import Iterable, Mapping

from crowwinch.directory import VariantAge
from crowwinch.generated.fleet_messages import (
    ColdMessage,
    CrashReport,
    CrashTime,
    DemandReport,
    PaceMessage,
    RateLimitMessage,
    RouteReport,
    VersionReport,
    WaitReport,
)
from crowwinch.sharing import (
    CallerWait,
    ColdReport,
    PaceReport,
    RateLimitReport,
    SuspectReport,
)

_MS_PER_S = 1000.0
# Age in milliseconds of an answer or a request that there was not.
_NONE_MS = -1


def encode_suspects(reports: Iterable[SuspectReport]) -> list[CrashReport]:
    """Returns the messages about requests that crash targets."""
    return [
        CrashReport(
            report.feature,
            len(report.crash_ages_s),
            report.is_part,
            [
                CrashTime(crash, round(age_s * _MS_PER_S))
                for crash, age_s in report.crash_ages_s.items()
            ],
            _encode_age(report.answer_age_s),
        )
        for report in reports
    ]


def decode_suspects(reports: Iterable[CrashReport]) -> list[SuspectReport]:
    """Returns what a peer knows of requests that crash targets."""
    return [
        SuspectReport(
            report.digest,
            report.is_part,
            {each.crash: each.age_ms / _MS_PER_S for each in report.crashes},
            _decode_age(report.answer_age_ms),
        )
        for report in reports
    ]


def encode_rate_limits(
    reports: Iterable[RateLimitReport],
) -> list[RateLimitMessage]:
    """Returns the messages about rate limits of targets."""
    return [
        RateLimitMessage(
            report.target,
            report.life,
            report.per_s,
            max(round(report.named_age_s * _MS_PER_S), 0),
            _encode_age(report.cleared_age_s),
            report.sent,
        )
        for report in reports
    ]


def decode_rate_limits(
    reports: Iterable[RateLimitMessage],
) -> list[RateLimitReport]:
    """Returns what a peer knows of rate limits of targets."""
    return [
        RateLimitReport(
            report.target,
            report.life,
            report.per_s,
            report.named_age_ms / _MS_PER_S,
            _decode_age(report.cleared_age_ms),
            report.sent,
        )
        for report in reports
    ]


def encode_cold(reports: Iterable[ColdReport]) -> list[ColdMessage]:
    """Returns the messages about cold targets.

    Remaining times are rounded up, so that no router takes a target as warm too
    early.
    """
    return [
        ColdMessage(
            report.target,
            report.life,
            math.ceil(report.left_s * _MS_PER_S),
            report.sent,
        )
        for report in reports
    ]


def decode_cold(reports: Iterable[ColdMessage]) -> list[ColdReport]:
    """Returns what a peer knows of cold targets."""
    return [
        ColdReport(
            report.target, report.life, report.left_ms / _MS_PER_S, report.sent
        )
        for report in reports
    ]


def encode_paces(reports: Iterable[PaceReport]) -> list[PaceMessage]:
    """Returns the messages about paces of targets."""
    return [
        PaceMessage(
            report.target,
            report.life,
            report.epoch,
            report.base,
            report.is_first,
            report.grown,
            max(round(report.idle_s * _MS_PER_S), 0),
            round(report.wanted_per_s, 2),
        )
        for report in reports
    ]


def decode_paces(reports: Iterable[PaceMessage]) -> list[PaceReport]:
    """Returns what a peer knows of paces of targets."""
    return [
        PaceReport(
            report.target,
            report.life,
            report.epoch,
            report.base,
            report.is_first,
            report.grown,
            report.idle_ms / _MS_PER_S,
            report.wanted_per_s,
        )
        for report in reports
    ]


def encode_sync(synced_at: float, now: float) -> int:
    """Returns the age in ms of a directory, -1 without one."""
    return _encode_age(None if math.isinf(synced_at) else now - synced_at)


def decode_sync(synced_ms: int, received_at: float) -> float | None:
    """Returns the time up to which a peer's directory includes all changes.

    Args:
        synced_ms: Age of the directory when it was sent.
        received_at: Earliest monotonic time at which it can have been sent.
    """
    age_s = _decode_age(synced_ms)
    return None if age_s is None else received_at - age_s


def _encode_age(age_s: float | None) -> int:
    return _NONE_MS if age_s is None else max(round(age_s * _MS_PER_S), 0)


def _decode_age(age_ms: int) -> float | None:
    return None if age_ms == _NONE_MS else age_ms / _MS_PER_S


def encode_demand(per_s: Mapping[str, float]) -> list[DemandReport]:
    """Returns the messages about requests per second by service."""
    return [
        DemandReport(service, round(rate, 2)) for service, rate in per_s.items()
    ]


def decode_demand(reports: Iterable[DemandReport]) -> dict[str, float]:
    """Returns the requests per second that a peer gets, by service."""
    return {report.service: report.per_s for report in reports}


def encode_versions(ages: Iterable[VariantAge]) -> list[VersionReport]:
    """Returns the messages about software versions."""
    return [
        VersionReport(
            age.group,
            age.variant,
            round(age.age_s * _MS_PER_S),
            _encode_age(age.used_age_s),
        )
        for age in ages
    ]


def decode_versions(reports: Iterable[VersionReport]) -> list[VariantAge]:
    """Returns the software versions that a peer has seen."""
    return [
        VariantAge(
            report.service,
            report.version,
            report.age_ms / _MS_PER_S,
            _decode_age(report.used_age_ms),
        )
        for report in reports
    ]


def encode_waits(waits: Iterable[CallerWait]) -> list[WaitReport]:
    """Returns the messages about how long callers wait."""
    return [
        WaitReport(
            wait.route,
            math.ceil(wait.longest_s * _MS_PER_S),
            max(round(wait.age_s * _MS_PER_S), 0),
            wait.requests,
        )
        for wait in waits
    ]


def decode_waits(reports: Iterable[WaitReport]) -> list[CallerWait]:
    """Returns what a peer knows of how long callers wait."""
    return [
        CallerWait(
            report.route,
            report.longest_ms / _MS_PER_S,
            report.age_ms / _MS_PER_S,
            report.requests,
        )
        for report in reports
    ]


def encode_routes(ages: Iterable[VariantAge]) -> list[RouteReport]:
    """Returns the messages about former services of routes."""
    return [
        RouteReport(
            age.group,
            age.variant,
            round(age.age_s * _MS_PER_S),
            _encode_age(age.used_age_s),
        )
        for age in ages
    ]


def decode_routes(reports: Iterable[RouteReport]) -> list[VariantAge]:
    """Returns the former services of routes that a peer knows of."""
    return [
        VariantAge(
            report.route,
            report.service,
            report.age_ms / _MS_PER_S,
            _decode_age(report.used_age_ms),
        )
        for report in reports
    ]

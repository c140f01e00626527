"""Chooses the target of a request.

Answers two loads: prompts with large shared parts, which are read once if
their requests meet at one target, and long prompts, which delay the first
event of every request that is sent to the same target after them.
"""

import functools
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from crowwinch.coordination import owner
from crowwinch.sharing._health import TargetHealth
from crowwinch.sharing._loads import TargetLoads
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._prefixes import KeptPrefixes
from crowwinch.sharing._speeds import EngineSpeeds, read_seconds

# A request waits about half of a typical request for a place in a full batch.
_FULL_BATCH_S = 0.5
# Cost of a failing target, as time lost by a repeat.
_FAILURE_S = 2.0
# A plain target in another zone costs bytes between zones; a request less in
# flight is worth more than that.
_REMOTE_ZONE_REQUESTS = 0.5
# A router leaves this part of a target's connections to the others.
_CONNECTION_SHARE = 0.9
# Value of a request that is lost when it is late, as part of its cost.
_LATE_LOSS = 0.7
# An answer is rarely late below the first forecast, as part of the wanted
# time, and nearly always above the second.
_LATE_FROM = 0.6
_LATE_UP_TO = 1.4
# Value of an answer that comes early; spreads load among equal targets.
_EARLY_VALUE = 0.1
# Price of a shared token that is read again, in service units.
_READ_AGAIN_PRICE = 0.8
_DEFAULT_LATENCY_S = 1.0
# Prefixes whose home is remembered; a few sets of targets are in use at a time.
_HOMES_CACHED = 4_096


# Not frozen: it is made for every target and waiting request, and a frozen one
# takes three times as long to make.
@dataclass(slots=True)
class Candidate:
    """A target with the forecast for a request.

    Attributes:
        target: The target.
        unread_tokens: Prompt tokens that it would have to read.
        reading_s: Modelled time to read them.
        waiting_s: Modelled time of the prompts before them.
        queue_s: Part of the expected time that other work causes.
        forecast_s: Time to the first event by the work that is known.
        expected_s: Time to the first event with the delay seen lately.
        use: Requests at the target as part of its slots.
        read_again: Tokens to read that another target keeps.
        is_home: Whether all routers expect the target to keep the prefix.
        loss: Expected loss of value by choosing this target.
    """

    target: TargetView
    unread_tokens: int
    reading_s: float
    waiting_s: float
    queue_s: float
    forecast_s: float
    expected_s: float
    use: float
    read_again: int
    is_home: bool
    loss: float


class Placer:
    """Forecasts the time to the first event at each target."""

    def __init__(
        self,
        loads: TargetLoads,
        prefixes: KeptPrefixes,
        speeds: EngineSpeeds,
        health: TargetHealth,
    ) -> None:
        """Stores what the forecast is made of."""
        self._loads = loads
        self._prefixes = prefixes
        self._speeds = speeds
        self._health = health

    def candidates(
        self,
        work: Work,
        targets: Sequence[TargetView],
        excluded: Collection[str] = (),
    ) -> list[Candidate]:
        """Returns the targets with the best forecast first.

        Targets that could not be reached a moment ago are left out as long as
        there are others.
        """
        usable = [
            target for target in targets if target.identifier not in excluded
        ]
        reachable = [
            target
            for target in usable
            if not self._health.is_blocked(target.identifier)
        ]
        forecasts = self._forecast(work, reachable or usable)
        return sorted(forecasts, key=lambda candidate: candidate.loss)

    def has_connection(self, target: TargetView) -> bool:
        """Returns whether this router may open a connection more."""
        if not target.max_connections:
            return True
        share = target.max_connections / (self._loads.peer_count + 1)
        own = self._loads.own_active(target.identifier)
        return own < max(share * _CONNECTION_SHARE, 1)

    def _forecast(
        self, work: Work, targets: Sequence[TargetView]
    ) -> list[Candidate]:
        home = _home(work, targets)
        return [
            self._engine(work, target, target.identifier == home)
            if target.is_engine
            else self._plain(target)
            for target in targets
        ]

    def _engine(
        self, work: Work, target: TargetView, is_home: bool
    ) -> Candidate:
        identifier = target.identifier
        shared = work.shared_tokens
        kept = self._prefixes.kept_tokens(identifier, work)
        if is_home:
            # Other routers send the same prefix here.
            kept = max(kept, shared)
        unread = max(work.prompt_tokens - kept, 1)
        reading = read_seconds(unread, kept)
        waiting = self._loads.reading_s(identifier)
        use = self._loads.active(identifier) / max(target.slots, 1)
        forecast = self._speeds.first_event_s(work.service, waiting + reading)
        expected = forecast + self._loads.delay_s(identifier)
        if use >= 1.0:
            expected += _FULL_BATCH_S * use
        expected += _FAILURE_S * self._health.failing_share(identifier)
        return Candidate(
            target=target,
            unread_tokens=unread,
            reading_s=reading,
            waiting_s=waiting,
            queue_s=expected
            - self._speeds.first_event_s(work.service, reading),
            forecast_s=forecast,
            expected_s=expected,
            use=use,
            read_again=max(shared - kept, 0),
            is_home=is_home,
            loss=_engine_loss(work, expected, max(shared - kept, 0)),
        )

    def _plain(self, target: TargetView) -> Candidate:
        identifier = target.identifier
        active = self._loads.active(identifier)
        slots = max(target.slots, 1)
        load = active + (0.0 if target.is_local else _REMOTE_ZONE_REQUESTS)
        expected = load / slots
        expected += _FAILURE_S * self._health.failing_share(identifier)
        return Candidate(
            target=target,
            unread_tokens=0,
            reading_s=0.0,
            waiting_s=0.0,
            queue_s=0.0,
            forecast_s=expected,
            expected_s=expected,
            use=active / slots,
            read_again=0,
            is_home=False,
            loss=expected,
        )


def _home(work: Work, targets: Sequence[TargetView]) -> str | None:
    """Returns the target at which all routers expect a prefix."""
    if len(work.paths) < 2:
        return None
    names = tuple(target.identifier for target in targets)
    return _cached_owner(work.paths[-2], names)


@functools.lru_cache(maxsize=_HOMES_CACHED)
def _cached_owner(key: str, names: tuple[str, ...]) -> str | None:
    return owner(key, names)


def _engine_loss(work: Work, expected_s: float, read_again: int) -> float:
    """Returns the expected loss in service units."""
    ratio = expected_s / (work.target_latency_s or _DEFAULT_LATENCY_S)
    late = (ratio - _LATE_FROM) / (_LATE_UP_TO - _LATE_FROM)
    late = min(max(late, 0.0), 1.0)
    return (
        work.cost * (_LATE_LOSS * late + _EARLY_VALUE * ratio)
        + _READ_AGAIN_PRICE * read_again
    )

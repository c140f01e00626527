"""Chooses the target of a request.

Answers two loads: prompts with large shared parts, which are read once if
their requests meet at one target, and long prompts, which delay the first
event of every request that is sent to the same target after them.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from crowwinch.coordination import owner
from crowwinch.sharing._health import TargetHealth
from crowwinch.sharing._loads import TargetLoads
from crowwinch.sharing._model import TargetView, Work
from crowwinch.sharing._prefixes import KeptPrefixes, home_key
from crowwinch.sharing._speeds import EngineSpeeds

# A request waits about half of a typical request for a place in a full batch.
_FULL_BATCH_S = 0.5
# Cost of a failing target, as time lost by a repeat.
_FAILURE_S = 2.0
# A plain target in another zone costs bytes between zones; a request less in
# flight is worth more than that.
_REMOTE_ZONE_REQUESTS = 0.5
# A router leaves this part of a target's connections to the others.
_CONNECTION_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with the forecast for a request.

    Attributes:
        target: The target.
        unread_tokens: Prompt tokens that it would have to read.
        waiting_s: Time until it begins to read them.
        expected_s: Time to the first event.
        use: Requests at the target as part of its slots.
    """

    target: TargetView
    unread_tokens: int
    waiting_s: float
    expected_s: float
    use: float


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
        return sorted(forecasts, key=lambda candidate: candidate.expected_s)

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
        home = ""
        if work.parts and targets:
            home = owner(
                home_key(work.model, work.parts).hex(),
                [target.identifier for target in targets],
            )
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
        kept = self._prefixes.kept_tokens(identifier, work.model, work.parts)
        if is_home:
            # Other routers send the same prefix here.
            kept = max(kept, sum(part.tokens for part in work.parts[:-1]))
        unread = max(work.prompt_tokens - kept, 1)
        speed = self._speeds.read_tokens_per_s(work.service)
        waiting = self._loads.unread(identifier) / speed
        use = self._loads.active(identifier) / max(target.slots, 1)
        expected = self._speeds.base_s(work.service) + waiting + unread / speed
        if use >= 1.0:
            expected += _FULL_BATCH_S * use
        expected += _FAILURE_S * self._health.failing_share(identifier)
        return Candidate(target, unread, waiting, expected, use)

    def _plain(self, target: TargetView) -> Candidate:
        identifier = target.identifier
        active = self._loads.active(identifier)
        slots = max(target.slots, 1)
        load = active + (0.0 if target.is_local else _REMOTE_ZONE_REQUESTS)
        expected = load / slots
        expected += _FAILURE_S * self._health.failing_share(identifier)
        return Candidate(target, 0, 0.0, expected, active / slots)

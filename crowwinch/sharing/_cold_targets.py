"""Limit on the requests to targets that have just started.

Load: a target that has started during traffic tolerates few requests per
second from the whole fleet until it is warm, and crashes well above that. Equal
parts for all routers would be less than a request each while it is cold, and a
saved request at each router would be too many at once. So a few routers, the
owners, send to it, each at a fixed rate that it starts with nothing saved.
"""

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.sharing._cold_grants import bound_of, plan_grants
from crowwinch.sharing._cold_starts import (
    ColdCause,
    ColdRecord,
    ColdReport,
    ColdStart,
    ColdStarts,
)
from crowwinch.sharing._model import TargetView
from crowwinch.sharing._request_window import RequestWindow
from crowwinch.sharing._router_shares import RouterShares, TargetKey
from crowwinch.sharing._target_limits import (
    UNLIMITED,
    Allowance,
    LimitReason,
)

_WINDOW_S = 1.0
# Maximum number of requests that an owner saves.
_SAVED_REQUESTS = 1.0
# A request that is sent later than this after it was placed needs a new grant:
# the process may have stood still, and other requests were granted since. A
# turn of the event loop takes up to 0.06 s in a process that lacks processor
# time.
_MAX_GRANT_AGE_S = 0.2
# Time to wait when the requests of all routers have reached the limit.
_RECHECK_S = 0.1
# Errors of floating point in the sum of tokens.
_ROUNDING = 1e-9


@dataclass(slots=True)
class _Grants:
    """Grants of this router for a cold target.

    Attributes:
        window: Requests that this router may send and has sent.
        rate: Requests per second that it may send.
    """

    window: RequestWindow
    rate: float = 0.0


class ColdTargets:
    """Shares what cold targets tolerate between the routers of a fleet."""

    def __init__(
        self,
        clock: Clock,
        view: Callable[[str], TargetView | None],
        overage: float = 1.5,
        slack: float = 5.0,
        on_cold: Callable[[ColdStart], None] = lambda start: None,
    ) -> None:
        """Creates an instance that knows no cold target.

        Args:
            clock: Monotonic time.
            view: Returns a target of the directory by its identifier.
            overage: Factor by which the requests in any second may exceed what
                a cold target tolerates.
            slack: Requests beyond that.
            on_cold: Called once each time a target becomes cold.
        """
        self._clock = clock
        self._view = view
        self._overage, self._slack = overage, slack
        self._on_cold = on_cold
        self._routers = RouterShares(clock, _WINDOW_S)
        self._is_settled = False
        self._is_enabled = False
        self._starts = ColdStarts(clock, view, self._begin)
        self._grants: dict[str, _Grants] = {}

    @property
    def is_active(self) -> bool:
        """Whether the configuration has cold starts, or a target is cold."""
        return self._is_enabled or bool(self._starts.records)

    @property
    def count(self) -> int:
        """Number of cold targets."""
        return len(self.cold_targets())

    def cold_targets(self) -> list[ColdStart]:
        """Returns the cold targets, each with what says so for longest."""
        return self._starts.cold_targets()

    def set_enabled(self, is_enabled: bool) -> None:
        """Sets whether the configuration has services with cold starts."""
        self._is_enabled = is_enabled

    def set_bound(self, overage: float, slack: float) -> None:
        """Sets how far the requests in any second may exceed the rate."""
        self._overage, self._slack = overage, slack

    def set_fleet(
        self, own_name: str, members: Collection[str], is_settled: bool
    ) -> None:
        """Sets the routers that share what cold targets tolerate.

        Args:
            own_name: Name of this router.
            members: Names of all routers that may send, with or without this
                one. A router that is missing here may send beyond the bound, so
                those that were not heard for a while are included.
            is_settled: Whether this router knows all of them. It sends nothing
                to cold targets otherwise.
        """
        self._routers.set_fleet(own_name, members)
        self._is_settled = is_settled

    def refresh(self) -> None:
        """Updates the rates of this router and forgets warm targets."""
        if not self._starts.records:
            return
        for target in self._starts.remove_warm(_WINDOW_S):
            self._grants.pop(target, None)
            self._routers.expire()
        for target, grants in self._grants.items():
            view = self._view(target)
            if view is not None:
                self._update_rate(view, grants)

    def observe_entry(
        self, target: str, life: int, heartbeats: int, cold_s: float
    ) -> None:
        """Records what the directory says of a target.

        Args:
            target: Identifier of the target.
            life: Start of the target.
            heartbeats: Number of the heartbeat that wrote the entry.
            cold_s: Seconds for which the target stayed cold from then on.
        """
        self._starts.observe_entry(target, life, heartbeats, cold_s)

    def observe_header(
        self, target: TargetView, life: int, cold_s: float
    ) -> None:
        """Records for how long a target says that it stays cold.

        Args:
            target: The target.
            life: Start of the target that the request was sent to.
            cold_s: Seconds for which it stays cold.
        """
        self._starts.observe_header(target, life, cold_s)

    def assume_cold(self, target: TargetView, life: int) -> None:
        """Records that a target may just have started.

        Args:
            target: The target.
            life: Its latest start that is known.
        """
        self._starts.assume_start(target, life)

    def merge_peer(
        self, peer: str, life: int, reports: Sequence[ColdReport]
    ) -> None:
        """Merges what a peer knows, and replaces what it sends.

        Args:
            peer: Name of the peer.
            life: Start of the peer.
            reports: Cold targets that it has observed or sends to.
        """
        self._starts.merge_reports(reports)
        self._routers.merge_peer(
            peer,
            life,
            {_key(report.target): report.sent for report in reports},
            {},
        )

    def reports(self) -> list[ColdReport]:
        """Returns what peers must hear: own observations and requests sent."""
        if not self._starts.records:
            return []
        now = self._clock.monotonic()
        reports = [
            ColdReport(
                target,
                record.life,
                max(record.observed_end - now, 0.0),
                self._grants[target].window.count_sent(now),
            )
            for target, record in self._starts.records.items()
        ]
        return [each for each in reports if each.left_s or each.sent]

    def is_cold(self, target: TargetView) -> bool:
        """Returns whether a target is cold."""
        return self._starts.find(target) is not None

    def is_assumed_cold(self, target: TargetView) -> bool:
        """Returns whether a target is cold only by assumption.

        Its connections broke or were refused, and nothing that it has written
        says that it is cold.
        """
        record = self._starts.find(target)
        if record is None:
            return False
        now = self._clock.monotonic()
        return all(
            cause is ColdCause.ASSUMED or until <= now
            for cause, until in record.until.items()
        )

    def allowance(self, target: TargetView) -> Allowance:
        """Returns when this router may send to a target again.

        A router that may not send to a cold target may once it is warm.
        """
        record = self._find_limited(target)
        if record is None:
            return UNLIMITED
        now = self._clock.monotonic()
        left_s = record.end - now
        grants = self._grants[target.identifier]
        self._update_rate(target, grants)
        if grants.rate <= 0.0:
            return Allowance(left_s, LimitReason.COLD)
        window = grants.window
        window.fill(grants.rate, _SAVED_REQUESTS, now)
        if window.tokens < 1.0 - _ROUNDING:
            wait_s = (1.0 - window.tokens) / grants.rate
            return Allowance(min(wait_s, left_s), LimitReason.COLD)
        key = _key(target.identifier)
        sent = window.count_sent(now) + self._routers.count_peers_sent(key)
        if sent >= max(target.cold_per_s, 1.0):
            return Allowance(min(_RECHECK_S, left_s), LimitReason.COLD)
        return UNLIMITED

    def rate_per_s(self, target: TargetView) -> float:
        """Returns the requests per second that this router may send.

        It is inf for a target that is not cold.
        """
        if self._find_limited(target) is None:
            return math.inf
        grants = self._grants[target.identifier]
        self._update_rate(target, grants)
        return grants.rate

    def take(self, target: str, life: int) -> None:
        """Counts a request that is sent to a target."""
        del life
        record = self._starts.records.get(target)
        now = self._clock.monotonic()
        if record is not None and record.end > now:
            self._grants[target].window.take(now)

    def give_back(self, target: str, life: int) -> None:
        """Does nothing: the grant of a request that was not sent is lost.

        The request may have been placed before the target was known as cold,
        so that it had none.
        """

    def try_take(self, target: TargetView) -> bool:
        """Takes a grant for a call of this router, if there is one now."""
        if self.allowance(target).wait_s > 0.0:
            return False
        self.take(target.identifier, target.life)
        return True

    def may_send(self, target: TargetView, placed_at: float) -> bool:
        """Returns whether a request may be sent that was placed before.

        Args:
            target: The target.
            placed_at: Monotonic time at which it was placed and counted.
        """
        record = self._find_limited(target)
        if record is None:
            return True
        age_s = self._clock.monotonic() - placed_at
        return record.since < placed_at and age_s <= _MAX_GRANT_AGE_S

    def _find_limited(self, target: TargetView) -> ColdRecord | None:
        if not self._starts.records or target.cold_per_s <= 0.0:
            return None
        return self._starts.find(target)

    def _begin(self, start: ColdStart) -> None:
        """Begins to limit a target that has become cold, with nothing saved."""
        now = self._clock.monotonic()
        grants = self._grants.get(start.target)
        if grants is None:
            grants = _Grants(RequestWindow(_WINDOW_S, 0.0, now))
            self._grants[start.target] = grants
        grants.rate = 0.0
        grants.window.tokens, grants.window.filled_at = 0.0, now
        view = self._view(start.target)
        if view is not None:
            self._update_rate(view, grants)
        self._on_cold(start)

    def _update_rate(self, target: TargetView, grants: _Grants) -> None:
        """Applies the rate that this router has from now on."""
        rate = self._own_rate(target)
        if rate != grants.rate:
            grants.window.fill(
                grants.rate, _SAVED_REQUESTS, self._clock.monotonic()
            )
            grants.rate = rate

    def _own_rate(self, target: TargetView) -> float:
        if not self._is_settled or target.cold_per_s <= 0.0:
            return 0.0
        per_s = target.cold_per_s
        grants = plan_grants(
            per_s,
            bound_of(per_s, self._overage, self._slack),
            self._routers.member_count,
        )
        if not self._routers.is_owner(target.identifier, grants.owners):
            return 0.0
        return grants.per_s


def _key(target: str) -> TargetKey:
    """Returns the key of a target's requests, whichever start they reached."""
    return target, 0

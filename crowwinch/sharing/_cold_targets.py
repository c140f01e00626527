"""Limit on the requests to targets that have just started.

Load: a target that has started during traffic tolerates few requests per
second from the whole fleet until it is warm, and crashes well above that. Equal
parts for all routers would be less than a request each while it is cold, and a
saved request at each router would be too many at once. So a few routers, the
owners, send to it, each at a fixed rate that it starts with nothing saved.
"""

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.sharing._cold_grants import bound_of, plan_grants
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
_MAX_ENTRIES = 2_000
_NEVER = float("-inf")


class ColdCause(enum.Enum):
    """How a router learned that a target is cold."""

    ENTRY = "entry"
    HEADER = "header"
    PEER = "peer"
    ASSUMED = "assumed"


@dataclass(frozen=True, slots=True)
class ColdReport:
    """What a router knows of a cold target.

    Attributes:
        target: Identifier of the target.
        life: Start of the target.
        left_s: Seconds for which it stays cold, as far as the router observed
            it itself.
        sent: Requests that the router sent to it in the window.
    """

    target: str
    life: int
    left_s: float
    sent: int


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A target has become cold.

    Attributes:
        target: Identifier of the target.
        life: Start of the target.
        left_s: Seconds for which it stays cold.
        cause: How that is known.
    """

    target: str
    life: int
    left_s: float
    cause: ColdCause


@dataclass(slots=True)
class _Record:
    """A target that is or was cold.

    Attributes:
        life: Latest start of the target that is known.
        window: Requests that this router may send and has sent.
        since: Time since which it is cold without interruption or restart.
        rate: Requests per second that this router may send.
        until: Time until which it is cold, by how that is known.
    """

    life: int
    window: RequestWindow
    since: float
    rate: float
    until: dict[ColdCause, float]

    def begin(self, life: int, now: float) -> None:
        """Starts a time in which it is cold, with nothing saved."""
        self.life, self.since, self.rate = life, now, 0.0
        self.until.clear()
        self.window.tokens, self.window.filled_at = 0.0, now

    @property
    def end(self) -> float:
        """Time until which the target is cold."""
        return max(self.until.values(), default=_NEVER)

    @property
    def observed_end(self) -> float:
        """The same without what only peers have told.

        It is what peers are told. If they were told what they told, a target
        would stay cold for ever.
        """
        return max(
            (
                until
                for cause, until in self.until.items()
                if cause is not ColdCause.PEER
            ),
            default=_NEVER,
        )


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
        self._records: dict[str, _Record] = {}
        # Last entry of each target whose entry says that it is cold. An entry
        # that is read again does not start the time anew.
        self._entries: OrderedDict[str, tuple[int, int, float]] = OrderedDict()

    @property
    def is_active(self) -> bool:
        """Whether the configuration has cold starts, or a target is cold."""
        return self._is_enabled or bool(self._records)

    @property
    def count(self) -> int:
        """Number of cold targets."""
        now = self._clock.monotonic()
        return sum(1 for record in self._records.values() if record.end > now)

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
        if not self._records:
            return
        now = self._clock.monotonic()
        for target, record in list(self._records.items()):
            if now >= record.end + _WINDOW_S:
                del self._records[target]
                self._routers.expire()
                continue
            view = self._view(target)
            if view is not None:
                self._update_rate(view, record, now)

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
        if cold_s <= 0.0:
            if self._entries.pop(target, None) is not None:
                record = self._records.get(target)
                if record is not None:
                    record.until.pop(ColdCause.ENTRY, None)
            return
        entry = (life, heartbeats, cold_s)
        if self._entries.get(target) == entry:
            return
        self._entries[target] = entry
        self._entries.move_to_end(target)
        if len(self._entries) > _MAX_ENTRIES:
            self._entries.popitem(last=False)
        self._note(target, life, cold_s, ColdCause.ENTRY)

    def observe_header(
        self, target: TargetView, life: int, cold_s: float
    ) -> None:
        """Records for how long a target says that it stays cold.

        Args:
            target: The target.
            life: Start of the target that the request was sent to.
            cold_s: Seconds for which it stays cold.
        """
        if cold_s > 0.0 and target.has_cold_starts:
            self._note(target.identifier, life, cold_s, ColdCause.HEADER)

    def assume_cold(self, target: TargetView, life: int) -> None:
        """Records that a target may just have started.

        Args:
            target: The target.
            life: Its latest start that is known.
        """
        if target.cold_start_s > 0.0:
            self._note(
                target.identifier,
                life,
                target.cold_start_s,
                ColdCause.ASSUMED,
            )

    def merge_peer(
        self, peer: str, life: int, reports: Sequence[ColdReport]
    ) -> None:
        """Merges what a peer knows, and replaces what it sends.

        Args:
            peer: Name of the peer.
            life: Start of the peer.
            reports: Cold targets that it has observed or sends to.
        """
        for report in reports:
            if report.left_s > 0.0 and self._concerns(report):
                self._note(
                    report.target, report.life, report.left_s, ColdCause.PEER
                )
        self._routers.merge_peer(
            peer,
            life,
            {_key(report.target): report.sent for report in reports},
            {},
        )

    def reports(self) -> list[ColdReport]:
        """Returns what peers must hear: own observations and requests sent."""
        if not self._records:
            return []
        now = self._clock.monotonic()
        reports = [
            ColdReport(
                target,
                record.life,
                max(record.observed_end - now, 0.0),
                record.window.count_sent(now),
            )
            for target, record in self._records.items()
        ]
        return [each for each in reports if each.left_s or each.sent]

    def is_cold(self, target: TargetView) -> bool:
        """Returns whether a target is cold."""
        return self._find(target) is not None

    def is_assumed_cold(self, target: TargetView) -> bool:
        """Returns whether a target is cold only by assumption.

        Its connections broke or were refused, and nothing that it has written
        says that it is cold.
        """
        record = self._find(target)
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
        self._update_rate(target, record, now)
        if record.rate <= 0.0:
            return Allowance(left_s, LimitReason.COLD)
        window = record.window
        window.fill(record.rate, _SAVED_REQUESTS, now)
        if window.tokens < 1.0 - _ROUNDING:
            wait_s = (1.0 - window.tokens) / record.rate
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
        record = self._find_limited(target)
        if record is None:
            return math.inf
        self._update_rate(target, record, self._clock.monotonic())
        return record.rate

    def take(self, target: str, life: int) -> None:
        """Counts a request that is sent to a target."""
        del life
        record = self._records.get(target)
        now = self._clock.monotonic()
        if record is not None and record.end > now:
            record.window.take(now)

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

    def _concerns(self, report: ColdReport) -> bool:
        """Returns whether a report is about a start that is not over.

        A target that is not in the directory yet may be in that of the peer.
        """
        view = self._view(report.target)
        return view is None or (
            view.has_cold_starts and view.life <= report.life
        )

    def _find(self, target: TargetView) -> _Record | None:
        """Returns the record of a target, None if it is not cold.

        The directory may still know an earlier start than peers or the target
        itself, but what is known of an earlier start does not count.
        """
        record = self._records.get(target.identifier)
        if record is None or target.life > record.life:
            return None
        return record if record.end > self._clock.monotonic() else None

    def _find_limited(self, target: TargetView) -> _Record | None:
        if not self._records or target.cold_per_s <= 0.0:
            return None
        return self._find(target)

    def _note(
        self, target: str, life: int, left_s: float, cause: ColdCause
    ) -> None:
        """Records that a target stays cold for a time."""
        now = self._clock.monotonic()
        record = self._records.get(target)
        if record is None:
            record = self._records[target] = _Record(
                life, RequestWindow(_WINDOW_S, 0.0, now), now, 0.0, {}
            )
        if cause is ColdCause.ENTRY:
            # A target whose wall clock was set back has an earlier start.
            life = max(life, record.life)
        if life < record.life:
            return
        is_news = life > record.life or record.end <= now
        if is_news:
            record.begin(life, now)
        until = now + left_s
        if cause is not ColdCause.ENTRY:
            until = max(until, record.until.get(cause, _NEVER))
        record.until[cause] = until
        if is_news:
            view = self._view(target)
            if view is not None:
                self._update_rate(view, record, now)
            self._on_cold(ColdStart(target, life, left_s, cause))

    def _update_rate(
        self, target: TargetView, record: _Record, now: float
    ) -> None:
        """Applies the rate that this router has from now on."""
        rate = self._own_rate(target)
        if rate != record.rate:
            record.window.fill(record.rate, _SAVED_REQUESTS, now)
            record.rate = rate

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

"""Admission control: dispatch order, queueing and rejection of requests.

Requests cannot be reordered once they are sent to an engine. Under overload
they are queued here instead, where small workspaces take precedence over large
ones, and requests that would be answered too late are rejected at once.

Load: more is asked than all targets serve. The rules that say who waits, in
which order and for how long are classes of their own: `StartOrder`,
`WaitLimits`, `LateAnswers`, `Leads`, `StandingQueues` and `TimelyRequests`.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from crowwinch.coordination import Clock
from crowwinch.sharing._claim import Claim
from crowwinch.sharing._forecasts import Candidate, TargetStatus
from crowwinch.sharing._headroom import has_room, use_limit
from crowwinch.sharing._leads import Leads
from crowwinch.sharing._model import Decision, TargetView, Verdict, Work
from crowwinch.sharing._observed_targets import ObservedTargets
from crowwinch.sharing._placer import Placer
from crowwinch.sharing._return_times import ReturnTimes
from crowwinch.sharing._shares import WorkspaceShares
from crowwinch.sharing._standing_queues import StandingQueues
from crowwinch.sharing._start_order import StartOrder
from crowwinch.sharing._ticket import Ticket
from crowwinch.sharing._timely_requests import TimelyRequests
from crowwinch.sharing._wait_limits import WaitLimits

# A service without targets regains them by a restart or a new target entry.
_NO_TARGET_MAX_WAIT_S = 0.3
_NO_TARGET_RETRY_S = 0.5
# An evacuation takes seconds at least, and a region without targets mostly gets
# some again when machines have started.
_UNSERVABLE_RETRY_S = 2.0
# Random jitter of that delay, as a fraction of it.
_RETRY_JITTER = 0.5
# Undecided requests of one workspace after which a poll leaves out those with
# the same home regions. They would find the same targets full, and under load
# there are hundreds of them.
_MAX_UNDECIDED = 8
# The same for a workspace that gets clearly less than others. Its requests fit
# different targets, and those of one with callers at a single router are looked
# at by no other.
_MAX_UNDECIDED_BEHIND = 16
_NEGLIGIBLE_RATE = 1e-6


class Admission:
    """Queues the requests of one router by service and workspace."""

    def __init__(
        self,
        clock: Clock,
        placer: Placer,
        shares: WorkspaceShares,
        targets: Callable[[str], Sequence[TargetView]],
        random: Callable[[], float],
        evacuated: Callable[[str], Sequence[TargetView]] = lambda service: (),
    ) -> None:
        """Creates an empty queue.

        Args:
            clock: Monotonic time.
            placer: Forecasts for targets.
            shares: Use of workspaces over the fleet.
            targets: Returns the targets of a service.
            random: Returns a number from 0 to 1, used as jitter of retries.
            evacuated: Returns the targets of a service that would take requests
                if their availability zone were not evacuated.
        """
        self._clock = clock
        self._placer = placer
        self._shares = shares
        self._targets = targets
        self._evacuated = evacuated
        self._random = random
        self._return_times = ReturnTimes(random)
        self._standing = StandingQueues(clock)
        self._order = StartOrder(placer)
        self._wait_limits = WaitLimits(clock, self._standing)
        self._timely = TimelyRequests()
        self._queues: dict[str, dict[str, deque[Ticket]]] = {}
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._waiting

    def certain_refusal(
        self, work: Work, deadline: float, is_taken_up: bool
    ) -> Decision | None:
        """Returns the refusal that a new request would get at once.

        A router that refuses most of what it gets needs no ticket for it.

        Args:
            work: Work of the request.
            deadline: Monotonic time after which an answer is useless.
            is_taken_up: Whether it goes on with a stream.
        """
        queue = self._queues.get(work.service, {}).get(work.workspace)
        if not queue or not self._is_rejection_certain(
            work, is_taken_up, queue
        ):
            return None
        return self._refuse_over_share(deadline, self._clock.monotonic())

    def submit(self, ticket: Ticket) -> None:
        """Decides a request immediately or queues it."""
        now = self._clock.monotonic()
        ticket.latest_start = self._order.latest_start(ticket)
        queues = self._queues.setdefault(ticket.work.service, {})
        queue = queues.setdefault(ticket.work.workspace, deque())
        if not any(other.has_same_homes(ticket) for other in queue):
            # Requests of other workspaces found no capacity at the last poll,
            # and those with other home regions none in theirs.
            decision = self._decide(
                ticket, self._observe(ticket.work.service), now
            )
            if decision is not None:
                self._finish(ticket, decision)
                return
        elif refusal := self._refuse_unservable(ticket):
            self._finish(ticket, refusal)
            return
        elif self._is_rejection_certain(ticket.work, ticket.is_taken_up, queue):
            refusal = self._refuse_over_share(ticket.deadline, now)
            self._finish(ticket, refusal)
            return
        self._standing.note_request(ticket.work.service)
        self._timely.add(ticket)
        queue.append(ticket)
        self._waiting += 1

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a request whose caller has disconnected."""
        if ticket.is_done:
            return
        ticket.is_done = True
        service = ticket.work.service
        queue = self._queues.get(service, {}).get(ticket.work.workspace)
        if queue is not None and ticket in queue:
            self._remove(ticket, queue)
            self._note_if_empty(service)

    def note_targets_changed(self) -> None:
        """Decides queued requests after the targets of services have changed.

        Requests that no target may run any more are refused first: a poll may
        not reach them while others of their workspace stay queued.
        """
        queues = [
            queue for each in self._queues.values() for queue in each.values()
        ]
        for queue in queues:
            for ticket in tuple(queue):
                if refusal := self._refuse_unservable(ticket):
                    self._remove(ticket, queue)
                    self._finish(ticket, refusal)
                    self._note_if_empty(ticket.work.service)
        self.poll()

    def poll(self) -> None:
        """Decides all queued requests that can be decided now."""
        if not self._waiting:
            return
        now = self._clock.monotonic()
        for service, queues in self._queues.items():
            if not queues:
                continue
            targets = self._observe(service)
            for workspace in self._fair_order(queues):
                self._poll_workspace(queues[workspace], targets, now)
            for workspace in [name for name, q in queues.items() if not q]:
                del queues[workspace]
            self._note_if_empty(service)

    def _note_if_empty(self, service: str) -> None:
        if not any(self._queues[service].values()):
            self._standing.note_empty(service)

    def _fair_order(self, queues: Mapping[str, deque[Ticket]]) -> Sequence[str]:
        """Returns the workspaces by units served, the least first."""
        return sorted(queues, key=self._shares.served)

    def _observe(self, service: str) -> ObservedTargets:
        return ObservedTargets(self._placer, self._targets(service))

    def _poll_workspace(
        self,
        queue: deque[Ticket],
        targets: ObservedTargets,
        now: float,
    ) -> None:
        for tickets in self._order.groups(queue):
            self._poll_tickets(tickets, queue, targets, now)

    def _poll_tickets(
        self,
        tickets: Sequence[Ticket],
        queue: deque[Ticket],
        targets: ObservedTargets,
        now: float,
    ) -> None:
        undecided: Counter[frozenset[str] | None] = Counter()
        for ticket in tickets:
            most = self._max_undecided(ticket.work.workspace)
            if undecided[ticket.home_regions] >= most:
                continue
            decision = self._decide(ticket, targets, now)
            if decision is None:
                undecided[ticket.home_regions] += 1
                continue
            self._remove(ticket, queue)
            self._finish(ticket, decision)
            if decision.verdict is Verdict.SEND:
                targets.observe_again(decision.target)

    def _remove(self, ticket: Ticket, queue: deque[Ticket]) -> None:
        queue.remove(ticket)
        self._timely.remove(ticket)
        self._waiting -= 1

    def _finish(self, ticket: Ticket, decision: Decision) -> None:
        ticket.is_done = True
        ticket.on_decision(decision)

    def _decide(
        self, ticket: Ticket, targets: ObservedTargets, now: float
    ) -> Decision | None:
        """Returns the decision, or None if the request stays queued."""
        work = ticket.work
        waited = now - ticket.arrived
        usable = targets.usable_by(ticket)
        if not usable.connected:
            return self._refuse_unservable(
                ticket
            ) or self._decide_without_target(
                ticket, waited, targets.hold_left_s(ticket)
            )
        claim = Claim(
            share_use=self._shares.use_of_share(
                work.workspace, _uncharged_units(ticket)
            ),
            relative_use=self._shares.relative_use(work.workspace),
            latency_s=ticket.latency_s,
            waited_s=waited,
            prior_wait_s=ticket.prior_wait_s,
            is_contended=self._timely.has_others(ticket),
            lead=self._shares.lead(work.workspace),
        )
        limit = use_limit(claim)
        if usable.may_have_room(limit):
            for candidate in self._placer.ranked(work, usable.statuses, limit):
                if has_room(candidate, claim):
                    return _send_decision(candidate)
        open_targets = [
            each for each in usable.connected if not self._is_closed(each)
        ]
        if not open_targets:
            opens_s = min(each.limit_wait_s for each in usable.connected)
            return self._refuse(ticket, claim, now, opens_s)
        if self._wait_limits.may_wait(
            ticket,
            claim,
            open_targets,
            self._limit_wait_s(ticket, open_targets),
        ):
            return None
        return self._refuse(ticket, claim, now)

    def _is_closed(self, status: TargetStatus) -> bool:
        """Returns whether a target takes nothing of this router until a time.

        That is so while it is cold and other routers send to it. Requests do
        not wait for it.
        """
        return (
            0.0 < status.limit_wait_s < math.inf
            and self._placer.limit_rate_per_s(status.target) <= 0.0
        )

    def _refuse(
        self, ticket: Ticket, claim: Claim, now: float, opens_s: float = 0.0
    ) -> Decision:
        """Refuses a request.

        Args:
            ticket: The request.
            claim: Its claim at this moment.
            now: Monotonic time.
            opens_s: Seconds until a target may be used at all.
        """
        delay_s = self._return_times.delay_s(ticket.deadline - now)
        return Decision(
            Verdict.REFUSE_OVERLOAD
            if claim.is_within
            else Verdict.REFUSE_OVER_SHARE,
            retry_after_s=max(delay_s, opens_s),
        )

    def _limit_wait_s(
        self, ticket: Ticket, statuses: Sequence[TargetStatus]
    ) -> float:
        """Returns the seconds until rate limits allow a request, 0 without.

        The workspaces that wait take turns, and requests of the same workspace
        go before it in their order.
        """
        rate = 0.0
        for status in statuses:
            rate += self._placer.limit_rate_per_s(status.target)
            if math.isinf(rate):
                return 0.0
        queues = self._queues[ticket.work.service]
        waiting = sum(1 for queue in queues.values() if queue)
        queue = queues.get(ticket.work.workspace, ())
        ahead = sum(
            1
            for other in queue
            if other is not ticket and other.latest_start <= ticket.latest_start
        )
        return (ahead + 1) * max(waiting, 1) / max(rate, _NEGLIGIBLE_RATE)

    def _is_rejection_certain(
        self, work: Work, is_taken_up: bool, queue: Collection[Ticket]
    ) -> bool:
        """Returns whether a new request would only be rejected later.

        That is so over the share once a poll no longer reaches the request.
        Polls reach streams that are taken up before all others.
        """
        return (
            not is_taken_up
            and len(queue) >= self._max_undecided(work.workspace)
            and self._shares.use_of_share(work.workspace, work.cost) > 1.0
        )

    def _max_undecided(self, workspace: str) -> int:
        """Returns the requests of a workspace after which a poll stops."""
        is_behind = Leads.is_behind(self._shares.lead(workspace))
        return _MAX_UNDECIDED_BEHIND if is_behind else _MAX_UNDECIDED

    def _refuse_over_share(self, deadline: float, now: float) -> Decision:
        return Decision(
            Verdict.REFUSE_OVER_SHARE,
            retry_after_s=self._return_times.delay_s(deadline - now),
        )

    def _refuse_unservable(self, ticket: Ticket) -> Decision | None:
        """Returns the refusal of a request that no target may run.

        None if one may, or if the reason is not the place of the targets: a
        target that has left or crashed mostly returns within a moment.
        """
        service = ticket.work.service
        targets = self._targets(service)
        if _has_usable(ticket, targets):
            return None
        if _has_usable(ticket, self._evacuated(service)):
            verdict = Verdict.REFUSE_EVACUATED
        elif ticket.home_regions is not None and not any(
            map(ticket.accepts_region, targets)
        ):
            verdict = Verdict.REFUSE_NO_HOME_TARGET
        else:
            return None
        return Decision(
            verdict,
            retry_after_s=_UNSERVABLE_RETRY_S
            * (1 + _RETRY_JITTER * self._random()),
        )

    def _decide_without_target(
        self, ticket: Ticket, waited: float, hold_left_s: float
    ) -> Decision | None:
        max_wait_s = ticket.deadline - ticket.arrived
        has_time = waited < min(_NO_TARGET_MAX_WAIT_S, max_wait_s)
        if has_time and hold_left_s < _NO_TARGET_MAX_WAIT_S:
            return None
        return Decision(
            Verdict.REFUSE_NO_TARGET,
            retry_after_s=max(_NO_TARGET_RETRY_S, hold_left_s)
            * (1 + _RETRY_JITTER * self._random()),
        )


def _has_usable(ticket: Ticket, targets: Iterable[TargetView]) -> bool:
    """Returns whether a target may run a request."""
    return any(
        ticket.accepts(target) and target.identifier not in ticket.excluded
        for target in targets
    )


def _uncharged_units(ticket: Ticket) -> int:
    """Returns the units of a request that its workspace was not charged for.

    A stream that is taken up was charged when it began.
    """
    return 0 if ticket.is_taken_up else ticket.work.cost


def _send_decision(candidate: Candidate) -> Decision:
    return Decision(
        Verdict.SEND,
        target=candidate.target.identifier,
        unread_tokens=candidate.unread_tokens,
        recompute_tokens=candidate.recompute_tokens,
        is_home=candidate.is_home,
        fetch_from=candidate.fetch.source,
        fetched_tokens=candidate.fetch.tokens,
        reading_s=candidate.reading_s,
        waiting_s=candidate.waiting_s,
        reading_from_s=candidate.reading_from_s,
        reading_until_s=candidate.reading_until_s,
        forecast_s=candidate.forecast_s,
        expected_s=candidate.expected_s,
        target_life=candidate.target.life,
    )

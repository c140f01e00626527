"""Admission control: dispatch order, queueing and rejection of requests.

Requests cannot be reordered once they are sent to an engine. Under overload
they are queued here instead, where small workspaces take precedence over large
ones, and requests that would be answered too late are rejected at once.

Load: one workspace asks for more than all targets serve while it is within its
share, since targets were lost or the configured capacity is too high. What it
can be served goes to the requests that can be in time. They are sent in the
order of the times by which they must start: in order of arrival, the requests
that may wait longest took most slots, and the others were refused.
"""

from collections import Counter, deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import Clock
from crowwinch.sharing._headroom import Claim, has_room, latest_start_s
from crowwinch.sharing._model import Decision, TargetView, Verdict, Work
from crowwinch.sharing._placer import Candidate, Placer, TargetStatus
from crowwinch.sharing._return_times import ReturnTimes
from crowwinch.sharing._shares import WorkspaceShares
from crowwinch.sharing._standing_queues import StandingQueues

# Target latency of requests whose route does not set one.
_DEFAULT_LATENCY_S = 1.0
# Maximum wait of a request within its workspace's share, as a multiple of its
# target latency. Under sustained overload the queue is as long as this allows,
# so what is left must suffice for an answer in time.
_MAX_WAIT_FACTOR = 0.7
# The same for a slot while the queue is not standing. Above 1 because a late
# answer has more value than a refusal, whose caller returns even later.
_BURST_MAX_WAIT_FACTOR = 1.5
# A request over the share is rejected before its caller notices the wait.
_OVER_SHARE_MAX_WAIT_FACTOR = 0.125
# A service without targets regains them by a restart or a new target entry.
_NO_TARGET_MAX_WAIT_S = 0.3
_NO_TARGET_RETRY_S = 0.5
# Random jitter of that delay, as a fraction of it.
_RETRY_JITTER = 0.5
# Undecided requests of one workspace after which a poll stops. Later requests
# would find the same targets full, and under load there are hundreds of them.
_MAX_UNDECIDED = 8


@dataclass(slots=True, eq=False)
class Ticket:
    """A request waiting for a target.

    Attributes:
        work: Work of the request.
        arrived: Monotonic time of its arrival.
        deadline: Monotonic time after which an answer is useless.
        on_decision: Called once with the decision.
        excluded: Identifiers of targets that must not be used.
        prior_wait_s: Time that the caller has waited before the request
            arrived.
        latest_start: Monotonic time from which an answer is likely late; set
            when it is submitted.
    """

    work: Work
    arrived: float
    deadline: float
    on_decision: Callable[[Decision], None]
    excluded: Collection[str] = ()
    prior_wait_s: float = 0.0
    latest_start: float = field(default=0.0, init=False)
    is_queued: bool = field(default=False, init=False)
    is_done: bool = field(default=False, init=False)

    @property
    def latency_s(self) -> float:
        """Target latency in seconds."""
        return self.work.target_latency_s or _DEFAULT_LATENCY_S

    @property
    def is_late(self) -> bool:
        """Whether its caller had waited for the target latency before."""
        return self.prior_wait_s >= self.latency_s


class Admission:
    """Queues the requests of one router by service and workspace."""

    def __init__(
        self,
        clock: Clock,
        placer: Placer,
        shares: WorkspaceShares,
        targets: Callable[[str], Sequence[TargetView]],
        random: Callable[[], float],
    ) -> None:
        """Creates an empty queue.

        Args:
            clock: Monotonic time.
            placer: Forecasts for targets.
            shares: Use of workspaces over the fleet.
            targets: Returns the targets of a service.
            random: Returns a number from 0 to 1, used as jitter of retries.
        """
        self._clock = clock
        self._placer = placer
        self._shares = shares
        self._targets = targets
        self._random = random
        self._return_times = ReturnTimes(random)
        self._standing = StandingQueues(clock)
        self._queues: dict[str, dict[str, deque[Ticket]]] = {}
        self._waiting = 0
        # Queued requests by service whose callers had not waited for the
        # target latency before.
        self._timely: Counter[str] = Counter()

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._waiting

    def submit(self, ticket: Ticket) -> None:
        """Decides a request immediately or queues it."""
        now = self._clock.monotonic()
        alone_s = self._placer.alone_s(ticket.work)
        ticket.latest_start = (
            ticket.arrived
            - ticket.prior_wait_s
            + latest_start_s(ticket.latency_s, alone_s)
        )
        queues = self._queues.setdefault(ticket.work.service, {})
        queue = queues.setdefault(ticket.work.workspace, deque())
        if not queue:
            # Requests of other workspaces found no capacity at the last poll.
            decision = self._decide(
                ticket, self._observe(ticket.work.service), now
            )
            if decision is not None:
                self._finish(ticket, decision)
                return
        elif self._is_rejection_certain(ticket.work, queue):
            self._finish(ticket, self._refuse_over_share(ticket, now))
            return
        self._standing.note_request(ticket.work.service)
        queue.append(ticket)
        self._count_queued(ticket, 1)

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a request whose caller has disconnected."""
        if ticket.is_done:
            return
        ticket.is_done = True
        service = ticket.work.service
        queue = self._queues.get(service, {}).get(ticket.work.workspace)
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._count_queued(ticket, -1)
            self._note_if_empty(service)

    def poll(self) -> None:
        """Decides all queued requests that can be decided now."""
        if not self._waiting:
            return
        now = self._clock.monotonic()
        for service, queues in self._queues.items():
            if not queues:
                continue
            statuses = self._observe(service)
            for workspace in self._fair_order(queues):
                self._poll_workspace(queues[workspace], statuses, now)
            for workspace in [name for name, q in queues.items() if not q]:
                del queues[workspace]
            self._note_if_empty(service)

    def _note_if_empty(self, service: str) -> None:
        if not any(self._queues[service].values()):
            self._standing.note_empty(service)

    def _fair_order(self, queues: Mapping[str, deque[Ticket]]) -> Sequence[str]:
        """Returns the workspaces by units served, the least first."""
        return sorted(queues, key=self._shares.served)

    def _observe(self, service: str) -> dict[str, TargetStatus]:
        return {
            target.identifier: self._placer.observe(target)
            for target in self._targets(service)
        }

    def _poll_workspace(
        self,
        queue: deque[Ticket],
        statuses: dict[str, TargetStatus],
        now: float,
    ) -> None:
        # Requests whose answers can be in time go first. A request that must be
        # refused is at the head of its group and is reached however many others
        # wait.
        ordered = sorted(queue, key=lambda ticket: ticket.latest_start)
        timely = [ticket for ticket in ordered if not ticket.is_late]
        late = [ticket for ticket in ordered if ticket.is_late]
        for tickets in (timely, late):
            self._poll_tickets(tickets, queue, statuses, now)

    def _poll_tickets(
        self,
        tickets: Sequence[Ticket],
        queue: deque[Ticket],
        statuses: dict[str, TargetStatus],
        now: float,
    ) -> None:
        undecided = 0
        for ticket in tickets:
            decision = self._decide(ticket, statuses, now)
            if decision is None:
                undecided += 1
                if undecided >= _MAX_UNDECIDED:
                    break
                continue
            queue.remove(ticket)
            self._count_queued(ticket, -1)
            self._finish(ticket, decision)
            if decision.verdict is Verdict.SEND:
                # Make the added load visible to the next request.
                target = statuses[decision.target].target
                statuses[decision.target] = self._placer.observe(target)

    def _count_queued(self, ticket: Ticket, change: int) -> None:
        ticket.is_queued = change > 0
        self._waiting += change
        if not ticket.is_late:
            self._timely[ticket.work.service] += change

    def _is_contended(self, ticket: Ticket) -> bool:
        """Returns whether others wait that may be answered in time."""
        own = int(ticket.is_queued and not ticket.is_late)
        return self._timely[ticket.work.service] > own

    def _finish(self, ticket: Ticket, decision: Decision) -> None:
        ticket.is_done = True
        ticket.on_decision(decision)

    def _decide(
        self, ticket: Ticket, statuses: dict[str, TargetStatus], now: float
    ) -> Decision | None:
        """Returns the decision, or None if the request stays queued."""
        work = ticket.work
        waited = now - ticket.arrived
        candidates = self._placer.candidates(
            work, statuses.values(), ticket.excluded
        )
        if not candidates:
            return self._decide_without_target(ticket, waited)
        claim = Claim(
            share_use=self._shares.use_of_share(work.workspace, work.cost),
            relative_use=self._shares.relative_use(work.workspace),
            latency_s=ticket.latency_s,
            waited_s=waited,
            prior_wait_s=ticket.prior_wait_s,
            is_contended=self._is_contended(ticket),
        )
        for candidate in candidates:
            if has_room(candidate, claim):
                return _send_decision(candidate)
        max_wait_s = self._max_wait_s(ticket, claim, candidates)
        is_waiting_useless = self._is_waiting_useless(ticket, claim, now)
        if not is_waiting_useless and waited < min(
            max_wait_s, ticket.deadline - ticket.arrived
        ):
            return None
        if claim.is_within:
            return Decision(
                Verdict.REFUSE_OVERLOAD,
                retry_after_s=self._return_times.delay_s(ticket.deadline - now),
            )
        return self._refuse_over_share(ticket, now)

    def _is_waiting_useless(
        self, ticket: Ticket, claim: Claim, now: float
    ) -> bool:
        """Returns whether a request could only be answered late.

        In a standing queue, those that still can be in time take what becomes
        free.
        """
        return (
            claim.is_within
            and claim.is_large
            and now >= ticket.latest_start
            and self._standing.is_standing(ticket.work.service, claim.latency_s)
        )

    def _max_wait_s(
        self, ticket: Ticket, claim: Claim, candidates: Sequence[Candidate]
    ) -> float:
        """Returns the maximum wait of a request in seconds.

        A burst that fills all slots is served as fast as they become free.
        Prompts that wait to be read make each other late instead.
        """
        if not claim.is_within:
            return claim.latency_s * _OVER_SHARE_MAX_WAIT_FACTOR
        waits_for_slot = all(candidate.use >= 1.0 for candidate in candidates)
        is_standing = self._standing.is_standing(
            ticket.work.service, claim.latency_s
        )
        if waits_for_slot and not is_standing and not ticket.is_late:
            return claim.latency_s * _BURST_MAX_WAIT_FACTOR
        return claim.latency_s * _MAX_WAIT_FACTOR

    def _is_rejection_certain(
        self, work: Work, queue: Collection[Ticket]
    ) -> bool:
        """Returns whether a new request would only be rejected later.

        That is so over the share once a poll no longer reaches the request.
        """
        return (
            len(queue) >= _MAX_UNDECIDED
            and self._shares.use_of_share(work.workspace, work.cost) > 1.0
        )

    def _refuse_over_share(self, ticket: Ticket, now: float) -> Decision:
        return Decision(
            Verdict.REFUSE_OVER_SHARE,
            retry_after_s=self._return_times.delay_s(ticket.deadline - now),
        )

    def _decide_without_target(
        self, ticket: Ticket, waited: float
    ) -> Decision | None:
        max_wait_s = ticket.deadline - ticket.arrived
        if waited < min(_NO_TARGET_MAX_WAIT_S, max_wait_s):
            return None
        return Decision(
            Verdict.REFUSE_NO_TARGET,
            retry_after_s=_NO_TARGET_RETRY_S
            * (1 + _RETRY_JITTER * self._random()),
        )


def _send_decision(candidate: Candidate) -> Decision:
    return Decision(
        Verdict.SEND,
        target=candidate.target.identifier,
        unread_tokens=candidate.unread_tokens,
        recompute_tokens=candidate.recompute_tokens,
        is_home=candidate.is_home,
        reading_s=candidate.reading_s,
        waiting_s=candidate.waiting_s,
        reading_from_s=candidate.reading_from_s,
        reading_until_s=candidate.reading_until_s,
        forecast_s=candidate.forecast_s,
        expected_s=candidate.expected_s,
    )

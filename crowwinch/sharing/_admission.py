"""Decides whose request goes next, who waits and who is refused.

Answers overload: what is sent to an engine can no longer be ordered, so
requests wait here, where small workspaces go before large ones, and those that
would be answered too late are refused at once.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

from crowwinch.coordination import Clock
from crowwinch.sharing._headroom import Claim, has_room
from crowwinch.sharing._model import Decision, TargetView, Verdict, Work
from crowwinch.sharing._placer import Candidate, Placer, TargetStatus
from crowwinch.sharing._shares import WorkspaceShares

# Time to the first event that is assumed to be wanted if a route does not say.
_DEFAULT_LATENCY_S = 1.0
# A request within its workspace's share waits this many times its target
# latency; later answers are still worth a part.
_PATIENCE = 1.5
# One beyond the share is refused before its wait matters to its caller.
_OVER_SHARE_PATIENCE = 0.125
# Repeats of refused requests are spread over this part of their wait.
_RETRY_SPREAD = 0.5
_SHORTEST_RETRY_S = 0.2
_LONGEST_RETRY_S = 2.5
# A service without targets gets them again by a restart or a new entry.
_NO_TARGET_PATIENCE_S = 0.3
_NO_TARGET_RETRY_S = 0.5


# Requests of one workspace that are compared with the targets in one go. Those
# behind them find the same targets full, and in a crowd there are hundreds.
_MOST_UNDECIDED = 8


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a target.

    Attributes:
        work: What it asks.
        arrived: Monotonic time of its arrival.
        deadline: Monotonic time after which no answer helps.
        on_decision: Called once with the end of the wait.
        excluded: Targets that are not to be used.
    """

    work: Work
    arrived: float
    deadline: float
    on_decision: Callable[[Decision], None]
    excluded: Collection[str] = ()
    is_done: bool = field(default=False, init=False)


class Admission:
    """Waiting requests of one router, by service and workspace."""

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
            random: Returns a number from 0 to 1, to spread repeats.
        """
        self._clock = clock
        self._placer = placer
        self._shares = shares
        self._targets = targets
        self._random = random
        self._queues: dict[str, dict[str, deque[Ticket]]] = {}
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return self._waiting

    def submit(self, ticket: Ticket) -> None:
        """Decides at once or lets a request wait."""
        now = self._clock.monotonic()
        queues = self._queues.setdefault(ticket.work.service, {})
        queue = queues.setdefault(ticket.work.workspace, deque())
        if not queue:
            # Those of other workspaces had no room at the last poll.
            decision = self._decide(
                ticket, self._observe(ticket.work.service), now
            )
            if decision is not None:
                self._finish(ticket, decision)
                return
        elif self._is_hopeless(ticket.work, queue):
            self._finish(ticket, self._refuse_beyond(ticket.work))
            return
        queue.append(ticket)
        self._waiting += 1

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a request whose caller has left."""
        if ticket.is_done:
            return
        ticket.is_done = True
        queue = self._queues.get(ticket.work.service, {}).get(
            ticket.work.workspace
        )
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._waiting -= 1

    def poll(self) -> None:
        """Decides all waiting requests that can be decided now."""
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

    def _fair_order(self, queues: Mapping[str, deque[Ticket]]) -> Sequence[str]:
        """Returns the workspaces, those that got least first."""
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
        undecided = 0
        for ticket in list(queue):
            decision = self._decide(ticket, statuses, now)
            if decision is None:
                undecided += 1
                if undecided >= _MOST_UNDECIDED:
                    break
                continue
            queue.remove(ticket)
            self._waiting -= 1
            self._finish(ticket, decision)
            if decision.verdict is Verdict.SEND:
                # The next request finds this one at its target.
                target = statuses[decision.target].target
                statuses[decision.target] = self._placer.observe(target)

    def _finish(self, ticket: Ticket, decision: Decision) -> None:
        ticket.is_done = True
        ticket.on_decision(decision)

    def _decide(
        self, ticket: Ticket, statuses: dict[str, TargetStatus], now: float
    ) -> Decision | None:
        """Returns the end of a wait, or None while the request is to wait."""
        work = ticket.work
        waited = now - ticket.arrived
        candidates = self._placer.candidates(
            work, statuses.values(), ticket.excluded
        )
        if not candidates:
            return self._without_target(ticket, waited)
        claim = Claim(
            share_use=self._shares.use_of_share(work.workspace, work.cost),
            relative_use=self._shares.relative_use(work.workspace),
            latency_s=work.target_latency_s or _DEFAULT_LATENCY_S,
            waited_s=waited,
        )
        for candidate in candidates:
            if has_room(candidate, claim):
                return _send_to(candidate)
        patience = claim.latency_s * (
            _PATIENCE if claim.is_within else _OVER_SHARE_PATIENCE
        )
        if waited < min(patience, ticket.deadline - ticket.arrived):
            return None
        if claim.is_within:
            return Decision(
                Verdict.REFUSE_OVERLOAD,
                retry_after_s=self._spread(candidates[0].expected_s),
            )
        return self._refuse_beyond(work)

    def _is_hopeless(self, work: Work, queue: Collection[Ticket]) -> bool:
        """Returns whether as many wait as are compared in one go.

        Beyond its share a request behind them would only be refused later.
        """
        return (
            len(queue) >= _MOST_UNDECIDED
            and self._shares.use_of_share(work.workspace, work.cost) > 1.0
        )

    def _refuse_beyond(self, work: Work) -> Decision:
        return Decision(
            Verdict.REFUSE_OVER_SHARE,
            retry_after_s=self._spread(self._until_within(work)),
        )

    def _without_target(self, ticket: Ticket, waited: float) -> Decision | None:
        patience = ticket.deadline - ticket.arrived
        if waited < min(_NO_TARGET_PATIENCE_S, patience):
            return None
        return Decision(
            Verdict.REFUSE_NO_TARGET,
            retry_after_s=self._spread(_NO_TARGET_RETRY_S),
        )

    def _until_within(self, work: Work) -> float:
        """Returns seconds until the share has room again without new work."""
        level = max(self._shares.level - work.cost / 2, 1.0)
        ratio = self._shares.served(work.workspace) / level
        return self._shares.time_constant_s * math.log(max(ratio, 1.0))

    def _spread(self, seconds: float) -> float:
        base = min(max(seconds, _SHORTEST_RETRY_S), _LONGEST_RETRY_S)
        return base * (1 + _RETRY_SPREAD * self._random())


def _send_to(candidate: Candidate) -> Decision:
    return Decision(
        Verdict.SEND,
        target=candidate.target.identifier,
        unread_tokens=candidate.unread_tokens,
        read_again=candidate.read_again,
        is_home=candidate.is_home,
        reading_s=candidate.reading_s,
        waiting_s=candidate.waiting_s,
        forecast_s=candidate.forecast_s,
        expected_s=candidate.expected_s,
    )

"""The scheduler of a domain: grants slots to the routers' requests."""

import math
from collections.abc import Callable, Collection, Sequence

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock, Subscription, TimerService
from crowwinch.errors import RefusalReason
from crowwinch.generated.peer_messages import (
    Completion,
    Demand,
    DemandEntry,
    InFlight,
    RefusedDemand,
    Registration,
    RegistrationRequest,
    ReusedSlot,
)
from crowwinch.scheduling._admission import QueueAdmission
from crowwinch.scheduling._answers import (
    VIRTUAL_SCALE,
    AnswerSender,
    RouterMessage,
)
from crowwinch.scheduling._fair_queue import Entry, FairQueue
from crowwinch.scheduling._interfaces import SlotOutcome
from crowwinch.scheduling._ledger import GrantLedger
from crowwinch.scheduling._pacing import Pacing, UnlimitedPacing
from crowwinch.scheduling._records import (
    GrantRecord,
    GroupRecord,
    RouterRecord,
)
from crowwinch.scheduling._target_limits import TargetReport
from crowwinch.scheduling._target_pool import TargetPool

# A router marks a silent scheduler suspect after 1 s, so every message is
# answered well before.
ANSWER_DELAY_S = 0.4
# Registrations that arrive later come from routers that rejoin; their lags
# relate to another scheduler's floor.
TAKEOVER_WINDOW_S = 5.0
_TICK_S = 1.0


class DomainScheduler:
    """Shares the targets of a domain among the workspaces' requests.

    The scheduler's state lasts as long as the object. A new object is a new
    incarnation, which routers have to register with.
    """

    def __init__(
        self,
        clock: Clock,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        send: Callable[[str, RouterMessage], None],
        lease: int = 0,
        listed: Callable[[], int] = lambda: 1,
        pacing: Callable[[str], Pacing] = lambda router: UnlimitedPacing(),
        region: str | None = None,
        awaits_reports: bool = False,
    ) -> None:
        """Creates a scheduler without routers.

        Args:
            clock: Monotonic and Unix time.
            timers: Runs delayed answers and periodic checks.
            snapshot: Returns the configuration in force.
            send: Sends a message to a router by name.
            lease: Number of this incarnation of the scheduler.
            listed: Returns the number of routers in the VM list that have not
                left.
            pacing: Creates the budget of control bytes for a router by name.
            region: Region whose groups are served, None for all groups.
            awaits_reports: Whether a target's first report precedes new
                grants on it.
        """
        self._clock = clock
        self._timers = timers
        self._send = send
        self._lease = lease
        self._pacing = pacing
        self._routers: dict[str, RouterRecord] = {}
        self._ledger = GrantLedger(clock, snapshot)
        self._queue = self._ledger.queue
        self._admission = QueueAdmission(clock, snapshot, self._queue)
        self._pool = TargetPool(
            clock,
            snapshot,
            lambda: len(self._routers),
            listed,
            region,
            awaits_reports,
        )
        self._answers = AnswerSender(
            clock, timers, send, self._queue, self._pool.groups
        )
        self._next_grant = 1
        self._started = clock.monotonic()
        self._release: Subscription | None = None
        self._tick = timers.call_every(_TICK_S, self.refresh)
        self._pool.read_configuration()

    @property
    def queue(self) -> FairQueue:
        """The waiting entries and accounts."""
        return self._queue

    @property
    def targets(self) -> TargetPool:
        """The targets with their limits and grants."""
        return self._pool

    @property
    def routers(self) -> Sequence[str]:
        """Names of the registered routers."""
        return tuple(self._routers)

    def close(self) -> None:
        """Stops all timers; the scheduler makes no more decisions."""
        self._tick.cancel()
        if self._release is not None:
            self._release.cancel()
        for router in self._routers.values():
            self._answers.cancel(router)
        self._routers.clear()

    def register(self, name: str, message: Registration) -> None:
        """Takes over the full state of a router, in place of earlier state."""
        self._pool.read_configuration()
        old = self._routers.get(name)
        router = RouterRecord(name, old.pacing if old else self._pacing(name))
        if old is not None:
            router.stale = {**old.stale, **old.grants}
            self._drop(old, abandoned=False)
        router.echo_ms = message.echo_ms
        self._routers[name] = router
        age = self._clock.monotonic() - self._started
        takes_over = age <= TAKEOVER_WINDOW_S
        if takes_over:
            for item in message.lags:
                self._queue.restore(
                    item.workspace, item.group, item.lag / VIRTUAL_SCALE
                )
        for attempt in message.in_flight:
            self._restore_grant(router, attempt, is_new=old is None)
        for entry in message.entries:
            self._enqueue(router, entry, at_floor=not takes_over)
        self._pool.update_allowed()
        self._decide()
        self._answers.schedule(router, 0.0)

    def receive_demand(self, name: str, message: Demand) -> None:
        """Applies a router's changes; asks unknown routers to register."""
        router = self._routers.get(name)
        if router is None:
            self._send(name, RegistrationRequest(self._lease))
            return
        if message.echo_ms <= router.echo_ms:
            # A duplicate, or older than the router's registration.
            return
        self._pool.read_configuration()
        router.echo_ms = message.echo_ms
        returned = {
            completion.grant
            for completion in message.completions
            if completion.outcome == SlotOutcome.UNUSED
        }
        reused = {slot.request for slot in message.reused}
        for entry in message.entries:
            self._enqueue(router, entry, returned, entry.request in reused)
        for number in message.overruns:
            grant = router.grants.get(number)
            if grant is not None:
                self._ledger.charge_overrun(grant)
        for slot in message.reused:
            self._reuse(router, slot)
        for completion in message.completions:
            self._complete(router, completion)
        for request in message.withdrawn:
            self._withdraw(router, request)
        self._decide()
        self._answers.schedule(router, ANSWER_DELAY_S)

    def remove_router(self, name: str) -> None:
        """Forgets a lost router; its grants count as load of others."""
        router = self._routers.pop(name, None)
        if router is None:
            return
        self._drop(router, abandoned=True)
        self._pool.update_allowed()
        self._decide()

    def report_target(self, report: TargetReport) -> None:
        """Adjusts a target's limit to its report."""
        self._pool.read_configuration()
        group = self._pool.report(report)
        if group is not None:
            self._decide_group(group)
            self._schedule_release()

    def refresh(self) -> None:
        """Applies changes of configuration, events and listed routers."""
        self._pool.read_configuration()
        self._queue.recheck_limits()
        self._pool.update_allowed()
        self._decide()

    def forecast(self, group_number: int) -> float:
        """Returns the wait of a new entry in seconds, 0 if unknown."""
        return self._answers.forecast(group_number)

    def _enqueue(
        self,
        router: RouterRecord,
        message: DemandEntry,
        returned: Collection[int] = (),
        is_reused: bool = False,
        at_floor: bool = True,
    ) -> None:
        if message.request in router.entries:
            return
        avoided: frozenset[int] = frozenset()
        granted = router.by_request.get(message.request)
        if granted is not None:
            if granted.target is None or granted.number not in returned:
                return
            avoided = granted.entry.avoided | {granted.target.number}
        left = message.deadline_ms / 1000 if message.deadline_ms else math.inf
        entry = Entry(
            router=router.name,
            request=message.request,
            workspace=message.workspace,
            group=message.group,
            request_class=message.request_class,
            hint=message.estimate,
            deadline=self._clock.monotonic() + left,
            exclusive=message.exclusive,
            avoided=avoided,
            preferred=message.preferred,
        )
        router.groups.add(entry.group)
        group = self._pool.groups.get(entry.group)
        reason = None if is_reused else self._admission.check(entry, group)
        if reason is not None:
            self._refuse(router, entry, reason)
            return
        self._queue.add(entry, at_floor)
        reason = (
            None if is_reused else self._admission.check_deadline(entry, group)
        )
        if reason is None:
            router.entries[entry.request] = entry
            return
        self._queue.remove(entry)
        self._refuse(router, entry, reason)

    def _refuse(
        self, router: RouterRecord, entry: Entry, reason: RefusalReason
    ) -> None:
        group = self._pool.groups.get(entry.group)
        wait = self._admission.retry_after(group, entry, reason)
        router.refused.append(
            RefusedDemand(entry.request, int(reason), round(wait * 1000))
        )
        self._answers.schedule(router, 0.0)

    def _restore_grant(
        self, router: RouterRecord, attempt: InFlight, is_new: bool
    ) -> None:
        entry = Entry(
            router.name,
            attempt.request,
            attempt.workspace,
            attempt.group,
            request_class=0,
        )
        grant = GrantRecord(entry, attempt.charged, 1.0, attempt.grant)
        stale = router.stale.pop(attempt.grant, None)
        if stale is not None and stale.entry.workspace == entry.workspace:
            self._ledger.settle_charge(stale, attempt.charged)
            entry.hint = stale.entry.hint
        grant.target = self._pool.target(attempt.target)
        self._ledger.restore(grant)
        if grant.target is not None:
            self._pool.restore(grant.target, is_new)
        router.grants[grant.number] = grant
        router.by_request[attempt.request] = grant
        self._next_grant = max(self._next_grant, attempt.grant + 1)

    def _reuse(self, router: RouterRecord, slot: ReusedSlot) -> None:
        grant = router.grants.get(slot.grant)
        entry = router.entries.get(slot.request)
        other = router.by_request.get(slot.request)
        if grant is None or (entry is None and other is None):
            return
        if entry is not None:
            del router.entries[slot.request]
            self._queue.remove(entry)
        else:
            entry = other.entry
        self._settle(router, grant, slot.cost, SlotOutcome.SERVED)
        self._ledger.reopen(grant, entry, slot.charged)
        router.by_request.setdefault(slot.request, grant)

    def _complete(self, router: RouterRecord, message: Completion) -> None:
        grant = router.grants.pop(message.grant, None)
        if grant is not None:
            outcome = SlotOutcome(message.outcome)
            self._settle(router, grant, message.cost, outcome)
            self._pool.release(grant)
            return
        grant = router.stale.pop(message.grant, None)
        if grant is not None:
            self._ledger.settle_charge(grant, message.cost)

    def _settle(
        self,
        router: RouterRecord,
        grant: GrantRecord,
        cost: int,
        outcome: SlotOutcome,
    ) -> None:
        entry = grant.entry
        self._ledger.settle(grant, cost, outcome)
        if router.by_request.get(entry.request) is grant:
            del router.by_request[entry.request]
        group = self._pool.groups.get(entry.group)
        if group is not None and outcome != SlotOutcome.UNUSED:
            group.rate.add(self._clock.monotonic())

    def _withdraw(self, router: RouterRecord, request: int) -> None:
        entry = router.entries.pop(request, None)
        if entry is not None:
            self._queue.remove(entry)
            return
        grant = router.by_request.get(request)
        if grant is not None and grant.number == 0:
            self._cancel_parked(router, grant)

    def _cancel_parked(self, router: RouterRecord, grant: GrantRecord) -> None:
        group = self._pool.groups[grant.entry.group]
        group.unplaced.remove(grant)
        self._pool.cancel_reservation(grant)
        self._settle(router, grant, 0, SlotOutcome.UNUSED)

    def _drop(self, router: RouterRecord, abandoned: bool) -> None:
        self._answers.cancel(router)
        for entry in router.entries.values():
            self._queue.remove(entry)
        for grant in list(router.by_request.values()):
            if grant.number == 0:
                self._cancel_parked(router, grant)
        for grant in router.grants.values():
            self._ledger.end_use(grant)
            self._pool.release(grant, abandoned)

    def _decide(self) -> None:
        for group in self._pool.groups.values():
            self._decide_group(group)
        self._schedule_release()

    def _decide_group(self, group: GroupRecord) -> None:
        if group.unplaced:
            group.unplaced = [
                grant
                for grant in group.unplaced
                if not self._place(group, grant)
            ]
        if self._queue.waiting(group.number):
            self._grant_waiting(group)
        group.rate.set_waiting(
            self._queue.waiting(group.number) > 0, self._clock.monotonic()
        )

    def _grant_waiting(self, group: GroupRecord) -> None:
        while group.has_free_target:
            entry = self._queue.select(group.number)
            if entry is None:
                return
            router = self._routers[entry.router]
            del router.entries[entry.request]
            if entry.deadline <= self._clock.monotonic():
                self._refuse(router, entry, RefusalReason.DEADLINE_EXCEEDED)
                continue
            grant = self._ledger.open(entry)
            router.by_request[entry.request] = grant
            if not self._place(group, grant):
                group.unplaced.append(grant)

    def _place(self, group: GroupRecord, grant: GrantRecord) -> bool:
        target = self._pool.find(group, grant)
        if target is None:
            return False
        grant.target = target
        grant.number = self._next_grant
        self._next_grant += 1
        self._pool.begin(target)
        router = self._routers[grant.entry.router]
        router.grants[grant.number] = grant
        router.granted.append(grant)
        self._answers.schedule(router, 0.0)
        return True

    def _schedule_release(self) -> None:
        due = self._queue.next_recovery()
        if self._release is not None:
            if not self._release.cancelled and self._release.due == due:
                return
            self._release.cancel()
            self._release = None
        if due is not None:
            delay = due - self._clock.monotonic()
            self._release = self._timers.call_later(delay, self._decide)

"""Domain scheduler: grants slots of targets to the requests of routers."""

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

# Maximum delay of an answer. Routers suspect a scheduler that has not answered
# for 1 s, so every message is answered well before.
ANSWER_DELAY_S = 0.4
# Registrations received later than this after the start come from routers that
# rejoin. Their lags are ignored, because they are relative to the floor of
# another scheduler.
TAKEOVER_WINDOW_S = 5.0
_REFRESH_PERIOD_S = 1.0


class DomainScheduler:
    """Allocates the slots of a domain's targets fairly to workspaces.

    The state is kept in memory only. Each new object is a new incarnation, with
    which all routers have to register.
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
            timers: Runs delayed answers and periodic refreshes.
            snapshot: Returns the active configuration.
            send: Sends a message to the router with the given name.
            lease: Number of this incarnation of the scheduler.
            listed: Returns the number of routers in the VM list that have not
                left.
            pacing: Creates the byte budget of control messages to the router
                with the given name.
            region: Region whose groups are scheduled, None for all groups.
            awaits_reports: Whether new grants on a target are made only after
                its first report.
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
        self._release_timer: Subscription | None = None
        self._refresh_timer = timers.call_every(_REFRESH_PERIOD_S, self.refresh)
        self._pool.update_configuration()

    @property
    def queue(self) -> FairQueue:
        """Queue of waiting entries and the accounts of workspaces."""
        return self._queue

    @property
    def targets(self) -> TargetPool:
        """Targets with their limits and numbers of grants."""
        return self._pool

    @property
    def routers(self) -> Sequence[str]:
        """Names of the registered routers."""
        return tuple(self._routers)

    def close(self) -> None:
        """Stops all timers and forgets all routers."""
        self._refresh_timer.cancel()
        if self._release_timer is not None:
            self._release_timer.cancel()
        for router in self._routers.values():
            self._answers.cancel(router)
        self._routers.clear()

    def register(self, name: str, message: Registration) -> None:
        """Replaces the state of a router by the one in a registration."""
        self._pool.update_configuration()
        old = self._routers.get(name)
        router = RouterRecord(name, old.pacing if old else self._pacing(name))
        if old is not None:
            router.stale = {**old.stale, **old.grants}
            self._remove_state(old, abandoned=False)
        router.echo_ms = message.echo_ms
        self._routers[name] = router
        age = self._clock.monotonic() - self._started
        is_takeover = age <= TAKEOVER_WINDOW_S
        if is_takeover:
            for item in message.lags:
                self._queue.restore(
                    item.workspace, item.group, item.lag / VIRTUAL_SCALE
                )
        for attempt in message.in_flight:
            self._restore_grant(router, attempt, is_new=old is None)
        for entry in message.entries:
            self._enqueue(router, entry, at_floor=not is_takeover)
        self._pool.update_allowances()
        self._grant_slots()
        self._answers.schedule(router, 0.0)

    def receive_demand(self, name: str, message: Demand) -> None:
        """Applies the events of a router; asks unknown routers to register."""
        router = self._routers.get(name)
        if router is None:
            self._send(name, RegistrationRequest(self._lease))
            return
        if message.echo_ms <= router.echo_ms:
            # A duplicate, or sent before the latest registration.
            return
        self._pool.update_configuration()
        router.echo_ms = message.echo_ms
        returned_grants = {
            completion.grant
            for completion in message.completions
            if completion.outcome == SlotOutcome.UNUSED
        }
        reused = {slot.request for slot in message.reused}
        for entry in message.entries:
            self._enqueue(
                router, entry, returned_grants, entry.request in reused
            )
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
        self._grant_slots()
        self._answers.schedule(router, ANSWER_DELAY_S)

    def remove_router(self, name: str) -> None:
        """Removes a router; its grants count as load of other schedulers."""
        router = self._routers.pop(name, None)
        if router is None:
            return
        self._remove_state(router, abandoned=True)
        self._pool.update_allowances()
        self._grant_slots()

    def report_target(self, report: TargetReport) -> None:
        """Adjusts the limit of a target to a load report."""
        self._pool.update_configuration()
        group = self._pool.report(report)
        if group is not None:
            self._grant_group_slots(group)
            self._schedule_release()

    def refresh(self) -> None:
        """Applies changes of the configuration, events and the VM list."""
        self._pool.update_configuration()
        self._queue.recheck_limits()
        self._pool.update_allowances()
        self._grant_slots()

    def forecast(self, group_number: int) -> float:
        """Returns the expected wait of a new entry in seconds, 0 if unknown."""
        return self._answers.forecast(group_number)

    def _enqueue(
        self,
        router: RouterRecord,
        message: DemandEntry,
        returned_grants: Collection[int] = (),
        is_reused: bool = False,
        at_floor: bool = True,
    ) -> None:
        if message.request in router.entries:
            return
        avoided: frozenset[int] = frozenset()
        granted = router.by_request.get(message.request)
        if granted is not None:
            if granted.target is None or granted.number not in returned_grants:
                return
            avoided = granted.entry.avoided | {granted.target.number}
        remaining_s = (
            message.deadline_ms / 1000 if message.deadline_ms else math.inf
        )
        entry = Entry(
            router=router.name,
            request=message.request,
            workspace=message.workspace,
            group=message.group,
            request_class=message.request_class,
            hint=message.estimate,
            deadline=self._clock.monotonic() + remaining_s,
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
            self._cancel_unplaced(router, grant)

    def _cancel_unplaced(
        self, router: RouterRecord, grant: GrantRecord
    ) -> None:
        group = self._pool.groups[grant.entry.group]
        group.unplaced.remove(grant)
        self._pool.cancel_reservation(grant)
        self._settle(router, grant, 0, SlotOutcome.UNUSED)

    def _remove_state(self, router: RouterRecord, abandoned: bool) -> None:
        self._answers.cancel(router)
        for entry in router.entries.values():
            self._queue.remove(entry)
        for grant in list(router.by_request.values()):
            if grant.number == 0:
                self._cancel_unplaced(router, grant)
        for grant in router.grants.values():
            self._ledger.end_use(grant)
            self._pool.release(grant, abandoned)

    def _grant_slots(self) -> None:
        for group in self._pool.groups.values():
            self._grant_group_slots(group)
        self._schedule_release()

    def _grant_group_slots(self, group: GroupRecord) -> None:
        if group.unplaced:
            group.unplaced = [
                grant
                for grant in group.unplaced
                if not self._try_place(group, grant)
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
            if not self._try_place(group, grant):
                group.unplaced.append(grant)

    def _try_place(self, group: GroupRecord, grant: GrantRecord) -> bool:
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
        release_at = self._queue.next_recovery()
        if self._release_timer is not None:
            if (
                not self._release_timer.cancelled
                and self._release_timer.due == release_at
            ):
                return
            self._release_timer.cancel()
            self._release_timer = None
        if release_at is not None:
            delay = release_at - self._clock.monotonic()
            self._release_timer = self._timers.call_later(
                delay, self._grant_slots
            )

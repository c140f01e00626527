"""Client side of the domain scheduler, one per router."""

import asyncio
import itertools
from collections.abc import Callable

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock, Subscription, TimerService
from crowwinch.errors import RefusalError, RefusalReason, RetryReason
from crowwinch.generated.peer_messages import (
    Completion,
    Demand,
    Grant,
    Grants,
    RefusedDemand,
    Registration,
    ReusedSlot,
)
from crowwinch.scheduling._admission import LocalAdmission
from crowwinch.scheduling._echoes import EchoTracker, expiry
from crowwinch.scheduling._entry_delay import entry_delay
from crowwinch.scheduling._estimates import CostEstimator
from crowwinch.scheduling._interfaces import Slot, SlotOutcome, SlotRequest
from crowwinch.scheduling._outbox import DemandOutbox
from crowwinch.scheduling._pacing import Pacing, UnlimitedPacing, message_size
from crowwinch.scheduling._reuse import ServiceView
from crowwinch.scheduling._slots import (
    GrantedSlot,
    PendingSlot,
    WaitingRequest,
    WaitingTable,
)

# Period of keep-alive messages of an idle router. They let a restarted
# scheduler detect that the router is not registered.
IDLE_KEEP_ALIVE_S = 5.0
# Period of keep-alive messages of a router with waiting requests. A grant's
# lifetime counts from the time stamp of the router's last message, so 0.5 s
# leaves at least 1.5 s of the lifetime of 2 s.
KEEP_ALIVE_S = 0.5
# Overruns affect the order of service but release no slot, so they are batched
# with later events. Separate messages used a fifth of the byte budget.
OVERRUN_DELAY_S = 1.0
# Entries that exceed the limits of one message are sent after the shorter delay
# if the scheduler holds few entries of their workspace, otherwise after the
# longer one, usually together with other events.
UNDERREPORTED_ENTRIES_DELAY_S = 0.2
FURTHER_ENTRIES_DELAY_S = 1.0


class RouterDispatcher:
    """Requests slots from the domain scheduler and assigns them to requests."""

    def __init__(
        self,
        clock: Clock,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        send: Callable[[Demand], None],
        pacing: Pacing | None = None,
        reuse_slots: bool = True,
        max_waiting: int = 10_000,
        on_retry: Callable[[RetryReason], None] = lambda reason: None,
    ) -> None:
        """Creates a dispatcher without a scheduler.

        Args:
            clock: Monotonic and Unix time.
            timers: Runs delayed messages and deadlines.
            snapshot: Returns the active configuration.
            send: Sends a message to the connected scheduler.
            pacing: Budget of control bytes, None for no limit.
            reuse_slots: Whether a finished request's slot may be assigned to a
                waiting request without a round trip to the scheduler.
            max_waiting: Maximum number of waiting requests of all workspaces.
            on_retry: Called with the reason whenever a slot is requested again.
        """
        self._clock = clock
        self._timers = timers
        self._snapshot = snapshot
        self._send = send
        self._pacing = pacing or UnlimitedPacing()
        self._reuse_slots = reuse_slots
        self._on_retry = on_retry
        self._service_view = ServiceView(clock, snapshot)
        self._estimator = CostEstimator()
        self._numbers = itertools.count(1)
        self._waiting = WaitingTable()
        self._outbox = DemandOutbox(self._waiting)
        self._admission = LocalAdmission(
            clock,
            snapshot,
            self._waiting.by_workspace,
            self._service_view.forecast,
            lambda: len(self._waiting) >= max_waiting,
        )
        self._slots: dict[int, GrantedSlot] = {}
        self._scheduler: tuple[str, int] | None = None
        self._flush: Subscription | None = None
        self._echoes = EchoTracker(clock)
        self._keep_alive = timers.call_every(KEEP_ALIVE_S, self._on_keep_alive)

    @property
    def scheduler(self) -> str | None:
        """Name of the connected scheduler."""
        return self._scheduler[0] if self._scheduler else None

    @property
    def waiting(self) -> int:
        """Number of requests without a slot."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return len(self._slots)

    async def acquire(self, request: SlotRequest) -> Slot:
        """Waits for a slot.

        Cancelling the wait withdraws the request.

        Raises:
            RefusalError: If the request cannot be served in time.
        """
        while True:
            pending = PendingSlot()
            waiting = self.submit(request, pending.deliver, pending.refuse)
            try:
                slot = await pending.future
            except asyncio.CancelledError:
                self.withdraw(waiting)
                pending.release()
                raise
            if slot.is_valid():
                return slot
            # The process was paused after it received the grant.
            slot.finish(0, SlotOutcome.UNUSED)
            self._on_retry(RetryReason.GRANT_EXPIRED)

    def submit(
        self,
        request: SlotRequest,
        on_slot: Callable[[Slot], None],
        on_refusal: Callable[[RefusalError], None],
    ) -> WaitingRequest:
        """Requests a slot and calls one of two callbacks, unless withdrawn.

        Args:
            request: Describes the request.
            on_slot: Called with the slot.
            on_refusal: Called with the error if the request is refused.

        Returns:
            A handle for `withdraw`.
        """
        waiting = WaitingRequest(
            next(self._numbers), request, on_slot, on_refusal
        )
        refusal = self._admission.check(request)
        if refusal is not None:
            on_refusal(refusal)
            return waiting
        if request.deadline is not None:
            waiting.timeout = self._timers.call_later(
                request.deadline - self._clock.monotonic(),
                lambda: self._on_deadline(waiting),
            )
        self._add(waiting)
        return waiting

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Withdraws a request; has no effect if it is not waiting."""
        if self._waiting.remove(waiting):
            waiting.cancel_timeout()
            self._outbox.withdraw(waiting.number)
            self._schedule_flush()

    def connect(self, scheduler: str, lease: int = 0) -> Registration:
        """Connects to a scheduler.

        Args:
            scheduler: Name of the router that runs the scheduler.
            lease: Incarnation of the scheduler, 0 if unknown.

        Returns:
            The router's state, which must be sent before any other message.
        """
        lags = self._service_view.lags()
        is_same_scheduler = self._scheduler == (scheduler, lease)
        self._outbox.clear(keep_completions=is_same_scheduler)
        if not is_same_scheduler:
            self._service_view.reset()
        self._scheduler = (scheduler, lease)
        now = self._clock.monotonic()
        self._schedule_flush()
        return Registration(
            self._echoes.record_registration(),
            [each.to_entry(now) for each in self._waiting],
            [slot.to_in_flight() for slot in self._slots.values()],
            lags,
        )

    def disconnect(self) -> None:
        """Disconnects from the scheduler; requests wait for the next one."""
        self._scheduler = None
        self._echoes.disconnect()

    def unanswered_s(self) -> float:
        """Returns for how long an answer has been overdue, in seconds."""
        return self._echoes.unanswered_s()

    def restart_answer_timeout(self) -> None:
        """Restarts the measurement of silence after a pause of this process."""
        self._echoes.restart_answer_timeout()

    def receive_grants(self, message: Grants) -> None:
        """Assigns granted slots to requests and reports refusals."""
        if not self._echoes.record_answer(message.echo_ms):
            # The message precedes the latest registration, which replaced this
            # router's state at the scheduler.
            for grant in message.grants:
                self._return_grant(grant.grant)
            return
        self._service_view.update_groups(message.groups)
        for grant in message.grants:
            self._accept(grant, expiry(message.echo_ms))
        for refused in message.refused:
            self._apply_refusal(refused)

    def close(self) -> None:
        """Stops all timers."""
        self._keep_alive.cancel()
        if self._flush is not None:
            self._flush.cancel()

    def slot_overrun(self, slot: GrantedSlot) -> None:
        """Records that a slot's cost exceeds its charge."""
        request = slot.request
        self._service_view.charge(
            request.workspace, request.group, slot.charged
        )
        self._outbox.overrun(slot.grant)
        self._schedule_flush(OVERRUN_DELAY_S)

    def slot_finished(
        self, slot: GrantedSlot, cost: int, outcome: SlotOutcome
    ) -> None:
        """Reuses a slot for a waiting request or returns it."""
        if self._slots.get(slot.grant) is not slot:
            return
        del self._slots[slot.grant]
        request = slot.request
        self._service_view.charge(
            request.workspace, request.group, cost - slot.charged
        )
        if outcome == SlotOutcome.SERVED:
            self._estimator.observe(
                request.workspace, request.group, request.estimate, cost
            )
        successor = self._successor(slot, outcome)
        if successor is None:
            self._outbox.complete(Completion(slot.grant, cost, int(outcome)))
            self._schedule_flush()
            return
        charged = self._estimate(successor.request)
        self._waiting.remove(successor)
        self._outbox.reuse(
            ReusedSlot(slot.grant, cost, successor.number, charged)
        )
        self._service_view.charge(
            successor.request.workspace, request.group, charged
        )
        self._schedule_flush()
        self._assign(
            successor,
            slot.grant,
            slot.target,
            charged,
            self._echoes.fresh_until,
        )

    def _successor(
        self, slot: GrantedSlot, outcome: SlotOutcome
    ) -> WaitingRequest | None:
        if (
            not self._reuse_slots
            or outcome != SlotOutcome.SERVED
            or self._scheduler is None
            or self._clock.monotonic() >= self._echoes.fresh_until
        ):
            return None
        return self._service_view.choose(slot, self._waiting, self._estimate)

    def _estimate(self, request: SlotRequest) -> int:
        return self._estimator.estimate(
            request.workspace, request.group, request.estimate
        )

    def _assign(
        self,
        waiting: WaitingRequest,
        grant: int,
        target: int,
        charged: int,
        expires_at: float,
    ) -> None:
        slot = GrantedSlot(
            self, self._clock, waiting, grant, target, charged, expires_at
        )
        self._slots[grant] = slot
        waiting.cancel_timeout()
        waiting.on_slot(slot)

    def _accept(self, grant: Grant, expires_at: float) -> None:
        waiting = self._waiting.get(grant.request)
        if grant.grant in self._slots:
            return
        if waiting is None:
            self._return_grant(grant.grant)
            return
        request = waiting.request
        self._service_view.update_workspace(
            request.workspace, request.group, grant
        )
        if self._clock.monotonic() >= expires_at:
            self._return_grant(grant.grant)
            self._waiting.remove(waiting)
            waiting.number = next(self._numbers)
            self._add(waiting)
            self._on_retry(RetryReason.GRANT_EXPIRED)
        elif grant.target in request.excluded_targets:
            # A repeated entry with the same number makes the scheduler avoid
            # this target.
            self._return_grant(grant.grant)
            self._outbox.add_entry(waiting)
        else:
            self._waiting.remove(waiting)
            self._assign(
                waiting, grant.grant, grant.target, grant.charged, expires_at
            )

    def _return_grant(self, grant: int) -> None:
        self._outbox.complete(Completion(grant, 0, int(SlotOutcome.UNUSED)))
        self._schedule_flush()

    def _apply_refusal(self, refused: RefusedDemand) -> None:
        waiting = self._waiting.get(refused.request)
        if waiting is None or not self._waiting.remove(waiting):
            return
        waiting.cancel_timeout()
        reason = RefusalReason(refused.reason)
        retry_after_s = refused.retry_after_ms / 1000
        if reason == RefusalReason.QUEUE_FULL:
            self._admission.record_full_queue(
                waiting.request.workspace, retry_after_s
            )
        waiting.on_refusal(
            RefusalError(
                reason,
                "refused by the domain scheduler",
                retry_after_s=retry_after_s,
            )
        )

    def _on_deadline(self, waiting: WaitingRequest) -> None:
        self.withdraw(waiting)
        waiting.on_refusal(
            RefusalError(
                RefusalReason.DEADLINE_EXCEEDED,
                "deadline exceeded while waiting for a slot",
                retry_after_s=self._service_view.forecast(
                    waiting.request.group
                ),
            )
        )

    def _schedule_flush(self, delay: float = 0.0) -> None:
        """Schedules a message within a delay in seconds."""
        due = self._clock.monotonic() + delay
        if self._scheduler is None or (
            self._flush is not None and self._flush.due <= due
        ):
            return
        if self._flush is not None:
            self._flush.cancel()
        self._flush = self._timers.call_later(delay, self._on_flush)

    def _on_flush(self) -> None:
        self._flush = None
        if self._outbox.events:
            self._send_demand()

    def _on_keep_alive(self) -> None:
        idle = self._echoes.idle_s()
        if idle >= (KEEP_ALIVE_S / 2 if self._waiting else IDLE_KEEP_ALIVE_S):
            self._send_demand()

    def _send_demand(self) -> None:
        if self._scheduler is None:
            return
        now = self._clock.monotonic()
        delay = self._pacing.delay(now)
        if delay > 0:
            self._schedule_flush(delay)
            return
        message = self._outbox.take(self._echoes.record_message(), now)
        self._pacing.spend(message_size(message), now)
        self._send(message)
        if self._outbox.has_underreported_entries:
            self._schedule_flush(UNDERREPORTED_ENTRIES_DELAY_S)
        elif self._outbox.events:
            self._schedule_flush(FURTHER_ENTRIES_DELAY_S)

    def _add(self, waiting: WaitingRequest) -> None:
        self._waiting.add(waiting)
        self._outbox.add_entry(waiting)
        self._schedule_flush(
            entry_delay(
                waiting,
                self._waiting,
                self._service_view.forecast,
                self._clock.monotonic(),
            )
        )

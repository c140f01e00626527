"""Batching of messages from a domain scheduler to each router."""

from collections import deque
from collections.abc import Callable, Mapping

from crowwinch.coordination import Clock, TimerService
from crowwinch.generated.peer_messages import (
    Grant,
    Grants,
    GroupStatus,
    RegistrationRequest,
)
from crowwinch.scheduling._fair_queue import FairQueue
from crowwinch.scheduling._pacing import (
    ANSWER_HEADER_BYTES,
    Pacing,
    message_size,
)
from crowwinch.scheduling._records import GrantRecord, GroupRecord, RouterRecord

# Lags and floors are sent as integers in units of 1/1000, because the cost of
# a request divided by a large weight may be far below 1.
VIRTUAL_SCALE = 1000
# Floor sent for a group whose slots must not be reused because one of its
# targets is drained, leaves or is above its limit.
REUSE_FORBIDDEN = -1

RouterMessage = Grants | RegistrationRequest


class AnswerSender:
    """Sends pending messages to routers as the byte budget permits."""

    def __init__(
        self,
        clock: Clock,
        timers: TimerService,
        send: Callable[[str, RouterMessage], None],
        queue: FairQueue,
        groups: Mapping[int, GroupRecord],
    ) -> None:
        """Creates a sender without pending messages.

        Args:
            clock: Monotonic time.
            timers: Schedules delayed answers.
            send: Sends a message to a router by name.
            queue: Provides lags, floors and queue lengths.
            groups: Group records by group number; provide completion rates.
        """
        self._clock = clock
        self._timers = timers
        self._send = send
        self._queue = queue
        self._groups = groups
        self._send_queues: dict[Pacing, deque[RouterRecord]] = {}

    def schedule(self, router: RouterRecord, delay: float) -> None:
        """Schedules an answer.

        Args:
            router: Recipient.
            delay: Seconds after which the answer is due at the latest, if the
                budget permits.
        """
        due = self._clock.monotonic() + delay
        if due >= router.flush_at:
            return
        if router.flush is not None:
            router.flush.cancel()
        router.flush_at = due
        router.flush = self._timers.call_later(
            delay, lambda: self._flush(router)
        )

    def cancel(self, router: RouterRecord) -> None:
        """Cancels the scheduled answer to a router."""
        if router.flush is not None:
            router.flush.cancel()
        queue = self._send_queues.get(router.pacing, deque())
        if router in queue:
            queue.remove(router)

    def forecast(self, group_number: int) -> float:
        """Returns the expected wait of a new entry in seconds, 0 if unknown."""
        group = self._groups.get(group_number)
        if group is None:
            return 0.0
        rate = group.rate.per_second(self._clock.monotonic())
        waiting = self._queue.waiting(group_number)
        return waiting / rate if rate else 0.0

    def _flush(self, router: RouterRecord) -> None:
        router.flush = None
        # Keeps schedule() from starting a timer until this answer is sent.
        router.flush_at = float("-inf")
        queue = self._send_queues.setdefault(router.pacing, deque())
        queue.append(router)
        if len(queue) == 1:
            self._drain(router.pacing)

    def _drain(self, pacing: Pacing) -> None:
        """Sends queued answers of one budget in FIFO order while credit lasts.

        FIFO order prevents starvation: without it, some routers received no
        answer for a second and considered the scheduler lost.
        """
        queue = self._send_queues[pacing]
        while queue:
            delay = pacing.delay(self._clock.monotonic())
            if delay > 0:
                self._timers.call_later(delay, lambda: self._drain(pacing))
                return
            self._send_answer(queue.popleft())

    def _send_answer(self, router: RouterRecord) -> None:
        router.flush_at = float("inf")
        now = self._clock.monotonic()
        # A router reuses slots only for workspaces with recent grants, so it
        # needs only the floors of the groups of those grants.
        granted = {record.entry.group for record in router.granted}
        statuses = [
            self._status(group)
            for number in sorted(router.groups)
            if (group := self._groups.get(number)) is not None
            and (number in granted or not group.allows_reuse)
        ]
        grants = [self._grant(record) for record in router.granted]
        message = Grants(router.echo_ms, grants, router.refused, statuses)
        router.granted, router.refused = [], []
        router.groups = {each.group for each in router.entries.values()} | {
            each.entry.group for each in router.grants.values()
        }
        router.pacing.spend(message_size(message, ANSWER_HEADER_BYTES), now)
        self._send(router.name, message)

    def _grant(self, record: GrantRecord) -> Grant:
        # The lag is computed on sending, so that it is consistent with the
        # floor in the same message.
        entry = record.entry
        lag = self._queue.lag(entry.workspace, entry.group)
        target = record.target
        return Grant(
            entry.request,
            record.number,
            target.number if target is not None else 0,
            record.charged,
            round(lag * VIRTUAL_SCALE),
        )

    def _status(self, group: GroupRecord) -> GroupStatus:
        floor = REUSE_FORBIDDEN
        if group.allows_reuse:
            floor = max(
                round(self._queue.floor(group.number) * VIRTUAL_SCALE), 0
            )
        forecast = round(self.forecast(group.number) * 1000)
        return GroupStatus(group.number, floor, forecast)

"""Messages of a domain scheduler, batched for each router."""

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

# Lags and floors travel as integers in thousandths, because the cost of a
# request divided by a large weight may be far below 1.
VIRTUAL_SCALE = 1000
# Floor of a group whose slots must not be reused: one of its targets is
# drained, leaves or is above its limit.
REUSE_FORBIDDEN = -1

RouterMessage = Grants | RegistrationRequest


class AnswerSender:
    """Sends what has gathered for a router when its budget allows."""

    def __init__(
        self,
        clock: Clock,
        timers: TimerService,
        send: Callable[[str, RouterMessage], None],
        queue: FairQueue,
        groups: Mapping[int, GroupRecord],
    ) -> None:
        """Stores what answers are made of.

        Args:
            clock: Monotonic time.
            timers: Runs delayed answers.
            send: Sends a message to a router by name.
            queue: Source of floors.
            groups: Source of forecasts.
        """
        self._clock = clock
        self._timers = timers
        self._send = send
        self._queue = queue
        self._groups = groups
        self._queues: dict[Pacing, deque[RouterRecord]] = {}

    def schedule(self, router: RouterRecord, delay: float) -> None:
        """Sends an answer after at most a delay in seconds."""
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
        """Drops what has gathered for a router."""
        if router.flush is not None:
            router.flush.cancel()
        queue = self._queues.get(router.pacing, deque())
        if router in queue:
            queue.remove(router)

    def forecast(self, group_number: int) -> float:
        """Returns the wait of a new entry in seconds, 0 if unknown."""
        group = self._groups.get(group_number)
        if group is None:
            return 0.0
        rate = group.rate.per_second(self._clock.monotonic())
        waiting = self._queue.waiting(group_number)
        return waiting / rate if rate else 0.0

    def _flush(self, router: RouterRecord) -> None:
        router.flush = None
        # Nothing earlier can be scheduled.
        router.flush_at = float("-inf")
        queue = self._queues.setdefault(router.pacing, deque())
        queue.append(router)
        if len(queue) == 1:
            self._drain(router.pacing)

    def _drain(self, pacing: Pacing) -> None:
        """Sends to routers with one budget in turn while there is credit.

        Without an order some routers got no answer for a second and took the
        scheduler for lost.
        """
        queue = self._queues[pacing]
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
        # needs the floors of their groups only.
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
        # The lag is taken now, so that it relates to the floor that is sent
        # in the same message.
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

"""Decides which router schedules a region and connects this router to it."""

import logging
from collections.abc import Callable, Collection
from functools import singledispatchmethod

from crowwinch.configuration import Snapshot
from crowwinch.coordination import Clock, Subscription, TimerService, owner
from crowwinch.errors import RetryReason
from crowwinch.generated.peer_messages import (
    Demand,
    Grants,
    Registration,
    RegistrationRequest,
)
from crowwinch.scheduling._dispatcher import RouterDispatcher
from crowwinch.scheduling._domain_scheduler import DomainScheduler
from crowwinch.scheduling._pacing import (
    ANSWER_SHARE,
    DEMAND_SHARE,
    Pacing,
    UnlimitedPacing,
)
from crowwinch.scheduling._target_limits import TargetReport

_LOGGER = logging.getLogger(__name__)

SchedulingMessage = Demand | Grants | Registration | RegistrationRequest

SCHEDULER_TIMEOUT_S = 1.0
# A router that found its scheduler silent keeps to the next one for this long,
# even if the membership view calls the first one alive again at once.
SUSPICION_S = 2.0
# Registration with this echo withdraws the sender from a scheduler.
WITHDRAWN_ECHO = 0
_CHECK_PERIOD_S = 0.25
# A check that comes this late means that this process was paused; the
# scheduler is not to blame for the silence.
_PAUSE_S = 0.75
# Several messages that reach a restarted scheduler cause as many requests to
# register; one registration answers them all.
_REGISTRATION_PAUSE_S = 0.5


class SchedulingService:
    """Runs the scheduler of the region if it is this router's turn."""

    def __init__(
        self,
        clock: Clock,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        name: str,
        incarnation: int,
        region: str,
        send: Callable[[str, SchedulingMessage], None],
        alive: Callable[[], Collection[str]],
        listed: Callable[[], Collection[str]],
        suspect: Callable[[str], None] = lambda name: None,
        pacing: Callable[[Callable[[], float]], Pacing] = (
            lambda share: UnlimitedPacing()
        ),
        max_waiting: int = 10_000,
        on_retry: Callable[[RetryReason], None] = lambda reason: None,
        request_reports: Callable[[], None] | None = None,
    ) -> None:
        """Creates a service; nothing runs until `start`.

        Args:
            clock: Monotonic and Unix time.
            timers: Runs periodic checks and delayed messages.
            snapshot: Returns the active configuration.
            name: Name of this router.
            incarnation: Start time of this router in milliseconds.
            region: Region of this router.
            send: Sends a message to another router over its reliable link.
            alive: Returns the members that are alive and not suspect.
            listed: Returns the routers of the region in the VM list that have
                not announced that they left.
            suspect: Marks a member suspect.
            pacing: Creates a budget of control bytes from a callable that
                returns it as a multiple of the budget of one router.
            max_waiting: Most waiting requests at this router.
            on_retry: Is told the reason of each repeated ask.
            request_reports: Called when a scheduler starts here, which then
                awaits a target's report before new grants on it, and when it
                loses a router. Without it, the scheduler uses its share at
                once.
        """
        self._clock = clock
        self._timers = timers
        self._snapshot = snapshot
        self._name = name
        self._incarnation = incarnation
        self._region = region
        self._send = send
        self._alive = alive
        self._listed = listed
        self._suspect = suspect
        self._request_reports = request_reports
        self._leases = 0
        self._leaving = False
        self._current: str | None = None
        self._known_lease = 0
        self._registered_at = 0.0
        self._suspected: dict[str, float] = {}
        self._scheduler: DomainScheduler | None = None
        self._check: Subscription | None = None
        self._checked_at = 0.0
        self._remote_pacing = pacing(lambda: DEMAND_SHARE)
        self._answer_pacing = pacing(self._answer_share)
        self._dispatcher = RouterDispatcher(
            clock,
            timers,
            snapshot,
            self._send_demand,
            _ClientPacing(self),
            max_waiting=max_waiting,
            on_retry=on_retry,
        )

    @property
    def dispatcher(self) -> RouterDispatcher:
        """The dispatcher that gives out slots at this router."""
        return self._dispatcher

    @property
    def scheduler(self) -> DomainScheduler | None:
        """The scheduler that runs here, or None."""
        return self._scheduler

    @property
    def scheduler_name(self) -> str | None:
        """Name of the router that schedules for this router."""
        return self._current

    @property
    def remote_pacing(self) -> Pacing | None:
        """Budget of messages to the scheduler, None if it runs here."""
        return None if self._current == self._name else self._remote_pacing

    def start(self) -> None:
        """Connects to the scheduler of the region."""
        self._checked_at = self._clock.monotonic()
        self._check = self._timers.call_every(
            _CHECK_PERIOD_S, self._check_scheduler
        )
        self.membership_changed()

    def stop(self) -> None:
        """Stops all timers."""
        if self._check is not None:
            self._check.cancel()
        self._dispatcher.close()
        if self._scheduler is not None:
            self._scheduler.close()
            self._scheduler = None

    def leave(self) -> None:
        """Hands the scheduler over; requests in flight keep their slots."""
        self._leaving = True
        self.membership_changed()

    def membership_changed(self) -> None:
        """Applies a change of the membership view."""
        alive = {*self._alive(), self._name}
        if self._scheduler is not None:
            for router in self._scheduler.routers:
                if router not in alive:
                    self._remove_router(router)
        self._place(alive)
        self._close_unused()

    def peer_restarted(self, peer: str) -> None:
        """Forgets the earlier life of a router; the link to it is new.

        Messages that it had not acknowledged are lost, so a scheduler on that
        router needs a new registration.
        """
        self._remove_router(peer)
        if peer == self._current:
            self._register(peer, 0)

    def report_target(self, report: TargetReport) -> None:
        """Passes a target's report to the scheduler if it runs here."""
        if self._scheduler is not None:
            self._scheduler.report_target(report)

    @singledispatchmethod
    def receive(self, message: SchedulingMessage, peer: str) -> None:
        """Applies a message of another router.

        Raises:
            TypeError: If the message does not concern scheduling.
        """
        raise TypeError(f"{type(message).__name__} from {peer}")

    @receive.register
    def _(self, message: Demand, peer: str) -> None:
        if self._scheduler is None:
            self._send(peer, RegistrationRequest(self._new_lease()))
        else:
            self._scheduler.receive_demand(peer, message)

    @receive.register
    def _(self, message: Registration, peer: str) -> None:
        if message.echo_ms != WITHDRAWN_ECHO:
            self._run_scheduler().register(peer, message)
        else:
            self._remove_router(peer)
            self._close_unused()

    @receive.register
    def _(self, message: Grants, peer: str) -> None:
        if peer == self._current:
            self._dispatcher.receive_grants(message)

    @receive.register
    def _(self, message: RegistrationRequest, peer: str) -> None:
        recent = self._clock.monotonic() - self._registered_at
        repeated = message.epoch == self._known_lease
        if peer == self._current and not (
            repeated and recent < _REGISTRATION_PAUSE_S
        ):
            self._register(peer, message.epoch)

    def _place(self, alive: Collection[str]) -> None:
        now = self._clock.monotonic()
        self._suspected = {
            name: until
            for name, until in self._suspected.items()
            if until > now
        }
        members = {name for name in alive if name not in self._suspected}
        if self._leaving and members != {self._name}:
            members.discard(self._name)
        chosen = owner("domain:" + self._region, members) or self._name
        if chosen == self._current:
            return
        previous, self._current = self._current, chosen
        _LOGGER.info(
            "scheduler changed", extra={"scheduler": chosen, "was": previous}
        )
        if previous == self._name:
            self._remove_router(self._name)
        elif previous is not None:
            self._send(previous, Registration(WITHDRAWN_ECHO, [], [], []))
        self._register(chosen, 0)

    def _register(self, scheduler: str, lease: int) -> None:
        self._known_lease = lease
        self._registered_at = self._clock.monotonic()
        message = self._dispatcher.connect(scheduler, lease)
        if scheduler == self._name:
            self._run_scheduler().register(self._name, message)
        else:
            self._send(scheduler, message)

    def _run_scheduler(self) -> DomainScheduler:
        if self._scheduler is None:
            self._scheduler = DomainScheduler(
                self._clock,
                self._timers,
                self._snapshot,
                self._send_to_router,
                lease=self._new_lease(),
                listed=lambda: len({*self._listed(), self._name}),
                pacing=self._pacing_for,
                region=self._region,
                awaits_reports=self._request_reports is not None,
            )
            if self._request_reports is not None:
                self._request_reports()
        return self._scheduler

    def _remove_router(self, router: str) -> None:
        scheduler = self._scheduler
        if scheduler is None or router not in scheduler.routers:
            return
        scheduler.remove_router(router)
        if self._request_reports is not None:
            # Slots of its grants return only when a report shows them free.
            self._request_reports()

    def _close_unused(self) -> None:
        scheduler = self._scheduler
        if (
            scheduler is not None
            and self._current != self._name
            and not scheduler.routers
        ):
            scheduler.close()
            self._scheduler = None

    def _new_lease(self) -> int:
        """Returns a number above those of earlier lives and schedulers."""
        self._leases += 1
        return self._incarnation * 1000 + self._leases

    def _answer_share(self) -> float:
        routers = self._scheduler.routers if self._scheduler else ()
        others = len(routers) - (self._name in routers)
        return ANSWER_SHARE * max(others, 1)

    def _pacing_for(self, router: str) -> Pacing:
        return (
            UnlimitedPacing() if router == self._name else self._answer_pacing
        )

    def _send_demand(self, message: Demand) -> None:
        if self._current != self._name:
            self._send(self._current, message)
        elif self._scheduler is not None:
            self._scheduler.receive_demand(self._name, message)

    def _send_to_router(
        self, router: str, message: Grants | RegistrationRequest
    ) -> None:
        if router != self._name:
            self._send(router, message)
        else:
            self.receive(message, router)

    def _check_scheduler(self) -> None:
        now = self._clock.monotonic()
        late = now - self._checked_at > _PAUSE_S
        self._checked_at = now
        if late:
            self._dispatcher.excuse_silence()
            return
        current = self._current
        silent = self._dispatcher.silent_for() >= SCHEDULER_TIMEOUT_S
        if silent and current not in (None, self._name):
            _LOGGER.warning("scheduler is silent", extra={"member": current})
            self._suspected[current] = now + SUSPICION_S
            self._suspect(current)
            self.membership_changed()
        elif any(until <= now for until in self._suspected.values()):
            self.membership_changed()


class _ClientPacing:
    """Budget that applies only while the scheduler is another router."""

    def __init__(self, service: SchedulingService) -> None:
        self._service = service

    def delay(self, now: float) -> float:
        pacing = self._service.remote_pacing
        return pacing.delay(now) if pacing is not None else 0.0

    def spend(self, size: int, now: float) -> None:
        pacing = self._service.remote_pacing
        if pacing is not None:
            pacing.spend(size, now)

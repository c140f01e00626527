"""Selection of a region's scheduler and connection to it."""

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
# Time for which a router does not select a scheduler that timed out, even if
# the membership view reports it alive again immediately.
SUSPECT_DURATION_S = 2.0
# A registration with this time stamp unregisters its sender.
UNREGISTER_ECHO_MS = 0
_CHECK_PERIOD_S = 0.25
# A longer interval between checks means that this process was paused, so
# missing answers do not indicate a failed scheduler.
_MAX_CHECK_INTERVAL_S = 0.75
# A restarted scheduler requests a registration for each message that it
# receives. Repeated requests within this time are ignored, because one
# registration answers all of them.
_MIN_REGISTRATION_INTERVAL_S = 0.5


class SchedulingService:
    """Connects to the region's scheduler and runs it if selected.

    Each router selects the scheduler from its view of the live members.
    """

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
        """Creates a service that is inactive until `start`.

        Args:
            clock: Monotonic and Unix time.
            timers: Runs periodic checks and delayed messages.
            snapshot: Returns the active configuration.
            name: Name of this router.
            incarnation: Start time of this router's process in milliseconds.
            region: Region of this router.
            send: Sends a message to another router over a reliable link.
            alive: Returns the members that are alive and not suspect.
            listed: Returns the routers of the region in the VM list that have
                not announced that they left.
            suspect: Marks a member as suspect.
            pacing: Creates a byte budget of control messages. Its argument
                returns the size as a multiple of the budget of one router.
            max_waiting: Maximum number of waiting requests at this router.
            on_retry: Called with the reason whenever a slot is requested again.
            request_reports: Requests load reports of targets. Called when a
                scheduler starts in this process and when it loses a router. If
                given, the scheduler makes new grants on a target only after its
                first report; otherwise it uses its share immediately.
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
        self._lease_count = 0
        self._leaving = False
        self._selected: str | None = None
        self._scheduler_lease = 0
        self._registered_at = 0.0
        self._suspected_until: dict[str, float] = {}
        self._scheduler: DomainScheduler | None = None
        self._check_timer: Subscription | None = None
        self._last_check_at = 0.0
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
        """Dispatcher that assigns slots at this router."""
        return self._dispatcher

    @property
    def scheduler(self) -> DomainScheduler | None:
        """Scheduler that runs in this process, or None."""
        return self._scheduler

    @property
    def scheduler_name(self) -> str | None:
        """Name of the router that runs this router's scheduler."""
        return self._selected

    @property
    def remote_pacing(self) -> Pacing | None:
        """Byte budget of messages to a remote scheduler, None if local."""
        return None if self._selected == self._name else self._remote_pacing

    def start(self) -> None:
        """Connects to the scheduler of the region."""
        self._last_check_at = self._clock.monotonic()
        self._check_timer = self._timers.call_every(
            _CHECK_PERIOD_S, self._check_scheduler
        )
        self.membership_changed()

    def stop(self) -> None:
        """Stops all timers."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._dispatcher.close()
        if self._scheduler is not None:
            self._scheduler.close()
            self._scheduler = None

    def leave(self) -> None:
        """Hands scheduling over to another router.

        Requests in flight keep their slots.
        """
        self._leaving = True
        self.membership_changed()

    def membership_changed(self) -> None:
        """Applies a change of the membership view."""
        alive = {*self._alive(), self._name}
        if self._scheduler is not None:
            for router in self._scheduler.routers:
                if router not in alive:
                    self._remove_router(router)
        self._select_scheduler(alive)
        self._close_unused_scheduler()

    def peer_restarted(self, peer: str) -> None:
        """Discards the state of a restarted router's previous incarnation.

        The link to it is new and unacknowledged messages are lost, so a
        scheduler on that router needs a new registration.
        """
        self._remove_router(peer)
        if peer == self._selected:
            self._register(peer, 0)

    def report_target(self, report: TargetReport) -> None:
        """Applies a load report if the scheduler runs in this process."""
        if self._scheduler is not None:
            self._scheduler.report_target(report)

    @singledispatchmethod
    def receive(self, message: SchedulingMessage, peer: str) -> None:
        """Handles a message of another router.

        Raises:
            TypeError: If the message is not a scheduling message.
        """
        raise TypeError(
            f"unexpected message type {type(message).__name__} from {peer}"
        )

    @receive.register
    def _(self, message: Demand, peer: str) -> None:
        if self._scheduler is None:
            self._send(peer, RegistrationRequest(self._new_lease()))
        else:
            self._scheduler.receive_demand(peer, message)

    @receive.register
    def _(self, message: Registration, peer: str) -> None:
        if message.echo_ms != UNREGISTER_ECHO_MS:
            self._run_scheduler().register(peer, message)
        else:
            self._remove_router(peer)
            self._close_unused_scheduler()

    @receive.register
    def _(self, message: Grants, peer: str) -> None:
        if peer == self._selected:
            self._dispatcher.receive_grants(message)

    @receive.register
    def _(self, message: RegistrationRequest, peer: str) -> None:
        elapsed_s = self._clock.monotonic() - self._registered_at
        is_repeated = message.epoch == self._scheduler_lease
        if peer == self._selected and not (
            is_repeated and elapsed_s < _MIN_REGISTRATION_INTERVAL_S
        ):
            self._register(peer, message.epoch)

    def _select_scheduler(self, alive: Collection[str]) -> None:
        now = self._clock.monotonic()
        self._suspected_until = {
            name: until
            for name, until in self._suspected_until.items()
            if until > now
        }
        members = {name for name in alive if name not in self._suspected_until}
        if self._leaving and members != {self._name}:
            members.discard(self._name)
        selected = owner("domain:" + self._region, members) or self._name
        if selected == self._selected:
            return
        previous, self._selected = self._selected, selected
        _LOGGER.info(
            "scheduler changed", extra={"scheduler": selected, "was": previous}
        )
        if previous == self._name:
            self._remove_router(self._name)
        elif previous is not None:
            self._send(previous, Registration(UNREGISTER_ECHO_MS, [], [], []))
        self._register(selected, 0)

    def _register(self, scheduler: str, lease: int) -> None:
        self._scheduler_lease = lease
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
            # Slots of its grants can be used again only after a report shows
            # that they are free.
            self._request_reports()

    def _close_unused_scheduler(self) -> None:
        scheduler = self._scheduler
        if (
            scheduler is not None
            and self._selected != self._name
            and not scheduler.routers
        ):
            scheduler.close()
            self._scheduler = None

    def _new_lease(self) -> int:
        """Returns a number above all earlier ones, also across restarts."""
        self._lease_count += 1
        return self._incarnation * 1000 + self._lease_count

    def _answer_share(self) -> float:
        routers = self._scheduler.routers if self._scheduler else ()
        others = len(routers) - (self._name in routers)
        return ANSWER_SHARE * max(others, 1)

    def _pacing_for(self, router: str) -> Pacing:
        return (
            UnlimitedPacing() if router == self._name else self._answer_pacing
        )

    def _send_demand(self, message: Demand) -> None:
        if self._selected != self._name:
            self._send(self._selected, message)
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
        was_paused = now - self._last_check_at > _MAX_CHECK_INTERVAL_S
        self._last_check_at = now
        if was_paused:
            self._dispatcher.restart_answer_timeout()
            return
        scheduler = self._selected
        timed_out = self._dispatcher.unanswered_s() >= SCHEDULER_TIMEOUT_S
        if timed_out and scheduler not in (None, self._name):
            _LOGGER.warning("scheduler timed out", extra={"member": scheduler})
            self._suspected_until[scheduler] = now + SUSPECT_DURATION_S
            self._suspect(scheduler)
            self.membership_changed()
        elif any(until <= now for until in self._suspected_until.values()):
            self.membership_changed()


class _ClientPacing:
    """Byte budget that is unlimited while the scheduler is local."""

    def __init__(self, service: SchedulingService) -> None:
        self._service = service

    def delay(self, now: float) -> float:
        pacing = self._service.remote_pacing
        return pacing.delay(now) if pacing is not None else 0.0

    def spend(self, size: int, now: float) -> None:
        pacing = self._service.remote_pacing
        if pacing is not None:
            pacing.spend(size, now)

"""Connects the scheduling service to the fleet."""

from collections.abc import Callable

from crowwinch.app._links import LinkTable
from crowwinch.app._peer_service import PeerService
from crowwinch.configuration import Snapshot
from crowwinch.coordination import MemberState, TimerService, identifier
from crowwinch.errors import RetryReason
from crowwinch.generated.peer_messages import (
    Demand,
    Grants,
    Registration,
    RegistrationRequest,
)
from crowwinch.generated.settings import RouterSettings
from crowwinch.peers import PeerIdentity, TokenBucket
from crowwinch.scheduling import SchedulingMessage, SchedulingService
from crowwinch.scheduling import TargetReport as SchedulingReport
from crowwinch.targets import TargetMonitor, TargetReport

# Three seconds of the budget may be sent at once, so that a burst of requests
# after a quiet time waits for nothing.
BURST_S = 3.0
_WATCH_PERIOD_S = 0.25


class ControlBudget:
    """Token bucket of control bytes as the scheduling classes use it."""

    def __init__(
        self,
        monotonic: Callable[[], float],
        bytes_per_second: float,
        share: Callable[[], float],
    ) -> None:
        """Creates a full bucket.

        Args:
            monotonic: Returns seconds that never go back.
            bytes_per_second: Budget of one router.
            share: Returns this budget as a multiple of that of one router.
        """
        rate = bytes_per_second * share()
        self._bytes_per_second = bytes_per_second
        self._share = share
        self._bucket = TokenBucket(monotonic, rate, rate * BURST_S)

    def delay(self, now: float) -> float:
        """Returns seconds until there is credit, 0 if there is some."""
        del now
        rate = self._bytes_per_second * self._share()
        self._bucket.set_rate(rate, rate * BURST_S)
        return self._bucket.delay_s()

    def spend(self, size: int, now: float) -> None:
        """Takes the bytes of a message."""
        del now
        self._bucket.spend(size)


class FleetScheduling:
    """Places the scheduler of the region among the live routers."""

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        peers: PeerService,
        links: LinkTable,
        monitor: TargetMonitor,
        on_retry: Callable[[RetryReason], None],
    ) -> None:
        """Builds the service; nothing runs until `start`."""
        self._settings = settings
        self._timers = timers
        self._snapshot = snapshot
        self._peers = peers
        self._monitor = monitor
        self._watching: tuple[bool, str] = (False, "")
        self._service = SchedulingService(
            timers.clock,
            timers,
            snapshot,
            settings.name,
            peers.life,
            settings.region,
            links.send,
            alive=self._alive,
            listed=self._listed,
            suspect=peers.membership.mark_suspect,
            pacing=self._new_budget,
            max_waiting=settings.max_waiting,
            on_retry=on_retry,
            request_reports=self._restart_polls,
        )
        for kind in (Demand, Grants, Registration, RegistrationRequest):
            peers.dispatcher.register(kind, self._receive)
        links.subscribe_restarts(self._service.peer_restarted)
        monitor.subscribe(self._report)

    @property
    def service(self) -> SchedulingService:
        """The scheduling service of this router."""
        return self._service

    async def start(self) -> None:
        """Connects to the scheduler of the region."""
        self._service.start()
        self._peers.membership.subscribe(
            lambda *_: self._service.membership_changed()
        )
        self._peers.subscribe_vm_list(
            lambda _: self._service.membership_changed()
        )
        self._timers.call_every(_WATCH_PERIOD_S, self._watch_targets)

    async def stop(self) -> None:
        """Stops scheduling."""
        self._service.stop()
        self._monitor.stop()

    def _new_budget(self, share: Callable[[], float]) -> ControlBudget:
        return ControlBudget(
            self._timers.clock.monotonic,
            self._settings.control_bytes_per_second,
            share,
        )

    def _alive(self) -> set[str]:
        return self._peers.alive_in_region(self._settings.region)

    def _listed(self) -> set[str]:
        left = {
            name
            for name, entry in self._peers.membership.members().items()
            if entry.state is MemberState.LEFT
        }
        return self._peers.routers_in_region(self._settings.region) - left

    def _receive(
        self, sender: PeerIdentity, message: SchedulingMessage
    ) -> None:
        self._service.receive(message, sender.name)

    def _restart_polls(self) -> None:
        """Polls all targets at once for a scheduler that has just started."""
        self._monitor.stop()
        self._watching = (False, "")
        self._watch_targets()

    def _watch_targets(self) -> None:
        """Polls the region's targets, only while the scheduler runs here."""
        snapshot = self._snapshot()
        watching = (self._service.scheduler is not None, snapshot.digest)
        if watching == self._watching:
            return
        self._watching = watching
        targets = {}
        if watching[0]:
            targets = {
                identifier(target.name): target.url
                for group in snapshot.groups.values()
                if group.region == self._settings.region
                for target in group.targets
            }
        self._monitor.watch(targets)

    def _report(self, report: TargetReport) -> None:
        self._service.report_target(
            SchedulingReport(
                report.target,
                report.incarnation,
                report.running,
                report.waiting,
                report.leaving or not report.is_reachable,
                report.time_to_first_token_s,
                report.age,
            )
        )

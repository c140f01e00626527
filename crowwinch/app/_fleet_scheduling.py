"""Connects the scheduling service to the fleet."""

from collections.abc import Callable

from crowwinch.app._fleet_polling import FleetPolling, is_bare
from crowwinch.app._links import LinkTable
from crowwinch.app._peer_service import PeerService
from crowwinch.configuration import Snapshot
from crowwinch.coordination import MemberState, TimerService
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

# Five seconds of the budget may be sent at once, so that a burst of requests
# after a quiet time waits for nothing.
BURST_S = 5.0


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
        self._peers = peers
        self._links = links
        self._listed_routers: set[str] | None = None
        # First, so that every other listener sees the new list.
        peers.membership.subscribe(lambda _: self._forget_listed())
        peers.subscribe_vm_list(lambda _: self._forget_listed())
        self._service = SchedulingService(
            timers.clock,
            timers,
            snapshot,
            settings.name,
            peers.life,
            settings.region,
            self._send,
            alive=self._alive,
            listed=self._listed,
            suspect=peers.membership.mark_suspect,
            pacing=self._new_budget,
            max_waiting=settings.max_waiting,
            on_retry=on_retry,
            request_reports=lambda: self._polling.restart(),
        )
        self._polling = FleetPolling(
            settings,
            timers,
            snapshot,
            peers,
            monitor,
            lambda: self._service.scheduler_name,
            lambda: self._service.scheduler is not None,
            self._report,
        )
        for kind in (Demand, Grants, Registration, RegistrationRequest):
            peers.dispatcher.register(kind, self._receive)
        links.subscribe_restarts(self._service.peer_restarted)

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
        await self._polling.start()

    async def stop(self) -> None:
        """Stops scheduling."""
        self._service.stop()
        await self._polling.stop()

    def _new_budget(self, share: Callable[[], float]) -> ControlBudget:
        return ControlBudget(
            self._timers.clock.monotonic,
            self._settings.control_bytes_per_second,
            share,
        )

    def _alive(self) -> set[str]:
        return self._peers.alive_in_region(self._settings.region)

    def _listed(self) -> set[str]:
        """Returns the region's routers; asked for with each report."""
        if self._listed_routers is None:
            left = {
                name
                for name, entry in self._peers.membership.members().items()
                if entry.state is MemberState.LEFT
            }
            region = self._settings.region
            self._listed_routers = self._peers.routers_in_region(region) - left
        return self._listed_routers

    def _forget_listed(self) -> None:
        self._listed_routers = None

    def _send(self, peer: str, message: SchedulingMessage) -> None:
        if isinstance(message, Demand):
            message = self._polling.attach(peer, message)
        self._links.send(peer, message)

    def _receive(
        self, sender: PeerIdentity, message: SchedulingMessage
    ) -> None:
        if isinstance(message, Demand):
            self._polling.receive(sender, message)
            if is_bare(message):
                return
        self._service.receive(message, sender.name)

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

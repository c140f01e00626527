"""Divides the polls of a region's targets over its routers."""

from collections.abc import Callable

import msgspec

from crowwinch.app._peer_service import PeerService
from crowwinch.configuration import Snapshot
from crowwinch.coordination import Subscription, TimerService, identifier, owner
from crowwinch.generated.peer_messages import Demand
from crowwinch.generated.settings import RouterSettings
from crowwinch.peers import PeerIdentity
from crowwinch.targets import (
    SharedReports,
    TargetMonitor,
    TargetReport,
    encode_reports,
)

_UPDATE_PERIOD_S = 0.25
# Reports wait this long for a message to the scheduler that leaves anyway.
_SEND_DELAY_S = 0.2


class FleetPolling:
    """Polls this router's part of the targets and what nobody reports."""

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        snapshot: Callable[[], Snapshot],
        peers: PeerService,
        monitor: TargetMonitor,
        scheduler: Callable[[], str | None],
        hosts_scheduler: Callable[[], bool],
        report: Callable[[TargetReport], None],
    ) -> None:
        """Builds the component; nothing is polled until `start`.

        Args:
            settings: Name and region of this router.
            timers: Timer service.
            snapshot: Returns the configuration in force.
            peers: Live members and messages to them.
            monitor: Polls targets.
            scheduler: Returns the router that schedules for this one.
            hosts_scheduler: Returns whether a scheduler runs here.
            report: Gets the reports for the scheduler that runs here.
        """
        self._name = settings.name
        self._region = settings.region
        self._timers = timers
        self._snapshot = snapshot
        self._peers = peers
        self._monitor = monitor
        self._scheduler = scheduler
        self._hosts_scheduler = hosts_scheduler
        self._report = report
        self._shared = SharedReports(timers.clock)
        self._members: frozenset[str] = frozenset()
        self._members_changed = True
        self._assigned_for: tuple[str, frozenset[str]] | None = None
        self._targets: dict[int, str] = {}
        self._mine: set[int] = set()
        self._pending: dict[int, tuple[TargetReport, float]] = {}
        self._unusable: set[int] = set()
        self._send_timer: Subscription | None = None
        monitor.subscribe(self._on_poll)
        peers.membership.subscribe(lambda _: self._on_members())
        peers.subscribe_vm_list(lambda _: self._on_members())

    async def start(self) -> None:
        """Starts to poll."""
        self._timers.call_every(_UPDATE_PERIOD_S, self.update)

    async def stop(self) -> None:
        """Ends all polls."""
        self._monitor.stop()

    def restart(self) -> None:
        """Polls all targets at once, for a new scheduler or after a loss."""
        self._monitor.stop()
        self._shared.reset()
        self.update()

    def update(self) -> None:
        """Applies changes of configuration, members and reports."""
        self._assign()
        hosts = self._hosts_scheduler()
        scheduler = self._scheduler()
        polled = set(self._mine) if hosts or scheduler else set()
        if hosts:
            polled |= self._shared.unreported(self._targets)
        self._monitor.watch(
            {
                target: url
                for target, url in self._targets.items()
                if target in polled
            }
        )

    def attach(self, peer: str, message: Demand) -> Demand:
        """Returns a message with the reports that wait, if any may go along."""
        # A message without content is a keep-alive, which has to be answered.
        may_attach = _has_content(message) and peer == self._scheduler()
        if not (self._pending and may_attach):
            return message
        return msgspec.structs.replace(message, loads=self._take())

    def receive(self, sender: PeerIdentity, message: Demand) -> None:
        """Takes the reports in a message of another router."""
        if not message.loads or not self._hosts_scheduler():
            return
        reports = self._shared.receive(
            sender.name, sender.life, message.echo_ms, message.loads
        )
        for report in reports:
            self._report(report)
        if self._shared.has_unreachable:
            self.update()

    def _assign(self) -> None:
        """Computes this router's part again if its basis changed."""
        snapshot = self._snapshot()
        if self._members_changed:
            self._members_changed = False
            self._members = frozenset(self._peers.alive_in_region(self._region))
        members = self._members
        if self._assigned_for == (snapshot.digest, members):
            return
        self._assigned_for = (snapshot.digest, members)
        self._shared.retain(members)
        self._targets.clear()
        self._mine.clear()
        for group in snapshot.groups.values():
            if group.region == self._region:
                for target in group.targets:
                    number = identifier(target.name)
                    self._targets[number] = target.url
                    # The live members include this router until it leaves.
                    if owner(f"poll:{target.name}", members) == self._name:
                        self._mine.add(number)

    def _on_members(self) -> None:
        self._members_changed = True

    def _on_poll(self, report: TargetReport) -> None:
        if self._hosts_scheduler() and self._shared.accept(report):
            self._report(report)
        if self._scheduler() in (None, self._name):
            return
        is_usable = report.is_reachable and not report.leaving
        has_changed = is_usable == (report.target in self._unusable)
        self._unusable ^= {report.target} if has_changed else set()
        now = self._timers.clock.monotonic()
        self._pending[report.target] = (report, now)
        if has_changed:
            self._send()
        elif self._send_timer is None:
            self._send_timer = self._timers.call_later(
                _SEND_DELAY_S, self._send
            )

    def _send(self) -> None:
        """Sends reports that no other message took along.

        They need no reliable link, since the next ones follow after a second.
        """
        scheduler = self._scheduler()
        if self._pending and scheduler not in (None, self._name):
            now_ms = int(self._timers.clock.monotonic() * 1e3)
            loads = self._take()
            message = Demand(now_ms, [], [], [], [], [], loads)
            self._peers.send(scheduler, message)

    def _take(self) -> list[int]:
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        now = self._timers.clock.monotonic()
        pending, self._pending = self._pending, {}
        return encode_reports(
            (report, now - since) for report, since in pending.values()
        )


def is_bare(message: Demand) -> bool:
    """Returns whether a message holds nothing but reports."""
    return bool(message.loads) and not _has_content(message)


def _has_content(message: Demand) -> bool:
    return bool(
        message.entries
        or message.withdrawn
        or message.overruns
        or message.completions
        or message.reused
    )

"""Shares what is known of requests that crash targets."""

import random

from crowwinch.app._links import LinkTable
from crowwinch.app._peer_service import PeerService
from crowwinch.coordination import Subscription, TimerService
from crowwinch.generated.peer_messages import (
    CrashPull,
    CrashReport,
    CrashReports,
)
from crowwinch.generated.settings import RouterSettings
from crowwinch.peers import PeerIdentity
from crowwinch.routing import CrashRegistry

_PULL_PERIOD_S = 0.25
_PEERS_ASKED = 4
# A router whose peers are all silent becomes ready without their reports.
_PULL_TIMEOUT_S = 3.0
# About 60 bytes each; the most recent ones fit in one message.
_MOST_REPORTS = 5000


class FleetCrashes:
    """Sends reports to all routers and asks for known ones at the start.

    A restarted router that waited for the others to notice it let a known
    request crash one more target.
    """

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        peers: PeerService,
        links: LinkTable,
    ) -> None:
        """Builds the registry and registers for its messages."""
        self._name = settings.name
        self._timers = timers
        self._peers = peers
        self._links = links
        self._is_current = False
        self._uninformed: set[str] = set()
        self._started_at = 0.0
        self._timer: Subscription | None = None
        self._registry = CrashRegistry(timers.clock, self._broadcast)
        register = peers.dispatcher.register
        register(
            CrashReport, lambda _, report: self._registry.on_report(report)
        )
        register(CrashPull, self._on_pull)
        register(CrashReports, self._on_reports)

    @property
    def registry(self) -> CrashRegistry:
        """Digests of suspect requests."""
        return self._registry

    @property
    def is_current(self) -> bool:
        """Whether a peer that knows has answered, or none can."""
        return self._is_current

    async def start(self) -> None:
        """Starts to ask peers."""
        self._started_at = self._timers.clock.monotonic()
        self._timer = self._timers.call_every(_PULL_PERIOD_S, self._pull)

    async def stop(self) -> None:
        """Ends the questions."""
        if self._timer is not None:
            self._timer.cancel()

    def _broadcast(self, report: CrashReport) -> None:
        for member in self._peers.membership.alive():
            if member != self._name:
                self._links.send(member, report)

    def _pull(self) -> None:
        waited = self._timers.clock.monotonic() - self._started_at
        others = sorted(set(self._peers.membership.alive()) - {self._name})
        # When a fleet starts at once, nobody knows a report.
        unasked = [each for each in others if each not in self._uninformed]
        nobody_knows = self._peers.vm_list is not None and not unasked
        if nobody_knows or waited >= _PULL_TIMEOUT_S:
            self._finish()
            return
        for peer in random.sample(unasked, min(len(unasked), _PEERS_ASKED)):
            self._peers.send(peer, CrashPull(self._peers.life))

    def _on_pull(self, sender: PeerIdentity, message: CrashPull) -> None:
        reports = list(self._registry.reports())[-_MOST_REPORTS:]
        self._peers.send(
            sender.name, CrashReports(message.epoch, self._is_current, reports)
        )

    def _on_reports(self, sender: PeerIdentity, message: CrashReports) -> None:
        if message.epoch != self._peers.life:
            return
        for report in message.reports:
            self._registry.on_report(report)
        if message.is_current:
            self._finish()
        else:
            self._uninformed.add(sender.name)

    def _finish(self) -> None:
        self._is_current = True
        if self._timer is not None:
            self._timer.cancel()

"""Shares what is known of requests that crash targets."""

from crowwinch.app._links import LinkTable
from crowwinch.app._peer_service import PeerService
from crowwinch.coordination import Clock, MemberChange, MemberState, owner
from crowwinch.generated.peer_messages import CrashReport
from crowwinch.generated.settings import RouterSettings
from crowwinch.routing import CrashRegistry


class FleetCrashes:
    """Sends reports to all routers, and known ones to a router that joins."""

    def __init__(
        self,
        settings: RouterSettings,
        clock: Clock,
        peers: PeerService,
        links: LinkTable,
    ) -> None:
        """Builds the registry and registers for reports."""
        self._name = settings.name
        self._peers = peers
        self._links = links
        self._registry = CrashRegistry(clock, self._broadcast)
        peers.dispatcher.register(
            CrashReport,
            lambda sender, report: self._registry.on_report(report),
        )
        peers.membership.subscribe(self._on_change)
        links.subscribe_restarts(self._introduce)

    @property
    def registry(self) -> CrashRegistry:
        """Digests of suspect requests."""
        return self._registry

    def _broadcast(self, report: CrashReport) -> None:
        for member in self._peers.membership.alive():
            if member != self._name:
                self._links.send(member, report)

    def _on_change(self, change: MemberChange) -> None:
        if (
            change.state is MemberState.ALIVE
            and change.previous is not MemberState.SUSPECT
        ):
            self._introduce(change.member)

    def _introduce(self, member: str) -> None:
        """Sends known reports to a member that may know none.

        One router per member does it, so that a restart of the fleet does not
        cause a number of messages that is quadratic in its size.
        """
        others = set(self._peers.membership.alive()) - {member}
        if member == self._name or owner(member, others) != self._name:
            return
        for report in self._registry.reports():
            self._links.send(member, report)

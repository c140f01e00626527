"""Connects the idempotency service to the fleet."""

import random

from crowwinch.app._links import LinkTable
from crowwinch.app._peer_service import PeerService
from crowwinch.coordination import MemberChange, MemberState, TimerService
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.settings import RouterSettings
from crowwinch.idempotency import (
    MESSAGE_KINDS,
    IdempotencyService,
    WitnessCandidate,
)
from crowwinch.peers import PeerIdentity


class FleetIdempotency:
    """Sends over reliable links and follows the membership view."""

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        peers: PeerService,
        links: LinkTable,
    ) -> None:
        """Builds the service and registers for its messages."""
        self._peers = peers
        self._name = settings.name
        self._service = IdempotencyService(
            settings.name,
            peers.life,
            settings.availability_zone,
            timers,
            links.send,
            self._candidates,
            random.Random(),
        )
        for kind in MESSAGE_KINDS:
            peers.dispatcher.register(kind, self._receive)
        peers.membership.subscribe(self._on_change)
        links.subscribe_restarts(self._service.router_lost)

    @property
    def service(self) -> IdempotencyService:
        """The idempotency service of this router."""
        return self._service

    def _candidates(self) -> list[WitnessCandidate]:
        membership = self._peers.membership
        return [
            WitnessCandidate(member, membership.life(member), zone)
            for member, zone in self._peers.alive_zones().items()
            if member != self._name
        ]

    def _receive(self, sender: PeerIdentity, message: MessageStruct) -> None:
        self._service.receive(message, sender.name)

    def _on_change(self, change: MemberChange) -> None:
        if change.state in (MemberState.DEAD, MemberState.LEFT):
            self._service.router_lost(change.member)

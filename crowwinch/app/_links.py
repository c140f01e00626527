"""Reliable links to the other routers."""

import logging
from collections.abc import Callable

from crowwinch.app._peer_messages import frame_from_wire, frame_to_wire
from crowwinch.app._peer_service import PeerService
from crowwinch.coordination import LinkFullError, ReliableLink, TimerService
from crowwinch.errors import PeerMessageError, RetryReason
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.documents import VirtualMachineList
from crowwinch.generated.peer_messages import LinkFrame
from crowwinch.observability import Metrics
from crowwinch.peers import PeerIdentity, decode, encode

_LOGGER = logging.getLogger(__name__)


class LinkTable:
    """One reliable link for each peer, opened on first use.

    Payloads are messages with their envelope; they are handed to the same
    dispatcher as messages that come without a link.
    """

    def __init__(
        self, timers: TimerService, peers: PeerService, metrics: Metrics
    ) -> None:
        """Registers for link frames."""
        self._timers = timers
        self._peers = peers
        self._metrics = metrics
        self._links: dict[str, ReliableLink] = {}
        self._listeners: list[Callable[[str], None]] = []
        peers.dispatcher.register(LinkFrame, self._on_frame)
        peers.subscribe_vm_list(self._forget_unlisted)

    def subscribe_restarts(self, listener: Callable[[str], None]) -> None:
        """Calls a listener with the name of a peer that restarted."""
        self._listeners.append(listener)

    def send(self, peer: str, message: MessageStruct) -> None:
        """Sends a message in order and exactly once in this life of the peer.

        A full link drops the message: its peer has not answered for long and
        will be treated as lost.
        """
        try:
            self._link(peer).send(encode(message))
        except LinkFullError:
            self._metrics.count("link_full")
            _LOGGER.warning("link is full", extra={"peer": peer})

    def stop(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _link(self, peer: str) -> ReliableLink:
        link = self._links.get(peer)
        if link is None:
            link = ReliableLink(
                self._peers.life,
                self._timers,
                lambda frame: self._peers.send(peer, frame_to_wire(frame)),
                lambda payload: self._deliver(peer, payload),
                on_reset=lambda epoch: self._on_reset(peer, epoch),
            )
            self._links[peer] = link
        return link

    def _on_frame(self, sender: PeerIdentity, message: LinkFrame) -> None:
        link = self._link(sender.name)
        before = link.retransmissions
        link.receive(
            frame_from_wire(message, sender.life, self._peers.life, link)
        )
        for _ in range(link.retransmissions - before):
            self._metrics.count_reason("retries", RetryReason.LINK_RETRANSMIT)

    def _deliver(self, peer: str, payload: bytes) -> None:
        try:
            message = decode(payload)
        except PeerMessageError as error:
            self._metrics.count_reason("peer_rejections", error.reason)
            return
        identity = PeerIdentity(peer, self._links[peer].peer_epoch)
        self._peers.dispatcher.dispatch(identity, message)

    def _on_reset(self, peer: str, epoch: int) -> None:
        _LOGGER.info("peer restarted", extra={"peer": peer, "epoch": epoch})
        for listener in self._listeners:
            listener(peer)

    def _forget_unlisted(self, vm_list: VirtualMachineList) -> None:
        listed = {machine.name for machine in vm_list.machines}
        for peer in list(self._links):
            if peer not in listed:
                self._links.pop(peer).close()

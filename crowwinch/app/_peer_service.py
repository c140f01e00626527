"""Membership and messages between routers as a component."""

import asyncio
import logging
import random
from collections.abc import Callable

from crowwinch.app._peer_messages import from_wire_updates, to_wire
from crowwinch.configuration import ServiceClient
from crowwinch.coordination import (
    Ack,
    Membership,
    MembershipMessage,
    MemberState,
    Ping,
    PingRequest,
    Subscription,
    TimerService,
)
from crowwinch.errors import PeerRejection, PlatformError
from crowwinch.generated import peer_messages as messages
from crowwinch.generated.bases import MessageStruct
from crowwinch.generated.documents import VirtualMachineList
from crowwinch.generated.settings import RouterSettings
from crowwinch.observability import Metrics
from crowwinch.peers import (
    CurveKeys,
    MessageDispatcher,
    PeerIdentity,
    PeerTransport,
    encode,
)

_LOGGER = logging.getLogger(__name__)
# 340 routers read the list 170 times a second, and a VM that starts to leave
# is known well within the 3 s after which it may receive no new work.
_VM_LIST_PERIOD_S = 2.0
# 64 bits of the digest tell two documents of one revision apart, and the full
# digest would be a third of the probe traffic.
_PROBE_DIGEST_CHARACTERS = 16
_IDLE_CHECK_PERIOD_S = 2.0
# Time for the sockets to send what was queued; they close without linger.
_FLUSH_S = 0.1
# Longest wait at the end for connections that are being opened, which a
# partition never finishes.
_FLUSH_LIMIT_S = 1.0


class PeerService:
    """Joins the fleet and carries messages of the other components."""

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        platform: ServiceClient,
        metrics: Metrics,
        version: Callable[[], tuple[int, str]],
    ) -> None:
        """Builds transport and membership.

        Args:
            settings: Name, address and keys of this router.
            timers: Drives probes and reads of the VM list.
            platform: Source of the VM list.
            metrics: Receives counters and gauges.
            version: Returns revision and digest of the configuration in force.
        """
        self._name = settings.name
        self._timers = timers
        self._platform = platform
        self._metrics = metrics
        self._version = version
        self._life = int(timers.clock.time() * 1000)
        self._dispatcher = MessageDispatcher(self._count_rejection)
        keys = None
        if settings.peer_public_key:
            keys = CurveKeys(settings.peer_public_key, settings.peer_secret_key)
        self._transport = PeerTransport(
            PeerIdentity(self._name, self._life),
            settings.peer_host,
            settings.peer_port,
            self._dispatcher.dispatch_raw,
            self._count_rejection,
            keys,
        )
        self._membership = Membership(
            self._name,
            self._life,
            timers,
            self._send_membership,
            random.Random(f"{self._name}/{self._life}"),
        )
        self._vm_list: VirtualMachineList | None = None
        self._vm_listeners: list[Callable[[VirtualMachineList], None]] = []
        self._version_listeners: list[Callable[[str, int, str], None]] = []
        self._subscriptions: list[Subscription] = []
        self._reading: asyncio.Task | None = None
        self._register()

    @property
    def life(self) -> int:
        """Start time of this process in milliseconds; the epoch of links."""
        return self._life

    @property
    def membership(self) -> Membership:
        """View of the fleet."""
        return self._membership

    @property
    def dispatcher(self) -> MessageDispatcher:
        """Where components register handlers of messages."""
        return self._dispatcher

    @property
    def vm_list(self) -> VirtualMachineList | None:
        """The VM list in force, None before the first read."""
        return self._vm_list

    def alive_zones(self) -> dict[str, str]:
        """Returns the availability zone of each live member by name."""
        if self._vm_list is None:
            return {}
        alive = set(self._membership.alive())
        return {
            machine.name: machine.availability_zone
            for machine in self._vm_list.machines
            if machine.name in alive
        }

    def listed_routers(self) -> int:
        """Returns the number of routers in the VM list, 0 without a list."""
        if self._vm_list is None:
            return 0
        return sum(each.role == "router" for each in self._vm_list.machines)

    def routers_in_region(self, region: str) -> set[str]:
        """Returns the routers of a region in the VM list."""
        if self._vm_list is None:
            return set()
        return {
            machine.name
            for machine in self._vm_list.machines
            if machine.role == "router" and machine.region in ("", region)
        }

    def alive_in_region(self, region: str) -> set[str]:
        """Returns the live routers of a region."""
        return self.routers_in_region(region) & set(self._membership.alive())

    def subscribe_vm_list(
        self, listener: Callable[[VirtualMachineList], None]
    ) -> None:
        """Calls a listener after each read of a list."""
        self._vm_listeners.append(listener)

    def subscribe_versions(
        self, listener: Callable[[str, int, str], None]
    ) -> None:
        """Calls a listener with what probes and answers carry.

        The listener gets the member, its revision and the first 16 characters
        of its digest, which order like the whole digests.
        """
        self._version_listeners.append(listener)

    async def start(self) -> None:
        """Listens, joins the fleet and starts to read the VM list."""
        await self._transport.start()
        self._membership.start()
        self._read_vm_list()
        self._subscriptions = [
            self._timers.call_every(_VM_LIST_PERIOD_S, self._read_vm_list),
            self._timers.call_every(
                _IDLE_CHECK_PERIOD_S, self._transport.close_idle
            ),
        ]

    async def stop(self) -> None:
        """Tells the others unless done, and closes all sockets."""
        self.leave()
        loop = asyncio.get_running_loop()
        end = loop.time() + _FLUSH_LIMIT_S
        await asyncio.sleep(_FLUSH_S)
        while self._transport.waiting and loop.time() < end:
            await asyncio.sleep(_FLUSH_S)
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._reading is not None:
            self._reading.cancel()
        self._membership.stop()
        await self._transport.stop()

    def leave(self) -> None:
        """Tells all members that this router stops; repeats do nothing."""
        if self._membership.has_left:
            return
        self._membership.leave()
        leaving = messages.Leaving(self._membership.incarnation)
        for member, entry in self._membership.members().items():
            if entry.state <= MemberState.SUSPECT:
                self.send(member, leaving)

    def send(self, peer: str, message: MessageStruct) -> bool:
        """Sends a message to a router without blocking.

        Returns:
            Whether it was queued; a dropped message is counted.

        Raises:
            PeerMessageError: If the message cannot be encoded.
        """
        return self._transport.send(peer, encode(message))

    def state(self) -> dict[str, object]:
        """Returns what `/v1/state` shows."""
        members = [
            {
                "name": name,
                "state": entry.state.name.lower(),
                "incarnation": entry.incarnation,
                "life": self._membership.life(name),
            }
            for name, entry in sorted(self._membership.members().items())
        ]
        return {
            "incarnation": self._membership.incarnation,
            "life": self._life,
            "alive": self._membership.alive(),
            "members": members,
            "vm_list_version": self._vm_list.version if self._vm_list else None,
        }

    def _register(self) -> None:
        self._dispatcher.register(messages.Ping, self._on_ping)
        self._dispatcher.register(messages.Ack, self._on_ack)
        self._dispatcher.register(messages.PingRequest, self._on_ping_request)
        self._dispatcher.register(messages.Leaving, self._on_leaving)
        transport, gauge = self._transport, self._metrics.gauge
        gauge("peer_sent_bytes", lambda: transport.sent_bytes)
        gauge("peer_received_bytes", lambda: transport.received_bytes)
        gauge("peer_handshake_bytes", lambda: transport.handshake_bytes)
        gauge("peer_dropped_messages", lambda: transport.dropped)
        gauge("peer_connections", lambda: transport.connections)
        gauge("peer_opened_connections", lambda: transport.opened_connections)
        gauge("peer_refused_connections", lambda: transport.refused_connections)
        gauge("members_alive", lambda: len(self._membership.alive()))

    def _send_membership(self, peer: str, message: MembershipMessage) -> None:
        revision, digest = self._version()
        digest = digest[:_PROBE_DIGEST_CHARACTERS]
        self.send(peer, to_wire(message, revision, digest))

    def _on_ping(self, sender: PeerIdentity, ping: messages.Ping) -> None:
        updates = from_wire_updates(ping.updates)
        self._membership.handle_ping(
            sender.name, Ping(ping.probe, ping.incarnation, updates)
        )
        self._notify_version(sender.name, ping.revision, ping.digest)

    def _on_ack(self, sender: PeerIdentity, ack: messages.Ack) -> None:
        updates = from_wire_updates(ack.updates)
        self._membership.handle_ack(
            sender.name,
            Ack(ack.probe, ack.subject, ack.incarnation, updates),
        )
        # A helper that passes an answer on puts its own version in.
        self._notify_version(sender.name, ack.revision, ack.digest)

    def _on_ping_request(
        self, sender: PeerIdentity, request: messages.PingRequest
    ) -> None:
        updates = from_wire_updates(request.updates)
        self._membership.handle_ping_request(
            sender.name, PingRequest(request.probe, request.subject, updates)
        )

    def _on_leaving(
        self, sender: PeerIdentity, leaving: messages.Leaving
    ) -> None:
        self._membership.handle_leaving(sender.name, leaving.incarnation)

    def _notify_version(self, member: str, revision: int, digest: str) -> None:
        for listener in self._version_listeners:
            listener(member, revision, digest)

    def _count_rejection(self, reason: PeerRejection) -> None:
        self._metrics.count_reason("peer_rejections", reason)

    def _read_vm_list(self) -> None:
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._refresh())

    async def _refresh(self) -> None:
        try:
            self._apply(await self._platform.vm_list())
        except PlatformError as error:
            self._metrics.count("vm_list_failures")
            _LOGGER.warning("VM list not read, the last one stays: %s", error)
        except Exception:
            _LOGGER.exception("VM list not applied")

    def _apply(self, vm_list: VirtualMachineList) -> None:
        known = self._vm_list
        addresses = {
            machine.name: machine.address
            for machine in vm_list.machines
            if machine.role == "router" and machine.address
        }
        # Replicas of the list lag; a list without routers is a fault, since
        # this router runs.
        if not addresses or (known and vm_list.version < known.version):
            self._metrics.count("vm_list_ignored")
            return
        self._vm_list = vm_list
        self._transport.set_peers(addresses)
        self._membership.set_listed(addresses)
        for listener in self._vm_listeners:
            listener(vm_list)

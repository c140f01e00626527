"""Connects the propagation of configurations to the fleet."""

from crowwinch.app._peer_service import PeerService
from crowwinch.configuration import (
    ConfigurationSpread,
    ConfigurationStore,
    EventClock,
    ServiceClient,
    Snapshot,
)
from crowwinch.coordination import TimerService
from crowwinch.generated.peer_messages import (
    ConfigurationAnnounce,
    ConfigurationPart,
    ConfigurationPull,
)
from crowwinch.generated.settings import RouterSettings
from crowwinch.observability import Metrics


class FleetConfiguration:
    """Propagates configurations and follows the membership view."""

    def __init__(
        self,
        settings: RouterSettings,
        timers: TimerService,
        store: ConfigurationStore,
        platform: ServiceClient,
        peers: PeerService,
        metrics: Metrics,
    ) -> None:
        """Builds the parts and registers for their messages."""
        self._peers = peers
        self._store = store
        self._in_force_since: float | None = None
        self._spread = ConfigurationSpread(
            settings.name,
            settings.availability_zone,
            timers,
            store,
            platform,
            peers.send,
            peers.alive_zones,
            peers.listed_routers,
            metrics.count,
        )
        self._events = EventClock(timers, lambda: store.snapshot)
        clock = timers.clock

        def on_change(_: Snapshot) -> None:
            self._in_force_since = clock.time()
            self._events.refresh()

        store.subscribe(on_change)
        self._register()

    @property
    def events(self) -> EventClock:
        """Tells when an event starts or ends."""
        return self._events

    def state(self) -> dict[str, object]:
        """Returns what `/v1/state` shows, with times as Unix seconds."""
        snapshot = self._store.snapshot
        return {
            "revision": snapshot.revision,
            "digest": snapshot.digest,
            "in_force_since": self._in_force_since,
            "active_events": len(self._events.active),
            "refused_documents": self._store.refused,
        }

    async def start(self) -> None:
        """Asks peers and watches the service if it is this router's turn."""
        self._events.start()
        self._spread.start()

    async def stop(self) -> None:
        """Ends all reads."""
        self._spread.stop()
        self._events.stop()

    def _register(self) -> None:
        spread, register = self._spread, self._peers.dispatcher.register
        register(
            ConfigurationAnnounce,
            lambda sender, message: spread.on_announce(sender.name, message),
        )
        register(
            ConfigurationPull,
            lambda sender, message: spread.on_pull(sender.name, message),
        )
        register(
            ConfigurationPart,
            lambda sender, message: spread.on_part(sender.name, message),
        )
        self._peers.subscribe_versions(spread.on_peer_revision)
        self._peers.membership.subscribe(
            lambda _: spread.on_membership_changed()
        )
        self._peers.subscribe_vm_list(lambda _: spread.on_membership_changed())

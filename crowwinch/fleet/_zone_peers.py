"""Peers that the balancer may choose instead of this router."""

from dataclasses import dataclass

from crowwinch.coordination import Clock
from crowwinch.generated.fleet_messages import FleetUpdate


@dataclass(slots=True)
class _Peer:
    heard_at: float
    takes_connections: bool


class ZonePeers:
    """Peers of this router's availability zone, as they were last heard.

    Load: a router that lacks processor time sends its callers away. They arrive
    at routers of the same zone only, and must not arrive where they are refused
    as well.
    """

    def __init__(self, clock: Clock, availability_zone: str) -> None:
        """Creates an instance without peers.

        Args:
            clock: Monotonic time.
            availability_zone: Availability zone of this router.
        """
        self._clock = clock
        self._zone = availability_zone
        self._peers: dict[str, _Peer] = {}

    def record(self, update: FleetUpdate) -> None:
        """Records what a peer says of itself.

        A router without a configuration is not ready.
        """
        if update.availability_zone != self._zone:
            self._peers.pop(update.control, None)
            return
        self._peers[update.control] = _Peer(
            self._clock.monotonic(),
            not update.is_leaving
            and not update.is_overloaded
            and update.version != 0,
        )

    def has_relief(self, max_age_s: float) -> bool:
        """Returns whether a peer has processor time for more connections.

        Args:
            max_age_s: Age in seconds from which what a peer said proves
                nothing.
        """
        oldest = self._clock.monotonic() - max_age_s
        return any(
            peer.takes_connections and peer.heard_at >= oldest
            for peer in self._peers.values()
        )

    def remove_silent(self, max_age_s: float) -> None:
        """Forgets peers that were not heard for some seconds."""
        oldest = self._clock.monotonic() - max_age_s
        for control in [
            control
            for control, peer in self._peers.items()
            if peer.heard_at < oldest
        ]:
            del self._peers[control]

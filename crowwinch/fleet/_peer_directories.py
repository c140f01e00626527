"""How current the directories are that the peers use."""

from collections.abc import Iterator
from dataclasses import dataclass

from crowwinch.coordination import Clock

# A peer that is not heard may be cut off and go on with its last directory. It
# is taken as gone after this time.
_RETENTION_S = 600.0
# The peers that were heard longest ago are forgotten first.
_MAX_PEERS = 2_000


@dataclass(slots=True)
class _Directory:
    """Directory of a peer, as of its last update.

    Attributes:
        synced_at: Monotonic time up to which it includes all changes.
        heard_at: Monotonic time of the update.
    """

    synced_at: float
    heard_at: float


class PeerDirectories:
    """Times up to which the directories of peers include all changes.

    A peer that is cut off from the store and from the others goes on with the
    targets that it knows. What it does with them is seen only later.
    """

    def __init__(self, clock: Clock) -> None:
        """Creates an instance without peers.

        Args:
            clock: Monotonic time.
        """
        self._clock = clock
        # By control address, the peer that was heard longest ago first.
        self._directories: dict[str, _Directory] = {}

    def replace(self, control: str, synced_at: float | None) -> float | None:
        """Records the directory that a peer reports.

        Args:
            control: Control address of the peer.
            synced_at: Monotonic time up to which it includes all changes, None
                without a directory.

        Returns:
            That time of the directory that the peer used before, None if it is
            not known.
        """
        previous = self._directories.pop(control, None)
        if synced_at is not None:
            self._directories[control] = _Directory(
                synced_at, self._clock.monotonic()
            )
        if len(self._directories) > _MAX_PEERS:
            del self._directories[next(iter(self._directories))]
        return None if previous is None else previous.synced_at

    def silent_since(self, silence_s: float) -> Iterator[float]:
        """Yields the times up to which silent peers' directories are complete.

        Args:
            silence_s: Seconds without an update after which a peer is silent.
        """
        now = self._clock.monotonic()
        self._forget(now - _RETENTION_S)
        for directory in self._directories.values():
            if directory.heard_at >= now - silence_s:
                return
            yield directory.synced_at

    def _forget(self, oldest: float) -> None:
        """Forgets the peers that were not heard since a time."""
        while self._directories:
            control, directory = next(iter(self._directories.items()))
            if directory.heard_at >= oldest:
                return
            del self._directories[control]

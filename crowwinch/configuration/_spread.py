"""Propagates the configuration between routers."""

import random
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from crowwinch.configuration._candidates import Candidate, CandidateSet
from crowwinch.configuration._snapshot import Snapshot
from crowwinch.configuration._store import (
    ConfigurationStore,
    Version,
    decompress,
)
from crowwinch.configuration._watcher import (
    ConfigurationReader,
    ServiceWatcher,
)
from crowwinch.coordination import Subscription, TimerService, rank
from crowwinch.errors import DocumentError
from crowwinch.generated.peer_messages import (
    ConfigurationAnnounce,
    ConfigurationPart,
    ConfigurationPull,
)

WATCHERS_PER_ZONE = 2
_MANIFEST = "manifest"
# Answers take a few round trips of at most 0.2 s between regions. What has not
# arrived after this time is asked for again, of another peer.
_RETRY_S = 0.5
# Without a configuration most peers that are asked hold few parts, so others
# are asked as soon as an answer from any region has had time to arrive.
_FIRST_PULL_RETRY_S = 0.25
# Peers answer in milliseconds; a router that starts gives them this long
# before it reads the service.
_PEER_WAIT_S = 1.0
# A router without a configuration does not rely on watchers for longer than
# this, because they may be cut off from the service.
_FALLBACK_S = 5.0
_PEERS_ASKED_AT_START = 3
_PARTS_PER_ANSWER = 16
# A peer that has a part of a new version only answers with what it holds, so
# a pull names more parts than an answer carries.
_NAMES_PER_PULL = 128


class ConfigurationSpread:
    """Watches the service for a zone, announces and pulls revisions.

    The class opens no sockets. Its owner passes on messages, tells it about
    changes of the membership view and calls `start` inside the event loop.
    """

    def __init__(
        self,
        name: str,
        availability_zone: str,
        timers: TimerService,
        store: ConfigurationStore,
        reader: ConfigurationReader,
        send: Callable[[str, Any], None],
        alive: Callable[[], Mapping[str, str]],
        listed: Callable[[], int],
        count: Callable[[str], None] = lambda name: None,
        randomness: random.Random | None = None,
    ) -> None:
        """Stores the parts.

        Args:
            name: Name of this router.
            availability_zone: Zone of this router.
            timers: Timer service.
            store: Where complete documents go.
            reader: The configuration service.
            send: Sends a message to a peer; may lose it.
            alive: Returns the zone of each live member by name.
            listed: Returns the number of routers in the VM list.
            count: Adds one to the counter of a name.
            randomness: Source of jitter.
        """
        self._name = name
        self._zone = availability_zone
        self._timers = timers
        self._store = store
        self._send = send
        self._alive = alive
        self._count = count
        self._random = randomness or random.Random()
        self._candidates = CandidateSet(store, timers.clock, count)
        self._watcher = ServiceWatcher(
            timers,
            reader,
            self._candidates,
            self._may_read,
            self._random,
            listed,
        )
        self._heard: dict[str, Version] = {}
        self._asked: dict[Version, float] = {}
        self._members: Mapping[str, str] = {}
        self._watchers: frozenset[str] = frozenset()
        self._started_at = 0.0
        self._fallback_at = 0.0
        self._timer: Subscription | None = None
        store.subscribe(self._on_change)

    @property
    def is_watcher(self) -> bool:
        """Whether this router watches the service for its zone."""
        return self._name in self._watchers

    def start(self) -> None:
        """Asks peers, then starts to watch the service if it is its turn."""
        now = self._timers.clock.monotonic()
        self._started_at = now
        self._fallback_at = (
            now + _FALLBACK_S + self._random.uniform(0, _FALLBACK_S)
        )
        self._timer = self._timers.call_every(_FIRST_PULL_RETRY_S, self._tick)
        self.on_membership_changed()
        self._ask_any(_PEERS_ASKED_AT_START)

    def stop(self) -> None:
        """Ends all reads."""
        if self._timer is not None:
            self._timer.cancel()
        self._watcher.stop()

    def on_membership_changed(self) -> None:
        """Selects the watchers of each zone again."""
        self._members = {**self._alive(), self._name: self._zone}
        zones: dict[str, list[str]] = {}
        for member, zone in self._members.items():
            zones.setdefault(zone, []).append(member)
        self._watchers = frozenset(
            member
            for zone, members in zones.items()
            for member in rank(f"configuration/{zone}", members)[
                :WATCHERS_PER_ZONE
            ]
        )
        self._heard = {
            peer: version
            for peer, version in self._heard.items()
            if peer in self._members
        }
        self._watcher.wake()

    def on_peer_revision(self, peer: str, revision: int, digest: str) -> None:
        """Takes note of the version that a peer has in force."""
        version = (revision, digest)
        if revision <= 0:
            return
        self._heard[peer] = version
        self._store.note_version(version, peer)
        if not self._store.is_newer(version):
            return
        if self._candidates.is_refused(digest):
            return
        candidate = self._candidates.get(version)
        if candidate is None:
            self._pull_manifest(peer, version)
        else:
            candidate.holders.add(peer)

    def on_announce(self, peer: str, message: ConfigurationAnnounce) -> None:
        """Pulls an announced version if it is newer."""
        self.on_peer_revision(peer, message.revision, message.digest)

    def on_pull(self, peer: str, message: ConfigurationPull) -> None:
        """Sends the documents that are held of those asked for."""
        version = (message.revision, message.digest)
        candidate = self._candidates.get(version)
        if not message.names:
            self._send_manifest(peer, version, candidate)
            return
        sent = 0
        for name in message.names[:_NAMES_PER_PULL]:
            content = self._compressed(version, name, candidate)
            if content is not None:
                self._send(peer, ConfigurationPart(*version, name, content))
                sent += 1
            if sent == _PARTS_PER_ANSWER:
                return

    def on_part(self, peer: str, message: ConfigurationPart) -> None:
        """Adds a document that was pulled."""
        version = (message.revision, message.digest)
        try:
            document = decompress(message.content)
        except DocumentError:
            self._count("configuration_parts_mismatched")
            return
        if message.name == _MANIFEST:
            candidate = self._candidates.add_manifest(document, peer)
        else:
            self._candidates.add_part(
                version, message.name, document, peer, message.content
            )
            candidate = self._candidates.get(version)
        if candidate is not None:
            candidate.holders.add(peer)
            # A full answer means that the peer may hold more.
            if not candidate.requested or (
                candidate.answered >= _PARTS_PER_ANSWER
            ):
                self._pull_parts(peer, candidate)
        self._watcher.wake()

    def _may_read(self) -> bool:
        now = self._timers.clock.monotonic()
        if self._store.snapshot.revision:
            return self.is_watcher
        if len(self._members) > 1 and now < self._started_at + _PEER_WAIT_S:
            return False
        return self.is_watcher or now >= self._fallback_at

    def _tick(self) -> None:
        now = self._timers.clock.monotonic()
        candidates = self._candidates.incomplete()
        has_configuration = self._store.snapshot.revision > 0
        retry_s = _RETRY_S if has_configuration else _FIRST_PULL_RETRY_S
        for candidate in candidates:
            if now - candidate.asked_at >= retry_s:
                peer = self._pick(candidate.holders)
                if peer is not None:
                    self._pull_parts(peer, candidate)
        newer = [
            (version, peer)
            for peer, version in self._heard.items()
            if self._store.is_newer(version)
            and self._candidates.get(version) is None
            and not self._candidates.is_refused(version[1])
        ]
        if newer:
            version = max(newer)[0]
            holders = [peer for each, peer in newer if each == version]
            self._pull_manifest(self._random.choice(holders), version)
        elif not candidates and not has_configuration:
            peer = self._pick(set())
            if peer is not None:
                self._send(peer, ConfigurationPull(0, "", []))
        self._watcher.wake()

    def _pick(self, holders: set[str]) -> str | None:
        """Returns a holder, or any other member that may have some parts."""
        others = sorted(self._members.keys() - {self._name})
        known = [each for each in others if each in holders]
        # Half of the attempts go to any member: a holder that is alive may
        # have moved on to another version.
        if known and self._random.random() < 0.5:
            return self._random.choice(known)
        watchers = [each for each in others if each in self._watchers]
        if watchers and self._random.random() < 0.5:
            return self._random.choice(watchers)
        return self._random.choice(others) if others else None

    def _ask_any(self, number: int) -> None:
        others = sorted(self._members.keys() - {self._name})
        for peer in self._random.sample(others, min(number, len(others))):
            self._send(peer, ConfigurationPull(0, "", []))

    def _pull_manifest(self, peer: str, version: Version) -> None:
        now = self._timers.clock.monotonic()
        if now - self._asked.get(version, -_RETRY_S) < _RETRY_S:
            return
        self._asked = {
            each: when
            for each, when in self._asked.items()
            if now - when < _RETRY_S
        }
        self._asked[version] = now
        self._send(peer, ConfigurationPull(*version, []))

    def _pull_parts(self, peer: str, candidate: Candidate) -> None:
        names = candidate.missing()
        self._random.shuffle(names)
        names = names[:_NAMES_PER_PULL]
        candidate.requested = set(names)
        candidate.answered = 0
        candidate.asked_at = self._timers.clock.monotonic()
        self._send(peer, ConfigurationPull(*candidate.version, names))

    def _send_manifest(
        self, peer: str, version: Version, candidate: Candidate | None
    ) -> None:
        if candidate is None and not self._store.manifest:
            staged = self._candidates.incomplete()
            candidate = staged[0] if staged else None
        if candidate is not None:
            answer, document = candidate.version, candidate.manifest
        else:
            answer, document = self._store.version, self._store.manifest
        if document and answer >= version:
            content = zlib.compress(document)
            self._send(peer, ConfigurationPart(*answer, _MANIFEST, content))

    def _compressed(
        self, version: Version, name: str, candidate: Candidate | None
    ) -> bytes | None:
        if candidate is not None and name in candidate.parts:
            return candidate.parts[name]
        if version == self._store.version:
            return self._store.compressed_by_name(name)
        return None

    def _on_change(self, snapshot: Snapshot) -> None:
        version = (snapshot.revision, snapshot.digest)
        if self.is_watcher:
            for member, zone in self._members.items():
                if member == self._name:
                    continue
                if self._heard.get(member, (0, "")) >= version:
                    continue
                if zone == self._zone or member in self._watchers:
                    self._send(member, ConfigurationAnnounce(*version))
        self._watcher.wake()

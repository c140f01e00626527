"""Documents that are on their way to the configuration store."""

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from crowwinch.configuration._loader import digest_of, parse_manifest
from crowwinch.configuration._store import (
    PROBED_DIGEST_LENGTH,
    ConfigurationStore,
    Version,
)
from crowwinch.coordination import Clock
from crowwinch.errors import DocumentError

# A revision whose parts nobody can supply must not keep others out.
_MAX_CANDIDATES = 4
_MAX_REFUSED = 64


@dataclass(slots=True)
class Candidate:
    """A manifest whose parts are being collected.

    Attributes:
        digests: Digest of each part by name.
        parts: Parts that arrived, compressed, by name.
        holders: Peers that announced the version.
        requested: Parts asked for and not yet received.
        answered: Parts that peers sent since the last pull.
        progress_at: Monotonic time of the last arrival.
        asked_at: Monotonic time of the last pull.
    """

    version: Version
    manifest: bytes
    digests: dict[str, str]
    progress_at: float
    asked_at: float = 0.0
    parts: dict[str, bytes] = field(default_factory=dict)
    holders: set[str] = field(default_factory=set)
    requested: set[str] = field(default_factory=set)
    answered: int = 0

    def missing(self) -> list[str]:
        """Returns names of parts that have not arrived."""
        return [name for name in self.digests if name not in self.parts]


class CandidateSet:
    """Collects documents and offers complete ones to the store."""

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Clock,
        count: Callable[[str], None],
    ) -> None:
        """Creates an empty set."""
        self._store = store
        self._clock = clock
        self._count = count
        self._candidates: dict[Version, Candidate] = {}
        self._refused: dict[str, None] = {}

    def incomplete(self) -> list[Candidate]:
        """Returns the candidates that may come into force, newest first."""
        for version in list(self._candidates):
            if not self._store.is_newer(version):
                del self._candidates[version]
        return [
            self._candidates[version]
            for version in sorted(self._candidates, reverse=True)
        ]

    def get(self, version: Version) -> Candidate | None:
        """Returns the candidate of a version."""
        return self._candidates.get(version)

    def is_refused(self, digest: str) -> bool:
        """Whether the manifest with this digest was refused.

        Args:
            digest: A digest, or the beginning of it that probes carry.
        """
        return digest[:PROBED_DIGEST_LENGTH] in self._refused

    def add_manifest(self, document: bytes, source: str) -> Candidate | None:
        """Starts to collect the parts of a manifest.

        Returns:
            The candidate, or None if it cannot come into force or already did.
        """
        digest = digest_of(document)
        if self.is_refused(digest):
            return None
        try:
            manifest = parse_manifest(document)
        except DocumentError as error:
            self._refuse(digest)
            self._store.refuse(error, source)
            return None
        version = (manifest.revision, digest)
        self._store.note_version(version, source)
        if not self._store.is_newer(version):
            return None
        known = self._candidates.get(version)
        if known is not None:
            return known
        candidate = Candidate(
            version,
            document,
            {each.name: each.digest for each in manifest.parts},
            self._clock.monotonic(),
        )
        self._reuse(candidate)
        self._make_room()
        self._candidates[version] = candidate
        return None if self._finish(candidate, source) else candidate

    def add_part(
        self,
        version: Version,
        name: str,
        document: bytes,
        source: str,
        compressed: bytes = b"",
    ) -> bool:
        """Adds a part.

        Args:
            version: Version of the candidate.
            name: Name of the part.
            document: Its content.
            source: Where it came from, for the log.
            compressed: Its content as a peer sent it, if one did.

        Returns:
            Whether the part belongs to the candidate of that version.
        """
        candidate = self._candidates.get(version)
        if candidate is None:
            return False
        candidate.requested.discard(name)
        candidate.answered += bool(compressed)
        if candidate.digests.get(name) != digest_of(document):
            self._count("configuration_parts_mismatched")
            return False
        candidate.parts[name] = compressed or zlib.compress(document)
        candidate.progress_at = self._clock.monotonic()
        self._finish(candidate, source)
        return True

    def _reuse(self, candidate: Candidate) -> None:
        held = {
            other.digests[name]: part
            for other in self._candidates.values()
            for name, part in other.parts.items()
        }
        for name, digest in candidate.digests.items():
            compressed = self._store.compressed_part(digest)
            if compressed is not None:
                candidate.parts[name] = compressed
            elif digest in held:
                candidate.parts[name] = held[digest]

    def _make_room(self) -> None:
        while len(self._candidates) >= _MAX_CANDIDATES:
            oldest = min(
                self._candidates.values(), key=lambda each: each.progress_at
            )
            del self._candidates[oldest.version]

    def _finish(self, candidate: Candidate, source: str) -> bool:
        if candidate.missing():
            return False
        del self._candidates[candidate.version]
        if not self._store.offer(candidate.manifest, candidate.parts, source):
            self._refuse(candidate.version[1])
        return True

    def _refuse(self, digest: str) -> None:
        self._refused[digest[:PROBED_DIGEST_LENGTH]] = None
        while len(self._refused) > _MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

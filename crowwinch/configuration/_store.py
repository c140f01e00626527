"""The configuration in force and the rule that replaces it."""

import logging
import zlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from crowwinch.configuration._build import MAX_DOCUMENT_BYTES
from crowwinch.configuration._loader import (
    digest_of,
    load_snapshot,
    parse_manifest,
)
from crowwinch.configuration._snapshot import Snapshot
from crowwinch.errors import DocumentError, Finding

_LOGGER = logging.getLogger(__name__)
Version = tuple[int, str]
# Probes carry this many characters of a digest.
PROBED_DIGEST_LENGTH = 16


def decompress(content: bytes) -> bytes:
    """Returns the document of a compressed part.

    Raises:
        DocumentError: If it is malformed or over 1 MB.
    """
    try:
        machine = zlib.decompressobj()
        document = machine.decompress(content, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise DocumentError([Finding("part", str(error))]) from error
    if not machine.eof:
        raise DocumentError([Finding("part", "over 1 MB or truncated")])
    return document


class ConfigurationStore:
    """Holds the highest complete and valid (revision, digest) ever offered.

    Documents are kept compressed, in the form in which peers pull them: for
    10,000 workspaces plain documents would take about 2 MB more.
    """

    def __init__(
        self, count: Callable[[str], None] = lambda name: None
    ) -> None:
        """Creates a store without a configuration.

        Args:
            count: Adds one to the counter of a name.
        """
        self._count = count
        self._snapshot = Snapshot()
        self._manifest = b""
        self._names: dict[str, str] = {}
        self._parts: dict[str, bytes] = {}
        self._decoded: dict[str, Sequence[Any]] = {}
        self._listeners: list[Callable[[Snapshot], None]] = []
        self._refused_count = 0
        self._conflicts: set[Version] = set()

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force, revision 0 when there is none."""
        return self._snapshot

    @property
    def version(self) -> Version:
        """Revision and digest in force."""
        return self._snapshot.revision, self._snapshot.digest

    @property
    def manifest(self) -> bytes:
        """The manifest in force, empty when there is none."""
        return self._manifest

    @property
    def refused(self) -> int:
        """Documents refused since the start."""
        return self._refused_count

    def subscribe(self, listener: Callable[[Snapshot], None]) -> None:
        """Calls a listener with each snapshot that comes into force."""
        self._listeners.append(listener)

    def compressed_part(self, digest: str) -> bytes | None:
        """Returns a part in force, compressed, by the digest of its content."""
        return self._parts.get(digest)

    def compressed_by_name(self, name: str) -> bytes | None:
        """Returns a part in force, compressed, by its name."""
        return self._parts.get(self._names.get(name, ""))

    def documents(self) -> dict[str, bytes]:
        """Returns all documents in force by name, with the manifest."""
        if not self._manifest:
            return {}
        return {"manifest": self._manifest} | {
            name: zlib.decompress(self._parts[digest])
            for name, digest in self._names.items()
        }

    def is_newer(self, version: Version) -> bool:
        """Whether a version would replace the one in force."""
        return version > self.version

    def note_version(self, version: Version, source: str) -> None:
        """Counts and logs a second digest of the revision in force.

        The digest of `version` may be the beginning that probes carry.
        """
        revision, digest = self.version
        if not revision or version[0] != revision:
            return
        if digest.startswith(version[1]):
            return
        key = (revision, version[1][:PROBED_DIGEST_LENGTH])
        if key in self._conflicts:
            return
        self._conflicts.add(key)
        self._count("configuration_conflicts")
        _LOGGER.error(
            "two configurations have the same revision; the higher digest wins",
            extra={
                "revision": revision,
                "digests": sorted((digest, version[1])),
                "source": source,
            },
        )

    def offer(
        self, manifest: bytes, parts: Mapping[str, bytes], source: str = ""
    ) -> bool:
        """Puts documents in force if they are valid and newer.

        Args:
            manifest: The manifest.
            parts: Parts by name, compressed.
            source: Where they came from, for the log.

        Returns:
            Whether they are in force now.
        """
        try:
            revision = parse_manifest(manifest).revision
            version = (revision, digest_of(manifest))
            self.note_version(version, source)
            if not self.is_newer(version):
                return version == self.version
            snapshot = self._load(manifest, parts)
        except DocumentError as error:
            self.refuse(error, source)
            return False
        self._put_in_force(manifest, parts, snapshot, source)
        return True

    def refuse(self, error: DocumentError, source: str) -> None:
        """Counts and logs documents that cannot come into force."""
        self._refused_count += 1
        self._count("configuration_refused")
        _LOGGER.error(
            "configuration refused",
            extra={
                "source": source,
                "findings": [str(each) for each in error.findings[:20]],
            },
        )

    def _load(self, manifest: bytes, parts: Mapping[str, bytes]) -> Snapshot:
        """Decodes only parts that are not in force, as most edits touch one.

        With 10,000 workspaces and 10,000 events decoding takes 100 ms.
        """
        documents = {
            each.name: decompress(parts[each.name])
            for each in parse_manifest(manifest).parts
            if each.digest not in self._decoded and each.name in parts
        }
        try:
            return load_snapshot(manifest, documents, self._decoded)
        except DocumentError:
            self._keep_decoded()
            raise

    def _keep_decoded(self) -> None:
        self._decoded = {
            digest: items
            for digest, items in self._decoded.items()
            if digest in self._parts
        }

    def _put_in_force(
        self,
        manifest: bytes,
        parts: Mapping[str, bytes],
        snapshot: Snapshot,
        source: str,
    ) -> None:
        references = parse_manifest(manifest).parts
        self._snapshot = snapshot
        self._manifest = manifest
        self._names = {each.name: each.digest for each in references}
        self._parts = {each.digest: parts[each.name] for each in references}
        self._keep_decoded()
        self._conflicts = {
            each for each in self._conflicts if each[0] == snapshot.revision
        }
        self._count("configuration_changes")
        _LOGGER.info(
            "configuration in force",
            extra={
                "revision": snapshot.revision,
                "digest": snapshot.digest,
                "source": source,
            },
        )
        for listener in self._listeners:
            listener(snapshot)

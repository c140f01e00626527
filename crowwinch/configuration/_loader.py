"""Turns documents into a snapshot."""

import hashlib
from collections.abc import Mapping

import msgspec

from crowwinch.configuration._snapshot import Snapshot
from crowwinch.errors import DocumentError, Finding
from crowwinch.generated.documents import (
    EventPart,
    GroupPart,
    Manifest,
    WorkspacePart,
)

_PART_TYPES = {
    "workspaces": WorkspacePart,
    "events": EventPart,
    "groups": GroupPart,
}


def digest_of(document: bytes) -> str:
    """Returns the SHA-256 (hex) of a document."""
    return hashlib.sha256(document).hexdigest()


def parse_manifest(document: bytes) -> Manifest:
    """Returns a manifest.

    Raises:
        DocumentError: If it is malformed.
    """
    try:
        return msgspec.json.decode(document, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DocumentError([Finding("manifest", str(error))]) from error


def load_snapshot(manifest: bytes, parts: Mapping[str, bytes]) -> Snapshot:
    """Builds a snapshot from a manifest and all of its parts.

    Args:
        manifest: The manifest document.
        parts: Documents by name.

    Raises:
        DocumentError: If a part is missing, altered or malformed; it carries
            every finding.
    """
    parsed = parse_manifest(manifest)
    findings: list[Finding] = []
    decoded: dict[str, list] = {name: [] for name in _PART_TYPES}
    for reference in parsed.parts:
        kind = reference.name.partition("-")[0]
        document = parts.get(reference.name)
        if kind not in _PART_TYPES:
            findings.append(Finding(reference.name, "unknown kind of part"))
        elif document is None:
            findings.append(Finding(reference.name, "the part is missing"))
        elif digest_of(document) != reference.digest:
            findings.append(Finding(reference.name, "the digest differs"))
        else:
            try:
                part = msgspec.json.decode(document, type=_PART_TYPES[kind])
                decoded[kind].extend(getattr(part, kind))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                findings.append(Finding(reference.name, str(error)))
    if findings:
        raise DocumentError(findings)
    return Snapshot.build(
        parsed.revision,
        digest_of(manifest),
        decoded["workspaces"],
        decoded["groups"],
        decoded["events"],
    )

"""Turns documents into a snapshot."""

import hashlib
import itertools
from collections.abc import (
    Iterable,
    Iterator,
    Mapping,
    MutableMapping,
    Sequence,
)
from typing import Any

import msgspec

from crowwinch.configuration._models import parse_models
from crowwinch.configuration._snapshot import Snapshot
from crowwinch.coordination import identifier
from crowwinch.errors import DECODE_ERRORS, DocumentError, Finding
from crowwinch.generated.documents import (
    Event,
    EventPart,
    GroupPart,
    Manifest,
    PartReference,
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
    except DECODE_ERRORS as error:
        raise DocumentError([Finding("manifest", str(error))]) from error


def load_snapshot(
    manifest: bytes,
    parts: Mapping[str, bytes],
    decoded: MutableMapping[str, Sequence[Any]] | None = None,
) -> Snapshot:
    """Builds a snapshot from a manifest and all of its parts.

    Args:
        manifest: The manifest document.
        parts: Documents by name.
        decoded: Items by digest of their part. Parts that it holds are not
            needed in `parts`; those that are decoded are added.

    Raises:
        DocumentError: If a part is missing, altered or malformed; it carries
            every finding.
    """
    parsed = parse_manifest(manifest)
    cache = {} if decoded is None else decoded
    names = [reference.name for reference in parsed.parts]
    findings = list(_duplicates("manifest", names))
    items: dict[str, list] = {name: [] for name in _PART_TYPES}
    for reference in parsed.parts:
        try:
            if reference.digest not in cache:
                cache[reference.digest] = _verified(reference, parts)
            kind = _kind_of(reference.name)
            items[kind].extend(cache[reference.digest])
        except DocumentError as error:
            findings.extend(error.findings)
    if findings:
        raise DocumentError(findings)
    snapshot = Snapshot.build(
        parsed.revision,
        digest_of(manifest),
        items["workspaces"],
        items["groups"],
        items["events"],
    )
    findings.extend(_ambiguities(items, snapshot))
    findings.extend(_event_findings(items["events"], snapshot))
    findings.extend(_model_findings(items))
    if findings:
        raise DocumentError(findings)
    return snapshot


def _kind_of(name: str) -> str:
    kind = name.partition("-")[0]
    if kind not in _PART_TYPES:
        raise DocumentError([Finding(name, "unknown kind of part")])
    return kind


def _verified(
    reference: PartReference, parts: Mapping[str, bytes]
) -> Sequence[Any]:
    document = parts.get(reference.name)
    if document is None:
        raise DocumentError([Finding(reference.name, "the part is missing")])
    if digest_of(document) != reference.digest:
        raise DocumentError([Finding(reference.name, "the digest differs")])
    kind = _kind_of(reference.name)
    try:
        part = msgspec.json.decode(document, type=_PART_TYPES[kind])
    except DECODE_ERRORS as error:
        raise DocumentError([Finding(reference.name, str(error))]) from error
    return getattr(part, kind)


def _duplicates(place: str, values: Iterable[object]) -> Iterator[Finding]:
    seen = set()
    for value in values:
        if value in seen:
            yield Finding(place, f"{value!r} is listed twice")
        seen.add(value)


def _ambiguities(
    items: Mapping[str, Sequence[Any]], snapshot: Snapshot
) -> Iterator[Finding]:
    """Finds entries that a look-up table lost, by comparing sizes first."""
    targets = [target for group in items["groups"] for target in group.targets]
    for place, entries, table in (
        ("workspaces", items["workspaces"], snapshot.workspaces),
        ("groups", items["groups"], snapshot.groups),
        ("targets", targets, snapshot.targets),
    ):
        if len(entries) != len(table):
            yield from _duplicates(
                place, (identifier(each.name) for each in entries)
            )
    keys = [key for each in items["workspaces"] for key in each.key_hashes]
    if len(keys) != len(snapshot.keys):
        yield from _duplicates("key hashes", keys)


def _event_findings(
    events: Iterable[Event], snapshot: Snapshot
) -> Iterator[Finding]:
    names = {each.name for each in snapshot.workspaces.values()}
    groups = {each.name for each in snapshot.groups.values()}
    for event in events:
        label = f"event {event.name}"
        if event.workspace not in names:
            yield Finding(label, f"unknown workspace {event.workspace!r}")
        if event.end <= event.start:
            yield Finding(label, "the end is not after the start")
        if event.models and event.group not in groups:
            yield Finding(label, f"unknown group {event.group!r}")


def _model_findings(items: Mapping[str, Sequence[Any]]) -> Iterator[Finding]:
    for item in itertools.chain(items["groups"], items["events"]):
        if not item.models:
            continue
        try:
            parse_models(item.models)
        except ValueError as error:
            yield Finding(item.name, str(error))

"""Turns documents into a snapshot."""

import hashlib
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import msgspec

from crowwinch.configuration._models import parse_models
from crowwinch.configuration._snapshot import Snapshot
from crowwinch.coordination import identifier
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


def decode_part(name: str, document: bytes) -> Sequence[Any]:
    """Returns the items of a part.

    Raises:
        DocumentError: If it is malformed.
    """
    kind = name.partition("-")[0]
    if kind not in _PART_TYPES:
        raise DocumentError([Finding(name, "unknown kind of part")])
    try:
        part = msgspec.json.decode(document, type=_PART_TYPES[kind])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DocumentError([Finding(name, str(error))]) from error
    return getattr(part, kind)


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
    names = [reference.name for reference in parsed.parts]
    findings.extend(_duplicates("manifest", names))
    for reference in parsed.parts:
        document = parts.get(reference.name)
        if document is None:
            findings.append(Finding(reference.name, "the part is missing"))
        elif digest_of(document) != reference.digest:
            findings.append(Finding(reference.name, "the digest differs"))
        else:
            try:
                items = decode_part(reference.name, document)
                kind = reference.name.partition("-")[0]
                decoded[kind].extend(items)
            except DocumentError as error:
                findings.extend(error.findings)
    findings = findings or list(_cross_check(decoded))
    if findings:
        raise DocumentError(findings)
    return Snapshot.build(
        parsed.revision,
        digest_of(manifest),
        decoded["workspaces"],
        decoded["groups"],
        decoded["events"],
    )


def _duplicates(place: str, values: Iterable[object]) -> Iterator[Finding]:
    seen = set()
    for value in values:
        if value in seen:
            yield Finding(place, f"{value!r} is listed twice")
        seen.add(value)


def _cross_check(decoded: Mapping[str, Sequence[Any]]) -> Iterator[Finding]:
    """Finds what would make a look-up table ambiguous or incomplete."""
    workspaces, groups = decoded["workspaces"], decoded["groups"]
    targets = [target for group in groups for target in group.targets]
    for place, items in (
        ("workspaces", workspaces),
        ("groups", groups),
        ("targets", targets),
    ):
        yield from _duplicates(place, (identifier(each.name) for each in items))
    keys = itertools.chain.from_iterable(
        frozenset(each.key_hashes) for each in workspaces
    )
    yield from _duplicates("key hashes", keys)
    names = {each.name for each in workspaces}
    group_names = {each.name for each in groups}
    for event in decoded["events"]:
        label = f"event {event.name}"
        if event.workspace not in names:
            yield Finding(label, f"unknown workspace {event.workspace!r}")
        if event.end <= event.start:
            yield Finding(label, "the end is not after the start")
        if event.models and event.group not in group_names:
            yield Finding(label, f"unknown group {event.group!r}")
    for item in itertools.chain(groups, decoded["events"]):
        try:
            parse_models(item.models)
        except ValueError as error:
            yield Finding(item.name, str(error))

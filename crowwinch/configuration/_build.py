"""Builds documents from a checked table and reads and writes their folder."""

import pathlib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from crowwinch.configuration._check import CheckedTable
from crowwinch.configuration._loader import (
    digest_of,
    load_snapshot,
    parse_manifest,
)
from crowwinch.configuration._snapshot import Snapshot
from crowwinch.errors import DocumentError, Finding, FindingsError
from crowwinch.generated.documents import (
    EventPart,
    GroupPart,
    Manifest,
    PartReference,
    WorkspacePart,
)

MAX_DOCUMENT_BYTES = 1_000_000
_KINDS = ("workspaces", "events", "groups")
# A part over this size is divided in two by the next bit of the hash, so the
# division depends only on the contents and an edit touches no other part. A
# router reads at most 20 parts a second, so a small table needs few parts; each
# edit moves one part to each router, so a large table needs small parts.
_SPLIT_BYTES = 48_000
# Deeper parts would need a fourth digit in their names.
_MAX_DEPTH = 8


@dataclass(frozen=True, slots=True)
class Documents:
    """A manifest and its parts by name, as bytes."""

    manifest: bytes
    parts: Mapping[str, bytes]

    def snapshot(self) -> Snapshot:
        """Returns the configuration.

        Raises:
            DocumentError: If the documents are malformed or incomplete.
        """
        return load_snapshot(self.manifest, self.parts)


def build_documents(checked: CheckedTable, revision: int) -> Documents:
    """Builds the documents; equal tables give equal bytes.

    Args:
        checked: A table.
        revision: Number of the manifest.

    Raises:
        FindingsError: If the table has findings or a part is over 1 MB.
    """
    if checked.findings:
        raise FindingsError(checked.findings)
    parts = {
        **_parts("workspaces", checked.workspaces, WorkspacePart),
        **_parts("events", checked.events, EventPart),
        **_parts("groups", checked.groups, GroupPart),
    }
    findings = [
        Finding(name, f"{len(part)} bytes are over {MAX_DOCUMENT_BYTES}")
        for name, part in parts.items()
        if len(part) >= MAX_DOCUMENT_BYTES
    ]
    if findings:
        raise DocumentError(findings)
    references = [
        PartReference(name, digest_of(part)) for name, part in parts.items()
    ]
    return Documents(_encode(Manifest(revision, references)), parts)


def read_documents(folder: pathlib.Path) -> Documents:
    """Reads a built folder.

    Raises:
        DocumentError: If a document is missing or malformed.
    """
    try:
        manifest = (folder / "manifest.json").read_bytes()
        parts = {
            reference.name: (folder / f"{reference.name}.json").read_bytes()
            for reference in parse_manifest(manifest).parts
        }
    except OSError as error:
        raise DocumentError([Finding(str(folder), str(error))]) from error
    documents = Documents(manifest, parts)
    documents.snapshot()
    return documents


def write_documents(documents: Documents, folder: pathlib.Path) -> None:
    """Writes a folder; the manifest is last and stale parts are removed."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, part in documents.parts.items():
        (folder / f"{name}.json").write_bytes(part)
    (folder / "manifest.json").write_bytes(documents.manifest)
    for kind in _KINDS:
        for file in folder.glob(f"{kind}-[0-9][0-9][0-9].json"):
            if file.stem not in documents.parts:
                file.unlink()


def table_of(snapshot: Snapshot) -> dict[str, list[Any]]:
    """Returns the structs of each sheet, ordered by name."""
    groups = sorted(snapshot.groups.values(), key=lambda each: each.name)
    events = [each for items in snapshot.events.values() for each in items]
    return {
        "workspaces": sorted(
            snapshot.workspaces.values(), key=lambda each: each.name
        ),
        "events": sorted(events, key=lambda each: (each.workspace, each.start)),
        "groups": groups,
        "targets": [
            TargetRow(group.name, target)
            for group in groups
            for target in group.targets
        ],
    }


class TargetRow:
    """A target with the name of its group, as the table holds it."""

    def __init__(self, group: str, target: object) -> None:
        """Stores the target."""
        self.group = group
        self._target = target

    def __getattr__(self, name: str) -> Any:
        """Returns a field of the target."""
        return getattr(self._target, name)


def _parts(
    kind: str, items: Sequence[Any], part_type: type[msgspec.Struct]
) -> dict[str, bytes]:
    sized = [
        (
            xxhash.xxh32_intdigest(
                getattr(item, "workspace", item.name).encode()
            ),
            len(msgspec.json.encode(item)),
            item,
        )
        for item in items
    ]
    parts = {}
    for number, leaf in _divide(sized, 1, 0):
        members = sorted(
            (item for _, _, item in leaf),
            key=lambda item: (getattr(item, "workspace", ""), item.name),
        )
        parts[f"{kind}-{number:03}"] = _encode(part_type(members))
    return parts


def _divide(
    items: Sequence[tuple[int, int, Any]], number: int, depth: int
) -> Iterator[tuple[int, Sequence[tuple[int, int, Any]]]]:
    """Yields leaves of a binary tree; node n has the children 2n and 2n + 1."""
    size = sum(length for _, length, _ in items)
    if size <= _SPLIT_BYTES or depth == _MAX_DEPTH:
        if items:
            yield number, items
        return
    for bit in (0, 1):
        half = [each for each in items if each[0] >> depth & 1 == bit]
        yield from _divide(half, 2 * number + bit, depth + 1)


def _encode(document: msgspec.Struct) -> bytes:
    # Defaults of number fields are integers and values read from a cell are
    # floats. Decoding makes both floats, so that they give the same bytes.
    decoded = msgspec.json.decode(
        msgspec.json.encode(document), type=type(document)
    )
    return msgspec.json.encode(decoded) + b"\n"

"""Actions of the `config` command."""

import argparse
import pathlib
import sys

from crowwinch.configuration import (
    CheckedTable,
    Documents,
    build_documents,
    check_table,
    describe_changes,
    example_table,
    load_snapshot,
    read_documents,
    read_table,
    table_of,
    write_documents,
    write_table,
)
from crowwinch.errors import DocumentError, Finding, FindingsError


def run_action(arguments: argparse.Namespace) -> int:
    """Runs the action that the arguments name."""
    return _ACTIONS[arguments.action](arguments)


def _template(arguments: argparse.Namespace) -> int:
    if any(pathlib.Path(arguments.folder).glob("*.csv")):
        raise _failure(arguments.folder, "already holds a table")
    write_table(example_table(), arguments.folder)
    print(f"wrote {arguments.folder}")
    return 0


def _check(arguments: argparse.Namespace) -> int:
    checked = _checked(arguments.table)
    print(
        f"no findings: {len(checked.workspaces)} workspaces, "
        f"{len(checked.events)} events, {len(checked.groups)} groups"
    )
    return 0


def _build(arguments: argparse.Namespace) -> int:
    folder = pathlib.Path(arguments.folder)
    checked = _checked(arguments.table)
    previous = 0
    old = None
    if (folder / "manifest.json").exists():
        old = read_documents(folder)
        previous = old.snapshot().revision
    revision = arguments.revision
    if revision is None:
        documents = build_documents(checked, previous + 1)
        if old is not None and documents.parts == old.parts:
            print(f"nothing changed since revision {previous}")
            return 0
    else:
        documents = build_documents(checked, max(revision, 1))
        _check_revision(revision, previous, old, documents)
    write_documents(documents, folder)
    changed = {
        name
        for name in documents.parts
        if old is None or documents.parts[name] != old.parts.get(name)
    }
    print(
        f"revision {documents.snapshot().revision}: {len(changed)} of "
        f"{len(documents.parts)} parts changed"
    )
    return 0


def _check_revision(
    revision: int, previous: int, old: Documents | None, new: Documents
) -> None:
    if revision < max(previous, 1):
        raise _failure("--revision", f"must be at least {max(previous, 1)}")
    if old is not None and revision == previous and old.parts != new.parts:
        raise _failure(
            "--revision",
            f"the contents differ from revision {previous} in the folder",
        )


def _diff(arguments: argparse.Namespace) -> int:
    old = read_documents(pathlib.Path(arguments.old)).snapshot()
    path = pathlib.Path(arguments.new)
    if (path / "manifest.json").exists():
        documents = read_documents(path)
    else:
        documents = build_documents(_checked(arguments.new), old.revision + 1)
    lines = describe_changes(old, documents.snapshot())
    print("\n".join(lines) if lines else "no changes")
    return 0


def _show(arguments: argparse.Namespace) -> int:
    if arguments.source.startswith(("http://", "https://")):
        documents = _from_router(arguments.source)
    else:
        documents = read_documents(pathlib.Path(arguments.source))
    snapshot = documents.snapshot()
    if arguments.table:
        write_table(table_of(snapshot), arguments.table)
    table = table_of(snapshot)
    print(f"revision {snapshot.revision}\ndigest {snapshot.digest}")
    for sheet, items in table.items():
        print(f"{sheet}: {len(items)}")
    return 0


def _from_router(url: str) -> Documents:
    # Only this action needs the HTTP client, which takes long to import.
    from crowwinch.cli._operators import failure_text, read_all

    (answer,) = read_all([url], "/v1/configuration")
    if isinstance(answer, BaseException):
        raise _failure(url, failure_text(answer)) from answer
    if not isinstance(answer, dict) or "manifest" not in answer:
        raise _failure(url, "no configuration is in force")
    documents = {name: str(text).encode() for name, text in answer.items()}
    manifest = documents.pop("manifest")
    load_snapshot(manifest, documents)
    return Documents(manifest, documents)


def _checked(path: str) -> CheckedTable:
    checked = check_table(read_table(pathlib.Path(path)))
    if checked.findings:
        print(f"{len(checked.findings)} findings", file=sys.stderr)
        raise FindingsError(checked.findings)
    return checked


def _failure(place: str, message: str) -> DocumentError:
    return DocumentError([Finding(place, message)])


_ACTIONS = {
    "template": _template,
    "check": _check,
    "build": _build,
    "diff": _diff,
    "show": _show,
}

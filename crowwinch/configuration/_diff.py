"""Says in words how two configurations differ."""

from collections.abc import Iterator, Mapping
from typing import Any

from crowwinch.configuration._build import table_of
from crowwinch.configuration._columns import SHEETS, Column, format_cell
from crowwinch.configuration._snapshot import Snapshot


def describe_changes(old: Snapshot, new: Snapshot) -> list[str]:
    """Returns one line for each row that was added, removed or changed.

    Key hashes are counted, not printed.
    """
    before, after = table_of(old), table_of(new)
    lines: list[str] = []
    for sheet in SHEETS:
        lines.extend(
            _sheet_changes(sheet, _keyed(sheet, before), _keyed(sheet, after))
        )
    return lines


def _keyed(
    sheet: str, table: Mapping[str, list[Any]]
) -> dict[tuple[str, ...], Any]:
    if sheet == "events":
        return {(each.name, each.workspace): each for each in table[sheet]}
    return {(each.name,): each for each in table[sheet]}


def _sheet_changes(
    sheet: str,
    before: Mapping[tuple[str, ...], Any],
    after: Mapping[tuple[str, ...], Any],
) -> Iterator[str]:
    for key in sorted(set(before) | set(after)):
        label = f"{sheet.removesuffix('s')} {' of '.join(key)}"
        if key not in after:
            yield f"{label}: removed"
        elif key not in before:
            yield f"{label}: added"
        else:
            changes = [
                change
                for column in SHEETS[sheet]
                if (change := _change(column, before[key], after[key]))
            ]
            if changes:
                yield f"{label}: {', '.join(changes)}"


def _change(column: Column, before: object, after: object) -> str:
    old = getattr(before, column.target_field)
    new = getattr(after, column.target_field)
    if old == new:
        return ""
    if isinstance(old, list):
        added, removed = set(new) - set(old), set(old) - set(new)
        return f"{column.name}: {len(added)} added, {len(removed)} removed"
    first, second = format_cell(column, old), format_cell(column, new)
    return f"{column.name} from {first or 'empty'} to {second or 'empty'}"

"""Checks the operators' table and turns its rows into structs."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from crowwinch.configuration._columns import SHEETS, Column
from crowwinch.configuration._models import parse_models
from crowwinch.configuration._table import Row, Table, place
from crowwinch.coordination import identifier
from crowwinch.errors import Finding
from crowwinch.generated.documents import Event, Group, Target, Workspace

MAX_TARGETS = 64
# A fencing number leaves 1,000 steps for each revision, and each event that
# wants models takes two.
MAX_MODEL_EVENTS = 499


@dataclass(slots=True)
class CheckedTable:
    """The contents of a table and every finding.

    The structs are complete only if there are no findings.
    """

    workspaces: list[Workspace] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    groups: list[Group] = field(default_factory=list)
    findings: list[Finding] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Record:
    """A row with the cells that could be read, by column."""

    sheet: str
    row: Row
    values: dict[str, Any]
    valid: bool

    def get(self, column: str) -> Any:
        return self.values.get(column)


class _Checker:
    def __init__(self, table: Table) -> None:
        self._findings = list(table.findings)
        self._columns = table.columns
        self._records = {
            sheet: [
                self._read(sheet, row) for row in table.sheets.get(sheet, ())
            ]
            for sheet in SHEETS
        }

    def run(self) -> CheckedTable:
        self._check_empty()
        for sheet in ("workspaces", "groups"):
            self._check_names(sheet, SHEETS[sheet][0].name)
        self._check_key_hashes()
        self._check_targets()
        self._check_events()
        self._check_groups()
        return self._build()

    def _add(self, record: _Record, column: str, message: str) -> None:
        self._findings.append(
            Finding(place(record.sheet, record.row.number, column), message)
        )

    def _read(self, sheet: str, row: Row) -> _Record:
        values: dict[str, Any] = {}
        before = len(self._findings)
        for column in SHEETS[sheet]:
            if column.name in row.cells:
                self._read_cell(sheet, row, column, values)
            elif column.required and column.name in self._columns[sheet]:
                self._findings.append(
                    Finding(
                        place(sheet, row.number, column.name),
                        "the cell is empty",
                    )
                )
        return _Record(sheet, row, values, len(self._findings) == before)

    def _read_cell(
        self, sheet: str, row: Row, column: Column, values: dict[str, Any]
    ) -> None:
        try:
            values[column.name] = column.read(row.cells[column.name])
        except (ValueError, OverflowError) as error:
            self._findings.append(
                Finding(place(sheet, row.number, column.name), str(error))
            )

    def _check_empty(self) -> None:
        for sheet in ("workspaces", "groups"):
            if sheet in self._columns and not self._records[sheet]:
                self._findings.append(Finding(sheet, "the sheet has no rows"))

    def _check_names(self, sheet: str, column: str) -> None:
        first: dict[str, int] = {}
        numbers: dict[int, str] = {}
        for record in self._records[sheet]:
            name = record.get(column)
            if name is None:
                continue
            if name in first:
                self._add(
                    record,
                    column,
                    f"{name!r} is already in row {first[name]}",
                )
                continue
            first[name] = record.row.number
            other = numbers.setdefault(identifier(name), name)
            if other != name:
                self._add(
                    record,
                    column,
                    f"{name!r} has the same identifier as {other!r}; "
                    "rename one of them",
                )

    def _check_key_hashes(self) -> None:
        owners: dict[str, tuple[str, int]] = {}
        for record in self._records["workspaces"]:
            name = record.get("workspace") or ""
            for value in record.get("key_hashes") or ():
                owner = owners.setdefault(value, (name, record.row.number))
                if owner[1] != record.row.number and owner[0] != name:
                    self._add(
                        record,
                        "key_hashes",
                        f"{value} also belongs to workspace {owner[0]!r} in "
                        f"row {owner[1]}",
                    )

    def _names(self, sheet: str, column: str) -> frozenset[str]:
        # Names of rows with other errors count, so that one error does not
        # cause a second finding elsewhere.
        return frozenset(
            record.row.cells.get(column, "") for record in self._records[sheet]
        )

    def _check_targets(self) -> None:
        groups = self._names("groups", "group")
        self._check_target_names()
        urls: dict[str, _Record] = {}
        sizes: Counter[str] = Counter()
        for record in self._records["targets"]:
            group, url = record.get("group"), record.get("url")
            if group is not None and group not in groups:
                self._add(record, "group", f"unknown group {group!r}")
            if url is not None:
                other = urls.setdefault(url.rstrip("/"), record)
                # A target that is listed twice has its own finding.
                if other.get("target") != record.get("target"):
                    self._add(
                        record,
                        "url",
                        f"{url} is already in row {other.row.number}",
                    )
            if "slots" in record.values and record.values["slots"] == 0:
                self._add(record, "slots", "'0' is not from 1 to 4096")
            sizes[group or ""] += 1
            if group and sizes[group] == MAX_TARGETS + 1:
                self._add(
                    record,
                    "group",
                    f"group {group!r} has more than {MAX_TARGETS} targets",
                )

    def _check_target_names(self) -> None:
        first: dict[str, _Record] = {}
        numbers: dict[int, str] = {}
        for record in self._records["targets"]:
            name = record.get("target")
            if name is None:
                continue
            known = first.setdefault(name, record)
            if known is not record:
                same = known.get("group") == record.get("group")
                detail = "already" if same else "in another group"
                self._add(
                    record,
                    "target" if same else "group",
                    f"{name!r} is {detail} in row {known.row.number}",
                )
                continue
            other = numbers.setdefault(identifier(name), name)
            if other != name:
                self._add(
                    record,
                    "target",
                    f"{name!r} has the same identifier as {other!r}; "
                    "rename one of them",
                )

    def _check_events(self) -> None:
        workspaces = self._names("workspaces", "workspace")
        groups = self._names("groups", "group")
        unmanaged = self._unmanaged_groups()
        unique = []
        names: dict[tuple[str, str], int] = {}
        for record in self._records["events"]:
            name, workspace = record.get("event"), record.get("workspace")
            if workspace is not None and workspace not in workspaces:
                self._add(
                    record, "workspace", f"unknown workspace {workspace!r}"
                )
            key = (name or "", workspace or "")
            known = names.setdefault(key, record.row.number)
            if all(key) and known != record.row.number:
                self._add(
                    record,
                    "event",
                    f"{name!r} of {workspace!r} is already in row {known}",
                )
                continue
            self._check_event_models(record, groups, unmanaged)
            unique.append(record)
        self._check_model_events(unique)
        self._check_spans(unique)

    def _check_model_events(self, records: Iterable[_Record]) -> None:
        wanting = [record for record in records if record.get("models")]
        if len(wanting) > MAX_MODEL_EVENTS:
            self._add(
                wanting[MAX_MODEL_EVENTS],
                "models",
                f"more than {MAX_MODEL_EVENTS} events want models",
            )

    def _check_spans(self, records: Iterable[_Record]) -> None:
        spans: dict[str, list[tuple[int, int, _Record]]] = defaultdict(list)
        for record in records:
            start, end = record.get("start"), record.get("end")
            if start is None or end is None:
                continue
            workspace = record.get("workspace")
            if end <= start:
                self._add(record, "end", "the end is not after the start")
            elif workspace is not None:
                spans[workspace].append((start, end, record))
        self._check_overlaps(spans)

    def _check_event_models(
        self,
        record: _Record,
        groups: frozenset[str],
        unmanaged: frozenset[str],
    ) -> None:
        group = record.get("group")
        if group is not None and group not in groups:
            self._add(record, "group", f"unknown group {group!r}")
        elif record.get("models") and group is None:
            self._add(record, "group", "models need a group")
        elif record.get("models") and group in unmanaged:
            self._add(
                record,
                "models",
                f"group {group!r} has an empty cell for models",
            )

    def _unmanaged_groups(self) -> frozenset[str]:
        # Without models of its own a group gets no commands.
        return frozenset(
            record.row.cells.get("group", "")
            for record in self._records["groups"]
            if "models" not in record.row.cells
        )

    def _check_overlaps(
        self, spans: dict[str, list[tuple[int, int, _Record]]]
    ) -> None:
        for items in spans.values():
            items.sort(key=lambda item: (item[0], item[2].row.number))
            latest = items[0]
            for item in items[1:]:
                if item[0] < latest[1]:
                    self._add(
                        item[2],
                        "start",
                        "overlaps the event of the same workspace in row "
                        f"{latest[2].row.number}",
                    )
                latest = max(latest, item, key=lambda each: each[1])

    def _check_groups(self) -> None:
        for record in self._records["groups"]:
            models, model = record.get("models"), record.get("model")
            if not models:
                continue
            if record.get("kind") == "service":
                self._add(record, "models", "a plain service has no models")
            elif model not in {each.model for each in parse_models(models)}:
                self._add(
                    record, "models", f"the group's model {model!r} is missing"
                )

    def _build(self) -> CheckedTable:
        checked = CheckedTable(findings=_sorted(self._findings))
        if checked.findings:
            return checked
        targets: dict[str, list[Target]] = defaultdict(list)
        for record in self._records["targets"]:
            fields = _fields(record)
            targets[fields.pop("group")].append(Target(**fields))
        checked.workspaces = [
            Workspace(**_fields(each)) for each in self._records["workspaces"]
        ]
        checked.events = [
            Event(**_fields(each)) for each in self._records["events"]
        ]
        for record in self._records["groups"]:
            members = sorted(targets[record.get("group")], key=lambda t: t.name)
            checked.groups.append(Group(targets=members, **_fields(record)))
        return checked


def _fields(record: _Record) -> dict[str, Any]:
    return {
        column.target_field: record.values[column.name]
        for column in SHEETS[record.sheet]
        if column.name in record.values
    }


def _sorted(findings: Iterable[Finding]) -> list[Finding]:
    """Orders findings by sheet and row; those of a whole sheet come first."""
    order = {name: number for number, name in enumerate(SHEETS)}

    def key(finding: Finding) -> tuple[int, int]:
        sheet = finding.place.partition(" ")[0]
        row = re.search(r" row (\d+) ", finding.place)
        return order.get(sheet, -1), int(row[1]) if row else 0

    return sorted(findings, key=key)


def check_table(table: Table) -> CheckedTable:
    """Checks a table; every finding is reported with sheet, row and column."""
    return _Checker(table).run()

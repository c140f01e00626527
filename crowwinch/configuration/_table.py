"""Reads and writes the operators' table as CSV files or an XLSX file."""

import csv
import io
import pathlib
import zipfile
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from crowwinch.configuration._columns import SHEETS, format_cell
from crowwinch.errors import Finding


def place(sheet: str, row: int, column: str) -> str:
    """Returns how findings name a cell; the header is row 1."""
    return f"{sheet} row {row} column {column}"


@dataclass(frozen=True, slots=True)
class Row:
    """A row with its number and its cells that are not empty."""

    number: int
    cells: Mapping[str, str]


@dataclass(slots=True)
class Table:
    """The rows of each sheet and what could not be read.

    Attributes:
        sheets: Rows by sheet.
        columns: Known columns that are present, by sheet.
        findings: Problems of the form, such as unknown columns.
    """

    sheets: dict[str, list[Row]] = field(default_factory=dict)
    columns: dict[str, frozenset[str]] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)


def read_table(path: pathlib.Path) -> Table:
    """Reads a folder of CSV files or an XLSX file."""
    table = Table()
    try:
        grids = _read_folder(path) if path.is_dir() else _read_workbook(path)
    except (OSError, ValueError, KeyError, zipfile.BadZipFile) as error:
        table.findings.append(Finding(str(path), str(error)))
        return table
    for name in sorted(set(grids) - set(SHEETS)):
        table.findings.append(Finding(name, "unknown sheet"))
    for sheet in SHEETS:
        if sheet in grids:
            _add_sheet(table, sheet, grids[sheet])
        elif sheet != "events":
            table.findings.append(Finding(sheet, "the sheet is missing"))
    return table


def write_table(sheets: Mapping[str, Iterable[object]], path: str) -> None:
    """Writes structs as a folder of CSV files.

    Args:
        sheets: Structs by sheet; their fields are those of the columns.
        path: The folder, created if it does not exist.
    """
    folder = pathlib.Path(path)
    folder.mkdir(parents=True, exist_ok=True)
    for sheet, columns in SHEETS.items():
        text = io.StringIO()
        writer = csv.writer(text, lineterminator="\n")
        writer.writerow(column.name for column in columns)
        for item in sheets.get(sheet, ()):
            writer.writerow(
                format_cell(column, getattr(item, column.target_field))
                for column in columns
            )
        (folder / f"{sheet}.csv").write_text(text.getvalue(), "utf-8")


def _read_folder(path: pathlib.Path) -> dict[str, list[list[str]]]:
    grids = {}
    for file in sorted(path.glob("*.csv")):
        with file.open(encoding="utf-8-sig", newline="") as stream:
            try:
                grids[file.stem] = list(csv.reader(stream, strict=True))
            except csv.Error as error:
                raise ValueError(f"{file.name}: {error}") from error
    return grids


def _read_workbook(path: pathlib.Path) -> dict[str, list[list[str]]]:
    # Imported late: a router never needs it and it takes 15 MB resident.
    import openpyxl
    from openpyxl.utils.exceptions import InvalidFileException

    try:
        book = openpyxl.load_workbook(path, read_only=True, data_only=True)
    except InvalidFileException as error:
        raise ValueError(str(error)) from error
    try:
        return {
            sheet.title: [
                [_cell_text(value) for value in row]
                for row in sheet.iter_rows(values_only=True)
            ]
            for sheet in book.worksheets
        }
    finally:
        book.close()


def _cell_text(value: object) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return value.isoformat() if hasattr(value, "isoformat") else str(value)


def _add_sheet(table: Table, sheet: str, grid: Sequence[list[str]]) -> None:
    header = [cell.strip() for cell in grid[0]] if grid else []
    while header and not header[-1]:
        header.pop()
    known = {column.name for column in SHEETS[sheet]}
    seen: set[str] = set()
    for index, name in enumerate(header, 1):
        label = name or str(index)
        if name not in known:
            table.findings.append(
                Finding(place(sheet, 1, label), "unknown column")
            )
        elif name in seen:
            table.findings.append(
                Finding(place(sheet, 1, label), "duplicate column")
            )
        seen.add(name)
    for column in SHEETS[sheet]:
        if column.required and column.name not in seen:
            table.findings.append(
                Finding(place(sheet, 1, column.name), "the column is missing")
            )
    table.columns[sheet] = frozenset(seen & known)
    table.sheets[sheet] = []
    for number, cells in enumerate(grid[1:], 2):
        _add_row(table, sheet, header, number, cells)


def _add_row(
    table: Table,
    sheet: str,
    header: Sequence[str],
    number: int,
    cells: Sequence[str],
) -> None:
    for index, cell in enumerate(cells[len(header) :], len(header) + 1):
        if cell.strip():
            table.findings.append(
                Finding(
                    place(sheet, number, str(index)),
                    "the cell has no column header",
                )
            )
    values = {
        name: cell.strip()
        for name, cell in zip(header, cells, strict=False)
        if cell.strip()
    }
    if values:
        table.sheets[sheet].append(Row(number, values))

"""Tests of the operators' table, from cells to documents."""

import pathlib
import random
import shutil
import tempfile
import time
import unittest

from crowwinch.configuration import (
    build_documents,
    check_table,
    describe_changes,
    digest_of,
    example_table,
    read_documents,
    read_table,
    table_of,
    write_documents,
    write_table,
)
from crowwinch.coordination import identifier
from crowwinch.errors import FindingsError
from crowwinch.generated.documents import Event, Workspace

_HASHES = [digest_of(str(index).encode()) for index in range(20)]
_HOURS = [f"2027-01-04T{hour:02}:00:00Z" for hour in range(10)]


def _colliding_names():
    """Returns two names with the same identifier."""
    names = {}
    for index in range(2**20):
        name = f"n{index}"
        other = names.setdefault(identifier(name), name)
        if other != name:
            return other, name
    raise AssertionError("no collision found")


def _planted():
    """Returns lines by sheet, each with the column of its one finding."""
    first, second = _colliding_names()
    return {
        "workspaces": [
            (
                "workspace,weight,max_in_flight,class,key_hashes,colour",
                "colour",
            ),
            (f"a,1,,,{_HASHES[0]},", None),
            (f"a,1,,,{_HASHES[0]},", "workspace"),
            (f"b,-1,,,{_HASHES[2]},", "weight"),
            (f"c,1,x,,{_HASHES[3]},", "max_in_flight"),
            (f"d,1,,urgent,{_HASHES[4]},", "class"),
            ("e,1,,,abc,", "key_hashes"),
            (f"f,1,,,{_HASHES[0]},", "key_hashes"),
            (f"g,,,,{_HASHES[5]},", "weight"),
            (f"{first},nan,,,{_HASHES[6]},", "weight"),
            (f"{second},1,,,{_HASHES[7]},", "workspace"),
        ],
        "events": [
            ("event,workspace,start,end,group,models", None),
            (f"e1,a,{_HOURS[6]},{_HOURS[5]},,", "end"),
            (f"e2,nobody,{_HOURS[6]},{_HOURS[7]},,", "workspace"),
            (f"e3,b,2027-01-04T06:00:00,{_HOURS[7]},,", "start"),
            (f"e4,c,{_HOURS[6]},{_HOURS[8]},,", None),
            (f"e5,c,{_HOURS[7]},{_HOURS[9]},,", "start"),
            (f"e6,d,{_HOURS[6]},{_HOURS[7]},none,m", "group"),
        ],
        "groups": [
            ("group,kind,region,model,models", None),
            ("g1,engine,r,m,m@1:2", None),
            ("g2,robot,r,m,", "kind"),
            ("g3,engine,r,m,other", "models"),
            ("big,engine,r,m,", None),
        ],
        "targets": [
            ("target,group,url,slots", None),
            ("t1,g1,http://h/1,8", None),
            ("t1,g2,http://h/2,8", "group"),
            ("t2,g1,ftp://h/3,8", "url"),
            *((f"x{n},big,http://big/{n},1", None) for n in range(64)),
            ("x64,big,http://big/64,1", "group"),
        ],
    }


# The two rows of each sheet differ in every column.
_FULL = {
    "workspaces": "workspace,weight,max_in_flight,max_service_per_second,"
    f"max_waiting,class,key_hashes\na,0.1,3,2.5,9,bulk,"
    f"{_HASHES[1]} {_HASHES[0]}\nb,1,,,,,{_HASHES[2]}\n",
    "events": "event,workspace,start,end,weight,max_in_flight,"
    "max_service_per_second,group,models\n"
    "x,a,2027-01-04T06:00:00+02:00,2027-01-04T07:00Z,3.25,4,5.5,g,z@1:1;b\n"
    "y,b,2027-01-05T06:00:00Z,2027-01-05T07:00:00Z,,,,,\n",
    "groups": "group,kind,region,model,input_token_weight,"
    "output_token_weight,idempotent,requires_idempotency_key,models\n"
    "g,engine,r,m,0.3,1.7,no,yes,m@2\nh,service,s,k,,,,,\n",
    "targets": "target,group,url,slots,max_slots,fencing,role\n"
    "t2,g,http://h/2,8,16,no,prefill\nt1,g,http://h/1,4,,,\n"
    "t3,h,http://h/3,4,,,\n",
}


class TableTest(unittest.TestCase):
    """Guards against tables that routers would read otherwise than meant."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def _write(self, sheets, name="table"):
        folder = self.folder / name
        folder.mkdir()
        for sheet, text in sheets.items():
            (folder / f"{sheet}.csv").write_text(text)
        return folder

    def test_twenty_planted_errors_give_twenty_findings(self):
        """Guards against missing, repeated or misplaced findings."""
        planted = _planted()
        places = [
            f"{sheet} row {row} column {column}"
            for sheet, lines in planted.items()
            for row, (_, column) in enumerate(lines, 1)
            if column
        ]
        self.assertEqual(len(places), 20)
        sheets = {
            sheet: "".join(f"{line}\n" for line, _ in lines)
            for sheet, lines in planted.items()
        }
        csv_table = read_table(self._write(sheets))
        path = self.folder / "table.xlsx"
        self._write_workbook(sheets, path)
        for name, table in (("csv", csv_table), ("xlsx", read_table(path))):
            with self.subTest(name):
                findings = check_table(table).findings
                self.assertEqual([each.place for each in findings], places)
        with self.assertRaises(FindingsError):
            build_documents(check_table(csv_table), 1)

    def _write_workbook(self, sheets, path):
        import openpyxl

        book = openpyxl.Workbook()
        book.remove(book.active)
        for name, text in sheets.items():
            sheet = book.create_sheet(name)
            for line in text.splitlines():
                sheet.append([cell or None for cell in line.split(",")])
        book.save(path)

    def test_malformed_files_are_findings(self):
        """Guards against a traceback instead of findings."""
        good = self._write({"workspaces": "workspace\n"}, "one")
        bad_bytes = self._write({}, "bytes")
        (bad_bytes / "workspaces.csv").write_bytes(b"\xff\xfe\x00")
        no_book = self.folder / "a.xlsx"
        no_book.write_bytes(b"PK nothing")
        for path in (good, bad_bytes, no_book, self.folder / "absent.xlsx"):
            with self.subTest(path.name):
                self.assertTrue(check_table(read_table(path)).findings)

    def test_round_trip_gives_the_same_bytes(self):
        """Guards against cells that lose a value on the way back."""
        checked = check_table(read_table(self._write(_FULL)))
        self.assertEqual(checked.findings, [])
        for items in (checked.workspaces, checked.events, checked.groups):
            for field in items[0].__struct_fields__:
                self.assertNotEqual(
                    getattr(items[0], field),
                    getattr(items[1], field),
                    f"{field} is not exercised",
                )
        documents = build_documents(checked, 7)
        write_documents(documents, self.folder / "built")
        read = read_documents(self.folder / "built")
        write_table(table_of(read.snapshot()), self.folder / "again")
        again = check_table(read_table(self.folder / "again"))
        self.assertEqual(build_documents(again, 7), documents)

    def _large(self):
        sheets = example_table()
        sheets["workspaces"] = [
            Workspace(f"w{n}", 1.0 + n % 7 / 3, [digest_of(b"%d" % n)])
            for n in range(10_000)
        ]
        sheets["events"] = [
            Event("storm", f"w{n}", 1000, 2000, weight=2.0)
            for n in range(10_000)
        ]
        return sheets

    def test_ten_thousand_workspaces(self):
        """Guards against slow builds, large parts and edits that move more."""
        sheets = self._large()
        write_table(sheets, self.folder / "table")
        started = time.perf_counter()
        checked = check_table(read_table(self.folder / "table"))
        documents = build_documents(checked, 1)
        took = time.perf_counter() - started
        self.assertLess(took, 10.0)
        self.assertLess(max(map(len, documents.parts.values())), 1_000_000)
        random.Random(1).shuffle(checked.workspaces)
        self.assertEqual(build_documents(checked, 1), documents)
        old = documents.snapshot()
        edited = checked.workspaces[17]
        checked.workspaces[17] = Workspace(edited.name, 9.5, edited.key_hashes)
        changed = build_documents(checked, 2)
        differing = [
            name
            for name, part in changed.parts.items()
            if part != documents.parts[name]
        ]
        self.assertEqual(len(differing), 1)
        (line,) = describe_changes(old, changed.snapshot())
        self.assertIn(f"workspace {edited.name}: weight from", line)

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
_WORKSPACES = f"""\
workspace,weight,max_in_flight,class,key_hashes,colour
a,1,,,{_HASHES[0]},
a,1,,,{_HASHES[0]},
b,-1,,,{_HASHES[2]},
c,1,x,,{_HASHES[3]},
d,1,,urgent,{_HASHES[4]},
e,1,,,abc,
f,1,,,{_HASHES[0]},
g,,,,{_HASHES[5]},
h,nan,,,{_HASHES[6]},
COLLISION,1,,,{_HASHES[7]},
"""
_EVENTS = """\
event,workspace,start,end,group,models
e1,a,2027-01-04T06:00:00+00:00,2027-01-04T05:00:00+00:00,,
e2,nobody,2027-01-04T06:00:00Z,2027-01-04T07:00:00Z,,
e3,b,2027-01-04T06:00:00,2027-01-04T07:00:00Z,,
e4,c,2027-01-04T06:00:00Z,2027-01-04T08:00:00Z,,
e5,c,2027-01-04T07:00:00Z,2027-01-04T09:00:00Z,,
e6,d,2027-01-04T06:00:00Z,2027-01-04T07:00:00Z,none,m
"""
_GROUPS = """\
group,kind,region,model,models
g1,engine,r,m,m@1:2
g2,robot,r,m,
g3,engine,r,m,other
big,engine,r,m,
"""
_TARGETS = """\
target,group,url,slots
t1,g1,http://h/1,8
t1,g2,http://h/2,8
t2,g1,ftp://h/3,8
"""
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
_PLACES = (
    "workspaces row 1 column colour",
    "workspaces row 3 column workspace",
    "workspaces row 4 column weight",
    "workspaces row 5 column max_in_flight",
    "workspaces row 6 column class",
    "workspaces row 7 column key_hashes",
    "workspaces row 8 column key_hashes",
    "workspaces row 9 column weight",
    "workspaces row 10 column weight",
    "workspaces row 11 column workspace",
    "events row 2 column end",
    "events row 3 column workspace",
    "events row 4 column start",
    "events row 6 column start",
    "events row 7 column group",
    "groups row 3 column kind",
    "groups row 4 column models",
    "targets row 3 column group",
    "targets row 4 column url",
    "targets row 69 column group",
)


def _colliding_name(taken):
    wanted = {identifier(name): name for name in taken}
    names = {}
    for index in range(2**20):
        number = identifier(f"n{index}")
        if number in wanted:
            return wanted[number], f"n{index}"
        if number in names:
            return names[number], f"n{index}"
        names[number] = f"n{index}"
    raise AssertionError("no collision found")


def _planted():
    first, second = _colliding_name(())
    big = "".join(f"x{n},big,http://big/{n},1\n" for n in range(65))
    return {
        "workspaces": _WORKSPACES.replace("COLLISION", second).replace(
            "h,nan", f"{first},nan"
        ),
        "events": _EVENTS,
        "groups": _GROUPS,
        "targets": _TARGETS + big,
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
        sheets = _planted()
        csv_table = read_table(self._write(sheets))
        path = self.folder / "table.xlsx"
        self._write_workbook(sheets, path)
        for name, table in (("csv", csv_table), ("xlsx", read_table(path))):
            with self.subTest(name):
                findings = check_table(table).findings
                self.assertEqual(
                    [each.place for each in findings], list(_PLACES)
                )
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

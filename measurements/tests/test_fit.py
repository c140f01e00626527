"""Tests of the lines of `make slopes`."""

import pathlib
import tempfile
import unittest

from measurements._fit import fit, slope
from measurements._slopes_page import END, START, update


class FitTest(unittest.TestCase):
    """A wrong line would give wrong figures for sizes that cannot be run."""

    def test_known_lines(self):
        cases = [
            ([1, 2, 3], [5, 7, 9], 3.0, 2.0, 0.0),
            ([10, 20, 40], [4, 4, 4], 4.0, 0.0, 0.0),
            # Least squares through (0,0), (1,0), (2,3): -0.5 + 1.5 x.
            ([0, 1, 2], [0, 0, 3], -0.5, 1.5, 1 / 3),
        ]
        for sizes, values, constant, per_item, error in cases:
            with self.subTest(values=values):
                line = fit(sizes, values)
                self.assertAlmostEqual(line.constant, constant)
                self.assertAlmostEqual(line.per_item, per_item)
                self.assertAlmostEqual(line.worst_error, error)
                self.assertAlmostEqual(line.at(100), constant + 100 * per_item)

    def test_too_few_sizes_are_refused(self):
        for sizes, values in [
            ([1, 2], [1, 2]),
            ([1, 1, 2], [1, 1, 2]),
            ([1, 2, 3], [1, 2]),
        ]:
            with self.subTest(sizes=sizes), self.assertRaises(ValueError):
                fit(sizes, values)

    def test_output_holds_today_and_the_plan(self):
        line = slope("s", "bytes", "items", [1, 2, 4], lambda n: 8 + n, 3, 100)
        self.assertEqual(line["today"], {"size": 3, "value": 11})
        self.assertEqual(line["planned"], {"size": 100, "value": 108})


class PageTest(unittest.TestCase):
    """A run must replace the earlier run's tables and nothing else."""

    def test_tables_are_replaced(self):
        line = slope("s", "bytes", "items", [1, 2, 4], lambda n: 8 + n, 3, 100)
        lines = [line, {"message": "Ping", "bytes": 113}]
        with tempfile.TemporaryDirectory() as folder:
            page = pathlib.Path(folder) / "page.md"
            page.write_text(f"head\n{START}\nold\n{END}\ntail\n", "utf-8")
            update(page, lines)
            first = page.read_text("utf-8")
            update(page, lines)
            self.assertEqual(page.read_text("utf-8"), first)
        self.assertTrue(first.startswith(f"head\n{START}\n|"))
        self.assertTrue(first.endswith(f"|\n{END}\ntail\n"))
        self.assertNotIn("old", first)
        self.assertIn("| s | bytes | items | 1 / 2 / 4 | 9 / 10 / 12 |", first)
        self.assertIn("| 11 at 3 | 108 at 100 |", first)
        self.assertIn("| Ping | bytes 113 |", first)

    def test_page_without_markers_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            page = pathlib.Path(folder) / "page.md"
            page.write_text("text", "utf-8")
            with self.assertRaises(ValueError):
                update(page, [])


if __name__ == "__main__":
    unittest.main()

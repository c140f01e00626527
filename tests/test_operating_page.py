"""The operators' page against the code."""

import pathlib
import unittest

from crowwinch.configuration._columns import SHEETS
from crowwinch.errors import RefusalError, RefusalReason, RetryReason
from crowwinch.generated.settings import RouterSettings

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "operating.md"


class OperatingPageTest(unittest.TestCase):
    """Guards against reasons, settings and columns without an explanation."""

    def test_everything_is_explained(self):
        text = _PAGE.read_text()
        names = [column.name for each in SHEETS.values() for column in each]
        names += RouterSettings.__struct_fields__
        names += [reason.name.lower() for reason in RetryReason]
        for name in names:
            with self.subTest(name):
                self.assertIn(f"`{name}`", text)
        for reason in RefusalReason:
            with self.subTest(reason.name):
                refusal = RefusalError(reason, "")
                row = f"| `{refusal.code}` | {refusal.status} |"
                self.assertIn(row, text)

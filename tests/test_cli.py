"""The operators' tool: exit statuses and unusable files."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from berylturn.cli import _read_selector_file, choose_exit_status
from berylturn.errors import (
    ChangeUnknown,
    PlatformUnavailable,
    SelectorError,
    VersionConflict,
)
from berylturn.process.operator_tool import NotInForce


class TestExitStatus(unittest.TestCase):
    """Each kind of error has the exit status that docs/OPERATORS.md names."""

    @params(
        (VersionConflict("changed"), 2),
        (ChangeUnknown("may have been in force"), 1),
        (NotInForce("not everywhere"), 3),
        (PlatformUnavailable("away"), 1),
    )
    def test_error(self, error: Exception, status: int) -> None:
        self.assertEqual(status, choose_exit_status(error))


class TestSelectorFile(unittest.TestCase):
    """An unusable selector file is refused with a message that names the remedy."""

    @params(
        ("not UTF-8", b"[selector]\nservice = \xff\xfe\n", "not UTF-8"),
        ("no section", b"service = desk\n", "[selector]"),
        ("no match", b"[selector]\nservice = desk\naddress = a\n", "match"),
    )
    def test_refused(self, _: str, content: bytes, message: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "desk.ini"
            path.write_bytes(content)
            with self.assertRaises(SelectorError) as raised:
                _read_selector_file(str(path))
        self.assertIn(message, str(raised.exception))

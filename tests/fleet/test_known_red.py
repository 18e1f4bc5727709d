"""The list of tests that fail for a known fault."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from tests.known_red import qualified_name, read_known_red, remove_tests


class Listed(unittest.TestCase):
    """Reading the list and taking tests out of a run."""

    def test_lines(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "KNOWN-RED.txt")
            self.assertEqual(read_known_red(path), {})
            line = "tests.fleet.test_a.A.test_b, late, issue 4"
            path.write_text(f"# test, cause, issue\n\n{line}\n", encoding="utf-8")
            self.assertEqual(read_known_red(path), {"tests.fleet.test_a.A.test_b": line})

    def test_only_the_named_test_is_taken_out(self) -> None:
        class Sample(unittest.TestCase):
            def test_one(self) -> None: ...
            def test_two(self) -> None: ...

        one, two = Sample("test_one"), Sample("test_two")
        removed: set[str] = set()
        suite = remove_tests(unittest.TestSuite([unittest.TestSuite([one, two])]), {qualified_name(one)}, removed)
        self.assertEqual(removed, {qualified_name(one)})
        self.assertEqual([test.id() for inner in suite for test in inner], [two.id()])
        self.assertTrue(qualified_name(one).startswith("tests.fleet.test_known_red."))

"""The differential replay: a tree against itself is equal; a changed value in a copy of the tree is found."""

from __future__ import annotations

import contextlib
import io
import pathlib
import re
import shutil
import tempfile
import unittest
from unittest import mock

from benchmarks.replay.__main__ import main
from benchmarks.replay.comparison import first_difference
from benchmarks.replay.recorder import DIGEST_BYTES, Recorder, flatten

ROOT = pathlib.Path(__file__).resolve().parents[2]
COPIED = ("rosechute", "tests", "benchmarks", "dunefield", "hollyport")


def replay(after: pathlib.Path, scenario: str, share: float) -> tuple[int, str]:
    """Compare this tree with another one; return the exit code and what was printed."""
    printed = io.StringIO()
    arguments = ["replay", str(ROOT), str(after), "--scenarios", scenario, "--share", str(share), "--processes", "2"]
    with mock.patch("sys.argv", arguments), contextlib.redirect_stdout(printed):
        code = main()
    return code, printed.getvalue()


def copy_with(folder: str, package: str, old: str, new: str) -> pathlib.Path:
    """Copy this tree and replace a literal in all modules of a package."""
    tree = pathlib.Path(folder)
    for name in COPIED:
        shutil.copytree(ROOT / name, tree / name, ignore=shutil.ignore_patterns("__pycache__", "results"))
    replaced = 0
    for path in sorted((tree / package).glob("**/*.py")):
        text, count = re.subn(old, new, path.read_text(encoding="utf-8"))
        path.write_text(text, encoding="utf-8")
        replaced += count
    if not replaced:
        raise AssertionError(f"{old} is not in {package}: plant another literal")
    return tree


class RecorderTest(unittest.TestCase):
    def test_values_are_the_same_whatever_holds_them(self) -> None:
        self.assertEqual(flatten((1, (2.5, b"a"))), flatten([1, 2.5, b"a"]))
        self.assertNotEqual(flatten((1, 2)), flatten((2, 1)))

    def test_a_step_differs_where_its_records_differ(self) -> None:
        one, other = Recorder(), Recorder()
        for number in range(5):
            one.record("draw", number)
            other.record("draw", number if number != 3 else 7)
            one.end_step()
            other.end_step()
        self.assertEqual(one.steps, 5)
        self.assertEqual(first_difference(bytes(one.digests), bytes(other.digests)), 3)

    def test_a_run_that_ends_early_differs_at_its_end(self) -> None:
        digests = bytes(range(5 * DIGEST_BYTES))
        self.assertEqual(first_difference(digests, digests[: 4 * DIGEST_BYTES]), 4)
        self.assertIsNone(first_difference(digests, digests))


class ReplayTest(unittest.TestCase):
    def assert_found(self, scenario: str, share: float, package: str, old: str, new: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            code, printed = replay(copy_with(folder, package, old, new), scenario, share)
        self.assertEqual(code, 1, printed)
        self.assertIn("differs first at step", printed)
        self.assertNotIn("not deterministic", printed)

    def test_a_tree_is_equal_to_itself(self) -> None:
        for scenario, share in (("coordination", 0.02), ("distribution", 0.05)):
            code, printed = replay(ROOT, scenario, share)
            self.assertEqual(code, 0, printed)
            self.assertRegex(printed, r"equal: \d+ seeds, [1-9]\d{3,} steps")

    def test_another_period_of_the_coordination_is_found(self) -> None:
        self.assert_found(
            "coordination", 0.01, "rosechute/coordination", r"(heartbeat\w*: float) = 0\.15\b", r"\1 = 0.16"
        )

    def test_another_period_of_the_distribution_is_found(self) -> None:
        self.assert_found("distribution", 0.05, "rosechute/distribution", r"(RENEW\w* = )0\.4\b", r"\g<1>0.41")


if __name__ == "__main__":
    unittest.main()

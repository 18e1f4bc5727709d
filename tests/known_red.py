"""Plugins of nose2: a summary line, and an option to skip the known failures that KNOWN-RED.txt lists.

Each line of that file names a test, the cause of its failure and the issue, separated by commas. A listed fleet test
that does not exist is an error, so that the list has no outdated entries.
"""

from __future__ import annotations

import unittest
from pathlib import Path
from typing import Any

from nose2 import events, result

KNOWN_RED_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TESTS_PREFIX = "tests."
FLEET_PREFIX = "tests.fleet."


def read_known_red(path: Path = KNOWN_RED_FILE) -> dict[str, str]:
    """Return the line of each listed test by its name; empty if the file is missing."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    return {line.partition(",")[0].strip(): line for line in lines if line and not line.startswith("#")}


def qualified_name(test: Any) -> str:
    """Return the full name of a test, relative to the project's root; for a subtest the name of its test."""
    name: str = getattr(test, "test_case", test).id()
    return name if name.startswith(TESTS_PREFIX) else TESTS_PREFIX + name


def remove_tests(suite: unittest.TestSuite, names: set[str], removed: set[str]) -> unittest.TestSuite:
    """Return the suite without the tests of these names, which are added to `removed`."""
    kept: list[Any] = []
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            kept.append(remove_tests(test, names, removed))
        elif qualified_name(test) in names:
            removed.add(qualified_name(test))
        else:
            kept.append(test)
    return type(suite)(kept)


class KnownRed(events.Plugin):  # type: ignore[misc]
    """Removes the listed tests from a run with --pass-over-known-red."""

    configSection = "known-red"
    commandLineSwitch = (None, "pass-over-known-red", "Pass over the tests that KNOWN-RED.txt lists, and print them")
    alwaysOn = False

    def startTestRun(self, event: Any) -> None:
        """Remove the listed tests and print them."""
        fleet_failures = {name: line for name, line in read_known_red().items() if name.startswith(FLEET_PREFIX)}
        removed: set[str] = set()
        event.suite = remove_tests(event.suite, set(fleet_failures), removed)
        for name in sorted(removed):
            print(f"passed over, known red: {fleet_failures[name]}", flush=True)
        unknown = sorted(set(fleet_failures) - removed)
        if unknown:
            raise SystemExit(f"KNOWN-RED.txt lists tests that do not exist: {', '.join(unknown)}")


class Counts(events.Plugin):  # type: ignore[misc]
    """Prints the numbers of passed, failed and skipped tests at the end of a run."""

    configSection = "counts"
    alwaysOn = True

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.skipped: set[str] = set()

    def testOutcome(self, event: Any) -> None:
        """Count an outcome; a test with a failed subtest counts as failed."""
        name = qualified_name(event.test)
        if event.outcome == result.SKIP:
            self.skipped.add(name)
        elif event.outcome == result.SUBTEST:
            if event.exc_info:
                self.failed.add(name)
        elif event.outcome == result.PASS or (event.outcome == result.FAIL and event.expected):
            self.passed.add(name)
        else:
            self.failed.add(name)

    def afterSummaryReport(self, event: Any) -> None:
        """Print the summary line."""
        skipped = f", {len(self.skipped)} skipped" if self.skipped else ""
        event.stream.writeln(f"{len(self.passed - self.failed)} passed, {len(self.failed)} failed{skipped}")

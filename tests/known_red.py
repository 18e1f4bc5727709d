"""A nose2 plugin: a closing line with the counts, and passing over tests that KNOWN-RED.txt lists, where asked for.

Each line of that file names a test, the cause of its failure and the issue, separated by commas. A listed test of the
fleet that does not exist is an error, so that the list cannot outlive its tests.
"""

from __future__ import annotations

import unittest
from pathlib import Path
from typing import Any

from nose2 import events, result

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FOLDER = "tests."
FLEET = "tests.fleet."


def listed(path: Path = LIST) -> dict[str, str]:
    """The line of each test in the list; empty where there is no list."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    return {line.partition(",")[0].strip(): line for line in lines if line and not line.startswith("#")}


def name_of(test: Any) -> str:
    """The name of a test from the project's root, however its module was found; that of its test for a subtest."""
    name: str = getattr(test, "test_case", test).id()
    return name if name.startswith(FOLDER) else FOLDER + name


def without(suite: unittest.TestSuite, names: set[str], removed: set[str]) -> unittest.TestSuite:
    """The suite without the tests of these names; what was taken out is added to `removed`."""
    kept: list[Any] = []
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            kept.append(without(test, names, removed))
        elif name_of(test) in names:
            removed.add(name_of(test))
        else:
            kept.append(test)
    return type(suite)(kept)


class KnownRed(events.Plugin):  # type: ignore[misc]
    """Counts outcomes, and takes the listed tests out of a run that was started with --pass-over-known-red."""

    configSection = "known-red"
    commandLineSwitch = (None, "pass-over-known-red", "Pass over the tests that KNOWN-RED.txt lists, and print them")
    alwaysOn = False

    def startTestRun(self, event: Any) -> None:
        """Take the listed tests out."""
        wanted = {name: line for name, line in listed().items() if name.startswith(FLEET)}
        removed: set[str] = set()
        event.suite = without(event.suite, set(wanted), removed)
        for name in sorted(removed):
            print(f"passed over, known red: {wanted[name]}", flush=True)
        missing = sorted(set(wanted) - removed)
        if missing:
            raise SystemExit(f"KNOWN-RED.txt lists tests that do not exist: {', '.join(missing)}")


class Counts(events.Plugin):  # type: ignore[misc]
    """Closes a run with one line: so many passed, so many failed."""

    configSection = "counts"
    alwaysOn = True

    def __init__(self) -> None:
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.skipped: set[str] = set()

    def testOutcome(self, event: Any) -> None:
        """Count one outcome; a test with a failed subtest has failed."""
        name = name_of(event.test)
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
        """Print the line."""
        skipped = f", {len(self.skipped)} skipped" if self.skipped else ""
        event.stream.writeln(f"{len(self.passed - self.failed)} passed, {len(self.failed)} failed{skipped}")

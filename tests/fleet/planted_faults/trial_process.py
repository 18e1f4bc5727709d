"""The process that runs tests against a copy of the sources, up to the first failure; prints one line of JSON.

Started by `trial` with the copy as its working directory; its arguments are names of tests or test modules.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import sys
import unittest
from typing import Any

TEST_LIMIT_S = 30  # a single test that takes longer has found the fault
MEMORY_LIMIT_BYTES = 4 << 30


class FirstFailure(unittest.TestResult):
    """Stops at the first failure; ends the process when a test takes too long."""

    def __init__(self) -> None:
        super().__init__()
        self.failfast = True
        self.found: tuple[str, str] | None = None
        self.current = ""

    def startTest(self, test: unittest.TestCase) -> None:
        super().startTest(test)
        self.current = test.id()
        signal.alarm(TEST_LIMIT_S)

    def addError(self, test: Any, err: Any) -> None:
        super().addError(test, err)
        self._note(test, err)

    def addFailure(self, test: Any, err: Any) -> None:
        super().addFailure(test, err)
        self._note(test, err)

    def addSubTest(self, test: Any, subtest: Any, err: Any) -> None:
        super().addSubTest(test, subtest, err)
        if err is not None:
            self._note(test, err)

    def too_long(self, *_: object) -> None:
        report((self.current, f"took longer than {TEST_LIMIT_S} s"))
        os._exit(1)

    def _note(self, test: Any, err: Any) -> None:
        if self.found is None:
            name = test.id() if hasattr(test, "id") else str(test)
            self.found = (name, " ".join(f"{err[0].__name__}: {err[1]}".split())[:160])


def report(found: tuple[str, str] | None) -> None:
    """Tell the parent."""
    os.write(3, json.dumps(found).encode() + b"\n")


def main(names: list[str]) -> None:
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_LIMIT_BYTES, MEMORY_LIMIT_BYTES))
    sys.dont_write_bytecode = True
    sys.path.insert(0, os.getcwd())
    result = FirstFailure()
    signal.signal(signal.SIGALRM, result.too_long)
    for name in names:
        signal.alarm(TEST_LIMIT_S)
        result.current = name
        unittest.defaultTestLoader.loadTestsFromName(name).run(result)
        signal.alarm(0)
        if result.found is not None:
            break
    report(result.found)
    os._exit(0)  # threads and loops that a fault left behind don't hold the process up


if __name__ == "__main__":
    main(sys.argv[1:])

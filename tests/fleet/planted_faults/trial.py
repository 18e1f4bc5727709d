"""Planting a fault in a scratch copy of the sources and running tests there."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from tests.fleet.planted_faults.faults import Fault

ROOT = Path(__file__).resolve().parents[3]
COPIED = ("rosechute", "tests", "deploy", "docs")
PROCESS = Path(__file__).with_name("trial_process.py")
TRIAL_LIMIT_S = 400


@dataclass(frozen=True, slots=True)
class Finding:
    """The test that failed, and how."""

    test: str
    cause: str


class Scratch:
    """A copy of the tree, for one trial at a time."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="planted-")
        self.root = Path(self._folder.name)
        for name in COPIED:
            shutil.copytree(ROOT / name, self.root / name, ignore=shutil.ignore_patterns("__pycache__"))

    def close(self) -> None:
        """Remove the copy."""
        self._folder.cleanup()

    def try_fault(self, fault: Fault, tests: Sequence[str]) -> Finding | None:
        """Plant a fault, run the tests up to the first failure, and take the fault out again."""
        target = self.root / fault.path
        right = target.read_text(encoding="utf-8")
        target.write_text(fault.source, encoding="utf-8")
        try:
            return self.run(tests)
        finally:
            target.write_text(right, encoding="utf-8")

    def run(self, tests: Sequence[str]) -> Finding | None:
        """Run tests; None where all of them hold."""
        told, tell = os.pipe()
        command = [sys.executable, "-B", "-c", f"import os; os.dup2({tell}, 3)\n" + _RUN, str(PROCESS), *tests]
        process = subprocess.Popen(
            command, cwd=self.root, pass_fds=[tell], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        os.close(tell)
        try:
            process.wait(TRIAL_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        with os.fdopen(told) as lines:
            text = lines.readline()
        if not text:
            return Finding(tests[0], "the process ended before its report")
        found = json.loads(text)
        return None if found is None else Finding(*found)


_RUN = "import runpy, sys\nsys.argv = sys.argv[1:]\nrunpy.run_path(sys.argv[0], run_name='__main__')\n"

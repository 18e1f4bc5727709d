"""Plays day files by calling the bench, and reads from its report what broke."""

from __future__ import annotations

import json
import subprocess
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one day. `problem` where the bench played none, or the process was at fault."""

    name: str
    served: float = 0.0
    broken: dict[str, int] = field(default_factory=dict)
    first: str = ""  # what the bench says of the first broken rule
    problem: str | None = None

    @property
    def good(self) -> bool:
        """Whether it was played, and kept every rule."""
        return not self.broken and self.problem is None

    def line(self) -> str:
        """For a terminal."""
        told = " ".join(f"{rule} {count}" for rule, count in self.broken.items()) or self.problem or "rules kept"
        return f"{self.name:<24} served {self.served:5.3f}  {told}" + (f"  {self.first}" if self.first else "")


@dataclass(frozen=True, slots=True)
class Bench:
    """The bench's program and the deployment to play."""

    program: str
    site: str
    why: str

    def play(self, day: Path) -> Outcome:
        """One day, whole. The journal's entry is the bench's."""
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            command = [self.program, "run", self.site, str(day), "--why", self.why, "--report", str(report)]
            done = subprocess.run(command, capture_output=True, text=True, check=False)
            if not report.exists():
                return Outcome(day.stem, problem=f"not played, status {done.returncode}: {_last_line(done)}")
            return outcome_of(day.stem, json.loads(report.read_text(encoding="utf-8")))

    def play_all(self, days: list[Path], jobs: int) -> list[Outcome]:
        """Several at once, at most `jobs`; in the order of the days."""
        with ThreadPoolExecutor(jobs) as pool:
            return list(pool.map(self._play_and_tell, days))

    def _play_and_tell(self, day: Path) -> Outcome:
        outcome = self.play(day)
        print(outcome.line(), flush=True)
        return outcome


def outcome_of(name: str, report: dict[str, Any]) -> Outcome:
    """What a report of the bench says of a day."""
    first = "; ".join(f"{told['rule']} at {told['at_s']} s: {told['what']}" for told in report.get("first") or ())
    problem = None if report.get("fault") is None else f"fault: {report['fault']}"
    return Outcome(name, report["served"], dict(report.get("breaks") or {}), first, problem)


def _last_line(done: subprocess.CompletedProcess[str]) -> str:
    lines = (done.stderr or done.stdout).strip().splitlines()
    return lines[-1] if lines else "it said nothing"

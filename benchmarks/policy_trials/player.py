"""Plays days of variants in scratch copies, several at once, and keeps what was measured."""

from __future__ import annotations

import csv
import json
import shutil
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from threading import Lock

from .variants import VARIANTS

FIELDS = ("variant", "site", "day", "seed", "small", "figure", "rules", "journal")
COPIED_BUILD = "target"  # what the build made is the same in every copy


@dataclass(frozen=True, slots=True)
class Trial:
    """One day of one deployment under one variant; `small` plays the day's small twin."""

    variant: str
    site: str  # path of the site file
    day: str
    seed: int
    small: bool

    @property
    def key(self) -> tuple[str, ...]:
        """What names its row."""
        return self.variant, Path(self.site).stem, self.day, str(self.seed), str(int(self.small))


class Results:
    """The rows of a CSV file; each is written as soon as it is known."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = Lock()
        self.rows: list[dict[str, str]] = []
        if path.exists():
            with path.open(newline="", encoding="utf-8") as file:
                self.rows = list(csv.DictReader(file))

    def has(self, trial: Trial) -> bool:
        """Whether this trial was played before."""
        return any(tuple(row[field] for field in FIELDS[:5]) == trial.key for row in self.rows)

    def add(self, trial: Trial, figure: float | None, rules: str, journal: str) -> None:
        """Keep what a trial has shown; no figure where it could not be played."""
        values = (*trial.key, "" if figure is None else f"{figure:.4f}", rules, journal)
        row = dict(zip(FIELDS, values, strict=True))
        with self._lock:
            new = not self._path.exists()
            self._path.parent.mkdir(parents=True, exist_ok=True)
            with self._path.open("a", newline="", encoding="utf-8") as file:
                writer = csv.DictWriter(file, FIELDS)
                if new:
                    writer.writeheader()
                writer.writerow(row)
            self.rows.append(row)


class Player:
    """Plays trials of the sources of a folder.

    Args:
        root: The repository. What is committed there is played.
        scratch: Folder for the copies.
        bench: The bench's program.
        why: The line for its journal.
        results: Where figures go.
    """

    def __init__(self, root: Path, scratch: Path, bench: str, why: str, results: Results) -> None:
        self._root, self._scratch, self._bench, self._why, self._results = root, scratch, bench, why, results

    def play_all(self, trials: Sequence[Trial], jobs: int) -> None:
        """Play what was not played yet, variants in turn for each day."""
        left = [trial for trial in trials if not self._results.has(trial)]
        for variant in dict.fromkeys(trial.variant for trial in left):
            self._copy(variant)
        with ThreadPoolExecutor(jobs) as pool:
            list(pool.map(self._play, left))
        for variant in dict.fromkeys(trial.variant for trial in left):
            self._bring_journal(variant)

    def _copy(self, variant: str) -> None:
        folder = self._scratch / variant
        shutil.rmtree(folder, ignore_errors=True)
        subprocess.run(["git", "clone", "-q", str(self._root), str(folder)], check=True)
        built = self._root / COPIED_BUILD
        if built.exists():
            shutil.copytree(built, folder / COPIED_BUILD)
        for replacement in VARIANTS[variant]:
            replacement.apply(folder)

    def _play(self, trial: Trial) -> None:
        folder = self._scratch / trial.variant
        before = set((folder / "journal").glob("*.json"))
        command = [
            self._bench,
            "run",
            trial.site,
            trial.day,
            "--seed",
            str(trial.seed),
            "--no-cpu",
            "--why",
            f"{self._why}: {trial.variant}",
        ]
        if trial.small:
            command.append("--small")
        subprocess.run(command, cwd=folder, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)
        made = (path for path in (folder / "journal").glob("*.json") if path not in before)
        self._keep(trial, made)

    def _keep(self, trial: Trial, made: Iterable[Path]) -> None:
        """Find the entry of this very play: several may be under way in one copy."""
        for path in made:
            entry = json.loads(path.read_text(encoding="utf-8"))
            for day in entry.get("days") or ():
                if (day["name"].split()[0], str(day["seed"])) == (trial.day, str(trial.seed)):
                    rules = " ".join(day.get("rules") or ())
                    self._results.add(trial, day["G"], rules, entry["id"])
                    return
        print(f"no result: {trial}", file=sys.stderr)

    def _bring_journal(self, variant: str) -> None:
        """Entries of trials stay with the others."""
        source, target = self._scratch / variant / "journal", self._root / "journal"
        for path in source.rglob("*"):
            kept = target / path.relative_to(source)
            if path.is_file() and not kept.exists():
                kept.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(path, kept)

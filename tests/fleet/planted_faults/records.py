"""What the runs have shown (`results/<area>.tsv`), and the faults that are excused (`excused.toml`)."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).parent
EXCUSED = HERE / "excused.toml"
UNFOUND = "unfound"
PREFIX = "tests.fleet."


@dataclass(frozen=True, slots=True)
class Row:
    """The test that finds a fault; empty where none does."""

    id: str
    test: str

    @property
    def found(self) -> bool:
        """Whether a test has found it."""
        return bool(self.test)


def excused(path: Path = EXCUSED) -> dict[str, str]:
    """Fault and the reason why nothing can come of it."""
    with path.open("rb") as file:
        reasons: dict[str, str] = tomllib.load(file)["excused"]
    return reasons


def results_path(area: str) -> Path:
    """Where the results of an area stand."""
    return HERE / "results" / f"{area}.tsv"


def load(area: str) -> dict[str, Row]:
    """The results of an area by id."""
    path = results_path(area)
    if not path.exists():
        return {}
    rows = [line.split("\t") for line in path.read_text(encoding="utf-8").splitlines()]
    return {name: Row(name, "" if test == UNFOUND else PREFIX + test) for name, test in rows}


def save(area: str, rows: list[Row]) -> None:
    """Write the results of an area, in the order given."""
    lines = [f"{row.id}\t{row.test.removeprefix(PREFIX) if row.found else UNFOUND}\n" for row in rows]
    path = results_path(area)
    path.parent.mkdir(exist_ok=True)
    path.write_text("".join(lines), encoding="utf-8")

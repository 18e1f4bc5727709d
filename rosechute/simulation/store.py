"""Where results are kept: one SQLite file, one row a run, each written when its run ends.

A killed sweep has all runs that ended; the next one does the rest. A row is found again by what made it: scenario,
policy, seed and the program's own sources, so that results of another program are never mistaken for this one's.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import xxhash

TABLE = """
create table if not exists run (
    key text primary key, program text not null, scenario text not null, changes text not null, policy text not null,
    seed integer not null, digest text not null, took_s real not null, result text not null
) without rowid;
create index if not exists by_scenario on run (scenario, policy, seed);
"""
PARTS = ("rosechute/load_balancing", "rosechute/simulation", "rosechute/sidecar/operator_configuration")


class Row(NamedTuple):
    """One stored run."""

    key: str
    program: str
    scenario: str
    changes: str
    policy: str
    seed: int
    digest: str
    took_s: float
    result: dict[str, Any]


def program() -> str:
    """Names the sources that decide what a run gives: a digest of theirs, 12 digits."""
    root = Path(__file__).resolve().parent.parent.parent
    found = xxhash.xxh3_64()
    for part in PARTS:
        for path in sorted((root / part).rglob("*.py")):
            found.update(path.read_bytes())
    return str(found.hexdigest())[:12]


def identity(made_by: str, scenario: bytes, policy: str, seed: int) -> str:
    """The key of a run."""
    return str(xxhash.xxh3_128_hexdigest(b"\0".join((made_by.encode(), scenario, policy.encode(), b"%d" % seed))))


class Store:
    """Results in one file.

    Raises sqlite3.DatabaseError where the file is no such store.
    """

    def __init__(self, path: Path) -> None:
        self._db = sqlite3.connect(path)
        self._db.executescript(f"pragma journal_mode = wal; pragma synchronous = normal; {TABLE}")

    def close(self) -> None:
        self._db.close()

    def add(self, row: Row) -> None:
        """Keep a run, for good once this returns."""
        with self._db:
            self._db.execute(
                "insert or replace into run values (?,?,?,?,?,?,?,?,?)",
                (*row[:-1], json.dumps(row.result, sort_keys=True)),
            )

    def has(self, key: str) -> bool:
        return self._db.execute("select 1 from run where key = ?", (key,)).fetchone() is not None

    def rows(
        self, scenario: str | None = None, policy: str | None = None, made_by: str | None = None
    ) -> Iterator[Row]:
        """Runs in order of scenario, changes, policy and seed; all, or those that match."""
        wanted = [
            (name, value)
            for name, value in (("scenario", scenario), ("policy", policy), ("program", made_by))
            if value is not None
        ]
        where = " where " + " and ".join(f"{name} = ?" for name, _ in wanted) if wanted else ""
        for row in self._db.execute(
            f"select * from run{where} order by scenario, changes, policy, seed, program",
            [value for _, value in wanted],
        ):
            yield Row._make((*row[:-1], json.loads(row[-1])))

"""Result store: one SQLite file with one row per run, written when the run ends.

An interrupted sweep keeps all finished runs, and the next sweep runs only the missing ones. The key of a row is
derived from the scenario, the policy, the seed and the program's sources, so that results of a different program
version are never reused.
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
    """Return a 12-digit hexadecimal digest of the sources that determine the result of a run."""
    root = Path(__file__).resolve().parent.parent.parent
    found = xxhash.xxh3_64()
    for part in PARTS:
        for path in sorted((root / part).rglob("*.py")):
            found.update(path.read_bytes())
    return str(found.hexdigest())[:12]


def identity(made_by: str, scenario: bytes, policy: str, seed: int) -> str:
    """Return the key of a run, derived from the program's digest, the scenario, the policy and the seed."""
    return str(xxhash.xxh3_128_hexdigest(b"\0".join((made_by.encode(), scenario, policy.encode(), b"%d" % seed))))


class Store:
    """Result store in one SQLite file.

    Raises:
        sqlite3.DatabaseError: The file is not a result store.
    """

    def __init__(self, path: Path) -> None:
        self._db = sqlite3.connect(path)
        self._db.executescript(f"pragma journal_mode = wal; pragma synchronous = normal; {TABLE}")

    def close(self) -> None:
        """Close the database."""
        self._db.close()

    def add(self, row: Row) -> None:
        """Insert or replace a run; it is committed when this returns."""
        with self._db:
            self._db.execute(
                "insert or replace into run values (?,?,?,?,?,?,?,?,?)",
                (*row[:-1], json.dumps(row.result, sort_keys=True)),
            )

    def has(self, key: str) -> bool:
        """Return whether a run with this key is stored."""
        return self._db.execute("select 1 from run where key = ?", (key,)).fetchone() is not None

    def rows(
        self, scenario: str | None = None, policy: str | None = None, made_by: str | None = None
    ) -> Iterator[Row]:
        """Iterate over the stored runs that match, ordered by scenario, changes, policy and seed."""
        filters = [
            (name, value)
            for name, value in (("scenario", scenario), ("policy", policy), ("program", made_by))
            if value is not None
        ]
        where = " where " + " and ".join(f"{name} = ?" for name, _ in filters) if filters else ""
        for row in self._db.execute(
            f"select * from run{where} order by scenario, changes, policy, seed, program",
            [value for _, value in filters],
        ):
            yield Row._make((*row[:-1], json.loads(row[-1])))

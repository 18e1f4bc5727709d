"""`python -m tests.fleet.planted_faults names|run|table`, see docs/fleet/planted-faults.md."""

from __future__ import annotations

import re
import signal
import sys

import fire

from tests.fleet.planted_faults import records
from tests.fleet.planted_faults.areas import AREAS, Area
from tests.fleet.planted_faults.faults import Fault, faults_in
from tests.fleet.planted_faults.play import Player
from tests.fleet.planted_faults.table import table as make_table
from tests.fleet.planted_faults.trial import ROOT


def _selected(area: Area, match: str) -> list[Fault]:
    pattern = re.compile(match)
    return [fault for fault in faults_in(ROOT, area.paths(ROOT)) if pattern.search(fault.id)]


def _areas(name: str) -> list[Area]:
    return [area for area in AREAS if name in ("", area.name)]


def names(area: str = "", match: str = "") -> None:
    """Print the ids of the faults of one area, or of all; `match` is a regular expression."""
    for each in _areas(area):
        for fault in _selected(each, match):
            print(f"{fault.path}:{fault.line}\t{fault.id}")


def run(area: str = "", match: str = "", processes: int = 2, only: str = "all", quick: bool = False) -> None:
    """Plant faults and write what finds them into results/. `only`: `all`, `new` (without a result), or `unfound`.

    With `quick` the slow test modules are left out; `--only unfound` then goes on with all of them.
    """
    failed = False
    for each in _areas(area):
        failed |= not _run_area(each, match, processes, only, quick)
    sys.exit(1 if failed else 0)


def _run_area(area: Area, match: str, processes: int, only: str, quick: bool) -> bool:
    """Whether each fault that was planted is found or excused."""
    excused, known = records.excused(), records.load(area.name)
    everything = faults_in(ROOT, area.paths(ROOT))
    wanted = [fault for fault in _selected(area, match) if _is_wanted(fault, known, only)]
    wanted = [fault for fault in wanted if fault.id not in excused]
    # Turned conditions are found by nearly any test: they come last.
    wanted.sort(key=lambda fault: ":turn-condition:" in fault.id)
    tests = area.test_modules(ROOT, quick)
    print(f"{area.name}: {len(wanted)} of {len(everything)} faults, {len(tests)} test modules", flush=True)
    done: dict[str, records.Row] = {}

    def told(row: records.Row, cause: str) -> None:
        done[row.id] = row
        print(f"{'found' if row.found else 'UNFOUND'}\t{row.id}\t{row.test}\t{cause}", flush=True)
        if len(done) % 50 == 0:
            _save(area, everything, known | done)

    player = Player(processes)
    try:
        player.check_baseline(tests)
        player.play(wanted, tests, known, told)
    finally:
        _save(area, everything, known | done)
        player.close()
    unfound = [row for row in done.values() if not row.found]
    print(f"{area.name}: {len(done)} planted, {len(done) - len(unfound)} found, {len(unfound)} unfound", flush=True)
    return not unfound


def _is_wanted(fault: Fault, known: dict[str, records.Row], only: str) -> bool:
    row = known.get(fault.id)
    if only == "new":
        return row is None
    return only == "all" or (row is not None and not row.found)


def _save(area: Area, everything: list[Fault], rows: dict[str, records.Row]) -> None:
    records.save(area.name, [rows[fault.id] for fault in everything if fault.id in rows])


def table() -> None:
    """Print the table of the results, for the docs."""
    print(make_table())


def _ended(*_: object) -> None:
    """SIGTERM: what was played so far is written, and the copies are removed."""
    sys.exit("ended by a signal")


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _ended)
    fire.Fire({"names": names, "run": run, "table": table})

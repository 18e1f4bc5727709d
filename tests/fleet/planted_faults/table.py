"""The table of planted, found, excused and unfound faults by module, in Markdown."""

from __future__ import annotations

from collections import defaultdict

from tests.fleet.planted_faults import records
from tests.fleet.planted_faults.areas import AREAS, Area
from tests.fleet.planted_faults.faults import Fault, faults_in
from tests.fleet.planted_faults.trial import ROOT

HEADINGS = ("found", "excused", "unfound", "not run")


def table() -> str:
    """Rows by module, then the faults that no test finds."""
    excused = records.excused()
    lines = ["| module | planted | found | excused | unfound | not run |", "|---|---|---|---|---|---|"]
    totals = dict.fromkeys(HEADINGS, 0)
    unfound: list[str] = []
    for area in AREAS:
        for module, counts in _by_module(area, excused, unfound).items():
            lines.append(_row(module, counts))
            totals = {name: totals[name] + counts[name] for name in HEADINGS}
    lines.append(_row("all", totals))
    if unfound:
        lines += ["", "Unfound:", "", *(f"- `{name}`" for name in unfound)]
    return "\n".join(lines)


def _by_module(area: Area, excused: dict[str, str], unfound: list[str]) -> dict[str, dict[str, int]]:
    known = records.load(area.name)
    counts: dict[str, dict[str, int]] = defaultdict(lambda: dict.fromkeys(HEADINGS, 0))
    for fault in faults_in(ROOT, area.paths(ROOT)):
        heading = _heading(fault, known, excused)
        counts[fault.module][heading] += 1
        if heading == "unfound":
            unfound.append(fault.id)
    return dict(counts)


def _heading(fault: Fault, known: dict[str, records.Row], excused: dict[str, str]) -> str:
    if fault.id in excused:
        return "excused"
    row = known.get(fault.id)
    if row is None:
        return "not run"
    return "found" if row.found else "unfound"


def _row(name: str, counts: dict[str, int]) -> str:
    return f"| {name} | {sum(counts.values())} | " + " | ".join(str(counts[each]) for each in HEADINGS) + " |"

"""Carry recorded results over to renamed sources.

    python -m tests.fleet.planted_faults.carry_over BEFORE [OLD=NEW ...]

BEFORE is a checkout of the commit from which the sources were renamed; OLD=NEW are files that were renamed, each as
`package/module.py`. The faults of each package before and now are aligned file by file with identifiers blanked out,
then what is left with that of all other files, so that a row follows its fault through renames and moves. Rows and
excuses whose fault has no counterpart are printed; nothing is dropped from `excused.toml`.
"""

from __future__ import annotations

import builtins
import keyword
import re
import sys
from difflib import SequenceMatcher
from itertools import product
from pathlib import Path

from tests.fleet.planted_faults import records
from tests.fleet.planted_faults.areas import AREAS
from tests.fleet.planted_faults.faults import Fault, faults_of
from tests.fleet.planted_faults.trial import ROOT

IDENTIFIER = re.compile(r"[A-Za-z_][A-Za-z_0-9]*")
KEPT_WORDS = frozenset(keyword.kwlist) | frozenset(dir(builtins))


def shape(fault: Fault) -> str:
    """The kind and the change of a fault, identifiers blanked out."""
    _, _, kind, _ = fault.id.split(":", 3)
    return kind + ": " + IDENTIFIER.sub(lambda match: match[0] if match[0] in KEPT_WORDS else "_", fault.shown)


def aligned(before: list[Fault], now: list[Fault]) -> dict[str, str]:
    """Old id to new id, for the faults of one file that stand in the same order in both."""
    matcher = SequenceMatcher(
        None, [shape(fault) for fault in before], [shape(fault) for fault in now], autojunk=False
    )
    return {
        before[block.a + offset].id: now[block.b + offset].id
        for block in matcher.get_matching_blocks()
        for offset in range(block.size)
    }


def sources(root: Path, package: str) -> list[str]:
    """The source files of a package, from the root of the checkout."""
    paths = sorted(str(path.relative_to(root)) for path in (root / "rosechute" / package).glob("*.py"))
    return [path for path in paths if not path.endswith(("__init__.py", "_pb2.py"))]


def carried_over(before_root: Path, now_root: Path, package: str, moved: dict[str, str]) -> dict[str, str]:
    """Old id to new id for a package; unchanged ids first, then by file, then by moves."""
    before = {path: faults_of(before_root, path) for path in sources(before_root, package)}
    now = {path: faults_of(now_root, path) for path in sources(now_root, package)}
    existing = {fault.id for faults in now.values() for fault in faults}
    ids = {fault.id: fault.id for faults in before.values() for fault in faults if fault.id in existing}
    taken = set(ids.values())

    def left(faults: list[Fault], gone: set[str]) -> list[Fault]:
        return [fault for fault in faults if fault.id not in gone]

    for path in before:
        now_path = moved.get(path, path)
        if now_path not in now:
            continue
        found = aligned(left(before[path], set(ids)), left(now[now_path], taken))
        ids |= found
        taken |= set(found.values())
    for path, now_path in product(before, now):  # functions that moved to another module
        found = aligned(left(before[path], set(ids)), left(now[now_path], taken))
        ids |= found
        taken |= set(found.values())
    return ids


def main(before_root: Path, moved: dict[str, str]) -> None:
    """Rewrite the results and the excuses, and print what found no counterpart."""
    packages = sorted({Path(path).parent.name for area in AREAS for path in area.paths(ROOT)})
    ids: dict[str, str] = {}
    for package in packages:
        ids |= carried_over(before_root, ROOT, package, moved)
    for area in AREAS:
        rows = records.load(area.name)
        lost = [name for name in rows if name not in ids]
        records.save(area.name, [records.Row(ids.get(name, name), row.test) for name, row in rows.items()])
        print(f"{area.name}: {len(rows)} rows, {len(lost)} without a counterpart")
    text = records.EXCUSED.read_text(encoding="utf-8")
    for name in records.excused():
        if name in ids:
            text = text.replace(f'"{name}"', f'"{ids[name]}"').replace(f"'{name}'", f"'{ids[name]}'")
        else:
            print(f"excused, without a counterpart: {name}")
    records.EXCUSED.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    pairs = [pair.split("=") for pair in sys.argv[2:]]
    main(Path(sys.argv[1]), {f"rosechute/{old}": f"rosechute/{new}" for old, new in pairs})

"""What a planted fault is, and how the faults of a source file are found by its syntax tree."""

from __future__ import annotations

import ast
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from tests.fleet.planted_faults.kinds import Change, changes

SNIPPET = 72  # characters of the source that an id shows


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: the id, the file it is planted in (from the root of the sources) and the file's text with it.

    An id names file, function, kind and the source that is changed, not the line: it outlives moves of the code.
    Equal ones in a function are counted.
    """

    id: str
    path: str
    line: int
    source: str
    shown: str  # the source that is changed, in full

    @property
    def module(self) -> str:
        """The file below `rosechute/`."""
        return self.path.removeprefix("rosechute/")


def faults_of(root: Path, path: str) -> list[Fault]:
    """All faults for a source file, in the order of its lines; equal texts are planted once."""
    text = (root / path).read_text(encoding="utf-8")
    seen: Counter[str] = Counter()
    texts = {text}
    found: list[Fault] = []
    for change in changes(ast.parse(text)):
        source = _applied(text, change)
        if source in texts or not _compiles(source):
            continue
        texts.add(source)
        name = f"{path.removeprefix('rosechute/')}:{change.function}:{change.kind}: {_shortened(change.shown)}"
        seen[name] += 1
        count = f" #{seen[name]}" if seen[name] > 1 else ""
        found.append(Fault(name + count, path, change.node.lineno, source, change.shown))
    return sorted(found, key=lambda fault: fault.line)


def _applied(text: str, change: Change) -> str:
    """The text with one node replaced; columns of the syntax tree count bytes."""
    lines = [line.encode() for line in text.splitlines(keepends=True)]
    node = change.node
    assert node.end_lineno is not None and node.end_col_offset is not None
    before = b"".join(lines[: node.lineno - 1]) + lines[node.lineno - 1][: node.col_offset]
    after = lines[node.end_lineno - 1][node.end_col_offset :] + b"".join(lines[node.end_lineno :])
    return (before + change.replacement.encode() + after).decode()


def _compiles(source: str) -> bool:
    try:
        compile(source, "planted", "exec")
    except SyntaxError:
        return False
    return True


def _shortened(shown: str) -> str:
    """One line of the source, cut in its middle where it is long."""
    line = " ".join(shown.split())
    half = SNIPPET // 2
    return line if len(line) <= SNIPPET else f"{line[:half]}...{line[-half:]}"


def faults_in(root: Path, paths: Iterable[str]) -> list[Fault]:
    """The faults of several files."""
    return [fault for path in paths for fault in faults_of(root, path)]

"""What is wrong with a file: where, what stands there, and why it can't be."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Any, NamedTuple


class Problem(NamedTuple):
    """One thing that keeps a file from being taken."""

    path: str
    """The key, such as "route[2].timeout"; empty for the file as a whole."""
    value: Any
    """What stands there, as read; None where nothing does."""
    reason: str
    """One plain sentence, which names the rule that would be broken where it is one of the four."""
    line: int = 0
    """Where in the file, counted from 1; 0 where that is not known."""

    def __str__(self) -> str:
        at = f"line {self.line}: " if self.line else ""
        value = "" if self.value is None else f" = {brief(self.value)}"
        return f"{at}{self.path or 'file'}{value}: {self.reason}"


class FileError(ValueError):
    """A file that can't be taken, with all that is wrong with it."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(map(str, self.problems)))


def brief(value: Any) -> str:
    """A value in one short line."""
    text = (
        repr(str(value))
        if isinstance(value, int) and type(value) is not int and type(value) is not bool
        else repr(value)
    )
    return text if len(text) <= 80 else f"{text[:77]}..."


def nearest(wrong: str, known: Iterable[str]) -> str:
    """A hint that names the nearest known word, or what there is."""
    names = sorted(set(known))
    close = difflib.get_close_matches(wrong, names, 1, 0.6)
    if close:
        return f"; did you mean {close[0]!r}?"
    if not names:
        return "; none is known"
    return f"; known: {', '.join(names[:8])}{', ...' if len(names) > 8 else ''}"

"""Problems found in a configuration file: location, value and reason."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from typing import Any, NamedTuple


class Problem(NamedTuple):
    """One reason for which a file is rejected."""

    path: str
    """The key, such as "route[2].timeout"; empty for the file as a whole."""
    value: Any
    """The value as parsed; None where it is missing."""
    reason: str
    """One sentence for the operator; it names the safety rule that would be broken, if any."""
    line: int = 0
    """Line number in the file, from 1; 0 if unknown."""

    def __str__(self) -> str:
        at = f"line {self.line}: " if self.line else ""
        value = "" if self.value is None else f" = {format_value(self.value)}"
        return f"{at}{self.path or 'file'}{value}: {self.reason}"


class FileError(ValueError):
    """A rejected file, with all its problems."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("; ".join(map(str, self.problems)))


def format_value(value: Any) -> str:
    """Return a value as one line of at most 80 characters."""
    text = (
        repr(str(value))
        if isinstance(value, int) and type(value) is not int and type(value) is not bool
        else repr(value)
    )
    return text if len(text) <= 80 else f"{text[:77]}..."


def nearest(wrong: str, known: Iterable[str]) -> str:
    """Return a hint with the known name closest to `wrong`, or with a list of the known names."""
    names = sorted(set(known))
    close = difflib.get_close_matches(wrong, names, 1, 0.6)
    if close:
        return f"; did you mean {close[0]!r}?"
    if not names:
        return "; none is known"
    return f"; known: {', '.join(names[:8])}{', ...' if len(names) > 8 else ''}"

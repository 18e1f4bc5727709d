"""Errors of settings and configurations: the step, the peer, the place and the reason."""

from __future__ import annotations

import re
from dataclasses import dataclass

_AT = re.compile(r"^(?P<reason>.*?)(?: - at `(?P<place>[^`]*)`)?$", re.DOTALL)
_ROOT = "$"


@dataclass(frozen=True, slots=True)
class Problem:
    """Why something that was read cannot be used."""

    step: str
    """What was being done: `read`, `decode` or `check`."""
    place: str
    """The field, for example `routes[3].timeout_ms`; empty for the whole."""
    reason: str
    """One sentence in plain words."""
    peer: str = ""
    """Where it came from: a file, or an address; empty where that is not known here."""

    def __str__(self) -> str:
        source = f"{self.peer}: " if self.peer else ""
        place = f"{self.place}: " if self.place else ""
        return f"{source}{self.step}: {place}{self.reason}"


class SettingsProblem(Problem):
    """A settings file that cannot be used."""

    __slots__ = ()


class ConfigurationProblem(Problem):
    """An operator's configuration that is invalid."""

    __slots__ = ()


def place_and_reason(text: str) -> tuple[str, str]:
    """Split a decoder's message in the place it names, in our notation, and the rest."""
    match = _AT.match(text)
    if match is None:
        return "", text
    place = (match["place"] or "").removeprefix(_ROOT).removeprefix(".")
    return place, match["reason"]

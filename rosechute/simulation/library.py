"""Loader of bundled scenarios and scenario files, with overrides of single values by path."""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from rosechute.sidecar.operator_configuration.problems import FileError, Problem, nearest
from rosechute.simulation.reading import read, structure
from rosechute.simulation.spec import Scenario


def names() -> list[str]:
    """Return the sorted names of the bundled scenarios."""
    folder = resources.files("rosechute.simulation") / "scenarios"
    return sorted(item.name[:-5] for item in folder.iterdir() if item.name.endswith(".toml"))


def text(name: str) -> str:
    """Return the text of a scenario, given its name or the path of its file.

    Raises:
        FileError: There is no such scenario or file.
    """
    if name in names():
        return (resources.files("rosechute.simulation") / "scenarios" / f"{name}.toml").read_text(encoding="utf-8")
    path = Path(name)
    if path.suffix == ".toml" and path.is_file():
        return path.read_text(encoding="utf-8")
    raise FileError([Problem("", name, f"no such scenario or .toml file{nearest(name, names())}")])


def load(name: str, changes: dict[str, Any] | None = None) -> Scenario:
    """Load a scenario with some values overridden, each by its path, such as "fleet.servers" or "class[0].work".

    Raises:
        FileError: The scenario or an override is invalid; lists all problems.
    """
    toml_text = text(name)
    if not changes:
        return read(toml_text)
    raw = tomllib.loads(toml_text)
    for path, value in changes.items():
        place: Any = raw
        parts = path.replace("[", ".[").split(".")
        try:
            for part in parts[:-1]:
                place = place[int(part[1:-1])] if part.startswith("[") else place.setdefault(part, {})
            last = parts[-1]
            place[int(last[1:-1]) if last.startswith("[") else last] = value
        except (IndexError, ValueError, TypeError, AttributeError):
            raise FileError([Problem(path, value, "no such key in the scenario")]) from None
    return structure(raw)


def key(scenario: Scenario) -> bytes:
    """Return a canonical encoding of the scenario, independent of the formatting of its file."""
    return msgspec.json.Encoder(enc_hook=int, order="deterministic").encode(scenario)

"""The scenarios that come with the lab, and those in files; one value changed by its path."""

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
    """The scenarios that come with the lab, in order of their names."""
    folder = resources.files("rosechute.simulation") / "scenarios"
    return sorted(item.name[:-5] for item in folder.iterdir() if item.name.endswith(".toml"))


def text(name: str) -> str:
    """The text of a scenario, by its name or its file's path; raise FileError where there is neither."""
    if name in names():
        return (resources.files("rosechute.simulation") / "scenarios" / f"{name}.toml").read_text(encoding="utf-8")
    path = Path(name)
    if path.suffix == ".toml" and path.is_file():
        return path.read_text(encoding="utf-8")
    raise FileError([Problem("", name, f"there is no such scenario, nor a .toml file{nearest(name, names())}")])


def load(name: str, changes: dict[str, Any] | None = None) -> Scenario:
    """A scenario with some values changed, each by its path, such as "fleet.servers" or "class[0].work".

    Raises FileError with all that is wrong, changes included.
    """
    told = text(name)
    if not changes:
        return read(told)
    raw = tomllib.loads(told)
    for path, value in changes.items():
        place: Any = raw
        parts = path.replace("[", ".[").split(".")
        try:
            for part in parts[:-1]:
                place = place[int(part[1:-1])] if part.startswith("[") else place.setdefault(part, {})
            last = parts[-1]
            place[int(last[1:-1]) if last.startswith("[") else last] = value
        except (IndexError, ValueError, TypeError, AttributeError):
            raise FileError([Problem(path, value, "there is no such place in the scenario")]) from None
    return structure(raw)


def key(scenario: Scenario) -> bytes:
    """The same bytes for the same scenario, whatever its file looks like."""
    return msgspec.json.Encoder(enc_hook=int, order="deterministic").encode(scenario)

"""A configuration read again at SIGHUP: all of it is checked against the one in force, then taken whole."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from rosechute.sidecar.config import Config, ConfigError, load

MAY_BE_ABSENT = frozenset({"aimStretch", "passesDeadline", "warmKeys"})  # by the settings' description
FIXED = ("name", "listen", "control", "sockets")  # what only a new process can take over


def read_again(env: Mapping[str, str], old: Config) -> Config:
    """The configuration from its file, if it may take the place of `old`; ConfigError says why not.

    Stricter than at the start: a file that lost a key would silently put a default in force where the
    operators had set something, and that on a sidecar that serves.
    """
    new = load(env, again=True)
    missing(old.raw, new.raw, "")
    settings = new.raw["settings"]
    attempts = settings.get("limits", {}).get("maxAttempts", 1)
    positive(attempts, "settings.limits.maxAttempts", whole=True)
    for i, item in enumerate(settings["classes"]):
        for key in ("hardLimitNs", "onTimeNs"):
            positive(item.get(key, 1), f"settings.classes[{i}].{key}")
    return new


def fixed(new: Config, old: Config) -> list[str]:
    """What differs and takes a restart."""
    return [key for key in FIXED if getattr(new, key) != getattr(old, key)]


def missing(old: Any, new: Any, path: str) -> None:
    """Raise where a key that the file in force has is not in the new one."""
    if isinstance(old, dict):
        if not isinstance(new, dict):
            raise ConfigError(f"{path} is not an object")
        for key, value in old.items():
            if value is None or key in MAY_BE_ABSENT:
                continue
            at = f"{path}.{key}" if path else key
            if new.get(key) is None:
                raise ConfigError(f"{at} is missing")
            if key == "known":
                continue  # the list is discovery's by now
            if key == "classes":
                _same_keys(value, new[key], at)
            else:
                missing(value, new[key], at)


def _same_keys(old: Any, new: Any, path: str) -> None:
    """Classes may come and go; each has the keys that all of them had."""
    common = set.intersection(*(set(item) for item in old)) - MAY_BE_ABSENT if old else set()
    for i, item in enumerate(new):
        for key in sorted(common):
            if item.get(key) is None:
                raise ConfigError(f"{path}[{i}].{key} is missing")


def positive(value: Any, path: str, whole: bool = False) -> None:
    """Raise where a value is no positive number."""
    kinds = (int,) if whole else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds) or not 0 < value < math.inf:
        raise ConfigError(f"{path} is not a positive {'whole ' if whole else ''}number: {value!r}")

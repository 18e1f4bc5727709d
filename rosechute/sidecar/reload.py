"""Reload of the configuration at SIGHUP, checked against the one in use."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from rosechute.sidecar.config import Config, ConfigError, load

OPTIONAL_KEYS = frozenset(
    {"aimStretch", "passesDeadline", "warmKeys"}
)  # optional according to the description of the settings
RESTART_KEYS = ("name", "listen", "control", "sockets")  # only a restart applies changes of these


def read_again(env: Mapping[str, str], old: Config) -> Config:
    """Read the configuration that replaces `old`; raise ConfigError if it is invalid.

    Stricter than at the start: a file that lost a key would silently replace an operator's value with a default, in a
    running sidecar.
    """
    new = load(env, is_reload=True)
    check_missing(old.raw, new.raw, "")
    settings = new.raw["settings"]
    attempts = settings.get("limits", {}).get("maxAttempts", 1)
    check_positive(attempts, "settings.limits.maxAttempts", integer=True)
    for i, item in enumerate(settings["classes"]):
        for key in ("hardLimitNs", "onTimeNs"):
            check_positive(item.get(key, 1), f"settings.classes[{i}].{key}")
    return new


def restart_keys(new: Config, old: Config) -> list[str]:
    """Return the changed keys that need a restart."""
    return [key for key in RESTART_KEYS if getattr(new, key) != getattr(old, key)]


def check_missing(old: Any, new: Any, path: str) -> None:
    """Raise ConfigError if the new file lacks a key of the one in use."""
    if isinstance(old, dict):
        if not isinstance(new, dict):
            raise ConfigError(f"{path} is not an object")
        for key, value in old.items():
            if value is None or key in OPTIONAL_KEYS:
                continue
            at = f"{path}.{key}" if path else key
            if new.get(key) is None:
                raise ConfigError(f"{at} is missing")
            if key == "known":
                continue  # discovery has replaced this list
            if key == "classes":
                _check_class_keys(value, new[key], at)
            else:
                check_missing(value, new[key], at)


def _check_class_keys(old: Any, new: Any, path: str) -> None:
    """Raise ConfigError if a class lacks a key that all old classes have. Classes may be added and removed."""
    common = set.intersection(*(set(item) for item in old)) - OPTIONAL_KEYS if old else set()
    for i, item in enumerate(new):
        for key in sorted(common):
            if item.get(key) is None:
                raise ConfigError(f"{path}[{i}].{key} is missing")


def check_positive(value: Any, path: str, integer: bool = False) -> None:
    """Raise ConfigError if a value is not a positive number."""
    kinds = (int,) if integer else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds) or not 0 < value < math.inf:
        raise ConfigError(f"{path} is not a positive {'integer' if integer else 'number'}: {value!r}")
